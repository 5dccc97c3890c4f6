package storage

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// removeUnreachable removes older members of the same failure domain that have
// been unreachable for memberReplaceDelay. A process that retires removes any member that
// it cannot transfer its records to.
func (j *joiner) removeUnreachable(ctx context.Context) {
	s := j.s
	own, registered := s.members.own()
	if !registered || !own.Active {
		return
	}
	retiring, delay := s.retirement.begun(), memberReplaceDelay
	if retiring {
		delay = joiningReplaceDelay
	}
	others, _ := s.members.others()
	for _, n := range others {
		older := n.Created != 0 && n.Created < own.Created
		if !retiring && (n.FailureDomain != s.settings.FailureDomain || !older) {
			continue
		}
		if err := s.ping(ctx, n.Address); err == nil {
			j.outages.recordSuccess(n.Name)
			delete(j.copied, n.Name)
			continue
		}
		if j.outages.recordFailure(n.Name, time.Now()) >= delay {
			j.replace(ctx, n)
		}
	}
}

// replace removes an unreachable member, and those whose records could not be copied either,
// after the records of which they had a copy have been copied to others. Otherwise these
// would have fewer replicas for good.
func (j *joiner) replace(ctx context.Context, n platform.Node) {
	skipped, ok := j.copyRecords(ctx, n)
	if !ok {
		return
	}
	j.takePlace(ctx, append(skipped, n), false)
	delete(j.copied, n.Name) // one that has not replied may have to be skipped
}

// copyRecords copies to this process the records of all members except the one to be
// removed. It reports whether that is done, and returns the unreachable members that it
// skipped, as long as each record was acknowledged by more members than are unreachable. Two
// processes would otherwise wait for the member that the other one is to remove. Each member
// is read only once, as in catchUp.
func (j *joiner) copyRecords(ctx context.Context, removed platform.Node) (skipped []platform.Node, ok bool) {
	s := j.s
	done := j.copied[removed.Name]
	if done == nil {
		done = make(map[string]bool)
		j.copied[removed.Name] = done
	}
	others, _ := s.members.others()
	ok = true
	for _, n := range others {
		if n.Name == removed.Name || done[n.Name] {
			continue
		}
		_, err := s.pullFrom(ctx, n.Address, peerv1.Pull_ALL)
		if err == nil {
			j.outages.recordSuccess(n.Name)
			done[n.Name] = true
			continue
		}
		outage := j.outages.recordFailure(n.Name, time.Now())
		s.logger.Info("records not received", "peer", n.Name, "address", n.Address, "part", peerv1.Pull_ALL, "out_of_reach", outage, "err", err)
		delay := memberReplaceDelay
		if n.FailureDomain == s.settings.FailureDomain {
			delay = joiningReplaceDelay
		}
		if outage < delay {
			ok = false
		}
		skipped = append(skipped, n)
	}
	if len(skipped)+1 >= s.replicas(len(others)+1) {
		ok = false
	}
	return skipped, ok
}

// replicas returns by how many members a record is acknowledged if the ledger has n.
func (s *Storage) replicas(n int) int {
	return max(ledger.Majority(min(n, ledger.ReplicationFactor)), s.settings.DisksToLose+1)
}

// ping checks that a member replies, by fetching a turn with an empty id.
func (s *Storage) ping(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := ledger.Call(ctx, s.transport, address, &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{}},
	})
	return err
}

// removeMember marks a member as removed from the ledger. It reports whether that
// succeeded. It fails if the member has registered again: it was reachable then, and would
// take its earlier registration for an outdated event.
func (s *Storage) removeMember(ctx context.Context, known platform.Node) bool {
	if err := s.markRemoved(ctx, known); err != nil {
		s.logger.Warn("failed to remove member from the ledger", "member", known.Name, "err", err)
		return false
	}
	s.logger.Info("member taken out", "member", known.Name, "address", known.Address, "replaced_by", s.settings.Node)
	return true
}

func (s *Storage) markRemoved(ctx context.Context, known platform.Node) error {
	store := s.store.Load()
	o, err := store.Get(ctx, platform.KindNodes, known.Name)
	if err != nil {
		return err
	}
	n, err := platform.DecodeNode(o)
	if err != nil {
		return err
	}
	if !n.Started.Equal(known.Started) {
		return errors.Errorf("registered again at %v, known since %v", n.Started, known.Started)
	}
	n.Removed = true
	return store.Update(ctx, platform.KindNodes, known.Name, o.Revision, n)
}

// outages records since when members have been unreachable.
type outages struct{ since map[string]time.Time }

func newOutages() *outages { return &outages{since: make(map[string]time.Time)} }

// recordFailure records a failed request to a member and returns the time since
// the first of its consecutive failures.
func (o *outages) recordFailure(name string, now time.Time) time.Duration {
	if o.since[name].IsZero() {
		o.since[name] = now
	}
	return now.Sub(o.since[name])
}

func (o *outages) recordSuccess(name string) { delete(o.since, name) }
