package storewatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxEventLag is the longest time between the change that a check has observed and the
// event of a watcher: the pause of the watcher and some round trips between regions.
const maxEventLag = batchDelay + 200*time.Millisecond

// Group runs the watchers of one process and checks that they receive every change. A
// store that discards its history may leave watches waiting without an event. Every
// change increments the store's revision by one, so a revision that no watcher has
// received means that all kinds must be listed again.
type Group struct {
	Store    func() *platform.Store
	Logger   *slog.Logger
	Interval time.Duration // between checks
	// CheckKind is the kind that each check lists. It should have few objects.
	CheckKind string
	// OnCheck receives the objects of CheckKind at each check; may be nil.
	OnCheck func([]platform.Object)
	// StoreWasDown is set if the store was unavailable before Run, see Handler.Listed.
	StoreWasDown bool

	// Clock and OnChecked report when the objects of CurrentKind were last known to be
	// current: OnChecked receives the reading of Clock from before the check. Both may be
	// nil.
	Clock       func() time.Duration
	OnChecked   func(began time.Duration)
	CurrentKind string

	// The following times keep the reading of the monotonic clock, since the time of day may be
	// set.
	lastVerified atomic.Pointer[time.Time] // start of the last check that found no missing change
	lastFailed   atomic.Pointer[time.Time] // last check at which the store was unavailable; nil: none
	tracker      tracker
	// current records the revisions at which the objects of CurrentKind are known: those
	// that their own watcher has reached, and those that are changes of other objects.
	current    *tracker      // nil without OnChecked
	probeToken chan struct{} // see Watcher
	watchers   []*Watcher
}

// Add adds a watcher of a kind to the group. It must be called before Run.
func (g *Group) Add(kind string, h Handler) {
	if g.probeToken == nil {
		g.probeToken = make(chan struct{}, 1)
		g.probeToken <- struct{}{}
	}
	g.tracker.watchers++
	w := &Watcher{
		Store: g.Store, Kind: kind, Handler: h, Logger: g.Logger,
		tracker: &g.tracker, relist: make(chan struct{}, 1), probeToken: g.probeToken, storeDown: g.StoreWasDown,
	}
	if g.OnChecked != nil {
		if g.current == nil {
			g.current = new(tracker)
		}
		w.current = g.current
		if kind == g.CurrentKind {
			w.clock, w.onListed = g.Clock, g.OnChecked
		}
	}
	g.watchers = append(g.watchers, w)
}

// Run runs the watchers until the context ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, w := range g.watchers {
		wg.Go(func() { w.Run(ctx) })
	}
	g.runChecks(ctx)
	wg.Wait()
}

// UnavailableWithin reports whether a check found the store unavailable within the last d.
func (g *Group) UnavailableWithin(d time.Duration) bool {
	lastFailed := g.lastFailed.Load()
	return lastFailed != nil && time.Since(*lastFailed) < d
}

// LastVerified returns the start of the last check that found no missing change.
// Before the first one it returns the zero time.
func (g *Group) LastVerified() time.Time {
	if t := g.lastVerified.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (g *Group) runChecks(ctx context.Context) {
	t := time.NewTicker(g.Interval)
	defer t.Stop()
	started := time.Now()
	g.lastVerified.Store(&started) // the initial listing counts as a check
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if len(g.probeToken) == 0 {
			continue // the store is unavailable, and a watcher probes it
		}
		began, reading := time.Now(), time.Duration(0)
		if g.OnChecked != nil {
			reading = g.Clock()
		}
		objects, revision, err := g.Store().List(ctx, g.CheckKind)
		if err != nil {
			// The watchers report an unavailable store. A waiting watch may not detect the
			// outage, see UnavailableWithin.
			failed := time.Now()
			g.lastFailed.Store(&failed)
			g.Logger.Debug("store check failed", "err", err)
			continue
		}
		for _, o := range objects {
			g.tracker.recordRevision(o.Revision)
			g.current.recordRevision(o.Revision)
		}
		if g.OnCheck != nil {
			g.OnCheck(objects)
		}
		if !g.tracker.complete(revision) || !g.current.complete(revision) {
			sleep(ctx, maxEventLag)
		}
		if g.tracker.complete(revision) {
			g.lastVerified.Store(&began)
			g.reportCurrent(revision, reading)
			continue
		}
		g.Logger.Info("changes not heard of, listing again", "revision", revision)
		g.tracker.reset(revision)
		g.Relist()
	}
}

// reportCurrent reports that the objects of CurrentKind passed a check, or lists them again
// if a change of theirs may be missing. A revision that another kind's watch has reached says
// nothing about them: their own watch may be silent.
func (g *Group) reportCurrent(revision uint64, reading time.Duration) {
	if g.OnChecked == nil {
		return
	}
	if g.current.complete(revision) {
		g.OnChecked(reading)
		return
	}
	for _, w := range g.watchers {
		if w.onListed != nil {
			g.Logger.Info("changes of a kind may be missing, listing it again", "kind", w.Kind, "revision", revision)
			w.requestList()
		}
	}
}

// Relist makes all watchers list their kinds again.
func (g *Group) Relist() {
	for _, w := range g.watchers {
		w.requestList()
	}
}

// requestList makes the watcher list its kind again.
func (w *Watcher) requestList() {
	select {
	case w.relist <- struct{}{}:
	default: // the watcher is about to list its kind anyway
	}
}

// tracker records which revisions of the store the watchers have received.
type tracker struct {
	mu         sync.Mutex
	knownUpTo  uint64          // all revisions up to this one are known
	seen       map[uint64]bool // received revisions above knownUpTo
	watchers   int
	firstLists map[*Watcher]uint64 // revision of the first listing
}

// recordList records the first listing that a watcher has passed on to its handler. Once all
// watchers have listed their kinds, all revisions up to the oldest of these listings are known.
func (t *tracker) recordList(w *Watcher, revision uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstLists == nil {
		t.firstLists = make(map[*Watcher]uint64)
	}
	if _, known := t.firstLists[w]; known {
		return
	}
	t.firstLists[w] = revision
	if len(t.firstLists) < t.watchers {
		return
	}
	oldest := revision
	for _, r := range t.firstLists {
		oldest = min(oldest, r)
	}
	t.advance(oldest)
}

// recordRevision records that a watcher has received a revision and passed its change on to
// its handler.
func (t *tracker) recordRevision(revision uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen == nil {
		t.seen = make(map[uint64]bool)
	}
	if revision > t.knownUpTo {
		t.seen[revision] = true
	}
}

// complete reports whether every revision up to the given one is known.
func (t *tracker) complete(upTo uint64) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.knownUpTo < upTo && t.seen[t.knownUpTo+1] {
		t.knownUpTo++
		delete(t.seen, t.knownUpTo)
	}
	return t.knownUpTo >= upTo
}

// reset marks all revisions up to the given one as known.
func (t *tracker) reset(knownUpTo uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(knownUpTo)
}

// advance raises knownUpTo. The caller must hold the lock.
func (t *tracker) advance(knownUpTo uint64) {
	t.knownUpTo = max(t.knownUpTo, knownUpTo)
	for r := range t.seen {
		if r <= t.knownUpTo {
			delete(t.seen, r)
		}
	}
}
