package edge

import (
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// Guards against a suspect that is sent to an upstream which has just lost another one's
// attempt, and is blamed for its end (issue 35).
func TestHeldUpstreamIsOccupied(t *testing.T) {
	t.Parallel()
	i, q := newIsolation(), identity.Request{Content: 1}
	i.add("u1", q, 1)
	release := i.hold("u1")
	i.add("u1", q, -1)
	if !i.occupied("u1") {
		t.Error("free before it is known whether the upstream has ended")
	}
	if i.isRunning(q) {
		t.Error("the request counts as running after its attempt was lost")
	}
	release()
	if i.occupied("u1") || len(i.upstreams) != 0 {
		t.Error("still occupied")
	}
}
