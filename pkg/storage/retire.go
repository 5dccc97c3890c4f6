package storage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	retireInterval = 200 * time.Millisecond
	pushTimeout    = 1500 * time.Millisecond
)

// retirementHandler starts the emptying of this instance when the operators
// ask for it.
type retirementHandler struct {
	s    *Storage
	once sync.Once
}

func (h *retirementHandler) Listed(objects []platform.Object, _ bool) {
	for _, o := range objects {
		h.put(o)
	}
}

func (h *retirementHandler) Changed(changes []platform.Change) {
	for _, c := range changes {
		if !c.Deleted {
			h.put(c.Object)
		}
	}
}

func (h *retirementHandler) Lost(error) {}

func (h *retirementHandler) put(o platform.Object) {
	if o.Name == h.s.settings.Node {
		h.start()
	}
}

// start begins the emptying, once.
func (h *retirementHandler) start() { h.once.Do(func() { go h.s.retire() }) }

// retire refuses new records, hands all it has to the other members and leaves
// the ledger.
func (s *Storage) retire() {
	ctx := context.Background()
	s.logger.Info("retiring", "node", s.settings.Node)
	s.ledger.SetLeaving(true)
	if err := s.store.Load().SetRetirementStatus(ctx, s.settings.Node, false); err != nil {
		s.logger.Warn("retirement state not written", "err", err)
	}
	for {
		if err := s.empty(ctx); err == nil {
			s.logger.Info("retired", "node", s.settings.Node)
			return
		} else {
			s.logger.Info("retirement goes on", "err", err)
		}
		time.Sleep(retireInterval)
	}
}

// empty hands the records over, leaves the ledger and reports that.
func (s *Storage) empty(ctx context.Context) error {
	if err := s.handOver(ctx); err != nil {
		return err
	}
	own, _ := s.members.own()
	own.Active, own.Removed = false, true
	if err := platform.Register(ctx, s.store.Load(), s.settings.Node, own); err != nil {
		return err
	}
	return s.store.Load().SetRetirementStatus(ctx, s.settings.Node, true)
}

// handOver gives all other members the records that they lack.
func (s *Storage) handOver(ctx context.Context) error {
	// The watch may be behind, and a member that has just joined needs the
	// records too.
	registered, _, err := s.store.Load().List(ctx, platform.KindNodes)
	if err != nil {
		return err
	}
	for _, o := range registered {
		s.members.put(o)
	}
	others, known := s.members.others()
	if !known || len(others) == 0 {
		return errors.New("no other storage process is known")
	}
	recs := s.ledger.Records(peerv1.Pull_ALL)
	for _, n := range others {
		if err := s.push(ctx, n.Address, recs); err != nil {
			return errors.Wrapf(err, "hand records to %s", n.Name)
		}
	}
	return nil
}

// pushBatch is the number of records in one write to another member.
const pushBatch = 200

// push hands the records to another member that this member lacks.
func (s *Storage) push(ctx context.Context, address string, recs []*peerv1.LedgerRecord) error {
	byDigest := ledger.Digests(recs)
	digests := slices.Collect(maps.Keys(byDigest))
	reply, err := s.ask(ctx, address, &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{Digests: digests}},
	})
	if err != nil {
		return err
	}
	for missing := range slices.Chunk(reply.GetMissing(), pushBatch) {
		batch := make([]*peerv1.LedgerRecord, 0, len(missing))
		for _, d := range missing {
			batch = append(batch, byDigest[d])
		}
		if _, err := s.ask(ctx, address, &peerv1.LedgerRequest{
			Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
		}); err != nil {
			return err
		}
	}
	return nil
}

// ask sends one request to a member that has all its records.
func (s *Storage) ask(ctx context.Context, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := ledger.Call(ctx, s.transport, address, req)
	if err != nil {
		return nil, err
	}
	if st := reply.GetStatus(); st != peerv1.LedgerReply_OK {
		return nil, errors.Errorf("member answers %s", st)
	}
	return reply, nil
}
