package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

var quiet = slog.New(slog.DiscardHandler)

// fastEngine generates a token per millisecond.
var fastEngine = model.Options{PrefillRate: 1e6, DecodeRate: 1000, RestartDelay: 200 * time.Millisecond}

func startEngine(t testing.TB, o model.Options) *engine.Server {
	t.Helper()
	e, err := engine.New(engine.Config{Model: o, Logger: quiet})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func startService(t testing.TB, noOutcomes bool) *service.Server {
	t.Helper()
	v, err := service.New(service.Config{NoOutcomes: noOutcomes, Logger: quiet})
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = v.Close() })
	return v
}

func engineUpstream(e *engine.Server) Upstream {
	return Upstream{ID: "u1", Kind: core.KindModel, URL: "http://" + e.Addr()}
}

func serviceUpstream(v *service.Server, lookup bool) Upstream {
	return Upstream{ID: "u1", Kind: core.KindService, Service: "orders", URL: "http://" + v.Addr(), OutcomeByKey: lookup}
}

func startSidecar(t testing.TB, u Upstream, change func(*Config)) *Sidecar {
	t.Helper()
	cfg := Config{Instance: "s", Incarnation: "s.1", Upstream: u, Logger: quiet, LingerTerm: 100 * time.Millisecond}
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = s.Stop(ctx)
	})
	eventually(t, "the upstream is reachable", func() bool { return s.Status().Reachable })
	return s
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// peer is an entry, or another process, connected to a sidecar.
type peer struct {
	t  testing.TB
	tr *transport.Transport
	s  *transport.Session
}

func connect(t testing.TB, s *Sidecar, role string) *peer {
	t.Helper()
	tr, err := transport.New(transport.Config{
		Logger: quiet, Hello: func() *peerv1.Hello { return &peerv1.Hello{Instance: "e1", Incarnation: "e1.1", Role: role} },
	}, func(_ context.Context, _ *transport.Session, st *transport.Stream, m *peerv1.Envelope) {
		if m.GetConfigRequest() != nil {
			_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{ConfigPush: &peerv1.ConfigPush{Version: 9, Text: []byte("9")}}})
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{t: t, tr: tr}
	if p.s, err = tr.Dial(t.Context(), s.Addr()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.drop)
	return p
}

// drop ends the connection, as the loss of the peer does.
func (p *peer) drop() { _ = p.s.Close() }

func (p *peer) open(m *peerv1.Envelope) *transport.Stream {
	p.t.Helper()
	st, err := p.s.Open(context.Background(), m)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = st.SetDeadline(time.Now().Add(10 * time.Second))
	return st
}

func (p *peer) dispatch(d *peerv1.Dispatch) *transport.Stream {
	return p.open(&peerv1.Envelope{Body: &peerv1.Envelope_Dispatch{Dispatch: d}})
}

func (p *peer) resolve(attempt, key string) *peerv1.Outcome {
	p.t.Helper()
	st := p.open(&peerv1.Envelope{Body: &peerv1.Envelope_Resolve{Resolve: &peerv1.Resolve{
		Attempt: attempt, Key: key, Slot: 3, Epoch: 1, SidecarIncarnation: "s.1",
	}}})
	defer st.Close()
	m, err := st.Recv()
	if err != nil {
		p.t.Fatal(err)
	}
	return m.GetOutcome()
}

func (p *peer) order(o *peerv1.Order) *peerv1.OrderResult {
	p.t.Helper()
	st := p.open(&peerv1.Envelope{Body: &peerv1.Envelope_Order{Order: o}})
	defer st.Close()
	m, err := st.Recv()
	if err != nil {
		p.t.Fatal(err)
	}
	return m.GetOrderResult()
}

func heartbeat(pins ...*peerv1.PinRenewal) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{Incarnation: "e1.1", Pins: pins}}}
}

// ended is everything that an owner received for a dispatch.
type ended struct {
	started bool
	text    string // of the data
	chunks  int
	cached  int64
	done    *peerv1.Done
	failed  *peerv1.Failed
	err     error
}

func receive(st *transport.Stream) (e ended) {
	defer st.Close()
	for {
		m, err := st.Recv()
		if err != nil {
			e.err = err
			return e
		}
		switch b := m.Body.(type) {
		case *peerv1.Envelope_Started:
			e.started = true
		case *peerv1.Envelope_Data:
			if c, err := parseChunk(b.Data.Chunk); err == nil {
				e.text += c.delta().Content
			}
			e.chunks++
			e.cached += b.Data.CachedTokens
		case *peerv1.Envelope_Done:
			e.done = b.Done
			return e
		case *peerv1.Envelope_Failed:
			e.failed = b.Failed
			return e
		}
	}
}

// whole returns the text of a Done and checks that the stream had the same.
func (e ended) whole(t testing.TB) string {
	t.Helper()
	if e.done == nil {
		t.Fatalf("no answer: failed %v, err %v", e.failed, e.err)
	}
	var body struct {
		ID      string
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(e.done.Body, &body); err != nil || len(body.Choices) != 1 {
		t.Fatalf("answer %s: %v", e.done.Body, err)
	}
	text := body.Choices[0].Message.Content
	if e.chunks > 1 && text != e.text {
		t.Errorf("streamed %q, whole %q", e.text, text)
	}
	return text
}

func words(text string) int { return len(strings.Fields(text)) }

// chat is a model call with an answer of n tokens.
func chat(attempt, content string, n int) *peerv1.Dispatch {
	return &peerv1.Dispatch{
		Attempt: attempt, Program: "p003-x", Slot: 3, Epoch: 1, Kind: string(core.KindModel), Stream: true, Fingerprint: 99,
		Body: fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}],"standin_output_tokens":%d}`, content, n),
	}
}

// book is a non-idempotent service call.
func book(attempt, key string) *peerv1.Dispatch {
	return &peerv1.Dispatch{
		Attempt: attempt, Program: "p003-x", Slot: 3, Epoch: 1, Kind: string(core.KindService), Service: "orders",
		Operation: "book", Key: key, NonIdempotent: true, Body: []byte(`{"gate":4}`),
	}
}
