package edge

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// lostTurnRoute keeps the history of turns and has a short timeout, so that a turn that
// cannot become durable ends soon.
func lostTurnRoute() map[string]any {
	r := clone(history)
	r["TimeoutMs"] = 1500
	return r
}

// turnDeployment is an edge and three storage processes with their data folders. fail,
// if set, runs once, after the last event of a turn and before the end of its response.
type turnDeployment struct {
	*deployment
	p      *process
	stores []*process
	dirs   []string
	runs   runs

	mu   sync.Mutex
	fail func()
}

func newTurnDeployment(t *testing.T) *turnDeployment {
	d := &turnDeployment{deployment: newDeployment(t)}
	d.route(lostTurnRoute())
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		d.runs.record(req)
		events(w, req, 1, 2)
		d.mu.Lock()
		fail := d.fail
		d.fail = nil
		d.mu.Unlock()
		if fail != nil {
			fail()
		}
	})
	for i := range 3 {
		dir := t.TempDir()
		d.dirs = append(d.dirs, dir)
		d.stores = append(d.stores, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dir))
	}
	d.p = d.edge("127.0.0.1")
	d.p.ready(t, 1, 3)
	return d
}

// failNext runs f during the next turn.
func (d *turnDeployment) failNext(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = f
}

// stopStores stops the first n storage processes.
func (d *turnDeployment) stopStores(n int) {
	var wg sync.WaitGroup
	for _, s := range d.stores[:n] {
		wg.Go(s.stop)
	}
	wg.Wait()
}

// restartStore starts a storage process again on its disk.
func (d *turnDeployment) restartStore(i int) {
	s := d.settings(fmt.Sprintf("127.0.0.%d", 11+i))
	s.DataDir, s.FirstStart = d.dirs[i], false
	d.stores[i] = d.storageWith(s)
}

// loseDisk removes the files of a stopped storage process.
func (d *turnDeployment) loseDisk(i int) {
	files, err := filepath.Glob(filepath.Join(d.dirs[i], "*"))
	if err != nil {
		d.t.Fatal(err)
	}
	for _, f := range files {
		if err := os.RemoveAll(f); err != nil {
			d.t.Fatal(err)
		}
	}
}

// restartEdge replaces the edge by a new process, which has no turns in memory.
func (d *turnDeployment) restartEdge() {
	d.p.stop()
	s := d.settings("127.0.0.1")
	s.FirstStart = false
	d.p = d.edgeWith(s)
	d.p.ready(d.t, 1, 3)
}

// whole reports whether an answer looks complete to its caller.
func (r response) whole() bool { return r.status == http.StatusOK && r.err == nil }

// Guards against a turn that was answered whole and is lost (issue 32): all storage
// processes, or two of three and one disk, end before the turn is durable.
func TestWholeAnswerIsDurable(t *testing.T) {
	for _, c := range []struct {
		name  string
		stop  int
		wiped bool // the process that goes on loses its disk afterwards
	}{{"all storage processes end", 3, false}, {"two of three end and one disk is lost", 2, true}} {
		t.Run(c.name, func(t *testing.T) {
			d := newTurnDeployment(t)
			if a := sendTurn(t, d.p, "t0", "", "A", 10000); !a.whole() {
				t.Fatalf("first turn: %+v", a)
			}
			d.failNext(func() { d.stopStores(c.stop) })
			answer := sendTurn(t, d.p, "t1", "t0", "B", 10000)
			d.p.stop() // a write that it still has would be lost too
			d.stopStores(3)
			if c.wiped {
				d.loseDisk(2)
			}
			for i := range d.stores {
				d.restartStore(i)
			}
			d.restartEdge()
			parent := "t1"
			if !answer.whole() { // the caller repeats the turn
				parent = "t1-again"
				eventually(t, "the turn is not served again", func() bool {
					return sendTurn(t, d.p, parent, "t0", "B", 10000).whole()
				})
			}
			var next response
			eventually(t, "the next turn gets 503", func() bool {
				next = sendTurn(t, d.p, "t2", parent, "C", 10000)
				return next.status != http.StatusServiceUnavailable
			})
			const output = "word1\nword2\n"
			if body, _ := d.runs.last(); !next.whole() || body != "A"+output+"B"+output+"C" {
				t.Errorf("t1 whole: %t; the next turn: status %d, %v, ran with %q", answer.whole(), next.status, next.err, body)
			}
		})
	}
}

// Guards against breaking off an answer whose turn becomes durable in time: the storage
// processes are back within a second.
func TestAnswerWaitsForRestart(t *testing.T) {
	d := newTurnDeployment(t)
	restarted := make(chan struct{})
	d.failNext(func() {
		d.stopStores(3)
		go func() {
			defer close(restarted)
			time.Sleep(300 * time.Millisecond)
			for i := range d.stores {
				d.restartStore(i)
			}
		}()
	})
	a := sendTurn(t, d.p, "t1", "", "A", 10000)
	<-restarted
	if !a.whole() {
		t.Fatalf("%+v", a)
	}
	d.restartEdge()
	eventually(t, "the next turn is not served", func() bool { return sendTurn(t, d.p, "t2", "t1", "B", 10000).whole() })
}

// Guards against a turn that continues one that no disk has (issue 32): the edge had kept
// the earlier turn in memory before it was durable.
func TestParentMustBeDurable(t *testing.T) {
	d := newTurnDeployment(t)
	ended := make(chan response, 1)
	stopped := make(chan struct{})
	d.failNext(func() { d.stopStores(3); close(stopped) })
	turn := func(id, parent string) response {
		h := map[string]string{"Attempt-Id": id, "Program-Id": "p", "Token-Count": "10,70"}
		if parent != "" {
			h["Parent-Turn"] = parent
		}
		return d.p.call(t, "POST", "/history/1", "A", h)
	}
	go func() { ended <- turn("t1", "") }()
	<-stopped
	time.Sleep(200 * time.Millisecond) // the edge has read the end of the stream
	if a := turn("t2", "t1"); a.status != http.StatusServiceUnavailable || d.runs.count() != 1 {
		t.Errorf("a turn whose parent is not durable: status %d after %d runs, want 503 after 1", a.status, d.runs.count())
	}
	if a := <-ended; a.whole() {
		t.Error("the first turn was answered whole")
	}
}

// Guards against a request that fails for tokens of turns that were broken off (issue
// 32): their reservations must be replaced by what was delivered.
func TestBrokenTurnIsSettled(t *testing.T) {
	d := newTurnDeployment(t)
	d.failNext(func() { d.stopStores(3) })
	first := sendTurn(t, d.p, "t1", "", "A", 130) // reserves 70, delivers 28
	for i := range d.stores {
		d.restartStore(i)
	}
	if first.whole() {
		t.Fatalf("answered whole without a storage process: %+v", first)
	}
	eventually(t, "the next turn finds no tokens", func() bool {
		a := sendTurn(t, d.p, "t2", "", "A", 130)
		return a.whole()
	})
}

// Guards against a 404 for a turn that storage processes hold which this edge has not
// heard of yet (issue 32): with 60 edges, the lists of members differ while storage
// processes join.
func TestNotFoundNeedsTheCurrentList(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(lostTurnRoute())
	var r runs
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 1)
	})
	d.storages()
	p, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	p.ready(t, 1, 3)
	other.ready(t, 1, 3)
	// The turn is written while the old members are taken out of this edge's list, so
	// that only processes that the other edge does not list have it.
	var joined []string
	for i := range 3 {
		ip := fmt.Sprintf("127.0.0.%d", 14+i)
		s := d.settings(ip)
		s.DataDir, s.FirstStart = t.TempDir(), false
		d.storageWith(s)
		joined = append(joined, s.Node)
	}
	p.ready(t, 1, 6)
	other.ready(t, 1, 6)
	// New members count for reservations some seconds after they joined. Meanwhile a check
	// of the watches may list the old ones again.
	eventually(t, "the turn is not stored", func() bool {
		p.edge.view.forget("node-127.0.0.11", "node-127.0.0.12", "node-127.0.0.13")
		return sendTurn(t, p, "t1", "", "A", 10000).whole()
	})
	p.stop() // it has the turn in memory
	other.edge.view.forget(joined...)
	d.store.SetDown(true)
	a := sendTurn(t, other, "t2", "t1", "B", 10000)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("while the store does not answer: status %d, Retry-After %q, want 503", a.status, a.header.Get("Retry-After"))
	}
	d.store.SetDown(false)
	var next response
	eventually(t, "the turn is not served", func() bool {
		other.edge.view.forget(joined...)
		next = sendTurn(t, other, "t3", "t1", "B", 10000)
		return next.status != http.StatusServiceUnavailable
	})
	if body, _ := r.last(); !next.whole() || body != "Aword1\nB" {
		t.Errorf("next turn: status %d, %v, ran with %q", next.status, next.err, body)
	}
	if a := sendTurn(t, other, "t4", "never", "B", 10000); a.status != http.StatusNotFound {
		t.Errorf("a turn that does not exist: %+v", a)
	}
}

// forget removes registrations from the view, as if the edge had not received them.
func (v *view) forget(nodes ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range nodes {
		delete(v.nodes, n)
		delete(v.nodeSpecs, n)
	}
}

// Guards against breaking off the answer of a turn that can be stored because members of
// the ledger were replaced meanwhile (issue 32).
func TestTurnIsStoredAfterReplacement(t *testing.T) {
	d := newTurnDeployment(t)
	d.failNext(func() {
		d.stopStores(2)
		for _, s := range d.stores[:2] {
			n := d.node(s.settings)
			n.Removed = true
			d.store.Put(platform.KindNodes, s.settings.Node, n)
		}
		for i := range 2 {
			s := d.settings(fmt.Sprintf("127.0.0.%d", 14+i))
			s.DataDir, s.FirstStart = d.t.TempDir(), false
			d.storageWith(s)
		}
	})
	a := sendTurn(t, d.p, "t1", "", "A", 10000)
	if !a.whole() {
		t.Fatalf("%+v", a)
	}
	d.restartEdge()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil && !sendTurn(t, d.p, "t2", "t1", "B", 10000).whole() {
		time.Sleep(100 * time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Error("the next turn is not served")
	}
}

// Guards against a storage process that stores a turn and not those before it, which then
// expire at the others although the conversation goes on (issue 35).
func TestEarlierTurnsFollowTheLastOne(t *testing.T) {
	t.Parallel()
	d := newTurnDeployment(t)
	d.stores[0].stop()
	if a := sendTurn(t, d.p, "t1", "", "A", 10000); !a.whole() {
		t.Fatalf("%+v", a)
	}
	d.restartStore(0)
	d.stores[1].stop()
	eventually(t, "the next turn is not served", func() bool { return sendTurn(t, d.p, "t2", "t1", "B", 10000).whole() })
	within(t, 10*time.Second, "the member that was away gets the earlier turn", func() bool { return d.holds(d.stores[0].settings, "t1") })
}
