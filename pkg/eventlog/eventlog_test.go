package eventlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
)

type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

// record runs a few events through a core and returns the log.
func record(t *testing.T) string {
	t.Helper()
	h := Header{Self: "entry-1.1", Region: "east", Seed: 7}
	var out buffer
	w, err := NewWriter(&out, h)
	if err != nil {
		t.Fatal(err)
	}
	c := newCore(h)
	at := func(ms int) core.At {
		return core.At{Time: time.Unix(100, 0).UTC().Add(time.Duration(ms) * time.Millisecond)}
	}
	up := core.UpstreamInfo{ID: "e1", Kind: core.KindModel, Models: []string{"m"}, Region: "east", Slots: 4, PrefillRate: 1000, DecodeRate: 50}
	for _, e := range []core.Event{
		core.ConfigApplied{At: at(0), Config: core.Config{Version: 1, SlotCount: 1, Regions: []string{"east"}, Policy: policy.NameDefault, Profiles: map[string]core.Profile{"p": {Name: "p", Class: core.ClassStandard}}, DefaultProfileName: "p"}},
		core.SlotsAcquired{At: at(1), Slots: map[core.Slot]core.Epoch{0: 1}, Planned: true},
		core.UpstreamChanged{At: at(2), Info: up},
		core.UpstreamState{At: at(3), Upstream: "e1", Reachable: true},
		core.ProgramOpened{At: at(4), Call: "c0", ID: "p000-x", Caller: "lango"},
		core.JournalCommitted{At: at(5), Seq: 1},
		core.CallArrived{At: at(6), Call: core.Call{ID: "c1", Program: "p000-x", Caller: "lango", Kind: core.KindModel, Model: "m", MaxTokens: 9, Arrived: at(6).Time, Deadline: at(60000).Time}},
		core.Tick{At: at(70000)},
	} {
		if err := w.Record(e, c.Step(e)); err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

// Guards against effects that depend on more than the events, and against an
// event type that cannot be read back from a log.
func TestVerify(t *testing.T) {
	log := record(t)
	if !strings.Contains(log, `"type":"CallArrived"`) || strings.Count(log, `"effects":`) < 3 {
		t.Fatalf("the log holds too little to compare:\n%s", log)
	}
	n, err := Verify(strings.NewReader(log))
	if err != nil || n != 8 {
		t.Errorf("verified %d events, error %v", n, err)
	}
}

// Guards against a verification that accepts different effects.
func TestVerifyFindsDivergence(t *testing.T) {
	log := strings.Replace(record(t), `"max_tokens":9`, `"max_tokens":8`, 1)
	_, err := Verify(strings.NewReader(log))
	var d *DivergenceError
	if !errors.As(err, &d) || d.Event != "CallArrived" {
		t.Errorf("a changed event gives error %v, want a divergence at CallArrived", err)
	}
}
