package storewatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// eventLag is how long an event may take to arrive after the change that a
// check has seen: the pause of a watcher and some round trips between regions.
const eventLag = gatherTime + 200*time.Millisecond

// Group runs the watchers of one process and checks that they hear of every
// change: a store that drops its history may leave watches waiting without an
// event. Every change raises the store's revision by one, so a revision that
// no watcher has heard of means that the kinds have to be listed again.
type Group struct {
	Store    func() *platform.Store
	Logger   *slog.Logger
	Interval time.Duration // between two checks
	// CheckKind is the kind that a check lists: one with few objects.
	CheckKind string
	// OnCheck takes the objects of CheckKind at each check; may be nil.
	OnCheck func([]platform.Object)
	// StoreWasDown is set if the store did not answer before, see Handler.Listed.
	StoreWasDown bool

	checked  atomic.Int64 // Unix ns of the last check that found all changes heard of
	failed   atomic.Int64 // Unix ns of the last check that the store did not answer; 0: none
	tracker  tracker
	probe    chan struct{} // see Watcher
	watchers []*Watcher
}

// Add makes a watcher of the group. It must be called before Run.
func (g *Group) Add(kind string, h Handler) {
	if g.probe == nil {
		g.probe = make(chan struct{}, 1)
		g.probe <- struct{}{}
	}
	g.tracker.watchers++
	g.watchers = append(g.watchers, &Watcher{
		Store: g.Store, Kind: kind, Handler: h, Logger: g.Logger,
		tracker: &g.tracker, relist: make(chan struct{}, 1), probe: g.probe, lost: g.StoreWasDown,
	})
}

// Run runs the watchers until the context ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, w := range g.watchers {
		wg.Go(func() { w.Run(ctx) })
	}
	g.check(ctx)
	wg.Wait()
}

// UnavailableWithin reports whether the store failed to answer a check in the last d.
func (g *Group) UnavailableWithin(d time.Duration) bool {
	failed := g.failed.Load()
	return failed != 0 && time.Since(time.Unix(0, failed)) < d
}

// LastVerified returns when the last check began that found all changes heard of.
func (g *Group) LastVerified() time.Time { return time.Unix(0, g.checked.Load()) }

func (g *Group) check(ctx context.Context) {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	g.checked.Store(time.Now().UnixNano()) // the listing at the start counts
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if len(g.probe) == 0 {
			continue // the store is out of reach, a watcher tries it
		}
		began := time.Now()
		objects, at, err := g.Store().List(ctx, g.CheckKind)
		if err != nil {
			// The watchers report a lost store. A watch that waits may not notice that
			// the store was away, see UnavailableWithin.
			g.failed.Store(time.Now().UnixNano())
			g.Logger.Debug("check of the watches failed", "err", err)
			continue
		}
		for _, o := range objects {
			g.tracker.heard(o.Revision)
		}
		if g.OnCheck != nil {
			g.OnCheck(objects)
		}
		if !g.tracker.complete(at) {
			sleep(ctx, eventLag)
		}
		if g.tracker.complete(at) {
			g.checked.Store(began.UnixNano())
			continue
		}
		g.Logger.Info("changes not heard of, listing again", "revision", at)
		g.tracker.reset(at)
		g.Relist()
	}
}

// Relist lets all watchers list their kinds again.
func (g *Group) Relist() {
	for _, w := range g.watchers {
		select {
		case w.relist <- struct{}{}:
		default: // the watcher is about to list anyway
		}
	}
}

// tracker keeps which revisions the watchers have heard of.
type tracker struct {
	mu       sync.Mutex
	base     uint64 // all revisions up to this one are known
	seen     map[uint64]bool
	watchers int
	lists    map[*Watcher]uint64 // revision of the first listing
}

// listed notes the first listing of a watcher: once all have listed their
// kinds, the revisions before the oldest listing are known.
func (t *tracker) listed(w *Watcher, at uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lists == nil {
		t.lists = make(map[*Watcher]uint64)
	}
	if _, again := t.lists[w]; again {
		return
	}
	t.lists[w] = at
	if len(t.lists) < t.watchers {
		return
	}
	oldest := at
	for _, r := range t.lists {
		oldest = min(oldest, r)
	}
	t.raise(oldest)
}

// heard notes a revision.
func (t *tracker) heard(revision uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen == nil {
		t.seen = make(map[uint64]bool)
	}
	if revision > t.base {
		t.seen[revision] = true
	}
}

// complete reports whether every revision up to the given one is known.
func (t *tracker) complete(upTo uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.base < upTo && t.seen[t.base+1] {
		t.base++
		delete(t.seen, t.base)
	}
	return t.base >= upTo
}

// reset takes all revisions up to the given one as known.
func (t *tracker) reset(base uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raise(base)
}

// raise needs the lock.
func (t *tracker) raise(base uint64) {
	t.base = max(t.base, base)
	for r := range t.seen {
		if r <= t.base {
			delete(t.seen, r)
		}
	}
}
