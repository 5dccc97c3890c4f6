package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	outOfStepStreams = 12 // streams of one case
	oldUpstreams     = 6
	newUpstreams     = 6
)

// storeGate is the way of one edge to the store, which can be cut off.
type storeGate struct {
	store http.Handler
	// refusing answers all calls with 503; silent answers none.
	refusing, silent atomic.Bool
}

// ServeHTTP implements http.Handler. A watch that waits when the gate closes brings nothing
// of what changes afterwards.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := httptest.NewRecorder()
	if !g.refusing.Load() && !g.silent.Load() {
		g.store.ServeHTTP(rec, r)
	}
	switch {
	case g.silent.Load():
		<-r.Context().Done()
	case g.refusing.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = io.Copy(w, rec.Body)
	}
}

// gatedEdge starts an edge whose way to the store can be cut off.
func (d *deployment) gatedEdge(ip string) (*process, *storeGate) {
	d.t.Helper()
	g := &storeGate{store: d.store}
	srv := httptest.NewServer(g)
	d.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	s := d.settings(ip)
	s.StoreAddress = strings.TrimPrefix(srv.URL, "http://")
	return d.edgeWith(s), g
}

// outOfStepCase is a release of which one edge hears nothing.
type outOfStepCase struct {
	// named is set if the registrations of the old upstreams name their version.
	named bool
	// budget is set if the streams have a token budget.
	budget bool
	// takeover is the number of new upstreams that register under the id of an old one;
	// the others register under new ids.
	takeover int
	// silent is set if the store does not answer the edge at all, as after a pause;
	// otherwise it refuses the edge's calls.
	silent bool
}

func (c outOfStepCase) String() string {
	word := func(b bool, yes, no string) string {
		if b {
			return yes
		}
		return no
	}
	return fmt.Sprintf("%s, %s, %d ids taken over, store %s", word(c.named, "versions named", "old version not named"),
		word(c.budget, "budget", "no budget"), c.takeover, word(c.silent, "silent", "refuses"))
}

// TestStreamTakenUpAtEdgeOutOfStep guards against a stream that goes on at another version
// at an edge which has not heard of a release, and against refusing it at the edges that
// have heard of it (issue 32).
func TestStreamTakenUpAtEdgeOutOfStep(t *testing.T) {
	for _, named := range []bool{false, true} {
		for _, budget := range []bool{false, true} {
			for _, takeover := range []int{0, newUpstreams / 2, newUpstreams} {
				c := outOfStepCase{named: named, budget: budget, takeover: takeover, silent: takeover == newUpstreams/2}
				t.Run(c.String(), c.run)
			}
		}
	}
}

func (c outOfStepCase) run(t *testing.T) {
	d := newDeployment(t)
	route := clone(resumable)
	route["MaxAttempts"] = 1
	d.route(route)
	v := &versionedUpstreams{d: d}
	v.breaks.Store(true)
	version := ""
	if c.named {
		version = "v1"
	}
	for i := range oldUpstreams {
		v.startAs(fmt.Sprint("u", i), "v1", version)
	}
	d.storages()
	behind, gate := d.gatedEdge("127.0.0.2")
	behind.ready(t, oldUpstreams, 3)
	if c.silent {
		gate.silent.Store(true)
	} else {
		gate.refusing.Store(true)
	}
	for i := range newUpstreams {
		id := fmt.Sprint("n", i)
		if i < c.takeover {
			id = fmt.Sprint("u", i)
		}
		v.startAs(id, "v2", "v2")
	}
	// This edge starts after the cut, so that the other one does not know it either.
	first := d.edge("127.0.0.1")
	first.ready(t, oldUpstreams+newUpstreams-c.takeover, 3)
	begun := make([]string, outOfStepStreams)
	newVersion := 0
	for i := range begun {
		a := first.call(t, "POST", "/resumable/1", "in", streamHeader(fmt.Sprint("s", i), c.budget))
		if a.err == nil || eventIDs(a.body) != "1 2 3" {
			t.Fatalf("stream %d: %+v", i, a)
		}
		begun[i] = a.body
		if versionsOf(a.body)["v2"] {
			newVersion++
		}
	}
	if newVersion == 0 {
		t.Fatal("no stream began at the new version: the case was not played")
	}
	tc := takeUpCase{noBudget: !c.budget}
	joined, wentOn := 0, 0
	for i := range begun {
		body := tc.takeUp(t, v, behind, fmt.Sprint("s", i), begun[i])
		if body == begun[i] { // refused: the caller comes back through the other edge
			body = tc.takeUp(t, v, first, fmt.Sprint("s", i), begun[i])
		}
		if len(versionsOf(body)) > 1 {
			joined++
		}
		if body != begun[i] {
			wentOn++
		}
	}
	if behind.edge.fleetLen() != oldUpstreams {
		t.Error("the edge has heard of the release: the case was not played")
	}
	if joined > 0 {
		t.Errorf("%d of %d streams join events of two versions", joined, outOfStepStreams)
	}
	if wentOn < outOfStepStreams/2 {
		t.Errorf("%d of %d streams go on", wentOn, outOfStepStreams)
	}
}

// TestStreamOfUnnamedVersionGoesOn guards against refusing the streams of upstreams that
// name no version, or joining them to another one, since a release that names its version
// has begun (issue 32).
func TestStreamOfUnnamedVersionGoesOn(t *testing.T) {
	t.Parallel()
	for name, other := range map[string]bool{"at the first edge": false, "at another edge": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			route := clone(resumable)
			route["MaxAttempts"] = 1
			d.route(route)
			v := &versionedUpstreams{d: d}
			v.breaks.Store(true)
			v.startAs("u1", "v1", "")
			v.startAs("u2", "v1", "")
			d.storages()
			p := d.edge("127.0.0.1")
			p.ready(t, 2, 3)
			begun := make([]string, outOfStepStreams)
			for i := range begun {
				a := p.call(t, "POST", "/resumable/1", "in", streamHeader(fmt.Sprint("s", i), false))
				if a.err == nil || eventIDs(a.body) != "1 2 3" {
					t.Fatalf("stream %d: %+v", i, a)
				}
				begun[i] = a.body
			}
			for i := range newUpstreams {
				v.startAs(fmt.Sprint("n", i), "v2", "v2")
			}
			if other {
				p = d.edge("127.0.0.2")
			}
			p.ready(t, 2+newUpstreams, 3)
			joined, wentOn := 0, 0
			for i := range begun {
				body := takeUpCase{noBudget: true}.takeUp(t, v, p, fmt.Sprint("s", i), begun[i])
				if len(versionsOf(body)) > 1 {
					joined++
				}
				if body != begun[i] {
					wentOn++
				}
			}
			if joined > 0 || wentOn < outOfStepStreams/2 {
				t.Errorf("%d of %d streams join events of two versions, %d go on", joined, outOfStepStreams, wentOn)
			}
		})
	}
}

// TestStreamWithoutRecordIsRefused guards against a stream that goes on at another version
// since its record was never written: the edge and the storage processes that should have
// it ended right after its first events (issue 32).
func TestStreamWithoutRecordIsRefused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	route := clone(resumable)
	route["MaxAttempts"] = 1
	d.route(route)
	v := &versionedUpstreams{d: d}
	v.breaks.Store(true)
	for i := range oldUpstreams {
		v.startAs(fmt.Sprint("u", i), "v1", "")
	}
	storages := d.storages()
	behind, gate := d.gatedEdge("127.0.0.2")
	behind.ready(t, oldUpstreams, 3)
	gate.refusing.Store(true)
	for i := range newUpstreams {
		v.startAs(fmt.Sprint("u", i), "v2", "v2")
	}
	first := d.edge("127.0.0.1")
	first.ready(t, newUpstreams, 3)
	for _, s := range storages {
		s.stop()
	}
	a := first.call(t, "POST", "/resumable/1", "in", streamHeader("s", false))
	if a.err == nil || eventIDs(a.body) != "1 2 3" || !versionsOf(a.body)["v2"] {
		t.Fatalf("stream: %+v", a)
	}
	first.stop()
	for _, s := range storages {
		again := *s.settings
		again.FirstStart = false
		d.storageWith(&again)
	}
	for range 10 {
		body := takeUpCase{noBudget: true}.takeUp(t, v, behind, "s", a.body)
		if len(versionsOf(body)) > 1 {
			t.Fatalf("the stream goes on at another version: %q", body)
		}
	}
}

// TestTakeUpThatNamesNoStream guards against joining two versions where the caller does not
// name the stream that it takes up and the edge has lost the store, and against refusing it
// at an edge that is up to date and lists no versions (issue 32).
func TestTakeUpThatNamesNoStream(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	v := &versionedUpstreams{d: d}
	v.startAs("u1", "v1", "")
	v.startAs("u2", "v1", "")
	d.storages()
	p, gate := d.gatedEdge("127.0.0.2")
	p.ready(t, 2, 3)
	eventually(t, "the edge does not follow the store", p.edge.view.live)
	h := map[string]string{"Attempt-Id": "a", "Last-Event-Id": "3"}
	if a := p.call(t, "POST", "/resumable/1", "in", h); a.status != http.StatusOK || eventIDs(a.body) != "4 5 6" {
		t.Errorf("edge that is up to date: %+v", a)
	}
	gate.refusing.Store(true)
	v.startAs("n1", "v2", "v2") // ends the watch, which then fails
	eventually(t, "the edge does not notice that the store refuses it", func() bool { return !p.edge.view.live() })
	h["Attempt-Id"] = "b"
	if a := p.call(t, "POST", "/resumable/1", "in", h); a.status != http.StatusServiceUnavailable {
		t.Errorf("edge that has lost the store: %+v", a)
	}
}
