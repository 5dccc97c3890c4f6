package peerstate

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/freshness"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// feedOf starts an entry whose feed consists of one update for each request on its stream.
func feedOf(t *testing.T, update func(ping uint64) *peerv1.FeedUpdate) (address string, follower *transport.Transport) {
	t.Helper()
	start := func(h transport.Handler) *transport.Transport {
		tr, err := transport.New(transport.Config{
			Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler), Hello: func() *peerv1.Hello { return &peerv1.Hello{} },
		}, h)
		if err == nil {
			err = tr.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = tr.Close(context.Background()) })
		return tr
	}
	entry := start(func(_ context.Context, _ *transport.Session, st *transport.Stream, m *peerv1.Envelope) {
		for m != nil {
			u := update(m.GetFeedRequest().GetPing())
			if st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_FeedUpdate{FeedUpdate: u}}) != nil {
				return
			}
			m, _ = st.Recv()
		}
	})
	return entry.Addr(), start(func(context.Context, *transport.Session, *transport.Stream, *peerv1.Envelope) {})
}

// Guards against a state that is dated by the arrival of an update: the process may have been
// stopped while the update waited in a buffer.
func TestUpdateIsDatedByItsPing(t *testing.T) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	address, tr := feedOf(t, func(ping uint64) *peerv1.FeedUpdate {
		clock.Add(int64(10 * time.Second)) // passes while the update is on its way
		return &peerv1.FeedUpdate{Watching: true, Echo: ping, CheckedAgo: uint64(time.Second/time.Millisecond) + 1}
	})
	var checked freshness.Checked
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	updates := 0
	d := newDating(func() time.Duration { return time.Duration(clock.Load()) }, checked.Record)
	err := Follow(ctx, tr, address, false, d, func(*Update) {
		if updates++; updates == 3 {
			cancel()
		}
	})
	if updates != 3 {
		t.Fatalf("%d updates: %v", updates, err)
	}
	if age, known := checked.Age(time.Duration(clock.Load())); !known || age != 11*time.Second {
		t.Errorf("the state counts as %v old, known %v; want 11 s", age, known)
	}
}

// Guards against an update of an entry of an older release, which does not answer pings, that
// counts as current.
func TestUndatedFeedIsLeft(t *testing.T) {
	address, tr := feedOf(t, func(uint64) *peerv1.FeedUpdate { return &peerv1.FeedUpdate{Watching: true, AgeMs: 10} })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	checked := func(time.Duration) { t.Error("the state counts as checked") }
	err := Follow(ctx, tr, address, false, newDating(func() time.Duration { return time.Hour }, checked), func(*Update) {})
	if !errors.Is(err, ErrUndated) {
		t.Errorf("the feed ended with %v", err)
	}
}
