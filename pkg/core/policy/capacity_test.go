package policy

import (
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against refusals during a temporary loss of capacity, and against long
// waits when the loss lasts or when there is none.
func TestTemporaryLossAllowsLongerWaits(t *testing.T) {
	for name, tc := range map[string]struct {
		lost, after, calls int // lost engines of 4, s from the loss to the overload, calls added then
		admit              bool
	}{
		"temporary loss":                 {2, 60, 28, true},
		"temporary loss, queue too long": {2, 60, 416, false},
		"lasting loss":                   {2, 1800, 28, false},
		"no loss":                        {0, 60, 56, false},
	} {
		d, v := newParts(t, 1), view("p000-a", "c", core.ClassStandard)
		addEngines(d, 4)
		d.Enqueue(at(0), modelCall(v, 0, 100))
		finish(d, at(1), drain(d, at(0))[0], 0)
		d.Admit(at(1), v)
		for i := range tc.lost {
			d.RemoveUpstream(at(2), engineInfo(i).ID)
		}
		var got core.Admission
		for s := range tc.after + 60 {
			for i := 0; s == tc.after && i < tc.calls; i++ {
				d.Enqueue(at(2+float64(s)), modelCall(v, 1+i, 100))
			}
			drain(d, at(2+float64(s)))
			got = d.Admit(at(2+float64(s)), v)
		}
		if got.OK != tc.admit {
			t.Errorf("%s: admitted %t, want %t", name, got.OK, tc.admit)
		}
	}
}

// Guards against wait bounds that return to normal as soon as the capacity has
// recovered, while the queue that built up during the loss is still there.
func TestWaitBoundRecoversSlowlyAfterLoss(t *testing.T) {
	c := capacity{usualSlots: 64, loss: 1}
	if c.update(64, 30*time.Second); c.loss < 0.5 {
		t.Errorf("loss %.2f half a minute after three of eight upstreams came back", c.loss)
	}
}
