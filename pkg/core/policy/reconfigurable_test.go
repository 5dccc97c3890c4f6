package policy

import (
	"fmt"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against a change of the configured policy that loses waiting requests or
// running attempts, or that takes effect only after a restart.
func TestReconfigurationTransfersState(t *testing.T) {
	for _, from := range Names() {
		for _, to := range Names() {
			if from == to {
				continue
			}
			f := NewReconfigurable(1)
			f.Configure(core.Config{Version: 1, Policy: from})
			addEngines(f, 2)
			f.SetUpstreamState(at(0), engineInfo(1).ID, true, true)
			for i := range 20 {
				f.Enqueue(at(1), modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassInteractive), i, 100))
			}
			running := drain(f, at(1))
			f.Configure(core.Config{Version: 2, Policy: to})
			if f.Name() != to || f.Err() != nil {
				t.Fatalf("the current policy is %s, want %s: %v", f.Name(), to, f.Err())
			}
			if more := drain(f, at(2)); len(running) != 8 || len(more) != 0 {
				t.Errorf("%s to %s: %d calls and %d more on 8 slots", from, to, len(running), len(more))
			}
			seen := map[core.CallID]bool{}
			for s := 3.0; len(running) > 0; s++ {
				for _, a := range running {
					if seen[a.Request.Call.ID] || a.Upstream != engineInfo(0).ID {
						t.Errorf("%s to %s: %s sent to %s, seen before: %v", from, to, a.Request.Call.ID, a.Upstream, seen[a.Request.Call.ID])
					}
					seen[a.Request.Call.ID] = true
					finish(f, at(s), a, 0)
				}
				running = drain(f, at(s))
			}
			if len(seen) != 20 {
				t.Errorf("%s to %s: %d of 20 calls were sent", from, to, len(seen))
			}
		}
	}
	f := NewReconfigurable(1)
	f.Configure(core.Config{Version: 1, Policy: "fastest"})
	if f.Name() != NameDefault || f.Err() == nil {
		t.Errorf("the current policy is %s after an unknown name, error %v", f.Name(), f.Err())
	}
}
