package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	versionedStreams = 24 // streams of one case
	eventsPerStream  = 6
	// breakAfter is the number of events after which an upstream breaks a stream off.
	breakAfter = 3
)

// versionedUpstreams are upstreams of the service "llm" whose events name the version of
// their software.
type versionedUpstreams struct {
	d *deployment
	// breaks is set while upstreams break off each stream that they begin.
	breaks atomic.Bool
	// breaksContinued is set while they also break off streams that they continue, after
	// one event.
	breaksContinued atomic.Bool
	count           int
	registrations   map[string][2]string // address and version by id
}

// announce announces the shutdown of an upstream in its registration.
func (v *versionedUpstreams) announce(id string) {
	r := v.registrations[id]
	v.d.registerVersion(id, "llm", r[0], r[1], "draining")
}

// start registers n upstreams of a version.
func (v *versionedUpstreams) start(n int, version string) {
	for range n {
		v.count++
		v.startAs(fmt.Sprint("v", v.count), version, version)
	}
}

// startAs starts an upstream of a version and registers it under an id with the version
// that it names; empty: it names none. It replaces an earlier registration of the id.
func (v *versionedUpstreams) startAs(id, version, named string) {
	srv := httptest.NewServer(withState(func() int64 { return 1 }, v.handler(version)))
	v.d.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	address := strings.TrimPrefix(srv.URL, "http://")
	if v.registrations == nil {
		v.registrations = make(map[string][2]string)
	}
	v.registrations[id] = [2]string{address, named}
	v.d.registerVersion(id, "llm", address, named, "ready")
}

func (v *versionedUpstreams) handler(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		from, continued := 0, req.Header.Get("Last-Event-Id") != ""
		if continued {
			from, _ = strconv.Atoi(req.Header.Get("Last-Event-Id"))
		}
		last, broken := eventsPerStream, false
		switch {
		case continued && v.breaksContinued.Load():
			last, broken = from+1, true
		case !continued && v.breaks.Load():
			last, broken = breakAfter, true
		}
		sign(w, req)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			_ = http.NewResponseController(w).Flush()
		}
		if broken {
			cut(w)
		}
	}
}

// registerVersion registers an upstream with the version of its software.
func (d *deployment) registerVersion(id, service, address, version, state string) {
	d.store.Put(platform.KindUpstreams, id, map[string]any{
		"Service": service, "Address": address, "Zone": "a1", "Slots": 8, "State": state, "born": 1, "Version": version,
	})
}

// versionsOf returns the versions that the events of a stream name.
func versionsOf(body string) map[string]bool {
	versions := make(map[string]bool)
	for line := range strings.SplitSeq(body, "\n") {
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			versions[v] = true
		}
	}
	return versions
}

// streamHeader returns the headers of a request for a stream; budget adds those of a
// program.
func streamHeader(id string, budget bool) map[string]string {
	h := map[string]string{"Attempt-Id": id}
	if budget {
		h["Program-Id"], h["Token-Budget"], h["Token-Count"] = "p"+id[:1]+id, "100000", "10,140"
	}
	return h
}

// TestStreamContinuedAtOtherVersion guards against an answer whose events come from two
// software versions, after the upstream that began it broke off (issue 29).
func TestStreamContinuedAtOtherVersion(t *testing.T) {
	t.Parallel()
	for name, budget := range map[string]bool{"with budget": true, "without budget": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			v := &versionedUpstreams{d: d}
			v.breaks.Store(true)
			v.start(2, "v1")
			v.start(6, "v2")
			storages := 0
			if budget {
				storages = len(d.storages())
			}
			p := d.edge("127.0.0.1")
			p.ready(t, 8, storages)
			joined, complete := 0, 0
			for i := range versionedStreams {
				a := p.call(t, "POST", "/resumable/1", "in", streamHeader(fmt.Sprint("s", i), budget))
				if len(versionsOf(a.body)) > 1 {
					joined++
				}
				if a.err == nil && a.status == http.StatusOK {
					complete++
				}
			}
			if joined > 0 {
				t.Errorf("%d of %d answers join events of two versions", joined, versionedStreams)
			}
			if complete < versionedStreams/2 {
				t.Errorf("%d of %d answers are complete, although two upstreams of each version serve", complete, versionedStreams)
			}
		})
	}
}

// takeUpCase is one way in which callers take streams up again.
type takeUpCase struct {
	noBudget bool
	// before changes the deployment between the break and the next attempts, which then
	// go to the returned edge.
	before func(d *deployment, v *versionedUpstreams, first, other *process) *process
	// powerLoss is set if all edges and storage processes end at the same time and start
	// again, with the disks of the storage processes.
	powerLoss bool
	// attempts is the number of attempts that take a stream up; 0: one.
	attempts int
}

// restart starts an edge again, as after a kill.
func (d *deployment) restart(p *process) *process {
	p.stop()
	again := *p.settings
	again.FirstStart = false
	return d.edgeWith(&again)
}

// TestStreamTakenUpAtOtherVersion guards against streams that callers take up again and
// that go on at another software version than the one that began them, and against
// refusing them although two upstreams of their version serve (issue 29).
func TestStreamTakenUpAtOtherVersion(t *testing.T) {
	other := func(_ *deployment, _ *versionedUpstreams, _, other *process) *process { return other }
	for name, c := range map[string]takeUpCase{
		"at another edge":               {before: other},
		"at another edge, three times":  {before: other, attempts: 3},
		"no program, at another edge":   {before: other, noBudget: true},
		"no program, at the first edge": {before: func(_ *deployment, _ *versionedUpstreams, first, _ *process) *process { return first }, noBudget: true},
		"the first edge is gone": {before: func(_ *deployment, _ *versionedUpstreams, first, other *process) *process {
			first.stop()
			return other
		}},
		"the store is away": {before: func(d *deployment, _ *versionedUpstreams, _, other *process) *process {
			d.store.SetDown(true)
			return other
		}},
		"all processes restart":             {before: other, powerLoss: true},
		"no program, all processes restart": {before: other, powerLoss: true, noBudget: true},
		"all edges restart": {before: func(d *deployment, _ *versionedUpstreams, first, other *process) *process {
			first.stop()
			return d.restart(other)
		}},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

func (c takeUpCase) run(t *testing.T) {
	d := newDeployment(t)
	route := clone(resumable)
	route["MaxAttempts"] = 1
	d.route(route)
	v := &versionedUpstreams{d: d}
	v.breaks.Store(true)
	v.start(2, "v1")
	v.start(6, "v2")
	storages := d.storages()
	first, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	for _, p := range []*process{first, other} {
		p.ready(t, 8, 3)
	}
	begun := make([]string, versionedStreams)
	for i := range begun {
		a := first.call(t, "POST", "/resumable/1", "in", streamHeader(fmt.Sprint("s", i), !c.noBudget))
		if a.err == nil || eventIDs(a.body) != "1 2 3" {
			t.Fatalf("stream %d: %+v", i, a)
		}
		begun[i] = a.body
	}
	if c.powerLoss {
		other = d.losePower(first, other, storages)
	}
	p := c.before(d, v, first, other)
	eventually(t, "the edge does not listen", func() bool { return p.edge.view.ready() && p.listens() })
	joined, wentOn := 0, 0
	for i := range begun {
		body := c.takeUp(t, v, p, fmt.Sprint("s", i), begun[i])
		if len(versionsOf(body)) > 1 {
			joined++
		}
		if body != begun[i] {
			wentOn++
		}
	}
	if joined > 0 {
		t.Errorf("%d of %d streams join events of two versions", joined, versionedStreams)
	}
	if wentOn < versionedStreams/2 {
		t.Errorf("%d of %d streams go on, although two upstreams of each version serve", wentOn, versionedStreams)
	}
}

// losePower ends two edges and the storage processes, starts all but the first edge again
// and returns the other one.
func (d *deployment) losePower(first, other *process, storages []*process) *process {
	first.stop()
	for _, s := range storages {
		s.stop()
		again := *s.settings
		again.FirstStart = false
		d.storageWith(&again)
	}
	return d.restart(other)
}

// takeUp sends the attempts of a caller that take a stream up, and returns all events of
// the stream.
func (c takeUpCase) takeUp(t *testing.T, v *versionedUpstreams, p *process, id, body string) string {
	attempts := max(c.attempts, 1)
	for n := range attempts {
		ids := strings.Fields(eventIDs(body))
		h := streamHeader(id, !c.noBudget)
		h["Attempt-Id"], h["Resumes"], h["Last-Event-Id"] = fmt.Sprint(id, "-", n), id, ids[len(ids)-1]
		v.breaksContinued.Store(n < attempts-1)
		a := p.call(t, "POST", "/resumable/1", "in", h)
		if a.status == http.StatusOK {
			body += a.body
		}
	}
	return body
}

// TestStreamOfGoneVersion guards against a stream that goes on at another version once no
// upstream of its own is left, and against callers that wait for a refusal (issue 29).
func TestStreamOfGoneVersion(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	v := &versionedUpstreams{d: d}
	v.breaks.Store(true)
	v.start(1, "v1")
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	begun := p.call(t, "POST", "/resumable/1", "in", streamHeader("s", true))
	if begun.err == nil || eventIDs(begun.body) != "1 2 3" {
		t.Fatalf("stream that is broken off: %+v", begun)
	}
	v.start(2, "v2")
	d.store.Delete(platform.KindUpstreams, "v1")
	p.ready(t, 2, 3)
	p = d.restart(p)
	p.ready(t, 2, 3)
	h := streamHeader("s", true)
	h["Attempt-Id"], h["Resumes"], h["Last-Event-Id"] = "s-again", "s", "3"
	began := time.Now()
	a := p.call(t, "POST", "/resumable/1", "in", h)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("stream whose version is gone: %+v", a)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	v.breaks.Store(false)
	if a := p.call(t, "POST", "/resumable/1", "in", streamHeader("n", true)); a.status != http.StatusOK || a.err != nil {
		t.Errorf("new stream: %+v", a)
	}
}

// TestStreamGoesOnAtDrainingUpstream guards against breaking off a stream, or refusing to
// take it up, since the other upstreams of its version have just announced their shutdown
// (issue 29).
func TestStreamGoesOnAtDrainingUpstream(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	v := &versionedUpstreams{d: d}
	v.breaks.Store(true)
	v.start(2, "v1")
	d.storages()
	s := d.settings("127.0.0.1")
	s.DrainTime = 10 * time.Second
	p := d.edgeWith(s)
	p.ready(t, 2, 3)
	begun := p.call(t, "POST", "/resumable/1", "in", streamHeader("s", true))
	if begun.err != nil || eventIDs(begun.body) != "1 2 3 4 5 6" {
		t.Fatalf("stream that goes on at the other upstream: %+v", begun)
	}
	v.start(2, "v2")
	p.ready(t, 4, 3)
	for _, id := range []string{"v1", "v2"} {
		v.announce(id)
	}
	eventually(t, "the edge does not hear of the shutdown", func() bool {
		draining := 0
		for _, u := range p.edge.Status().Upstreams {
			if u.UnavailableReason == "draining" {
				draining++
			}
		}
		return draining == 2
	})
	h := streamHeader("s", true)
	h["Attempt-Id"], h["Resumes"], h["Last-Event-Id"] = "s-again", "s", "3"
	if a := p.call(t, "POST", "/resumable/1", "in", h); a.status != http.StatusOK || a.err != nil || versionsOf(a.body)["v2"] {
		t.Errorf("stream taken up: %+v", a)
	}
	if a := p.call(t, "POST", "/resumable/1", "in", streamHeader("n", true)); versionsOf(a.body)["v1"] {
		t.Errorf("a new stream begins at an upstream that drains: %+v", a)
	}
}

// TestStreamMovesBeforeFirstEvent guards against refusing a new stream since the version
// that was chosen for it has no upstream left, and against taking it up at that version
// afterwards (issue 29).
func TestStreamMovesBeforeFirstEvent(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	route := clone(resumable)
	route["MaxAttempts"] = 1
	d.route(route)
	v := &versionedUpstreams{d: d}
	v.breaks.Store(true)
	d.upstream("full", "llm", rejectWith(http.StatusServiceUnavailable, "Not-Executed"))
	d.storages()
	first, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	v.start(2, "v2")
	for _, p := range []*process{first, other} {
		p.ready(t, 3, 3)
	}
	moved := 0
	for i := range versionedStreams {
		id := fmt.Sprint("s", i)
		a := first.call(t, "POST", "/resumable/1", "in", streamHeader(id, true))
		if !versionsOf(a.body)["v2"] {
			t.Fatalf("stream %d: %+v", i, a)
		}
		h := streamHeader(id, true)
		h["Attempt-Id"], h["Resumes"], h["Last-Event-Id"] = id+"-again", id, "3"
		if b := other.call(t, "POST", "/resumable/1", "in", h); versionsOf(b.body)["v2"] {
			moved++
		}
	}
	if moved != versionedStreams {
		t.Errorf("%d of %d streams go on at the version that began them", moved, versionedStreams)
	}
	if n := strings.Count(d.log.text(), "moves to another version"); n == 0 {
		t.Error("no stream moved: the case was not played")
	}
}
