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

// maxRetentionMembers is the maximum size of the retention set. With two members, no
// record is lost if the owner and one member fail during an outage of the store.
const maxRetentionMembers = 2

// retentionMember is the connection to a member of the retention set, that is an
// entry that keeps batches of this entry's journal while the store is down.
type retentionMember struct{ session *transport.Session }

// Retain implements journal.Retainer.
func (m retentionMember) Retain(ctx context.Context, r *peerv1.Retain) (*peerv1.RetainResult, error) {
	response, err := roundTrip(ctx, m.session, &peerv1.Envelope{Body: &peerv1.Envelope_Retain{Retain: r}})
	if err != nil {
		return nil, err
	}
	if response.GetRetainResult() == nil {
		return nil, errors.Errorf("retain batch at %s: the response contains no result", m.session.Peer().GetInstance())
	}
	return response.GetRetainResult(), nil
}

// retainerLookup returns the function by which the journal writer finds the
// connection to a member. It returns nil for a member that has been replaced by a
// newer incarnation, because that holds none of the member's batches.
func (n *Entry) retainerLookup() func(core.Incarnation) journal.Retainer {
	return func(member core.Incarnation) journal.Retainer {
		s := n.peers.entrySessions()[ownership.Instance(member)]
		if s == nil || s.Peer().GetIncarnation() != string(member) {
			return nil
		}
		return retentionMember{s}
	}
}

// updateRetentionSet changes the retention set at intervals to the entries that
// retentionSet chooses.
func (n *Entry) updateRetentionSet(ctx context.Context) {
	var current []core.Incarnation
	runEvery(ctx, instanceListInterval, func() {
		next := n.owner.retentionSet()
		if slices.Equal(current, next) {
			return
		}
		// The change takes effect with a durable journal record, so that the
		// entry that takes over finds every member that may hold a batch.
		setCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		defer cancel()
		if err := n.journal.SetRetention(setCtx, next); err != nil {
			n.log.Debug("failed to change retention set", "error", err)
			return
		}
		current = next
		n.log.Info("retention set changed", "members", len(next))
	})
}

// retentionSet chooses the members among the live entries. Entries of the same
// region in another failure domain come first, then those in the same failure
// domain. Entries of other regions come first if the region has no entry in another
// failure domain, and are not used otherwise, because the link between regions is
// slow and charged by volume.
func (o *ownershipRuntime) retentionSet() []core.Incarnation {
	o.mu.Lock()
	defer o.mu.Unlock()
	self := o.n.cfg
	var otherDomain, sameDomain, otherRegion []ownership.Peer
	for _, p := range o.manager.LivePeers() {
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
	for _, p := range candidates[:min(len(candidates), maxRetentionMembers)] {
		set = append(set, p.Incarnation)
	}
	return set
}

// serveRetain keeps a batch of another owner, or appends it to that owner's journal
// in the store.
func (n *Entry) serveRetain(ctx context.Context, st *transport.Stream, m *peerv1.Retain) {
	result, err := n.keeper.Retain(ctx, m)
	if err != nil {
		result = &peerv1.RetainResult{Error: err.Error()}
	}
	sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_RetainResult{RetainResult: result}})
}

// serveFence stops accepting batches of a lost owner and returns the batches held.
func (n *Entry) serveFence(st *transport.Stream, m *peerv1.Fence) {
	lost := core.Incarnation(m.GetIncarnation())
	result, err := n.keeper.Fence(lost)
	n.owner.markFenced(lost)
	if err != nil {
		n.log.Error("failed to fence lost owner", "lost", m.GetIncarnation(), "error", err)
		return // the requesting entry treats a closed stream as an unreachable member
	}
	sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_FenceResult{FenceResult: result}})
}

// fenceMembers fences a lost owner at all members of its retention set and returns
// the batches that they hold. It fails if a member cannot be reached, unless the
// instance list shows that the member is gone: an unreachable member may still
// acknowledge batches of the lost owner.
func (o *ownershipRuntime) fenceMembers(ctx context.Context, lost core.Incarnation, members []core.Incarnation) ([]*peerv1.Retain, error) {
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

// fenceMember fences a lost owner at one member. If the member has been replaced by
// a newer incarnation, that one is fenced, because it may have loaded batches from
// its data folder.
func (o *ownershipRuntime) fenceMember(ctx context.Context, member, lost core.Incarnation) ([]*peerv1.Retain, error) {
	if ownership.Instance(member) == o.n.cfg.Instance {
		result, err := o.n.keeper.Fence(lost)
		o.markFenced(lost)
		return result.GetRetained(), err
	}
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	session, err := o.n.peers.entrySession(ctx, ownership.Instance(member))
	if err != nil {
		return nil, err
	}
	response, err := roundTrip(ctx, session, &peerv1.Envelope{Body: &peerv1.Envelope_Fence{Fence: &peerv1.Fence{Incarnation: string(lost)}}})
	if err != nil {
		return nil, err
	}
	if response.GetFenceResult() == nil {
		return nil, errors.New("the response contains no result")
	}
	return response.GetFenceResult().GetRetained(), nil
}

func (o *ownershipRuntime) goneInList(instance string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manager.Delisted(instance)
}
