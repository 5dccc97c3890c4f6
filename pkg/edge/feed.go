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
	// feedLog is the number of changes kept for feeds that are behind; a feed that
	// is further behind starts anew.
	feedLog = 8192
	// feedGather lets changes that come together go out in one message.
	feedGather = 20 * time.Millisecond
	// relayInterval is how often an entry that follows another one shows its own
	// receivers that it lives, if it hears nothing itself.
	relayInterval = peerstate.FeedInterval * 3 / 2
)

// changedObject names an object that changed.
type changedObject struct{ kind, name string }

// feedState is what an entry keeps for the feeds that it sends, and of the one
// that it follows. The view's lock guards it.
type feedState struct {
	first   uint64 // number of the oldest change in log
	log     []changedObject
	more    chan struct{} // closed at the next change
	sources int           // watches of the store that run: 0 or 1
	checked func() time.Time
	ready   bool // all kinds were listed since the watches began
	// graceUntil ends the time in which registrations may be missing that come
	// back.
	graceUntil time.Time
	// packed is the content of the last message, which other feeds may need too.
	packed packedContent
	// receivers are the processes that follow this entry.
	receivers map[*transport.Stream]receiver

	sender    string // the entry that is followed; empty: none
	senderAge time.Duration
	heardAt   time.Time // of the last message of the sender
	hops      int       // entries between this one and the store
}

// wake lets the feeds look for something to send. The caller holds the view's
// lock.
func (f *feedState) wake() {
	close(f.more)
	f.more = make(chan struct{})
}

// source reports whether this entry hears of all changes and may send feeds, how
// old its knowledge is, and the entries between it and the store. The caller
// holds the view's lock.
func (f *feedState) source() (ok bool, age time.Duration, hops int) {
	switch {
	case f.sources > 0 && f.ready:
		return true, time.Since(f.checked()), 0
	case f.sender != "" && f.hops <= maxHops:
		return true, f.senderAge + time.Since(f.heardAt), f.hops
	}
	return false, 0, 0
}

// packedContent is the compressed content of a message: the changes from one
// number to another, or everything there is at that number.
type packedContent struct {
	complete bool
	from, to uint64
	data     []byte
}

// noteChange keeps a change for the feeds. The caller holds the view's lock.
func (v *view) noteChange(kind, name string) {
	f := &v.feed
	f.log = append(f.log, changedObject{kind, name})
	if len(f.log) > feedLog {
		drop := len(f.log) / 2
		f.first += uint64(drop)
		f.log = append([]changedObject(nil), f.log[drop:]...)
	}
	f.wake()
}

// serveFeed sends what this entry knows and all changes, until it no longer
// hears of them.
func (v *view) serveFeed(ctx context.Context, session *transport.Session, st *transport.Stream, insist bool) error {
	send := func(u *peerv1.FeedUpdate) error {
		if err := st.SetDeadline(time.Now().Add(peerstate.FeedTimeout)); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		return st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_FeedUpdate{FeedUpdate: u}})
	}
	id := session.Identity()
	asking := receiver{address: id.Address, failureDomain: id.FailureDomain, region: id.Region}
	if ok, instead := v.admitReceiver(st, asking, id.Role, insist); !ok {
		return send(&peerv1.FeedUpdate{Full: true, FollowInstead: instead})
	}
	defer v.dropReceiver(st)
	cursor, complete := uint64(0), true
	for {
		u, next, more, err := v.feedUpdate(cursor, complete)
		if err != nil {
			return err
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
		case <-more:
			timer.Reset(feedGather)
			<-timer.C
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// admitReceiver notes one more receiver, or returns which others to follow.
func (v *view) admitReceiver(st *transport.Stream, asking receiver, role string, insist bool) (ok bool, instead []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	_, _, hops := f.source()
	asking.sends = role == string(platform.RoleEdge) && hops < maxHops
	ok, instead = admit(v.e.settings.Region, slices.Collect(maps.Values(f.receivers)), asking)
	if !ok && !insist {
		return false, instead
	}
	f.receivers[st] = asking
	return true, nil
}

func (v *view) dropReceiver(st *transport.Stream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.feed.receivers, st)
}

// feedUpdate returns the changes since a cursor, or everything, the cursor that
// follows and a channel that is closed at the next change.
func (v *view) feedUpdate(cursor uint64, complete bool) (*peerv1.FeedUpdate, uint64, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	next := f.first + uint64(len(f.log))
	ok, age, hops := f.source()
	if !ok || v.e.draining.Load() {
		return &peerv1.FeedUpdate{}, next, f.more, nil
	}
	u := &peerv1.FeedUpdate{
		Watching: true, AgeMs: uint64(age.Milliseconds()), Hops: uint32(hops), Complete: complete || cursor < f.first,
		GraceMs: uint64(max(time.Until(f.graceUntil), 0).Milliseconds()),
	}
	if !u.Complete && cursor == next {
		return u, next, f.more, nil
	}
	var err error
	u.Content, err = v.feedContent(u.Complete, cursor, next)
	return u, next, f.more, err
}

// feedContent returns the content of a message. Many feeds need the same one at
// the same time. The caller holds the view's lock.
func (v *view) feedContent(complete bool, from, to uint64) ([]byte, error) {
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

// addChanges adds the present state of objects that changed.
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

// heard takes over a message of the entry that is followed.
func (v *view) heard(u *peerstate.Update, sender string) {
	if u.HasContent {
		v.applyFeed(u, "peer "+sender)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	f.senderAge, f.heardAt, f.hops = u.Age, time.Now(), u.Hops+1
	if u.Complete {
		f.sender = sender
		v.setLostLocked(false)
		v.sureLocked()
	}
	if len(f.receivers) > 0 {
		f.wake() // they learn at once that this entry is up to date
	}
}

// applyFeed takes over the content of a feed.
func (v *view) applyFeed(u *peerstate.Update, source string) {
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
		v.noteNodes()
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

// watching notes that watches of the store run, or that they have ended.
func (v *view) watching(c checker) (stop func()) {
	v.mu.Lock()
	v.feed.sources++
	v.feed.ready = false
	v.feed.checked = c.LastVerified
	v.mu.Unlock()
	return sync.OnceFunc(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.feed.sources--
		v.feed.ready = false
	})
}
