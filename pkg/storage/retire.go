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
	"golang.org/x/sync/errgroup"

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
	// transferred holds the digests of the records that the others have as the members were
	// in order, so that the last transfer is short. They are used by one goroutine.
	transferred map[uint64]bool
	order       retireOrder
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
	o, err := s.transferRecords(ctx)
	switch {
	case err != nil:
		return err
	case inOrder && len(o.earlier) > 0:
		return errors.Errorf("%s retires first", o.earlier[0].Name)
	case len(o.staying) <= s.settings.DisksToLose:
		return errors.Errorf("too few members would remain: %d, %d disks may be lost", len(o.staying), s.settings.DisksToLose)
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
	if _, err := s.transferRecords(ctx); err != nil {
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

// retireOrder is the other members as a member that retires counts on them: each counts only
// on those that stay longer, so that no two that leave count on each other.
type retireOrder struct {
	earlier []ledger.Member // those that retire, too, and come first, by name
	staying []ledger.Member // all others, of which some may retire later
}

func (o retireOrder) equal(other retireOrder) bool {
	return slices.Equal(o.earlier, other.earlier) && slices.Equal(o.staying, other.staying)
}

// readOrder returns the order of the other members, by the retirements that the platform's
// store has.
func (s *Storage) readOrder(ctx context.Context, others []ledger.Member) (retireOrder, error) {
	requested, _, err := s.store.Load().List(ctx, platform.KindRetirements)
	if err != nil {
		return retireOrder{}, err
	}
	var order retireOrder
	for _, m := range others {
		retires := slices.ContainsFunc(requested, func(o platform.Object) bool { return o.Name == m.Name })
		if retires && m.Name < s.settings.Node {
			order.earlier = append(order.earlier, m)
		} else {
			order.staying = append(order.staying, m)
		}
	}
	return order, nil
}

// transferRecords sends the records of this process to the members that need them once it has
// left: the usage records to those that enter the replica groups of their programs, and turns
// until each has enough replicas at the members that stay longer. It fails while a member is
// catching up, since the remaining ones must be a quorum for reads. Members that join or leave
// meanwhile copy or replace replicas themselves.
func (s *Storage) transferRecords(ctx context.Context) (order retireOrder, err error) {
	if err := s.refreshMembers(ctx); err != nil {
		return order, err
	}
	change := s.memberLists(nil)
	change.after = slices.DeleteFunc(change.after, func(m ledger.Member) bool { return m.Name == s.settings.Node })
	if err := s.checkComplete(ctx, change.after); err != nil {
		return order, err
	}
	if order, err = s.readOrder(ctx, change.after); err != nil {
		return order, err
	}
	if !order.equal(s.retirement.order) {
		s.retirement.order = order
		clear(s.retirement.transferred) // it counted on members that may have left, or leave first
	}
	usage, turns := s.untransferred(peerv1.Pull_USAGE), s.untransferred(peerv1.Pull_TURNS)
	for _, after := range [][]ledger.Member{change.after, order.staying} {
		recs := s.newReplicas(memberChange{change.before, after}, slices.Collect(maps.Values(usage)))
		if err := s.push(ctx, recs); err != nil {
			return order, err
		}
	}
	if err := s.replicateTurns(ctx, order.staying, turns); err != nil {
		return order, err
	}
	for _, recs := range []map[uint64]*peerv1.LedgerRecord{usage, turns} {
		for digest := range recs {
			s.retirement.transferred[digest] = true
		}
	}
	return order, nil
}

// untransferred returns the records of a part, by digest, that the others may lack.
func (s *Storage) untransferred(part peerv1.Pull_Part) map[uint64]*peerv1.LedgerRecord {
	recs := ledger.Digests(s.ledger.Records(part))
	maps.DeleteFunc(recs, func(digest uint64, _ *peerv1.LedgerRecord) bool { return s.retirement.transferred[digest] })
	return recs
}

// checkComplete returns an error unless all members have all their records.
func (s *Storage) checkComplete(ctx context.Context, members []ledger.Member) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentPushes)
	for _, m := range members {
		g.Go(func() error {
			_, err := s.request(ctx, m.Address, &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{}}})
			return errors.Wrapf(err, "ask %s whether it is complete", m.Name)
		})
	}
	return g.Wait()
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
