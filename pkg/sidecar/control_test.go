package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against dispatches and engine orders of a paused owner, at engines
// that check the fencing number and at those that ignore it.
func TestFencedOwner(t *testing.T) {
	for _, checks := range []bool{false, true} {
		o := fastEngine
		o.Fencing = checks
		e := startEngine(t, o)
		p := connect(t, startSidecar(t, engineUpstream(e), nil), roleEntry)
		pin := &peerv1.Order{Order: core.OrderPin, Program: "p003-x", Slot: 3, Epoch: 5, TermMs: 1000}
		if r := p.order(pin); r.Error != "" || r.Fenced {
			t.Fatalf("order of the owner: %v", r)
		}
		stale := &peerv1.Order{Order: core.OrderRelease, Program: "p003-x", Slot: 3, Epoch: 4}
		if r := p.order(stale); !r.Fenced || r.Error == "" {
			t.Errorf("engine checks %v: order of a paused owner: %v", checks, r)
		}
		d := chat("a1", "hello", 5)
		d.Epoch = 4
		if r := receive(p.dispatch(d)); r.failed == nil || !r.failed.Fenced || r.failed.Ran != string(core.RanNo) {
			t.Errorf("dispatch of a paused owner: %+v", r)
		}
		if r := p.order(&peerv1.Order{Order: core.OrderPin, Program: "p004-y", Slot: 4, Epoch: 1}); r.Error != "" {
			t.Errorf("lower epoch of another slot: %v", r)
		}
		st := e.Stats()
		if len(st.Orders) != 2 || len(st.Runs) != 0 || st.Orders[0].Fencing != 5 {
			t.Errorf("the engine saw orders %+v and runs %v", st.Orders, st.Runs)
		}
	}
}

// Guards against commands from processes that are not entries.
func TestOnlyEntriesCommand(t *testing.T) {
	e := startEngine(t, fastEngine)
	s := startSidecar(t, engineUpstream(e), nil)
	p := connect(t, s, roleSidecar)
	if r := receive(p.dispatch(chat("a1", "hello", 5))); r.failed == nil || r.failed.Ran != string(core.RanNo) {
		t.Errorf("dispatch: %+v", r)
	}
	if r := p.order(&peerv1.Order{Order: core.OrderPin, Program: "p", Epoch: 9}); r.Error == "" {
		t.Error("order accepted")
	}
	push := p.open(&peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{ConfigPush: &peerv1.ConfigPush{Version: 9}}})
	if m, err := push.Recv(); err != nil || m.GetAck().GetError() == "" {
		t.Errorf("configuration: %v, %v", m, err)
	}
	hb := p.open(heartbeat(&peerv1.PinRenewal{Program: "p", Epoch: 9}))
	if _, err := hb.Recv(); err != nil {
		t.Fatal(err)
	}
	if st := s.Status(); st.Pins != 0 || st.ConfigVersion != 0 {
		t.Errorf("state after refused commands: %+v", st)
	}
}

// Guards against a configuration that reverts, and one that is not passed on.
func TestConfigOnlyGrows(t *testing.T) {
	s := startSidecar(t, engineUpstream(startEngine(t, fastEngine)), nil)
	p := connect(t, s, roleEntry)
	for _, c := range []struct {
		version uint64
		refused bool
	}{{5, false}, {4, true}, {5, false}, {7, false}} {
		st := p.open(&peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{ConfigPush: &peerv1.ConfigPush{Version: c.version, Text: fmt.Append(nil, c.version)}}})
		if m, err := st.Recv(); err != nil || (m.GetAck().GetError() != "") != c.refused {
			t.Errorf("version %d: %v, %v", c.version, m, err)
		}
	}
	st := p.open(&peerv1.Envelope{Body: &peerv1.Envelope_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}}})
	if m, err := st.Recv(); err != nil || m.GetConfigPush().GetVersion() != 7 || string(m.GetConfigPush().GetText()) != "7" {
		t.Errorf("passed on: %v, %v", m, err)
	}
	st = p.open(&peerv1.Envelope{Body: &peerv1.Envelope_StatusRequest{StatusRequest: &peerv1.StatusRequest{}}})
	var status Status
	defer func() {
		// A push that was missed is made up for.
		p.open(&peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{ConfigVersion: 9}}})
		eventually(t, "the version of the heartbeat is in force", func() bool { return s.Status().ConfigVersion == 9 })
	}()
	if m, err := st.Recv(); err != nil || json.Unmarshal(m.GetStatusReply().GetJson(), &status) != nil || status.ConfigVersion != 7 {
		t.Errorf("status: %v, %v", m, err)
	}
}

// Guards against engine memory that stays pinned after a restart of the
// sidecar although no owner claims it, and against the release of claimed
// memory.
func TestReconcileAfterRestart(t *testing.T) {
	e := startEngine(t, fastEngine)
	first := startSidecar(t, engineUpstream(e), nil)
	p := connect(t, first, roleEntry)
	for _, program := range []string{"p003-kept", "p003-lost"} {
		d := chat("a-"+program, "hello", 5)
		d.Program = program
		receive(p.dispatch(d)).whole(t)
		if r := p.order(&peerv1.Order{Order: core.OrderPin, Program: program, Slot: 3, Epoch: 1}); r.Error != "" {
			t.Fatal(r)
		}
	}
	if err := first.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	second := startSidecar(t, engineUpstream(e), func(c *Config) { c.Incarnation, c.PinTerm = "s.2", 600*time.Millisecond })
	eventually(t, "the pins are adopted", func() bool { return second.Status().Pins == 2 })
	p = connect(t, second, roleEntry)
	hb := p.open(heartbeat(&peerv1.PinRenewal{Program: "p003-kept", Slot: 3, Epoch: 1}))
	released := func() (list []string) {
		for _, o := range e.Stats().Orders {
			if o.Order == core.OrderRelease {
				list = append(list, o.Program)
			}
		}
		return list
	}
	eventually(t, "the lost program is released", func() bool {
		_ = hb.Send(heartbeat(&peerv1.PinRenewal{Program: "p003-kept", Slot: 3, Epoch: 1}))
		return len(released()) > 0
	})
	if list := released(); len(list) != 1 || list[0] != "p003-lost" {
		t.Errorf("released %v", list)
	}
}

// Guards against cache events, load or held prefixes that do not reach an
// entry, whether it was connected before or after.
func TestHeartbeatReports(t *testing.T) {
	o := fastEngine
	o.EventDelay = time.Millisecond
	e := startEngine(t, o)
	s := startSidecar(t, engineUpstream(e), nil)
	early := connect(t, s, roleEntry)
	hb := early.open(heartbeat())
	receive(early.dispatch(chat("a1", "hello", 5))).whole(t)
	held := func(hb interface {
		Send(*peerv1.Envelope) error
		Recv() (*peerv1.Envelope, error)
	}) (number uint64) {
		for range 100 {
			_ = hb.Send(heartbeat())
			m, err := hb.Recv()
			if err != nil {
				t.Fatal(err)
			}
			for _, ev := range m.GetHeartbeat().GetCacheEvents() {
				if ev.Prefix == "p003-x" && ev.Tokens > 0 {
					return ev.Number
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the prefix was not reported")
		return 0
	}
	if n := held(hb); n == 0 {
		t.Error("a live event must have a number")
	}
	late := connect(t, s, roleEntry).open(heartbeat())
	if n := held(late); n != 0 {
		t.Errorf("listing has number %d, want 0", n)
	}
	if r := early.order(&peerv1.Order{Order: core.OrderResyncCache, Slot: 3, Epoch: 1}); r.Error != "" {
		t.Error(r)
	}
	if n := held(hb); n != 0 {
		t.Errorf("resync has number %d, want 0", n)
	}
}

// Guards against KV cache that arrives incomplete, and against a sidecar that
// may do more than fetch it.
func TestKVTransfer(t *testing.T) {
	e1, e2 := startEngine(t, fastEngine), startEngine(t, fastEngine)
	from := startSidecar(t, engineUpstream(e1), nil)
	to := startSidecar(t, engineUpstream(e2), nil)
	receive(connect(t, from, roleEntry).dispatch(chat("a1", "hello", 5))).whole(t)
	p := connect(t, to, roleEntry)
	if r := p.order(&peerv1.Order{Order: core.OrderImportKV, Program: "p003-x", Argument: from.Addr(), Slot: 3, Epoch: 1}); r.Error != "" {
		t.Fatal(r)
	}
	if r := receive(p.dispatch(chat("a2", "hello", 5))); r.done.GetCachedTokens() == 0 {
		t.Error("nothing cached after the import")
	}
	if r := p.order(&peerv1.Order{Order: core.OrderImportKV, Program: "p003-none", Argument: from.Addr(), Slot: 3, Epoch: 1}); r.Error == "" {
		t.Error("import of a prefix that is not held succeeded")
	}
}

// Guards against gaps that vanish, events of a restarted engine that are taken
// for old ones, and prefixes believed held after a crash.
func TestCacheLog(t *testing.T) {
	c := newCacheLog(1000)
	ev := func(n uint64, prefix string, tokens int64) engineEvent { return engineEvent{n, prefix, tokens} }
	if gaps := c.take(engineEvents{Incarnation: 1, Events: []engineEvent{ev(5, "p", 10), ev(6, "q", 20), ev(9, "p", 30)}}); gaps != 1 {
		t.Errorf("%d gaps, want 1", gaps)
	}
	list, next, ok := c.after(1000, 10)
	if !ok || len(list) != 3 || list[0].Number != 1001 || list[2].Number != 1005 || next != 1005 {
		t.Errorf("events %v, next %d", list, next)
	}
	c.lost()
	c.take(engineEvents{Incarnation: 2, Events: []engineEvent{ev(1, "r", 40)}})
	list, _, _ = c.after(next, 10)
	if len(list) != 3 || list[0].Tokens != 0 || list[1].Tokens != 0 || list[2].Prefix != "r" || len(c.held) != 1 {
		t.Errorf("after the restart: %v, held %v", list, c.held)
	}
	for i := range uint64(3 * eventMemory) {
		c.take(engineEvents{Incarnation: 2, Events: []engineEvent{ev(i+2, "s", int64(i+1))}})
	}
	if _, _, ok := c.after(next, 10); ok {
		t.Error("dropped events were passed over silently")
	}
	if resync := c.resync(2, map[string]int64{"s": 7}); len(resync) != 2 || resync[0].Prefix != "r" || resync[0].Tokens != 0 {
		t.Errorf("resync %v", resync)
	}
}

// Guards against a parser that panics, blocks or returns a partial event.
func FuzzEngineStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\r\ndata: a\r\ndata: b\r\n\r\ndata: cut"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := newEventReader(bytes.NewReader(in))
		var asm assembly
		for {
			data, err := r.next()
			if err != nil {
				if err == io.EOF && len(in) > 0 && bytes.HasSuffix(bytes.TrimRight(in, "\r"), []byte("data: x")) {
					t.Fatal("an event cut short ended as a whole input")
				}
				break
			}
			if c, err := parseChunk(data); err == nil {
				asm.add(c)
			}
		}
		if b, err := asm.whole("id", "stop"); err != nil || !json.Valid(b) {
			t.Fatalf("answer %q: %v", b, err)
		}
	})
}

// Guards against cache events that are accepted out of order or without a
// prefix.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(`{"incarnation":1,"events":[{"number":1,"prefix":"p","tokens":5},{"number":3,"prefix":"q","tokens":0}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		ev, err := parseEvents(in)
		if err != nil {
			return
		}
		c := newCacheLog(7)
		c.take(ev)
		last := uint64(7)
		for _, e := range c.events {
			if e.Number <= last || e.Prefix == "" || e.Tokens < 0 {
				t.Fatalf("event %v after number %d", e, last)
			}
			last = e.Number
		}
	})
}
