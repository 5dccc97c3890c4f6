package storage

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	retireRetryInterval = 200 * time.Millisecond
	requestTimeout      = 1500 * time.Millisecond // of one request to another member
	// leavingTimeout limits the last transfer, in which this process refuses new records.
	leavingTimeout = 2 * time.Second
	// retireOrderTimeout limits the wait for members that retire before this one.
	retireOrderTimeout = 3 * time.Second
)

// retirementHandler starts the retirement of this instance when an operator
// requests it.
type retirementHandler struct {
	s       *Storage
	once    sync.Once
	started atomic.Bool
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

// start starts the retirement in the background on its first call.
func (h *retirementHandler) start() {
	h.once.Do(func() {
		h.started.Store(true)
		go h.s.retire()
	})
}

// begun reports whether the retirement of this instance was requested.
func (h *retirementHandler) begun() bool { return h.started.Load() }

// retire transfers all records to the other members and removes this process from the
// ledger. It retries until this succeeds. The process serves as a member meanwhile, except
// during the last transfer: members that retire at once take turns with that, so that the
// others are a quorum.
func (s *Storage) retire() {
	ctx := context.Background()
	began := time.Now()
	s.logger.Info("retiring", "node", s.settings.Node)
	if err := s.store.Load().SetRetirementStatus(ctx, s.settings.Node, false); err != nil {
		s.logger.Warn("failed to write the retirement state", "err", err)
	}
	for {
		err := s.leaveLedger(ctx, time.Since(began) < retireOrderTimeout)
		if err == nil {
			break
		}
		s.logger.Info("retirement goes on", "err", err)
		time.Sleep(retireRetryInterval/2 + rand.N(retireRetryInterval))
	}
	for {
		err := s.store.Load().SetRetirementStatus(ctx, s.settings.Node, true)
		if err == nil {
			break
		}
		s.logger.Warn("failed to write the retirement state", "err", err)
		time.Sleep(retireRetryInterval)
	}
	s.logger.Info("retired", "node", s.settings.Node, "took", time.Since(began))
}

// leaveLedger transfers the records and marks this process as removed from the ledger. If
// inOrder is set, it does not leave before other members that retire.
func (s *Storage) leaveLedger(ctx context.Context, inOrder bool) error {
	if err := s.refreshMembers(ctx); err != nil {
		return err
	}
	if err := s.transferRecords(ctx); err != nil {
		return err
	}
	if inOrder {
		if err := s.checkRetireOrder(ctx); err != nil {
			return err
		}
	}
	if others, _ := s.members.others(); len(others) <= s.settings.DisksToLose {
		return errors.Errorf("too few members would remain: %d, %d disks may be lost", len(others), s.settings.DisksToLose)
	}
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	s.ledger.SetLeaving(true)
	if err := s.finishLeaving(ctx); err != nil {
		s.ledger.SetLeaving(false)
		return err
	}
	return nil
}

// finishLeaving transfers the records that this process has got since the first transfer and
// marks it as removed from the ledger. No further ones are accepted.
func (s *Storage) finishLeaving(ctx context.Context) error {
	if err := s.refreshMembers(ctx); err != nil {
		return err
	}
	if err := s.transferRecords(ctx); err != nil {
		return err
	}
	own, _ := s.members.own()
	own.Active, own.Removed = false, true
	return platform.Register(ctx, s.store.Load(), s.settings.Node, own)
}

// refreshMembers reads the members from the platform's store. The watch may lag behind, but
// the records must also reach a member that has just joined.
func (s *Storage) refreshMembers(ctx context.Context) error {
	registered, _, err := s.store.Load().List(ctx, platform.KindNodes)
	if err != nil {
		return err
	}
	for _, o := range registered {
		s.members.put(o)
	}
	return nil
}

// checkRetireOrder returns an error if another member that retires comes first, by name.
func (s *Storage) checkRetireOrder(ctx context.Context) error {
	requested, _, err := s.store.Load().List(ctx, platform.KindRetirements)
	if err != nil {
		return err
	}
	others, _ := s.members.others()
	for _, o := range requested {
		isMember := slices.ContainsFunc(others, func(n platform.Node) bool { return n.Name == o.Name })
		if isMember && o.Name < s.settings.Node {
			return errors.Errorf("%s retires first", o.Name)
		}
	}
	return nil
}

// transferRecords sends to each other member the records that it lacks. It fails while one
// is catching up: the remaining members must be a quorum for reads.
func (s *Storage) transferRecords(ctx context.Context) error {
	others, known := s.members.others()
	if !known || len(others) == 0 {
		return errors.New("no other active storage process is known")
	}
	recs := s.ledger.Records(peerv1.Pull_ALL)
	for _, n := range others {
		if err := s.pushMissing(ctx, n.Address, recs); err != nil {
			return errors.Wrapf(err, "transfer records to %s", n.Name)
		}
	}
	return nil
}

// pushBatchSize is the largest number of records in one write to another member.
const pushBatchSize = 200

// pushMissing sends to another member those records that it lacks.
func (s *Storage) pushMissing(ctx context.Context, address string, recs []*peerv1.LedgerRecord) error {
	byDigest := ledger.Digests(recs)
	digests := slices.Collect(maps.Keys(byDigest))
	reply, err := s.request(ctx, address, &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{Digests: digests}},
	})
	if err != nil {
		return err
	}
	for missing := range slices.Chunk(reply.GetMissing(), pushBatchSize) {
		batch := make([]*peerv1.LedgerRecord, 0, len(missing))
		for _, d := range missing {
			batch = append(batch, byDigest[d])
		}
		if _, err := s.request(ctx, address, &peerv1.LedgerRequest{
			Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
		}); err != nil {
			return err
		}
	}
	return nil
}

// request sends one request to a member. It fails if the reply has a status other
// than OK, for example because the member is catching up.
func (s *Storage) request(ctx context.Context, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	reply, err := s.requestAny(ctx, address, req)
	if err != nil {
		return nil, err
	}
	if st := reply.GetStatus(); st != peerv1.LedgerReply_OK {
		return nil, errors.Errorf("member replied with status %s", st)
	}
	return reply, nil
}

// requestAny sends one request to a member and returns its reply with any status.
func (s *Storage) requestAny(ctx context.Context, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return ledger.Call(ctx, s.transport, address, req)
}
