package storewatch

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Guards against objects that are reported as current because the watch of another kind has
// reached a revision, while their own watch is silent.
func TestCurrentNeedsTheOwnWatch(t *testing.T) {
	reported := 0
	g := &Group{
		Logger: slog.New(slog.DiscardHandler), CurrentKind: platform.KindConfig,
		Clock: func() time.Duration { return time.Second }, OnChecked: func(time.Duration) { reported++ },
	}
	g.Add(platform.KindConfig, recorder{})
	g.Add(platform.KindUpstreams, recorder{})
	own, other := g.watchers[0], g.watchers[1]
	own.recordCurrent(nil, 4, 0) // a listing is a report itself
	other.recordCurrent([]platform.Object{{Revision: 5}}, 7, 0)
	for revision, want := range map[uint64]bool{5: true, 7: false} {
		reported = 0
		g.reportCurrent(revision, time.Second)
		if asked := len(own.relist) > 0; reported > 0 != want || asked == want || len(other.relist) > 0 {
			t.Errorf("revision %d: reported %v, listed again %v", revision, reported > 0, asked)
		}
		if !want {
			<-own.relist
		}
	}
	own.recordCurrent(nil, 7, 0)
	reported = 0
	if g.reportCurrent(7, time.Second); reported != 1 {
		t.Error("not reported after the own watch has reached the revision")
	}
}

// Guards against ages of checks that change when the time of day is set.
func TestVerifiedTimeIsMonotonic(t *testing.T) {
	g := &Group{Interval: time.Hour}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.runChecks(ctx)
	if got := g.LastVerified().String(); !strings.Contains(got, " m=") {
		t.Errorf("%s has no monotonic reading", got)
	}
}
