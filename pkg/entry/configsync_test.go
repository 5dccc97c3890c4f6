package entry

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// newEntryWithFivePeers returns the entry with number self of six entries in one
// failure domain, which has heard of the five others.
func newEntryWithFivePeers(t *testing.T, self int) *Entry {
	t.Helper()
	name := func(i int) string { return fmt.Sprintf("entry-%d", i) }
	n, err := New(Config{
		Instance: name(self), Incarnation: core.Incarnation(name(self) + ".1"), Region: "east", FailureDomain: "east-a",
		Seed: 1, Store: objectapi.NewMemory(objectapi.MemoryOptions{}), Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.stop)
	for i := range 6 {
		if i != self {
			n.owner.recordContact(ownership.Peer{
				Instance: name(i), Incarnation: core.Incarnation(name(i) + ".1"), Region: "east", FailureDomain: "east-a",
			}, 0)
		}
	}
	return n
}

// Guards against every entry pushing each change to every process. The number of
// messages for a change would then grow with entries times processes.
func TestOnlyWatchersPushConfig(t *testing.T) {
	pushing := 0
	for i := range 6 {
		n := newEntryWithFivePeers(t, i)
		n.config.peers["sidecar"] = 1
		if len(n.config.pushTargets(2)) > 0 {
			pushing++
		}
		if got := n.config.pushTargets(1); len(got) > 0 {
			t.Errorf("entry %d pushes version 1 to %v, which already have it", i, got)
		}
	}
	if pushing != watchersPerDomain {
		t.Errorf("%d of 6 entries push a change, want %d", pushing, watchersPerDomain)
	}
}

// Guards against a delayed change: a version that is applied during an exchange
// with a peer must be sent right after the exchange and not only after the peer's
// next heartbeat.
func TestChangeDuringExchange(t *testing.T) {
	n := newEntryWithFivePeers(t, 0)
	c := n.config
	if err := c.offer(3, []byte("[cluster]\nregions = east\ndefault_profile = chat\n\n[profile chat]\nclass = standard\n"), "test"); err != nil {
		t.Fatal(err)
	}
	// The lock keeps the exchange that follows from finishing.
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tc := range []struct {
		reached uint64
		again   bool
	}{{2, true}, {3, false}} {
		c.peers["sidecar"], c.exchanging["sidecar"] = tc.reached, true
		c.finishExchangeLocked("sidecar", nil)
		if c.exchanging["sidecar"] != tc.again {
			t.Errorf("peer has version %d, entry has 3: another exchange started is %v, want %v", tc.reached, c.exchanging["sidecar"], tc.again)
		}
		delete(c.exchanging, "sidecar")
	}
}
