package policy

import (
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against an upstream that answers heartbeats but fails its calls at once:
// it is always idle and would attract every call. It must receive calls again
// after it has recovered.
func TestBreakerExcludesFailingUpstream(t *testing.T) {
	d := newParts(t, 3, PartAdmission)
	addEngines(d, 4)
	bad := core.UpstreamID("w0002")
	n, toBad := 0, 0
	step := func(now float64, failing bool) {
		n++
		d.Enqueue(at(now), modelCall(view("p000-a", "c", core.ClassStandard), n, 100))
		for _, a := range drain(d, at(now)) {
			if a.Upstream == bad {
				toBad++
				if failing {
					d.OnFailed(at(now), core.Failure{Attempt: a.Request.Attempt, Ran: core.RanUnknown})
					continue
				}
			}
			finish(d, at(now), a, 0)
		}
	}
	for i := range 600 {
		step(1+float64(i)*0.05, true)
	}
	// Five calls open the breaker. After that there is one probe per open phase,
	// whose duration doubles.
	if toBad > 15 {
		t.Errorf("the failing upstream received %d of 600 calls in 30 s", toBad)
	}
	toBad = 0
	for i := range 1200 {
		step(40+float64(i)*0.05, false)
	}
	if toBad < 100 {
		t.Errorf("the recovered upstream received only %d of 1200 calls in the minute after", toBad)
	}
}
