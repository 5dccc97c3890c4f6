package storage

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// joinInterval is the delay between the steps of joining.
	joinInterval = 200 * time.Millisecond
	// joiningReplaceDelay is how long a member must be unreachable before a process that
	// is joining or retiring goes on without it and takes it out of the ledger.
	joiningReplaceDelay = 2500 * time.Millisecond
	// memberReplaceDelay is the same for members. It is longer than a restart and most
	// network partitions.
	memberReplaceDelay = 7 * time.Second
	// connectTimeout limits the opening of a connection to a member. It is short, so
	// that the outage of a member is established within joiningReplaceDelay and one
	// more attempt.
	connectTimeout = 700 * time.Millisecond
	// pullTimeout limits the wait for each partial reply to a Pull.
	pullTimeout = 1500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// settleDelay is the time between the registration of a new member and its second
	// copy of the usage records. Entries learn of the registration within 2 s, or
	// replace the feed that did not tell them.
	settleDelay = 3 * time.Second
	// settleRetryDelay is the time until the next copy if too many members were unreachable.
	settleRetryDelay = time.Second
	// unfinishedJoin is the age of its registration below which a process that starts
	// without a complete log may have ended while it joined. It exceeds settleDelay by the
	// time of a restart.
	unfinishedJoin = 2 * settleDelay
	// pingInterval is how often older members of the failure domain are pinged.
	pingInterval = time.Second
)

// joiner makes this process a member of the ledger and keeps it one. It is used by one
// goroutine.
type joiner struct {
	s        *Storage
	outages  *outages
	progress *pullProgress
	// copied names the members whose records were copied before an unreachable one is
	// removed, by the name of the latter.
	copied map[string]map[string]bool
	// replacing is set from the moment at which this process is found not to be a member
	// until it has caught up. Its registration may be stored meanwhile, also if the answer
	// to it was lost, and the members that it replaces are then still to be removed.
	replacing bool
	// begun is set once catchUp was called.
	begun bool
	// founding is set until this process has become a member of a ledger without records, at
	// the first start of the deployment.
	founding bool
	// settleAt is when a new member copies the usage records again; zero: it is not new.
	settleAt time.Time
}

// joinLedger makes this process a member of the ledger and keeps it one until the
// context is done.
func (s *Storage) joinLedger(ctx context.Context) {
	j := &joiner{
		s: s, outages: newOutages(), progress: newPullProgress(), copied: make(map[string]map[string]bool),
		founding: s.settings.FirstStart && s.ledger.Status() == peerv1.LedgerReply_CATCHING_UP,
	}
	lastPing := time.Now()
	for ctx.Err() == nil {
		j.step(ctx)
		if time.Since(lastPing) >= pingInterval && s.ledger.Status() == peerv1.LedgerReply_OK {
			lastPing = time.Now()
			j.removeUnreachable(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// step performs the next step that this process needs to become or remain an active
// member.
func (j *joiner) step(ctx context.Context) {
	s := j.s
	if _, known := s.members.others(); !known {
		return
	}
	if stale, total := s.ledger.CheckSuspension(); stale {
		s.refreshMembership(ctx, total)
		return
	}
	own, registered := s.members.own()
	status := s.ledger.Status()
	switch {
	case status == peerv1.LedgerReply_LEAVING:
	case registered && own.Removed && s.retirement.begun():
		s.ledger.SetLeaving(true) // the answer to its removal may have been lost
	case status == peerv1.LedgerReply_OK && registered && own.Removed:
		s.logger.Warn("taken out of the ledger, catching up", "node", s.settings.Node)
		s.ledger.SetRemoved()
		j.progress.clear()
	case status == peerv1.LedgerReply_CATCHING_UP && !j.settleAt.IsZero():
		j.settle(ctx)
	case status == peerv1.LedgerReply_CATCHING_UP && j.founding:
		j.found(ctx, own, registered)
	case status == peerv1.LedgerReply_CATCHING_UP:
		j.catchUp(ctx, own, registered)
	case !registered || !own.Active || own.Address != s.settings.PeerAddress():
		s.register(ctx)
	}
}

// found makes this process a member at the first start of the deployment. Entries learn of
// the members one by one and reserve at a quorum of those that they know. Any two quorums of
// the first 2n+1 members share one, if n may be lost, so these count for reads at once. Later
// ones settle first.
func (j *joiner) found(ctx context.Context, own platform.Node, registered bool) {
	s := j.s
	if (!registered || !own.Active || own.Address != s.settings.PeerAddress()) && !s.join(ctx) {
		return
	}
	earlier, err := s.countEarlier(ctx)
	if err != nil {
		s.logger.Info("order of the first members not known", "err", err)
		return
	}
	j.founding = false
	if earlier <= 2*s.settings.DisksToLose && s.markCaughtUp(ctx) {
		return
	}
	j.settleAt = time.Now().Add(settleDelay)
}

// countEarlier returns how many members registered before this process, by the platform's
// store.
func (s *Storage) countEarlier(ctx context.Context) (int, error) {
	objects, _, err := s.store.Load().List(ctx, platform.KindNodes)
	if err != nil {
		return 0, err
	}
	own := slices.IndexFunc(objects, func(o platform.Object) bool { return o.Name == s.settings.Node })
	if own < 0 {
		return 0, errors.New("own registration is not listed")
	}
	earlier := 0
	for _, o := range objects {
		n, err := platform.DecodeNode(o)
		// One that can't be read may be a member. The order may not be known.
		member := err != nil || n.Role == platform.RoleStorage && n.Active
		if member && o.Name != s.settings.Node && o.Created <= objects[own].Created {
			earlier++
		}
	}
	return earlier, nil
}

// refreshMembership reads the registrations after a suspension of the machine,
// during which other processes may have removed this one from the ledger.
func (s *Storage) refreshMembership(ctx context.Context, total time.Duration) {
	nodes, _, err := s.store.Load().List(ctx, platform.KindNodes)
	if err != nil {
		nodes, err = s.fetchNodesFromEntry(ctx)
	}
	if err != nil {
		s.logger.Info("failed to read the members after a suspension", "err", err)
		return
	}
	for _, o := range nodes {
		s.members.put(o)
	}
	if own, registered := s.members.own(); registered && own.Removed {
		s.ledger.SetRemoved()
	}
	s.ledger.ConfirmMembership(total)
	s.logger.Warn("machine was suspended, members read anew", "suspended", total)
}

// join registers this process as a new member, from which on its acknowledgements count. It
// reports whether that succeeded.
func (s *Storage) join(ctx context.Context) bool {
	if err := s.ledger.MarkJoined(ctx); err != nil {
		s.logger.Error("failed to mark the ledger of a new member", "err", err)
		return false
	}
	return s.register(ctx)
}

// register registers this process as an active member of the ledger. It reports whether
// that succeeded.
func (s *Storage) register(ctx context.Context) bool {
	n := platform.Node{
		Role: platform.RoleStorage, Address: s.settings.PeerAddress(), FailureDomain: s.settings.FailureDomain,
		Active: true, Started: time.Now().Round(0),
	}
	if err := platform.Register(ctx, s.store.Load(), s.settings.Node, n); err != nil {
		s.logger.Debug("registration failed", "err", err)
		return false
	}
	s.logger.Info("registered", "node", s.settings.Node, "address", n.Address)
	s.members.setOwn(n)
	s.ledger.SetMember()
	return true
}

// catchUp copies the records of all other members, usage records first, since no
// turn can start without them. It goes on without members that are unreachable, as far as
// pullFromOthers allows, and takes them out of the ledger: they may lack what is written
// meanwhile. Each member is read only once, since later writes reach a majority without
// this process.
func (j *joiner) catchUp(ctx context.Context, own platform.Node, registered bool) {
	s := j.s
	if !j.begun {
		j.begun = true
		age := time.Since(own.Started)
		j.replacing = registered && age >= 0 && age < unfinishedJoin
	}
	j.replacing = j.replacing || !registered || !own.Active || own.Removed
	replacing := j.replacing
	if s.ledger.UsageStatus() != peerv1.LedgerReply_OK {
		unreachable, complete := j.pullFromOthers(ctx, peerv1.Pull_USAGE, replacing, j.progress.usage)
		if !complete {
			return
		}
		if !replacing && len(unreachable) == 0 {
			s.ledger.SetUsageComplete()
			s.logger.Info("budgets caught up")
		}
	}
	unreachable, complete := j.pullFromOthers(ctx, peerv1.Pull_TURNS, replacing, j.progress.turns)
	if !complete {
		return
	}
	if (replacing || len(unreachable) > 0) && !j.takePlace(ctx, unreachable, replacing) {
		// A member may have become unreachable since it was read.
		j.progress.clear()
		return
	}
	if j.settleAt.IsZero() && s.markCaughtUp(ctx) {
		j.replacing = false
	}
}

// takePlace takes unreachable members out of the ledger once others have the replicas that
// are lost with them. A process that is joining registers before. It must have copied all
// records. It reports whether that succeeded.
func (j *joiner) takePlace(ctx context.Context, unreachable []platform.Node, joining bool) bool {
	s := j.s
	if err := s.restoreReplicas(ctx, unreachable, joining); err != nil {
		s.logger.Warn("failed to restore the replicas of unreachable members", "err", err)
		return false
	}
	mustSettle := joining && s.mustSettle(unreachable)
	if joining && !s.join(ctx) {
		return false
	}
	for _, n := range unreachable {
		if !s.removeMember(ctx, n) {
			return false
		}
	}
	if mustSettle {
		j.settleAt = time.Now().Add(settleDelay)
	}
	return true
}

// restoreReplicas copies records to the members that get them in place of the removed ones.
// One that is joining is itself the replica that takes the place of a removed one.
func (s *Storage) restoreReplicas(ctx context.Context, removed []platform.Node, joining bool) error {
	change := s.memberLists(removed)
	if err := s.replicateUsage(ctx, change); err != nil {
		return err
	}
	if joining && len(removed) <= 1 {
		return nil
	}
	return s.replicateTurns(ctx, change.after, ledger.Digests(s.ledger.Records(peerv1.Pull_TURNS)))
}

// minSettleMembers is the number of other members from which on two processes that join at
// once can form a quorum with one of them. With fewer, any two quorums share a member.
const minSettleMembers = 3

// mustSettle reports whether a quorum of a program's replica group may share no member
// with one of the group before this process joined in place of some members. Others may
// join at the same time. In a small ledger a process that takes the place of one that is
// lost, in its failure domain, changes no quorum of the remaining members.
func (s *Storage) mustSettle(replaced []platform.Node) bool {
	others, _ := s.members.others()
	successor := len(replaced) == 1 && replaced[0].FailureDomain == s.settings.FailureDomain
	return len(others) >= ledger.ReplicationFactor || !successor && len(others) >= minSettleMembers
}

// settle copies the usage records once more, after all entries have had the time to learn
// of this member, and then marks the log as complete. Until then an entry with the list of
// before may write to a quorum without this process, and reads must not count on it.
// A record on such a quorum is on more of the other members of its group than may be lost, so
// as many as may be lost are skipped if they are unreachable now.
func (j *joiner) settle(ctx context.Context) {
	if time.Now().Before(j.settleAt) {
		return
	}
	s := j.s
	others, _ := s.members.others()
	skipped := 0
	for _, n := range others {
		if _, err := s.pullFrom(ctx, n.Address, peerv1.Pull_USAGE); err != nil {
			s.logger.Info("records not received", "peer", n.Name, "address", n.Address, "part", peerv1.Pull_USAGE, "err", err)
			skipped++
		}
	}
	if skipped > s.settings.DisksToLose {
		j.settleAt = time.Now().Add(settleRetryDelay)
		return
	}
	if s.markCaughtUp(ctx) {
		j.settleAt, j.replacing = time.Time{}, false
	}
}

// markCaughtUp marks the log as complete and reports whether that succeeded.
func (s *Storage) markCaughtUp(ctx context.Context) bool {
	if err := s.ledger.MarkComplete(ctx); err != nil {
		s.logger.Error("failed to mark the ledger as complete", "err", err)
		return false
	}
	s.logger.Info("caught up", "records", s.ledger.Count())
	return true
}
