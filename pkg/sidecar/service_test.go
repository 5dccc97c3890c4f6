package sidecar

import (
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
)

// Guards against a non-idempotent call that runs twice because its answer was
// lost: by net/http on a reused connection, with and without a body, or by a
// repeated dispatch.
func TestLostAnswerRunsOnce(t *testing.T) {
	for _, lookup := range []bool{true, false} {
		v := startService(t, !lookup)
		p := connect(t, startSidecar(t, serviceUpstream(v, lookup), nil), roleEntry)
		if r := receive(p.dispatch(book("a0", "k0"))); r.done == nil {
			t.Fatalf("undisturbed: %+v", r)
		}
		for i, body := range []string{"", `{"gate":4}`} {
			id := string(rune('a'+i)) + "1"
			v.SetFaults(service.Faults{Lost: 1})
			d := book(id, "key-"+id)
			d.Body = []byte(body)
			r := receive(p.dispatch(d))
			switch {
			case lookup && (r.done == nil || r.done.Status != 200):
				t.Errorf("with outcome lookup: %+v", r)
			case !lookup && (r.failed == nil || r.failed.Ran != string(core.RanUnknown)):
				t.Errorf("without outcome lookup: %+v", r)
			}
			receive(p.dispatch(d))
			if n := v.Runs()["key-"+id]; n != 1 {
				t.Errorf("lookup %v, body %q: ran %d times, want 1", lookup, body, n)
			}
		}
	}
}

// Guards against untrue outcomes: "not run" of an attempt that runs later, and
// the loss of the outcome of a running or finished attempt.
func TestResolve(t *testing.T) {
	v := startService(t, true)
	s := startSidecar(t, serviceUpstream(v, false), nil)
	p := connect(t, s, roleEntry)
	if o := p.resolve("never", "k1"); o.Ran != string(core.RanNo) || o.Running {
		t.Errorf("never seen: %v", o)
	}
	if r := receive(p.dispatch(book("never", "k1"))); r.failed == nil || r.failed.Ran != string(core.RanNo) {
		t.Errorf("dispatch after never seen: %+v", r)
	}
	if n := v.Runs()["k1"]; n != 0 {
		t.Errorf("an attempt reported as not run ran %d times", n)
	}

	v.SetFaults(service.Faults{SlowMS: 300})
	st := p.dispatch(book("a2", "k2"))
	if m, err := st.Recv(); err != nil || m.GetStarted() == nil {
		t.Fatalf("%v, %v", m, err)
	}
	owner := p
	p = connect(t, s, roleEntry)
	owner.drop() // the call goes on without its owner
	ask := p.open(&peerv1.Envelope{Body: &peerv1.Envelope_Resolve{Resolve: &peerv1.Resolve{Attempt: "a2", Slot: 3, Epoch: 1}}})
	defer ask.Close()
	if m, err := ask.Recv(); err != nil || !m.GetOutcome().GetRunning() {
		t.Fatalf("running: %v, %v", m, err)
	}
	if m, err := ask.Recv(); err != nil || m.GetOutcome().GetRan() != string(core.RanYes) || m.GetOutcome().GetDone().GetStatus() != 200 {
		t.Errorf("end of a running attempt: %v, %v", m, err)
	}
	if o := p.resolve("a2", "k2"); o.Ran != string(core.RanYes) || o.Done == nil {
		t.Errorf("done: %v", o)
	}
	if n := v.Runs()["k2"]; n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}

// Guards against a restarted sidecar that reports a booking as not run which
// its predecessor passed on, and against its running again.
func TestResolveAfterRestart(t *testing.T) {
	for _, lookup := range []bool{true, false} {
		v := startService(t, !lookup)
		first := startSidecar(t, serviceUpstream(v, lookup), nil)
		if r := receive(connect(t, first, roleEntry).dispatch(book("a", "k"))); r.done == nil {
			t.Fatalf("%+v", r)
		}
		second := startSidecar(t, serviceUpstream(v, lookup), func(c *Config) { c.Incarnation = "s.2" })
		p := connect(t, second, roleEntry)
		want := core.RanUnknown
		if lookup {
			want = core.RanYes
		}
		for range 2 {
			if o := p.resolve("a", "k"); o.Ran != string(want) {
				t.Errorf("lookup %v: outcome %v, want %q", lookup, o, want)
			}
		}
		receive(p.dispatch(book("a", "k")))
		if n := v.Runs()["k"]; n != 1 {
			t.Errorf("ran %d times, want 1", n)
		}
	}
}

// Guards against an answer that comes after the deadline being lost, and a
// refusal that waits for it.
func TestLateOutcome(t *testing.T) {
	v := startService(t, true)
	p := connect(t, startSidecar(t, serviceUpstream(v, false), nil), roleEntry)
	v.SetFaults(service.Faults{SlowMS: 600})
	d := book("a", "k")
	d.DeadlineMs = 200
	began := time.Now()
	r := receive(p.dispatch(d))
	if r.failed == nil || r.failed.Ran != string(core.RanUnknown) || time.Since(began) > 500*time.Millisecond {
		t.Errorf("after %v: %+v", time.Since(began), r)
	}
	eventually(t, "the late outcome is known", func() bool { return p.resolve("a", "k").Ran == string(core.RanYes) })
}

// Guards against a service call that hangs on a silent connection although its
// outcome can be had, and against crossed answers.
func TestServiceFaults(t *testing.T) {
	v := startService(t, false)
	p := connect(t, startSidecar(t, serviceUpstream(v, true), nil), roleEntry)
	v.SetFaults(service.Faults{HangAfter: 1})
	began := time.Now()
	if r := receive(p.dispatch(book("a1", "k1"))); r.done == nil || time.Since(began) > 3*time.Second {
		t.Errorf("silent after the run: %+v after %v", r, time.Since(began))
	}
	v.SetFaults(service.Faults{Hang: 1})
	d := book("a2", "k2")
	d.DeadlineMs = 300
	if r := receive(p.dispatch(d)); r.failed == nil || r.failed.Ran != string(core.RanUnknown) {
		t.Errorf("hang: %+v", r)
	}
	v.SetFaults(service.Faults{WrongID: 1})
	if r := receive(p.dispatch(book("a3", "k3"))); r.done == nil {
		t.Errorf("crossed answer, outcome known by key: %+v", r)
	}
	if n := v.Runs(); n["k1"] != 1 || n["k2"] != 0 || n["k3"] != 1 {
		t.Errorf("runs %v", n)
	}
	v.Drop()
	if r := receive(p.dispatch(book("a4", "k4"))); r.failed == nil || r.failed.Ran != string(core.RanNo) {
		t.Errorf("service down: %+v", r)
	}
}

// Guards against a stop that loses the outcome of a call whose owner has gone
// before a successor could ask for it.
func TestDrainKeepsOutcomes(t *testing.T) {
	v := startService(t, true)
	s := startSidecar(t, serviceUpstream(v, false), func(c *Config) { c.LingerTerm = 5 * time.Second })
	p, successor := connect(t, s, roleEntry), connect(t, s, roleEntry)
	v.SetFaults(service.Faults{SlowMS: 300})
	st := p.dispatch(book("a", "k"))
	if _, err := st.Recv(); err != nil {
		t.Fatal(err)
	}
	p.drop()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	time.Sleep(500 * time.Millisecond)
	if o := successor.resolve("a", "k"); o.Ran != string(core.RanYes) {
		t.Errorf("outcome during the drain: %v", o)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against crash reports of a service that entries take for repeats.
func TestServiceCrashReports(t *testing.T) {
	v := startService(t, true)
	s := startSidecar(t, serviceUpstream(v, false), nil)
	p := connect(t, s, roleEntry)
	hb := p.open(heartbeat())
	last := uint64(0)
	for i, id := range []string{"a", "b"} {
		v.SetFaults(service.Faults{HangAfter: 1})
		d := book(id, id)
		d.Fingerprint = uint64(100 + i)
		st := p.dispatch(d)
		if m, err := st.Recv(); err != nil || m.GetStarted() == nil {
			t.Fatalf("%v, %v", m, err)
		}
		v.Drop()
		if r := receive(st); r.failed == nil || !r.failed.Crashed || r.failed.Ran != string(core.RanUnknown) {
			t.Errorf("on board of crash %d: %v", i, r.failed)
		}
		var crash *peerv1.Crash
		for crash == nil {
			m, err := hb.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if c := m.GetHeartbeat().GetCrashes(); len(c) > 0 {
				crash = c[0]
			}
		}
		if crash.Incarnation <= last || len(crash.Fingerprints) != 1 || crash.Fingerprints[0] != d.Fingerprint {
			t.Errorf("report %v after incarnation %d", crash, last)
		}
		last = crash.Incarnation
		if err := v.Resume(); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the service is back", func() bool { return s.Status().Reachable })
	}
}
