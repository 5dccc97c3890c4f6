package storewatch

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// recorder sends the events of a watcher to a channel.
type recorder struct{ ch chan string }

func (r recorder) Listed(objects []platform.Object, regained bool) {
	for _, o := range objects {
		r.ch <- "listed " + o.Name
	}
	if regained {
		r.ch <- "regained"
	}
}

func (r recorder) Changed(changes []platform.Change) {
	for _, c := range changes {
		r.ch <- "changed " + c.Object.Name
	}
}

func (r recorder) Lost(error) { r.ch <- "lost" }

func (r recorder) want(t *testing.T, want string) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case got := <-r.ch:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("%q was not reported", want)
		}
	}
}

func start(t *testing.T, s *platformstore.Store, interval time.Duration) recorder {
	t.Helper()
	srv := httptest.NewServer(s)
	store := platform.NewStore(strings.TrimPrefix(srv.URL, "http://"))
	r := recorder{ch: make(chan string, 1000)}
	g := &Group{
		Store: func() *platform.Store { return store }, Logger: slog.New(slog.DiscardHandler),
		Interval: interval, CheckKind: platform.KindRetirements,
	}
	g.Add(platform.KindConfig, r)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; store.Close(); srv.CloseClientConnections(); srv.Close() })
	return r
}

// Guards against a change that is never received because the store discards its history
// while a watch is waiting. On scale-1 of the first site, a configuration was therefore
// not in force 5 s after its acknowledgement.
func TestChangeMissedByWatch(t *testing.T) {
	s := platformstore.New()
	s.Put(platform.KindConfig, "a", 1)
	r := start(t, s, 20*time.Millisecond)
	r.want(t, "listed a")
	s.SetDeaf(true)
	s.Put(platform.KindConfig, "b", 1)
	r.want(t, "listed b")
}

// Guards against a watcher that stops after the history is gone or after an outage.
func TestHistoryGoneAndOutage(t *testing.T) {
	s := platformstore.New()
	s.Put(platform.KindConfig, "a", 1)
	r := start(t, s, time.Hour)
	r.want(t, "listed a")
	s.Put(platform.KindConfig, "b", 1)
	r.want(t, "changed b")
	s.SetDeaf(true)
	s.Put(platform.KindConfig, "c", 1)
	s.Compact()
	r.want(t, "listed c")
	s.SetDeaf(false)
	s.SetDown(true)
	r.want(t, "lost")
	s.SetDown(false)
	r.want(t, "regained")
}

// Guards against listing all kinds again although every change was received.
func TestTracker(t *testing.T) {
	var tr tracker
	tr.reset(4)
	tr.recordRevision(6)
	if tr.complete(6) {
		t.Error("complete without revision 5")
	}
	tr.recordRevision(5)
	if !tr.complete(6) {
		t.Error("not complete with revisions 5 and 6")
	}
	if tr.complete(7) {
		t.Error("complete without revision 7")
	}
}

// Guards against every watcher of a process calling the store during an outage.
func TestOneWatcherProbesStoreInOutage(t *testing.T) {
	s := platformstore.New()
	srv := httptest.NewServer(s)
	store := platform.NewStore(strings.TrimPrefix(srv.URL, "http://"))
	g := &Group{
		Store: func() *platform.Store { return store }, Logger: slog.New(slog.DiscardHandler),
		Interval: 10 * time.Millisecond, CheckKind: platform.KindRetirements,
	}
	var all []recorder
	for _, kind := range []string{platform.KindConfig, platform.KindNodes, platform.KindUpstreams} {
		r := recorder{ch: make(chan string, 1000)}
		s.Put(kind, "a", 1)
		g.Add(kind, r)
		all = append(all, r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; store.Close(); srv.CloseClientConnections(); srv.Close() })
	for _, r := range all {
		r.want(t, "listed a")
	}
	s.SetDown(true)
	for _, r := range all {
		r.want(t, "lost")
	}
	before := s.Calls()
	time.Sleep(5 * maxRetryPause)
	// One watcher pauses at least half of maxRetryPause between two calls.
	if calls := s.Calls() - before; calls > 14 {
		t.Errorf("%d calls during an outage of %v, want at most 14", calls, 5*maxRetryPause)
	}
	s.SetDown(false)
	for _, r := range all {
		r.want(t, "regained")
	}
}
