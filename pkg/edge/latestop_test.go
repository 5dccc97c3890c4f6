package edge

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// platformGrace is the grace period of the users' platform.
const platformGrace = 8 * time.Second

// passedOn holds the ids of the requests that upstreams received.
type passedOn struct{ ids sync.Map }

func (p *passedOn) add(req *http.Request)   { p.ids.Store(req.Header.Get("Attempt-Id"), true) }
func (p *passedOn) has(id string) (ok bool) { _, ok = p.ids.Load(id); return ok }

// checkRefused reports whether an answer is a refusal that sends its caller to another
// edge, of a request that no upstream received.
func (p *passedOn) checkRefused(t *testing.T, id string, a response) {
	t.Helper()
	if a.err != nil || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.header.Get("Connection") != "close" || p.has(id) {
		t.Errorf("%s: passed on %v, %+v", id, p.has(id), a)
	}
}

// TestLateRequestsAreCutAtStop guards against a stop that passes on requests which come late
// in the grace and may last longer than its rest: their callers got no answer. Requests that
// are short on this edge are answered to the end.
func TestLateRequestsAreCutAtStop(t *testing.T) {
	t.Parallel()
	const (
		connectAt = 1800 * time.Millisecond
		sendAt    = 3800 * time.Millisecond
	)
	d := newDeployment(t)
	d.storages()
	short := map[string]any{"Name": "short", "PathPrefix": "/short/", "Kind": "unsafe", "Service": "app"}
	for _, r := range []map[string]any{safeRoute, unsafeRoute, resumable, history, short} {
		r = clone(r)
		r["TimeoutMs"] = 20000
		d.route(r)
	}
	var got passedOn
	serve := func(w http.ResponseWriter, req *http.Request) {
		got.add(req)
		if req.URL.Path != "/short/1" {
			select {
			case <-req.Context().Done():
				return
			case <-time.After(6 * time.Second):
			}
		}
		serveAny(w, req)
	}
	d.upstream("u1", "app", serve)
	d.upstream("u2", "llm", serve)
	s := d.settings("127.0.0.1")
	s.StopGrace = platformGrace
	p := d.edgeWith(s)
	p.ready(t, 2, 3)
	for range 100 {
		p.edge.times.add("short", 50*time.Millisecond)
	}
	began := time.Now()
	p.cancel()
	var callers sync.WaitGroup
	at := func(sendAt time.Duration, id string, check func(id string, a response), parts ...string) {
		callers.Go(func() {
			time.Sleep(time.Until(began.Add(min(connectAt, sendAt))))
			caller := p.raw(t)
			for _, part := range parts[:len(parts)-1] {
				caller.send(part)
			}
			time.Sleep(time.Until(began.Add(sendAt)))
			caller.send(parts[len(parts)-1])
			check(id, caller.receive("POST"))
		})
	}
	late := func(id string, check func(id string, a response), parts ...string) { at(sendAt, id, check, parts...) }
	refused := func(id string, a response) { got.checkRefused(t, id, a) }
	answered := func(id string, a response) {
		if !a.signedSuccess() {
			t.Errorf("%s: %+v", id, a)
		}
	}
	for id, request := range map[string]string{
		"safe":    rawRequest("POST", "/safe/1", "safe", "in"),
		"unsafe":  rawRequest("POST", "/unsafe/1", "unsafe", "in"),
		"stream":  rawRequest("POST", "/resumable/1", "stream", "in"),
		"turn":    rawRequest("POST", "/history/1", "turn", "in", "Program-Id: p", "Token-Budget: 1000", "Token-Count: 10,20"),
		"take-up": rawRequest("POST", "/resumable/1", "take-up", "in", "Last-Event-Id: 2"),
	} {
		late(id, refused, request)
	}
	late("body", refused, rawRequest("POST", "/unsafe/1", "body", "", "Content-Length: 4")+"in", "in")
	for i := range 8 {
		id := fmt.Sprintf("short-%d", i)
		at(sendAt*time.Duration(i)/7, id, answered, rawRequest("POST", "/short/1", id, "in"))
	}
	deadline := rawRequest("POST", "/unsafe/1", "deadline", "in", "Deadline-Ms: 1000")
	late("deadline", func(id string, a response) {
		if a.status != http.StatusGatewayTimeout || !got.has(id) {
			t.Errorf("%s: passed on %v, %+v", id, got.has(id), a)
		}
	}, deadline)
	callers.Wait()
}

// TestBodyAtEndOfStop guards against a stop that closes the connection of a caller which is
// still sending its body, where it can promise that the request has not run.
func TestBodyAtEndOfStop(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var got passedOn
	d.upstream("u1", "app", func(_ http.ResponseWriter, req *http.Request) { got.add(req) })
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	caller := p.raw(t)
	caller.send(rawRequest("POST", "/unsafe/1", "a", "", "Content-Length: 4") + "in")
	eventually(t, "the request is not read", func() bool { n, _ := p.edge.inFlight.ids(); return n == 1 })
	p.cancel()
	got.checkRefused(t, "a", caller.receive("POST"))
}

// TestTurnNotBegunAtEndOfStop guards against a stop that answers a turn which still waits
// for the ledger as if it may have run.
func TestTurnNotBegunAtEndOfStop(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	var got passedOn
	d.upstream("u1", "llm", func(_ http.ResponseWriter, req *http.Request) { got.add(req) })
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for _, name := range []string{"s1", "s2", "s3"} {
		d.store.Put(platform.KindNodes, name, platform.Node{
			Role: platform.RoleStorage, Address: silent.Addr().String(), FailureDomain: "a1", Active: true,
		})
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	p.edge.times.add("history", time.Millisecond)
	caller := p.raw(t)
	caller.send(rawRequest("POST", "/history/1", "a", "in", "Program-Id: p", "Token-Budget: 1000", "Token-Count: 10,20"))
	eventually(t, "the request is not read", func() bool { n, _ := p.edge.inFlight.ids(); return n == 1 })
	p.cancel()
	got.checkRefused(t, "a", caller.receive("POST"))
}

// TestUsuallyLongRequestsInStop guards against a stop that passes on requests, or passes
// them on again after a lost attempt, although requests of their route usually last longer
// than the rest of the grace.
func TestUsuallyLongRequestsInStop(t *testing.T) {
	t.Parallel()
	const (
		grace    = 4 * time.Second
		usual    = 2 * time.Second
		lateInIt = 2 * time.Second // 1.5 s remain until requests are cut
	)
	d := newDeployment(t)
	for _, r := range []map[string]any{safeRoute, unsafeRoute, resumable} {
		r = clone(r)
		r["TimeoutMs"] = 20000
		r["TargetLatencyMs"] = 4000 // silence is no reason to leave an upstream
		d.route(r)
	}
	var got passedOn
	var attempts atomic.Int32
	lose := make(chan struct{})
	serve := func(w http.ResponseWriter, req *http.Request) {
		got.add(req)
		switch id := req.Header.Get("Attempt-Id"); {
		case id == "lost" && attempts.Add(1) == 1:
			<-lose
			reset(w)
			return
		case id == "begun" && req.Header.Get("Last-Event-Id") == "":
			events(w, req, 1, 1)
			<-lose
			cut(w)
		case id == "begun":
			events(w, req, 2, 3)
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(usual):
		}
		serveAny(w, req)
	}
	d.upstream("u1", "app", serve)
	d.upstream("u2", "app", serve)
	d.upstream("u3", "llm", serve)
	d.upstream("u4", "llm", serve)
	s := d.settings("127.0.0.1")
	s.StopGrace = grace
	p := d.edgeWith(s)
	p.ready(t, 4, 0)
	paths := []string{"/safe/1", "/unsafe/1", "/resumable/1"}
	kept := make([]*rawCaller, len(paths))
	var callers sync.WaitGroup
	for i, path := range paths {
		kept[i] = p.raw(t)
		callers.Go(func() {
			kept[i].send(rawRequest("POST", path, fmt.Sprint("before", i), "in"))
			if a := kept[i].receive("POST"); !a.signedSuccess() {
				t.Errorf("%s: %+v", path, a)
			}
		})
	}
	callers.Wait()
	lost := p.raw(t)
	lost.send(rawRequest("POST", "/safe/1", "lost", "in"))
	begun := p.raw(t)
	begun.send(rawRequest("POST", "/resumable/1", "begun", "in"))
	eventually(t, "the requests are not passed on", func() bool { return got.has("lost") && got.has("begun") })
	began := time.Now()
	p.cancel()
	eventually(t, "the edge does not drain", p.edge.draining.Load)
	// The whole grace can hold a request.
	first := p.raw(t)
	first.send(rawRequest("POST", "/unsafe/1", "first", "in"))
	idle := make([]*rawCaller, len(paths))
	time.Sleep(time.Until(began.Add(grace / 4))) // the listener is open for half of the grace
	for i := range paths {
		idle[i] = p.raw(t)
	}
	time.Sleep(time.Until(began.Add(lateInIt)))
	for i, path := range paths {
		id := fmt.Sprint("late", i)
		callers.Go(func() {
			idle[i].send(rawRequest("POST", path, id, "in"))
			got.checkRefused(t, id, idle[i].receive("POST"))
		})
	}
	close(lose)
	if a := lost.receive("POST"); a.err != nil || a.status != http.StatusBadGateway || attempts.Load() != 1 {
		t.Errorf("after a lost attempt: %d attempts, %+v", attempts.Load(), a)
	}
	if took := time.Since(began); took > grace-stopMargin-cutAnswerTime {
		t.Errorf("the request of a lost attempt was answered %v after the stop began", took)
	}
	if a := begun.receive("POST"); !a.signedSuccess() || eventIDs(a.body) != "1 2 3" {
		t.Errorf("a stream that had begun: %+v", a)
	}
	if a := first.receive("POST"); !a.signedSuccess() {
		t.Errorf("early in the stop: %+v", a)
	}
	callers.Wait()
}
