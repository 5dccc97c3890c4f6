package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) At { return At{start.Add(time.Duration(s * float64(time.Second)))} }

// onlyEffect returns the only effect of type T, and fails if there is not exactly one.
func onlyEffect[T Effect](t *testing.T, effects []Effect) T {
	t.Helper()
	var found []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			found = append(found, x)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d effects of type %T in %+v, want 1", len(found), *new(T), effects)
	}
	return found[0]
}

func dispatch(id string, epoch core.Epoch) AttemptDispatched {
	return AttemptDispatched{At: at(0), Ref: 1, Attempt: core.AttemptID(id), Slot: 3, Epoch: epoch, NonIdempotent: true, Key: "k", Fingerprint: 42}
}

func answer(body string) Result {
	return Result{Ran: core.RanYes, Answer: &core.Answer{Body: []byte(body), Status: 200}}
}

// Requests of an owner that was paused and replaced must be refused, also when the
// new owner appears between the dispatch and the write to the upstream.
func TestFencing(t *testing.T) {
	s := New(Options{})
	onlyEffect[StartAttempt](t, s.Step(dispatch("a", 4)))
	onlyEffect[SendOrder](t, s.Step(OrderReceived{At: at(0), Ref: 2, Order: core.OrderPin, Program: "p", Slot: 3, Epoch: 5}))
	if r := onlyEffect[RefuseAttempt](t, s.Step(SendRequested{At: at(0), Ref: 1, Attempt: "a"})); !r.Fenced || r.Ran != core.RanNo {
		t.Errorf("send after a higher epoch: %+v", r)
	}
	if r := onlyEffect[RefuseAttempt](t, s.Step(dispatch("b", 4))); !r.Fenced || r.Ran != core.RanNo {
		t.Errorf("dispatch of the previous owner: %+v", r)
	}
	if r := onlyEffect[RefuseOrder](t, s.Step(OrderReceived{At: at(0), Ref: 3, Order: core.OrderRelease, Program: "p", Slot: 3, Epoch: 4})); !r.Fenced {
		t.Errorf("order of the previous owner: %+v", r)
	}
	if s.Running() != 0 {
		t.Errorf("%d running", s.Running())
	}
}

// An attempt that was reported as not run must never run later, and one that an
// earlier incarnation may have run must not be reported as not run.
func TestResolveNeverSeen(t *testing.T) {
	s := New(Options{ResultTerm: time.Second, Incarnation: "s.2", OutcomeByKey: true})
	if o := onlyEffect[Outcome](t, s.Step(Resolve{At: at(0), Ref: 1, Attempt: "a", Slot: 3, Epoch: 1, SidecarIncarnation: "s.2"})); o.Result.Ran != core.RanNo {
		t.Errorf("never seen: %+v", o)
	}
	s.Step(Tick{at(3600)}) // the record expires, the refusal must remain
	d := dispatch("a", 1)
	d.At = at(3600)
	if r := onlyEffect[RefuseAttempt](t, s.Step(d)); r.Ran != core.RanNo {
		t.Errorf("dispatch after never seen: %+v", r)
	}
	// An attempt of an earlier incarnation may have run.
	if l := onlyEffect[LookUpOutcome](t, s.Step(Resolve{At: at(3600), Ref: 2, Attempt: "b", Key: "k", SidecarIncarnation: "s.1"})); l.Key != "k" {
		t.Errorf("attempt of another incarnation: %+v", l)
	}
	if o := onlyEffect[Outcome](t, s.Step(OutcomeLookedUp{At: at(3600), Ref: 2, Attempt: "b", Result: Result{Ran: core.RanUnknown}})); o.Result.Ran != core.RanUnknown {
		t.Errorf("outcome unknown to the service: %+v", o)
	}
	onlyEffect[LookUpOutcome](t, s.Step(Resolve{At: at(3600), Ref: 2, Attempt: "b", Key: "k", SidecarIncarnation: "s.1"})) // asked again
	d = dispatch("b", 1)
	if r := onlyEffect[RefuseAttempt](t, s.Step(d)); r.Ran != core.RanUnknown {
		t.Errorf("dispatch of an attempt that may have run: %+v", r)
	}
	s = New(Options{Incarnation: "s.2"})
	for range 2 {
		if o := onlyEffect[Outcome](t, s.Step(Resolve{At: at(0), Ref: 3, Attempt: "e", Slot: 3, Epoch: 1})); o.Result.Ran != core.RanUnknown {
			t.Errorf("resolve without an incarnation: %+v", o)
		}
	}
	d = dispatch("c", 1)
	d.SidecarIncarnation = "s.1"
	if r := onlyEffect[RefuseAttempt](t, s.Step(d)); r.Ran != core.RanNo {
		t.Errorf("claim for an earlier incarnation: %+v", r)
	}
}

// Resolve must return the outcome of an attempt that is running, that has ended, and
// whose answer was lost.
func TestResolveRunningAndDone(t *testing.T) {
	s := New(Options{OutcomeByKey: true})
	s.Step(dispatch("a", 1))
	onlyEffect[AllowSend](t, s.Step(SendRequested{At: at(0), Ref: 1, Attempt: "a"}))
	if o := onlyEffect[Outcome](t, s.Step(Resolve{At: at(1), Ref: 7, Attempt: "a", Slot: 3, Epoch: 1})); !o.Running {
		t.Errorf("running: %+v", o)
	}
	if o := onlyEffect[Outcome](t, s.Step(AttemptEnded{At: at(2), Attempt: "a", Result: answer("x")})); o.Ref != 7 || o.Running || o.Result.Ran != core.RanYes {
		t.Errorf("end of a resolved attempt: %+v", o)
	}
	if o := onlyEffect[Outcome](t, s.Step(Resolve{At: at(3), Ref: 8, Attempt: "a", Slot: 3, Epoch: 1})); string(o.Result.Answer.Body) != "x" {
		t.Errorf("done: %+v", o)
	}
	s.Step(dispatch("b", 1))
	s.Step(SendRequested{At: at(0), Ref: 1, Attempt: "b"})
	s.Step(AttemptEnded{At: at(2), Attempt: "b", Result: Result{Ran: core.RanUnknown}})
	if l := onlyEffect[LookUpOutcome](t, s.Step(Resolve{At: at(3), Ref: 9, Attempt: "b", Slot: 3, Epoch: 1})); l.Key != "k" {
		t.Errorf("lost answer: %+v", l)
	}
	s.Step(AttemptEnded{At: at(4), Attempt: "b", Result: answer("late")})
	if o := onlyEffect[Outcome](t, s.Step(Resolve{At: at(5), Ref: 10, Attempt: "b", Slot: 3, Epoch: 1})); string(o.Result.Answer.Body) != "late" {
		t.Errorf("late answer: %+v", o)
	}
}

// A crash report must name only requests that were in flight and must be sent once.
// The crash must also remove the pins, which the engine has lost with its memory.
func TestCrashReport(t *testing.T) {
	s := New(Options{})
	onlyEffect[ListPins](t, s.Step(UpstreamUp{at(0), 7}))
	s.Step(dispatch("a", 1))
	s.Step(SendRequested{At: at(0), Ref: 1, Attempt: "a"})
	d := dispatch("b", 1)
	d.Fingerprint = 43
	s.Step(d)
	s.Step(PinRenewed{At: at(0), Program: "p", Slot: 3, Epoch: 1})
	c := onlyEffect[ReportCrash](t, s.Step(UpstreamUp{at(1), 8}))
	if c.Incarnation != 7 || fmt.Sprint(c.Fingerprints, c.Attempts) != "[42] [a]" {
		t.Errorf("crash report %+v", c)
	}
	if s.Pins() != 0 {
		t.Error("pins survived the crash")
	}
	for _, e := range s.Step(UpstreamUp{at(2), 8}) {
		if _, again := e.(ReportCrash); again {
			t.Error("crash reported twice")
		}
	}
	onlyEffect[ReportCrash](t, s.Step(UpstreamDown{at(3)}))
	if e := s.Step(UpstreamDown{at(4)}); len(e) != 0 {
		t.Errorf("effects of a second refused connection: %+v", e)
	}
	// A start and a crash between two probes must still name the request in flight.
	s.Step(SendRequested{At: at(5), Ref: 1, Attempt: "b"})
	if c := onlyEffect[ReportCrash](t, s.Step(UpstreamDown{at(6)})); c.Incarnation != 9 || fmt.Sprint(c.Attempts) != "[b]" {
		t.Errorf("crash of an incarnation that no probe saw: %+v", c)
	}
}

// Pins of lost owners must expire, so that the engine can free their memory, and
// renewals must not send an order to the engine for each heartbeat.
func TestPins(t *testing.T) {
	s := New(Options{PinTerm: 30 * time.Second})
	s.Step(UpstreamUp{at(0), 1})
	s.Step(PinsListed{At: at(0), Incarnation: 1, Pinned: []string{"orphan", "kept"}})
	renewals := 0
	for i := 1; i < 40; i++ {
		for _, e := range s.Step(PinRenewed{At: at(float64(i)), Program: "kept", Slot: 3, Epoch: 1, Term: 30 * time.Second}) {
			if _, ok := e.(RenewPin); ok {
				renewals++
			}
		}
		for _, e := range s.Step(Tick{at(float64(i))}) {
			if r := e.(ReleasePin); r.Program != "orphan" || i != 30 {
				t.Errorf("release of %s after %d s", r.Program, i)
			}
		}
	}
	if s.Pins() != 1 || renewals > 4 {
		t.Errorf("%d pins, %d renewals in 40 s", s.Pins(), renewals)
	}
	s.Step(PinRenewed{At: at(40), Program: "kept", Slot: 3, Epoch: 2})
	s.Step(PinRenewed{At: at(60), Program: "kept", Slot: 3, Epoch: 1}) // from a fenced owner, without effect
	onlyEffect[ReleasePin](t, s.Step(Tick{at(71)}))
}

// Under random interleavings of events, no attempt may be sent twice, after it was
// reported as not run, or under an epoch below the highest one.
func TestRandomInterleavings(t *testing.T) {
	for seed := uint64(0); seed < 200; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New(Options{ResultTerm: 20 * time.Second, ResultBytes: 20, Incarnation: "s.1", OutcomeByKey: seed%2 == 0})
		sent, notRun := map[core.AttemptID]int{}, map[core.AttemptID]bool{}
		attempts := map[Ref]core.AttemptID{}
		epochs := map[core.AttemptID]core.Epoch{}
		var highest core.Epoch
		for i := range 400 {
			a := At{start.Add(time.Duration(i) * 300 * time.Millisecond)}
			id := core.AttemptID(fmt.Sprint("a", rng.IntN(25)))
			epoch := core.Epoch(1 + rng.IntN(1+i/50))
			ref := Ref(i + 1)
			attempts[ref] = id
			var e Event
			switch rng.IntN(9) {
			case 0, 1:
				d := dispatch(string(id), epoch)
				d.At, d.Ref, d.UpstreamIncarnation = a, ref, uint64(rng.IntN(3))
				e = d
			case 2, 3:
				e = SendRequested{At: a, Ref: ref, Attempt: id}
			case 4:
				e = AttemptEnded{At: a, Attempt: id, Result: Result{Ran: core.RanUnknown}}
				if sent[id] > 0 && rng.IntN(2) == 0 {
					e = AttemptEnded{At: a, Attempt: id, Result: answer("0123456789")}
				}
			case 5, 6:
				e = Resolve{At: a, Ref: ref, Attempt: id, Epoch: epoch, Slot: 3, SidecarIncarnation: []string{"s.1", "s.1", "s.0", ""}[rng.IntN(4)]}
			case 7:
				e = UpstreamUp{a, 1 + uint64(rng.IntN(2))}
			default:
				e = Tick{a}
			}
			effects := s.Step(e)
			if d, ok := e.(AttemptDispatched); ok && len(effects) == 1 {
				if _, ok := effects[0].(StartAttempt); ok {
					epochs[id] = d.Epoch
					if d.Epoch < highest {
						t.Fatalf("seed %d: dispatch below the highest epoch started", seed)
					}
				}
			}
			highest = s.Epoch(3)
			for _, eff := range effects {
				switch eff := eff.(type) {
				case AllowSend:
					sent[id]++
					if sent[id] > 1 || notRun[id] || epochs[id] < highest {
						t.Fatalf("seed %d step %d: %s sent %d times, reported as not run %v, epoch %d, highest %d", seed, i, id, sent[id], notRun[id], epochs[id], highest)
					}
				case RefuseAttempt:
					if eff.Ran == core.RanNo {
						notRun[attempts[eff.Ref]] = true
					}
				case Outcome:
					if eff.Result.Ran == core.RanNo {
						notRun[attempts[eff.Ref]] = true
					}
				}
			}
			for id := range notRun {
				if sent[id] > 0 {
					t.Fatalf("seed %d step %d: %s ran and was reported as not run", seed, i, id)
				}
			}
		}
	}
}
