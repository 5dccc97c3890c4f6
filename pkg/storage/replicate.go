package storage

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxConcurrentPushes limits the members that records are sent to at the same time.
const maxConcurrentPushes = 8

// Limits of one write to another member: the number of records, and their size unless it is one
// record that is larger.
const (
	pushBatchSize  = 200
	pushBatchBytes = 4 << 20
)

// replicateUsage sends the usage records of this process to the members that enter the
// replica groups of their programs with a change of the members. Each quorum of a new group
// then has every acknowledged record that a quorum of the old one had, as far as this process
// has it: one that takes the places of others must have copied the records of all others.
func (s *Storage) replicateUsage(ctx context.Context, change memberChange) error {
	return s.push(ctx, s.newReplicas(change, s.ledger.Records(peerv1.Pull_USAGE)))
}

// memberChange is the members of the ledger before and after a change.
type memberChange struct{ before, after []ledger.Member }

// push sends records to members.
func (s *Storage) push(ctx context.Context, list map[ledger.Member][]*peerv1.LedgerRecord) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentPushes)
	for m, recs := range list {
		g.Go(func() error { return s.pushTo(ctx, m, recs) })
	}
	return g.Wait()
}

// pushTo sends records to one member.
func (s *Storage) pushTo(ctx context.Context, m ledger.Member, recs []*peerv1.LedgerRecord) error {
	for part := range slices.Chunk(recs, pushBatchSize) {
		for batch := range ledger.SplitRecords(part, pushBatchBytes) {
			_, err := s.request(ctx, m.Address, &peerv1.LedgerRequest{
				Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
			})
			if err != nil {
				return errors.Wrapf(err, "send records to %s", m.Name)
			}
		}
	}
	return nil
}

// newReplicas returns the usage records that each member has to get because it enters the
// replica group of their program with a change of the members.
func (s *Storage) newReplicas(change memberChange, recs []*peerv1.LedgerRecord) map[ledger.Member][]*peerv1.LedgerRecord {
	entering := make(map[string][]ledger.Member) // by program
	list := make(map[ledger.Member][]*peerv1.LedgerRecord)
	for _, rec := range recs {
		program := rec.GetUsage().GetProgram()
		members, ok := entering[program]
		if !ok {
			old := ledger.ReplicaGroup(change.before, program)
			members = slices.DeleteFunc(slices.Clone(ledger.ReplicaGroup(change.after, program)), func(m ledger.Member) bool {
				return m.Name == s.settings.Node || slices.Contains(old, m)
			})
			entering[program] = members
		}
		for _, m := range members {
			list[m] = append(list[m], rec)
		}
	}
	return list
}

// self returns this process as a member.
func (s *Storage) self() ledger.Member {
	return ledger.Member{Name: s.settings.Node, Address: s.settings.PeerAddress()}
}

// memberLists returns the members of the ledger before and after this process has taken
// the places of the removed ones.
func (s *Storage) memberLists(removed []platform.Node) memberChange {
	self := s.self()
	var before []ledger.Member
	after := []ledger.Member{self}
	if own, registered := s.members.own(); registered && own.Active && !own.Removed {
		before = append(before, self)
	}
	others, _ := s.members.others()
	for _, n := range others {
		m := ledger.Member{Name: n.Name, Address: n.Address}
		before = append(before, m)
		if !slices.ContainsFunc(removed, func(r platform.Node) bool { return r.Name == n.Name }) {
			after = append(after, m)
		}
	}
	return memberChange{before, after}
}

// replicaGroup returns the replica group of a program, and whether this process receives
// changes of the members.
func (s *Storage) replicaGroup(program string) ([]ledger.Member, bool) {
	if !s.members.live() {
		return nil, false
	}
	return ledger.ReplicaGroup(s.memberLists(nil).before, program), true
}

// replicateTurns sends turns, by digest, to further members until each has as many replicas
// among the given members as it had when it was acknowledged.
func (s *Storage) replicateTurns(ctx context.Context, after []ledger.Member, turns map[uint64]*peerv1.LedgerRecord) error {
	lacking, err := s.compare(ctx, after, turns)
	if err != nil {
		return err
	}
	list := make(map[ledger.Member][]*peerv1.LedgerRecord)
	need := min(s.replicas(len(after)), len(after))
	for digest, without := range lacking {
		replicas := len(after) - len(without)
		for _, m := range ledger.ReplicaGroup(without, turns[digest].GetTurn().GetId()) {
			if replicas >= need {
				break
			}
			list[m] = append(list[m], turns[digest])
			replicas++
		}
	}
	return s.push(ctx, list)
}

// compare returns the members that lack a record, by the digest of the record.
func (s *Storage) compare(ctx context.Context, members []ledger.Member, recs map[uint64]*peerv1.LedgerRecord) (map[uint64][]ledger.Member, error) {
	digests := slices.Collect(maps.Keys(recs))
	var mu sync.Mutex
	lacking := make(map[uint64][]ledger.Member)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentPushes)
	for _, m := range members {
		if m.Name == s.settings.Node {
			continue
		}
		g.Go(func() error {
			reply, err := s.requestAny(ctx, m.Address, &peerv1.LedgerRequest{
				Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{Digests: digests}},
			})
			if err != nil {
				return errors.Wrapf(err, "compare records with %s", m.Name)
			}
			// What a member that catches up has already is a replica. Two that catch up at
			// once would otherwise wait for each other.
			if st := reply.GetStatus(); st != peerv1.LedgerReply_OK && st != peerv1.LedgerReply_CATCHING_UP {
				return errors.Errorf("compare records with %s: status %s", m.Name, st)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, d := range reply.GetMissing() {
				lacking[d] = append(lacking[d], m)
			}
			return nil
		})
	}
	return lacking, g.Wait()
}
