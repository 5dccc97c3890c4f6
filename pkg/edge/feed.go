package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// maxFeedChanges limits the change log of the feeds. A feed that is further
	// behind gets the complete state again.
	maxFeedChanges = 8192
	// feedBatchDelay collects changes that arrive together into one message.
	feedBatchDelay = 20 * time.Millisecond
	// relayInterval is how often an edge that follows another one sends to its own
	// followers even if it receives nothing.
	relayInterval = peerstate.FeedInterval * 3 / 2
)

// changedObject identifies an object that changed.
type changedObject struct{ kind, name string }

// feedState is the state of the feeds that an edge sends and of the one that it
// follows. The view's lock guards it.
type feedState struct {
	first        uint64 // sequence number of the oldest change in log
	log          []changedObject
	changed      chan struct{} // closed at the next change
	storeWatches int           // running watches of the store: 0 or 1
	lastChecked  func() time.Time
	allListed    bool // all kinds were listed since the watches started
	// graceUntil is the end of the period in which missing registrations are kept
	// because they may come back.
	graceUntil time.Time
	// packed is the content of the last message, which other feeds may need too.
	packed packedContent
	// followers are the processes that receive a feed from this edge.
	followers map[*transport.Stream]follower

	sender        string // the edge that is followed; empty: none
	senderAge     time.Duration
	lastMessageAt time.Time // when the sender's last message arrived
	hops          int       // edges between this one and the store
}

// signalChange wakes up all feeds. The caller holds the view's lock.
func (f *feedState) signalChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// freshness reports whether this edge receives all changes and may send feeds, the
// age of its state, and the number of edges between it and the store. The caller
// holds the view's lock.
func (f *feedState) freshness() (ok bool, age time.Duration, hops int) {
	switch {
	case f.storeWatches > 0 && f.allListed:
		return true, time.Since(f.lastChecked()), 0
	case f.sender != "" && f.hops <= maxHops:
		return true, f.senderAge + time.Since(f.lastMessageAt), f.hops
	}
	return false, 0, 0
}

// packedContent is the compressed content of a message: the changes between two
// sequence numbers, or the complete state at the second one.
type packedContent struct {
	complete bool
	from, to uint64
	data     []byte
}

// recordChange adds a change to the log of the feeds. The caller holds the view's
// lock.
func (v *view) recordChange(kind, name string) {
	f := &v.feed
	f.log = append(f.log, changedObject{kind, name})
	if len(f.log) > maxFeedChanges {
		drop := len(f.log) / 2
		f.first += uint64(drop)
		f.log = append([]changedObject(nil), f.log[drop:]...)
	}
	f.signalChange()
}

// serveFeed sends the complete state and then all changes, until this edge no longer
// receives changes itself. A request that insists is admitted even if the limits are reached.
func (v *view) serveFeed(ctx context.Context, session *transport.Session, st *transport.Stream, req *peerv1.FeedRequest) error {
	send := func(u *peerv1.FeedUpdate) error {
		if err := st.SetDeadline(time.Now().Add(peerstate.FeedTimeout)); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		return st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_FeedUpdate{FeedUpdate: u}})
	}
	id := session.Identity()
	candidate := follower{address: id.Address, failureDomain: id.FailureDomain, region: id.Region}
	if ok, alternatives := v.admitFollower(st, candidate, id.Role, req.GetInsist()); !ok {
		return send(&peerv1.FeedUpdate{Full: true, FollowInstead: alternatives})
	}
	defer v.removeFollower(st)
	cursor, complete := uint64(0), true
	pings := receivePings(st, req.GetPing())
	for {
		// Before the content is read, which then holds all that the check has found.
		ping, ago := pings.newest(), v.encodedAge()
		u, next, changed, err := v.buildUpdate(cursor, complete)
		if err != nil {
			return err
		}
		if ping != 0 {
			u.Echo, u.CheckedAgo = ping, ago
		}
		if err := send(u); err != nil {
			return err
		}
		if !u.GetWatching() {
			return nil
		}
		cursor, complete = next, false
		interval := peerstate.FeedInterval
		if u.GetHops() > 0 {
			interval = relayInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-changed:
			timer.Reset(feedBatchDelay)
			<-timer.C
		case <-pings.arrived:
		case <-pings.ended:
			return nil
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// admitFollower adds a follower, or returns which processes it should follow instead.
func (v *view) admitFollower(st *transport.Stream, candidate follower, role string, insist bool) (ok bool, alternatives []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	_, _, hops := f.freshness()
	candidate.relays = role == string(platform.RoleEdge) && hops < maxHops
	ok, alternatives = admit(v.e.settings.Region, slices.Collect(maps.Values(f.followers)), candidate)
	if !ok && !insist {
		return false, alternatives
	}
	f.followers[st] = candidate
	return true, nil
}

func (v *view) removeFollower(st *transport.Stream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.feed.followers, st)
}

// buildUpdate returns the changes since a cursor, or the complete state, with the
// next cursor and a channel that is closed at the next change.
func (v *view) buildUpdate(cursor uint64, complete bool) (*peerv1.FeedUpdate, uint64, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	next := f.first + uint64(len(f.log))
	ok, age, hops := f.freshness()
	if !ok || v.e.draining.Load() {
		return &peerv1.FeedUpdate{}, next, f.changed, nil
	}
	u := &peerv1.FeedUpdate{
		Watching: true, AgeMs: uint64(age.Milliseconds()), Hops: uint32(hops), Complete: complete || cursor < f.first,
		GraceMs: uint64(max(time.Until(f.graceUntil), 0).Milliseconds()),
	}
	if !u.Complete && cursor == next {
		return u, next, f.changed, nil
	}
	var err error
	u.Content, err = v.buildContent(u.Complete, cursor, next)
	return u, next, f.changed, err
}

// buildContent returns the content of a message. It caches the last one, since many
// feeds need the same content at the same time. The caller holds the view's lock.
func (v *view) buildContent(complete bool, from, to uint64) ([]byte, error) {
	f := &v.feed
	if complete {
		from = 0
	}
	if p := f.packed; p.data != nil && p.complete == complete && p.from == from && p.to == to {
		return p.data, nil
	}
	content := &peerv1.FeedContent{}
	if complete {
		content.Configuration = v.config
		content.Upstreams, content.Nodes = peerstate.StoredSpecs(v.upstreams), peerstate.StoredObjects(v.nodeSpecs)
		content.Retirements = &peerv1.Retirements{Instances: v.retirements}
	} else {
		v.addChanges(content, f.log[from-f.first:])
	}
	data, err := peerstate.EncodeContent(content)
	if err == nil {
		f.packed = packedContent{complete: complete, from: from, to: to, data: data}
	}
	return data, err
}

// addChanges adds the current state of objects that changed.
func (v *view) addChanges(content *peerv1.FeedContent, log []changedObject) {
	seen := make(map[changedObject]bool, len(log))
	for _, c := range log {
		if seen[c] {
			continue
		}
		seen[c] = true
		switch c.kind {
		case platform.KindConfig:
			content.Configuration = v.config
		case platform.KindUpstreams:
			if spec, ok := v.upstreams[c.name]; ok {
				content.Upstreams = append(content.Upstreams, &peerv1.StoredObject{Name: c.name, Spec: spec})
				continue
			}
			content.UpstreamsGone = append(content.UpstreamsGone, c.name)
		case platform.KindNodes:
			if o, ok := v.nodeSpecs[c.name]; ok {
				content.Nodes = append(content.Nodes, peerstate.StoredObject(o))
				continue
			}
			content.NodesGone = append(content.NodesGone, c.name)
		case platform.KindRetirements:
			content.Retirements = &peerv1.Retirements{Instances: v.retirements}
		}
	}
}

// handleUpdate applies a message of the edge that is followed.
func (v *view) handleUpdate(u *peerstate.Update, sender string) {
	if u.HasContent {
		v.applyUpdate(u, "peer "+sender)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	f.senderAge, f.lastMessageAt, f.hops = u.Age, time.Now(), u.Hops+1
	if u.Complete {
		f.sender = sender
		v.setLostLocked(false)
		v.endRefreshLocked()
	}
	if len(f.followers) > 0 {
		f.signalChange() // followers learn at once that this edge is up to date
	}
}

// applyUpdate applies the content of a feed message.
func (v *view) applyUpdate(u *peerstate.Update, source string) {
	if u.Configuration != nil {
		v.applyConfig(u.Configuration, source)
	}
	if u.Complete {
		v.replaceUpstreams(objects(u.Upstreams), u.Grace)
	} else {
		v.mu.Lock()
		v.keepMissing(time.Now(), u.Grace)
		v.mu.Unlock()
		upstreamHandler{v}.Changed(u.Upstreams)
	}
	nodeHandler{v}.Changed(u.Nodes)
	if u.Retirements != nil {
		v.setRetirements(u.Retirements)
	}
	if u.Complete {
		v.markNodesLoaded()
	}
}

func objects(list []platform.Change) []platform.Object {
	out := make([]platform.Object, 0, len(list))
	for _, c := range list {
		out = append(out, c.Object)
	}
	return out
}

// checker is the part of storewatch.Group that a feed needs.
type checker interface{ LastVerified() time.Time }

// watchStarted records that watches of the store run. The returned function records
// their end.
func (v *view) watchStarted(c checker) (stop func()) {
	v.mu.Lock()
	v.feed.storeWatches++
	v.feed.allListed = false
	v.feed.lastChecked = c.LastVerified
	v.mu.Unlock()
	return sync.OnceFunc(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.feed.storeWatches--
		v.feed.allListed = false
	})
}
