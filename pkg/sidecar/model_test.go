package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
)

// Guards against answers that lose tokens, usage or the cache hit on the way.
func TestModelCall(t *testing.T) {
	e := startEngine(t, fastEngine)
	p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
	first := receive(p.dispatch(chat("a1", "hello", 40)))
	if n := words(first.whole(t)); n != 40 || !first.started || first.done.OutputTokens != 40 {
		t.Errorf("%d words, started %v, usage %d", n, first.started, first.done.OutputTokens)
	}
	d := chat("a2", "hello again", 5)
	d.Stream = false
	second := receive(p.dispatch(d))
	if n := words(second.whole(t)); n != 5 || second.text != "" || second.cached == 0 || second.done.CachedTokens != second.cached {
		t.Errorf("not streamed: %d words, text %q, cached %d of %d", n, second.text, second.cached, second.done.CachedTokens)
	}
}

// Guards against a program that gets more tokens than were reserved for it,
// also from an engine that ignores max_tokens.
func TestTokenLimit(t *testing.T) {
	e := startEngine(t, fastEngine)
	s := startSidecar(t, engineUpstream(e), nil)
	m := &modelCall{s: s, c: &call{d: chat("a", "x", 1), send: func(*peerv1.Data) error { return nil }}, limit: 3}
	for i := int64(0); ; i++ {
		c, err := parseChunk([]byte(`{"id":"a","choices":[{"delta":{"content":"w "}}]}`))
		if err != nil {
			t.Fatal(err)
		}
		if o, over := m.take(item{pos: i, c: c}); over {
			if i != 3 || o.done.OutputTokens != 3 || o.done.FinishReason != "length" {
				t.Errorf("ended at chunk %d: %+v", i, o.done)
			}
			break
		}
	}
	if c, _ := parseChunk([]byte(`{"id":"a","choices":[{"delta":{},"finish_reason":"cancelled"}]}`)); c != nil {
		if o, over := m.take(item{pos: 3, c: c}); !over || o.done != nil {
			t.Errorf("an answer that the engine gave up was passed off as whole: %+v", o)
		}
	}
	d := chat("a1", "hello", 40)
	d.MaxTokens = 7
	if o := receive(connect(t, s, roleEntry).dispatch(d)); words(o.whole(t)) != 7 || o.done.FinishReason != "length" {
		t.Errorf("%d words, reason %s", words(o.whole(t)), o.done.FinishReason)
	}
}

// Guards against damaged streams that are passed off as whole or repeat
// tokens. Each fault must give the same answer as an undisturbed call.
func TestDamagedStreams(t *testing.T) {
	for name, f := range map[string]engine.Faults{
		"cut":       {Cut: 1, CutAfter: 10},
		"cut early": {Cut: 1},
		"truncated": {Truncate: 1, CutAfter: 10},
		"wrong id":  {WrongID: 1},
		"twice":     {Twice: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, fastEngine)
			p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
			want := receive(p.dispatch(chat("a1", "hello", 40))).whole(t)
			e.SetFaults(f)
			if got := receive(p.dispatch(chat("a2", "hello", 40))).whole(t); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if n := e.Stats().Runs["a2"]; n != 1 {
				t.Errorf("the engine ran the request %d times", n)
			}
		})
	}
}

// Guards against a cut stream that cannot be resumed being passed off as whole.
func TestCutWithoutResumeFails(t *testing.T) {
	e := startEngine(t, fastEngine)
	p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
	e.SetFaults(engine.Faults{Cut: 1, CutAfter: 10, NoResume: true})
	o := receive(p.dispatch(chat("a", "hello", 40)))
	if o.failed == nil || o.failed.Ran != string(core.RanYes) || o.failed.Crashed {
		t.Errorf("done %v, failed %v", o.done, o.failed)
	}
}

// Guards against a call that hangs on a connection gone silent without a
// reset, at the start, in the middle, and on a pooled connection.
func TestSilentUpstreamConnection(t *testing.T) {
	for _, after := range []int64{0, 20} {
		e := startEngine(t, fastEngine)
		p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
		want := receive(p.dispatch(chat("a1", "hello", 40))).whole(t)
		e.SetFaults(engine.Faults{Silent: 1, CutAfter: after})
		began := time.Now()
		if got := receive(p.dispatch(chat("a2", "hello", 40))).whole(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("silence after %d tokens: noticed after %v, want at most 3 s", after, took)
		}
	}
	e := startEngine(t, fastEngine)
	p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
	receive(p.dispatch(chat("a1", "hello", 4))).whole(t)
	time.Sleep(20 * time.Millisecond) // the connection returns to the pool
	e.Silence()
	began := time.Now()
	o := receive(p.dispatch(chat("a2", "hello", 4)))
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("a silent pooled connection took %v, want at most 3 s", took)
	}
	if o.failed == nil || o.failed.Ran == string(core.RanNo) {
		t.Errorf("swallowed request: %+v", o)
	}
}

// Guards against a request that waits for a slot or a long prompt being taken
// for one on a silent connection.
func TestWaitingIsNotSilence(t *testing.T) {
	o := fastEngine
	o.Slots, o.DecodeRate = 1, 100
	e := startEngine(t, o)
	p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
	first, second := p.dispatch(chat("a", "one", 500)), p.dispatch(chat("b", "two", 5))
	if n := words(receive(first).whole(t)); n != 500 {
		t.Errorf("%d words", n)
	}
	if n := words(receive(second).whole(t)); n != 5 {
		t.Errorf("%d words", n)
	}
}

// Guards against a call that outlives its deadline or a cancel, and against
// an engine that goes on generating for it.
func TestDeadlineAndCancel(t *testing.T) {
	o := fastEngine
	o.DecodeRate = 50
	e := startEngine(t, o)
	p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
	d := chat("a1", "hello", 4000)
	d.DeadlineMs = 300
	began := time.Now()
	if r := receive(p.dispatch(d)); r.failed == nil || r.failed.Step != "deadline" || time.Since(began) > time.Second {
		t.Errorf("after %v: %+v", time.Since(began), r)
	}
	st := p.dispatch(chat("a2", "hello", 4000))
	if _, err := st.Recv(); err != nil {
		t.Fatal(err)
	}
	_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Cancel{Cancel: &peerv1.Cancel{}}})
	if r := receive(st); r.failed == nil || r.failed.Step != "cancel" {
		t.Errorf("canceled: %+v", r)
	}
	lost := p.dispatch(chat("a3", "hello", 4000))
	if _, err := lost.Recv(); err != nil {
		t.Fatal(err)
	}
	p.drop()
	eventually(t, "the engine stops generating", func() bool { return e.Stats().Running == 0 })
}

// Guards against an engine that goes on generating because the cancel, which
// has a connection of its own, arrived before the request was admitted.
func TestCancelBeforeAdmission(t *testing.T) {
	o := fastEngine
	o.DecodeRate = 50
	e := startEngine(t, o)
	e.SetFaults(engine.Faults{AdmitMS: 300})
	p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
	st := p.dispatch(chat("a1", "hello", 4000))
	if m, err := st.Recv(); err != nil || m.GetStarted() == nil {
		t.Fatalf("%v, %v", m, err)
	}
	eventually(t, "the engine receives the request", func() bool { return e.Stats().Received == 1 })
	if e.Stats().Runs["a1"] != 0 {
		t.Fatal("the engine has admitted the request before its cancel")
	}
	p.drop()
	eventually(t, "the engine admits the request", func() bool { return e.Stats().Runs["a1"] == 1 })
	admitted := time.Now()
	eventually(t, "the engine stops generating", func() bool { return e.Stats().Running == 0 })
	if took := time.Since(admitted); took > controlTimeout {
		t.Errorf("the engine went on for %v after the cancel, want at most %v", took, controlTimeout)
	}
}

// Guards against a crash whose requests are not reported, or reported as
// finished, and against a dispatch to an engine that has restarted since.
func TestUpstreamCrash(t *testing.T) {
	o := fastEngine
	o.DecodeRate = 50
	e := startEngine(t, o)
	s := startSidecar(t, engineUpstream(e), nil)
	p := connect(t, s, roleEntry)
	hb := p.open(heartbeat())
	defer hb.Close()
	if m, err := hb.Recv(); err != nil || m.GetHeartbeat().GetUpstream().GetIncarnation() != 1 {
		t.Fatalf("first heartbeat %v, %v", m, err)
	}
	bystander := p.dispatch(chat("a1", "long", 4000))
	if m, err := bystander.Recv(); err != nil || m.GetStarted() == nil {
		t.Fatalf("%v, %v", m, err)
	}
	e.SetFaults(engine.Faults{CrashOn: "poison"})
	d := chat("a2", "poison", 10)
	d.Fingerprint = 666
	culprit := receive(p.dispatch(d))
	// The report is sent before the failures: it waits on the heartbeat stream.
	_ = hb.SetDeadline(time.Now().Add(500 * time.Millisecond))
	for _, r := range []ended{culprit, receive(bystander)} {
		if r.failed == nil || !r.failed.Crashed || r.failed.Ran == string(core.RanNo) {
			t.Errorf("on board of a crash: %+v, %v", r, r.failed)
		}
	}
	var crash *peerv1.Crash
	for crash == nil {
		m, err := hb.Recv() // pushed without a request
		if err != nil {
			t.Fatal(err)
		}
		if c := m.GetHeartbeat().GetCrashes(); len(c) > 0 {
			crash = c[0]
		}
	}
	if crash.Incarnation != 1 || len(crash.Fingerprints) != 2 || crash.Fingerprints[0] != 99 || crash.Fingerprints[1] != 666 {
		t.Errorf("crash report %v", crash)
	}
	eventually(t, "the next incarnation is up", func() bool { st := s.Status(); return st.UpstreamIncarnation == 2 && st.Reachable })
	d = chat("a3", "hello", 5)
	d.UpstreamIncarnation = 1
	if r := receive(p.dispatch(d)); r.failed == nil || r.failed.Ran != string(core.RanNo) {
		t.Errorf("dispatch to the earlier incarnation: %+v", r)
	}
	receive(p.dispatch(chat("a4", "hello", 5))).whole(t)
}

// Guards against a planned stop that cuts a long answer, takes new work, or is
// announced late.
func TestDrainWithLongStream(t *testing.T) {
	o := fastEngine
	o.DecodeRate = 200
	e := startEngine(t, o)
	s := startSidecar(t, engineUpstream(e), nil)
	p := connect(t, s, roleEntry)
	hb := p.open(heartbeat())
	if _, err := hb.Recv(); err != nil {
		t.Fatal(err)
	}
	st := p.dispatch(chat("a1", "long", 300))
	if _, err := st.Recv(); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- s.Stop(context.Background()) }()
	m, err := hb.Recv()
	if err != nil || !m.GetHeartbeat().GetLeaving() || time.Since(began) > 500*time.Millisecond {
		t.Errorf("leaving announced after %v: %v, %v", time.Since(began), m, err)
	}
	if r := receive(p.dispatch(chat("a2", "new", 5))); r.failed == nil || !r.failed.Draining || r.failed.Ran != string(core.RanNo) {
		t.Errorf("dispatch while draining: %+v", r)
	}
	if n := words(receive(st).whole(t)); n != 300 {
		t.Errorf("%d words, want 300", n)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	// The answer takes 1.5 s; open heartbeat streams must not add 2 s.
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the stop took %v for an answer of 1.5 s", took)
	}
}
