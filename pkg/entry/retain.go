package entry

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// maxRetention is the size of the retention set: a store outage together with
// the loss of the owner and of one member loses nothing.
const maxRetention = 2

// retentionMember is the connection to one member of the retention set.
type retentionMember struct{ s *transport.Session }

// Retain implements journal.Retainer.
func (m retentionMember) Retain(ctx context.Context, r *peerv1.Retain) (*peerv1.RetainResult, error) {
	answer, err := roundTrip(ctx, m.s, &peerv1.Envelope{Body: &peerv1.Envelope_Retain{Retain: r}})
	if err != nil {
		return nil, err
	}
	if answer.GetRetainResult() == nil {
		return nil, errors.Errorf("retain at %s: the answer has no result", m.s.Peer().GetInstance())
	}
	return answer.GetRetainResult(), nil
}

// retainer returns the lookup of members for the journal writer. A member that
// was replaced by a newer incarnation holds nothing and is not asked.
func (n *Entry) retainer() func(core.Incarnation) journal.Retainer {
	return func(member core.Incarnation) journal.Retainer {
		s := n.peers.entries()[ownership.Instance(member)]
		if s == nil || s.Peer().GetIncarnation() != string(member) {
			return nil
		}
		return retentionMember{s}
	}
}

// followRetention keeps the retention set filled with live entries, the first
// from another failure domain if there is one.
func (n *Entry) followRetention(ctx context.Context) {
	var current []core.Incarnation
	every(ctx, listInterval, func() {
		next := n.owner.retentionSet()
		if slices.Equal(current, next) {
			return
		}
		// The set changes only by a durable journal record: a successor must
		// find every entry that may hold a batch.
		setCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		defer cancel()
		if err := n.journal.SetRetention(setCtx, next); err != nil {
			n.log.Debug("retention set not changed", "error", err)
			return
		}
		current = next
		n.log.Info("retention set changed", "members", len(next))
	})
}

// retentionSet chooses the members: live entries of the own region, one of
// another failure domain first. Entries of another region serve only where the
// region has no other entry, since their link is slow and paid by volume.
func (o *ownerRuntime) retentionSet() []core.Incarnation {
	o.mu.Lock()
	defer o.mu.Unlock()
	self := o.n.cfg
	var otherDomain, sameDomain, otherRegion []ownership.Peer
	for _, p := range o.mgr.LivePeers() {
		switch {
		case p.Leaving:
		case p.Region != self.Region:
			otherRegion = append(otherRegion, p)
		case p.FailureDomain != self.FailureDomain:
			otherDomain = append(otherDomain, p)
		default:
			sameDomain = append(sameDomain, p)
		}
	}
	candidates := append(otherDomain, sameDomain...)
	if len(otherDomain) == 0 {
		candidates = append(append([]ownership.Peer{}, otherRegion...), sameDomain...)
	}
	var set []core.Incarnation
	for _, p := range candidates[:min(len(candidates), maxRetention)] {
		set = append(set, p.Incarnation)
	}
	return set
}

// serveRetain keeps a batch of another owner or appends it on its behalf.
func (n *Entry) serveRetain(ctx context.Context, st *transport.Stream, m *peerv1.Retain) {
	result, err := n.keeper.Retain(ctx, m)
	if err != nil {
		result = &peerv1.RetainResult{Error: err.Error()}
	}
	reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_RetainResult{RetainResult: result}})
}

// serveFence refuses further batches of a lost owner and returns those held.
func (n *Entry) serveFence(st *transport.Stream, m *peerv1.Fence) {
	lost := core.Incarnation(m.GetIncarnation())
	result, err := n.keeper.Fence(lost)
	n.owner.markFenced(lost)
	if err != nil {
		n.log.Error("owner not fenced", "lost", m.GetIncarnation(), "error", err)
		return // the successor takes a closed stream as unreachable
	}
	reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_FenceResult{FenceResult: result}})
}

// collectRetained fences every member of the lost owner's retention set and
// returns the batches they hold. A member that cannot be reached and that the
// instance list does not report gone may still acknowledge batches, so it
// delays the takeover.
func (o *ownerRuntime) collectRetained(ctx context.Context, lost core.Incarnation, members []core.Incarnation) ([]*peerv1.Retain, error) {
	var out []*peerv1.Retain
	for _, m := range members {
		held, err := o.fenceMember(ctx, m, lost)
		if err != nil {
			if o.goneInList(ownership.Instance(m)) {
				o.n.log.Warn("member of the retention set is gone", "lost", lost, "member", m)
				continue
			}
			return nil, errors.Wrapf(err, "fence %s at %s", lost, m)
		}
		out = append(out, held...)
	}
	return out, nil
}

// fenceMember asks one member. A newer incarnation of the member's instance is
// asked too, since it may have loaded batches from its data folder.
func (o *ownerRuntime) fenceMember(ctx context.Context, member, lost core.Incarnation) ([]*peerv1.Retain, error) {
	if ownership.Instance(member) == o.n.cfg.Instance {
		result, err := o.n.keeper.Fence(lost)
		o.markFenced(lost)
		return result.GetRetained(), err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	session, err := o.n.peers.entry(ctx, ownership.Instance(member))
	if err != nil {
		return nil, err
	}
	answer, err := roundTrip(ctx, session, &peerv1.Envelope{Body: &peerv1.Envelope_Fence{Fence: &peerv1.Fence{Incarnation: string(lost)}}})
	if err != nil {
		return nil, err
	}
	if answer.GetFenceResult() == nil {
		return nil, errors.New("the answer has no result")
	}
	return answer.GetFenceResult().GetRetained(), nil
}

func (o *ownerRuntime) goneInList(instance string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mgr.Delisted(instance)
}
