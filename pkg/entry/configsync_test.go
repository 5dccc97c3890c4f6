package entry

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

func entryOfSix(t *testing.T, self int) *Entry {
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
			n.owner.heard(ownership.Peer{
				Instance: name(i), Incarnation: core.Incarnation(name(i) + ".1"), Region: "east", FailureDomain: "east-a",
			}, 0)
		}
	}
	return n
}

// Guards against every entry passing each change on to every process, which
// makes the messages of a change grow with entries times processes.
func TestOnlyWatchersPushConfig(t *testing.T) {
	pushing := 0
	for i := range 6 {
		n := entryOfSix(t, i)
		n.config.peers["sidecar"] = 1
		if len(n.config.pushTargets(2)) > 0 {
			pushing++
		}
		if got := n.config.pushTargets(1); len(got) > 0 {
			t.Errorf("entry %d pushes version 1 to %v, which have it", i, got)
		}
	}
	if pushing != watchersPerDomain {
		t.Errorf("%d of 6 entries push a change, want %d", pushing, watchersPerDomain)
	}
}

// Guards against a change that comes into force during an exchange with a peer
// and then waits for the peer's next heartbeat.
func TestChangeDuringExchange(t *testing.T) {
	n := entryOfSix(t, 0)
	c := n.config
	if err := c.accept(3, []byte("[cluster]\nregions = east\ndefault_profile = chat\n\n[profile chat]\nclass = standard\n"), "test"); err != nil {
		t.Fatal(err)
	}
	// The exchange that follows needs the lock to end.
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tc := range []struct {
		reached uint64
		again   bool
	}{{2, true}, {3, false}} {
		c.peers["sidecar"], c.asking["sidecar"] = tc.reached, true
		c.exchangedLocked("sidecar", nil)
		if c.asking["sidecar"] != tc.again {
			t.Errorf("peer at version %d of 3: next exchange %v, want %v", tc.reached, c.asking["sidecar"], tc.again)
		}
		delete(c.asking, "sidecar")
	}
}
