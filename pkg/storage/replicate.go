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

// replicateUsage sends the usage records of this process to the members that take the
// places of the removed ones in the replica groups of their programs. Each quorum of a new
// group then has every acknowledged record that a quorum of the old one had. This process
// must have copied the records of all other members.
func (s *Storage) replicateUsage(ctx context.Context, removed []platform.Node) error {
	return s.push(ctx, s.newReplicas(removed))
}

// push sends records to members.
func (s *Storage) push(ctx context.Context, list map[ledger.Member][]*peerv1.LedgerRecord) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentPushes)
	for m, recs := range list {
		g.Go(func() error {
			for batch := range slices.Chunk(recs, pushBatchSize) {
				_, err := s.request(ctx, m.Address, &peerv1.LedgerRequest{
					Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
				})
				if err != nil {
					return errors.Wrapf(err, "send records to %s", m.Name)
				}
			}
			return nil
		})
	}
	return g.Wait()
}

// newReplicas returns the usage records that each member has to get because it enters the
// replica group of their program once the removed members have left.
func (s *Storage) newReplicas(removed []platform.Node) map[ledger.Member][]*peerv1.LedgerRecord {
	before, after := s.memberLists(removed)
	entering := make(map[string][]ledger.Member) // by program
	list := make(map[ledger.Member][]*peerv1.LedgerRecord)
	for _, rec := range s.ledger.Records(peerv1.Pull_USAGE) {
		program := rec.GetUsage().GetProgram()
		members, ok := entering[program]
		if !ok {
			old := ledger.ReplicaGroup(before, program)
			members = slices.DeleteFunc(slices.Clone(ledger.ReplicaGroup(after, program)), func(m ledger.Member) bool {
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

// memberLists returns the members of the ledger before and after this process has taken
// the places of the removed ones.
func (s *Storage) memberLists(removed []platform.Node) (before, after []ledger.Member) {
	self := ledger.Member{Name: s.settings.Node, Address: s.settings.PeerAddress()}
	after = append(after, self)
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
	return before, after
}

// replicaGroup returns the replica group of a program, and whether this process receives
// changes of the members.
func (s *Storage) replicaGroup(program string) ([]ledger.Member, bool) {
	if !s.members.live() {
		return nil, false
	}
	current, _ := s.memberLists(nil)
	return ledger.ReplicaGroup(current, program), true
}

// replicateTurns sends turns to further members until each has as many replicas without
// the removed members as it had when it was acknowledged. This process must have copied the
// records of all other members.
func (s *Storage) replicateTurns(ctx context.Context, removed []platform.Node) error {
	_, after := s.memberLists(removed)
	turns := ledger.Digests(s.ledger.Records(peerv1.Pull_TURNS))
	lacking, err := s.compare(ctx, after, turns)
	if err != nil {
		return err
	}
	list := make(map[ledger.Member][]*peerv1.LedgerRecord)
	need := s.replicas(len(after))
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
