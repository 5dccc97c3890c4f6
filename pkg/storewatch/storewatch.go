// Package storewatch watches objects in the platform's store. It lists the objects of a
// kind, watches for changes, and lists them again when the history of the store is gone
// or the store was unavailable.
package storewatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// The pause after a failed call doubles from minRetryPause to maxRetryPause. Refused
	// calls are billed too.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 900 * time.Millisecond
	// batchDelay is the pause between two calls, so that one call reads changes that occur
	// together, such as the start of many upstreams.
	batchDelay = 250 * time.Millisecond
)

// Handler receives the events of a Watcher. Its methods are called by one goroutine.
type Handler interface {
	// Listed receives all objects of the kind. regained is set if the store was
	// unavailable before.
	Listed(objects []platform.Object, regained bool)
	Changed(changes []platform.Change)
	// Lost is called when the store becomes unavailable.
	Lost(err error)
}

// Watcher watches the objects of one kind.
type Watcher struct {
	Store   func() *platform.Store // the current client, which changes with the settings
	Kind    string
	Handler Handler
	Logger  *slog.Logger

	tracker *tracker      // nil outside a Group
	relist  chan struct{} // requests a new listing
	// probeToken is a channel with one token. While the store is unavailable, only the
	// watcher that has taken the token calls it, since refused calls are billed too.
	probeToken chan struct{}
	storeDown  bool     // the store was unavailable before Run
	current    *tracker // of the group; nil: none
	// onListed, if set, receives the reading of clock from before each listing, once the
	// handler has its objects.
	clock    func() time.Duration
	onListed func(began time.Duration)
}

// Run watches the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	storeDown, hasToken := w.storeDown, false
	pause := minRetryPause
	for ctx.Err() == nil {
		began := time.Duration(0)
		if w.onListed != nil {
			began = w.clock()
		}
		objects, revision, err := w.Store().List(ctx, w.Kind)
		if err == nil {
			if hasToken {
				w.releaseProbe()
				hasToken = false
			}
			if storeDown {
				w.Logger.Info("store regained", "kind", w.Kind, "revision", revision)
			}
			w.Handler.Listed(objects, storeDown)
			w.tracker.recordList(w, revision)
			w.recordCurrent(objects, revision, began)
			storeDown, pause = false, minRetryPause
			err = w.follow(ctx, revision)
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			w.Logger.Info("store history gone, listing again", "kind", w.Kind)
			continue
		}
		if errors.Is(err, errRelist) {
			continue
		}
		if err != nil && ctx.Err() == nil {
			if !storeDown {
				w.Logger.Warn("store lost", "kind", w.Kind, "err", err)
				w.Handler.Lost(err)
				storeDown = true
			}
			if !hasToken {
				hasToken = true
				if w.acquireProbe(ctx) {
					continue // another watcher has just reached the store again
				}
			}
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// recordCurrent records a listing for the objects of the group's CurrentKind.
func (w *Watcher) recordCurrent(objects []platform.Object, revision uint64, began time.Duration) {
	if w.onListed != nil {
		w.current.reset(revision)
		w.onListed(began)
		return
	}
	for _, o := range objects {
		w.current.recordRevision(o.Revision)
	}
}

// acquireProbe takes the token of the group and reports whether it had to wait for it.
func (w *Watcher) acquireProbe(ctx context.Context) (waited bool) {
	if w.probeToken == nil {
		return false
	}
	select {
	case <-w.probeToken:
		return false
	default:
	}
	select {
	case <-w.probeToken:
	case <-ctx.Done():
	}
	return true
}

func (w *Watcher) releaseProbe() {
	if w.probeToken != nil {
		w.probeToken <- struct{}{}
	}
}

// errRelist ends a watch whose kind must be listed again.
var errRelist = errors.New("changes were missed")

// follow watches for changes after a revision until an error occurs.
func (w *Watcher) follow(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.relist != nil {
		go func() {
			select {
			case <-w.relist:
				cancel(errRelist)
			case <-ctx.Done():
			}
		}()
	}
	for {
		changes, next, err := w.Store().Watch(ctx, w.Kind, revision)
		if err != nil {
			if context.Cause(ctx) == errRelist {
				return errRelist
			}
			return err
		}
		if len(changes) > 0 {
			w.Handler.Changed(changes)
		}
		for _, c := range changes {
			w.tracker.recordRevision(c.Object.Revision)
			w.current.recordRevision(c.Object.Revision)
		}
		w.tracker.recordRevision(next)
		if w.onListed != nil {
			w.current.reset(next)
		}
		revision = next
		if len(changes) > 0 {
			sleep(ctx, batchDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
