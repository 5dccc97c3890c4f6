package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

const turnEvents = 6 // of each whole turn

// namedEvents is an upstream whose events name the attempt that they were written for, so that
// what two attempts write differs.
type namedEvents struct {
	runs
	mu sync.Mutex
	// breakAfter holds the event after which an attempt is broken off, by its id.
	breakAfter map[string]int
}

func (n *namedEvents) breakOff(id string, after int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.breakAfter == nil {
		n.breakAfter = make(map[string]int)
	}
	n.breakAfter[id] = after
}

func (n *namedEvents) serve(w http.ResponseWriter, req *http.Request) {
	n.record(req)
	id := req.Header.Get("Attempt-Id")
	n.mu.Lock()
	last, broken := n.breakAfter[id]
	n.mu.Unlock()
	if !broken {
		last = turnEvents
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // none: from the start
	sign(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= last; i++ {
		fmt.Fprintf(w, "id: %d\ndata: word%d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
	}
	if broken {
		cut(w)
	}
}

// conversation is a deployment with three edges and a route that keeps histories and whose
// streams may be taken up.
type conversation struct {
	t      *testing.T
	d      *deployment
	up     namedEvents
	edges  []*process
	budget bool
}

func newConversation(t *testing.T, budget bool) *conversation {
	c := &conversation{t: t, d: newDeployment(t), budget: budget}
	r := clone(history)
	r["Resumable"] = true
	c.d.route(r)
	c.d.upstream("u1", "llm", c.up.serve)
	c.d.storages()
	for i := range 3 {
		c.edges = append(c.edges, c.d.edge(fmt.Sprintf("127.0.0.%d", 1+i)))
	}
	for _, e := range c.edges {
		e.ready(t, 1, 3)
	}
	return c
}

// send sends a turn, or takes one up after an event if it names one that it resumes.
func (c *conversation) send(edge int, id, parent, resumes string, after int) response {
	h := map[string]string{"Attempt-Id": id}
	if c.budget {
		h["Program-Id"], h["Token-Budget"], h["Token-Count"] = "p", "10000", "10,70"
	}
	if parent != "" {
		h["Parent-Turn"] = parent
	}
	if resumes != "" {
		h["Resumes"], h["Last-Event-Id"] = resumes, strconv.Itoa(after)
	}
	return c.edges[edge].call(c.t, "POST", "/history/1", "in", h)
}

// checkHistory sends a turn that continues from a parent and checks the output of the parent
// that its upstream gets: the attempt that wrote each event.
func (c *conversation) checkHistory(edge int, parent string, writers ...string) {
	c.t.Helper()
	if a := c.send(edge, "after "+parent, parent, "", 0); !a.whole() {
		c.t.Fatalf("the turn after %s: %+v", parent, a)
	}
	var want strings.Builder
	want.WriteString("in")
	for i, id := range writers {
		fmt.Fprintf(&want, "word%d of %s\n", i+1, id)
	}
	want.WriteString("in")
	if body, _ := c.up.last(); body != want.String() {
		c.t.Errorf("the turn after %s ran with %q, want %q", parent, body, want.String())
	}
}

func withAndWithoutBudget(t *testing.T, test func(c *conversation)) {
	for name, budget := range map[string]bool{"with budget": true, "without budget": false} {
		t.Run(name, func(t *testing.T) { test(newConversation(t, budget)) })
	}
}

// TestTakenUpTurnIsNotStoredInPart guards against a conversation that loses events without an
// error: a turn that its caller takes up at another edge, while the first one is gone or lives,
// must go on and be stored with what the caller has of it, not with its last events only.
func TestTakenUpTurnIsNotStoredInPart(t *testing.T) {
	t.Parallel()
	withAndWithoutBudget(t, func(c *conversation) {
		for _, gone := range []bool{false, true} {
			first, second := fmt.Sprint("first ", gone), fmt.Sprint("second ", gone)
			c.up.breakOff(first, 3)
			if a := c.send(0, first, "", "", 0); eventIDs(a.body) != "1 2 3" {
				c.t.Fatalf("%s: %+v", first, a)
			}
			if gone {
				c.edges[0].stop()
			}
			if a := c.send(1, second, "", first, 3); !a.whole() || eventIDs(a.body) != "4 5 6" {
				c.t.Fatalf("%s: %+v", second, a)
			}
			c.checkHistory(2, second, first, first, first, second, second, second)
		}
	})
}

// TestTurnTakenUpTwice guards against a turn that is stored with events that its caller never
// got, or without some, after a take-up broke off and was taken up once more, and after one that
// brought nothing but the end.
func TestTurnTakenUpTwice(t *testing.T) {
	t.Parallel()
	withAndWithoutBudget(t, func(c *conversation) {
		c.up.breakOff("t1", 4)
		c.up.breakOff("t2", 4)
		c.send(0, "t1", "", "", 0)
		// The caller lost event 4 with its connection.
		if a := c.send(1, "t2", "", "t1", 3); eventIDs(a.body) != "4" {
			c.t.Fatalf("t2: %+v", a)
		}
		if a := c.send(2, "t3", "", "t1", 4); !a.whole() || eventIDs(a.body) != "5 6" {
			c.t.Fatalf("t3: %+v", a)
		}
		c.checkHistory(0, "t3", "t1", "t1", "t1", "t2", "t3", "t3")
		if a := c.send(1, "t4", "", "t1", 6); !a.whole() || eventIDs(a.body) != "" {
			c.t.Fatalf("t4: %+v", a)
		}
		c.checkHistory(0, "t4", "t1", "t1", "t1", "t2", "t3", "t3")
	})
}

// TestTurnTakenUpAtTwoEdges guards against two take-ups of one turn that get parts of each
// other, and against one that goes on although it can't be told whose events its caller has.
func TestTurnTakenUpAtTwoEdges(t *testing.T) {
	t.Parallel()
	withAndWithoutBudget(t, func(c *conversation) {
		c.up.breakOff("t1", 3)
		c.send(0, "t1", "", "", 0)
		var wg sync.WaitGroup
		for edge, id := range []string{"", "t2", "t3"} {
			if id == "" {
				continue
			}
			wg.Go(func() {
				if a := c.send(edge, id, "", "t1", 3); !a.whole() {
					c.t.Errorf("%s: %+v", id, a)
				}
			})
		}
		wg.Wait()
		c.checkHistory(0, "t2", "t1", "t1", "t1", "t2", "t2", "t2")
		c.checkHistory(0, "t3", "t1", "t1", "t1", "t3", "t3", "t3")
		runs := c.up.count()
		a := c.send(0, "t4", "", "t1", 5)
		if a.status != http.StatusServiceUnavailable || c.up.count() != runs {
			c.t.Errorf("after event 5 of t2 or t3: status %d, %d runs, want 503 and none", a.status, c.up.count()-runs)
		}
	})
}

// TestUnknownTurnIsNotTakenUp guards against a turn that is stored without its first events,
// because nothing, or not all that the caller has, is recorded of it.
func TestUnknownTurnIsNotTakenUp(t *testing.T) {
	t.Parallel()
	withAndWithoutBudget(t, func(c *conversation) {
		c.up.breakOff("t1", 3)
		c.send(0, "t1", "", "", 0)
		runs := c.up.count()
		for _, s := range []struct {
			resumes string
			after   int
		}{{"t1", 4}, {"never", 3}} {
			a := c.send(1, fmt.Sprint("after ", s), "", s.resumes, s.after)
			if a.status != http.StatusServiceUnavailable || c.up.count() != runs {
				c.t.Errorf("%+v: status %d, %d runs, want 503 and none", s, a.status, c.up.count()-runs)
			}
		}
	})
}

// TestEventsAreDeliveredWithoutStorage guards against a stream that stops, or that is
// stored or ended as if it were whole, while its events can't be recorded.
func TestEventsAreDeliveredWithoutStorage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	r := clone(history)
	r["Resumable"] = true
	d.route(r)
	begun, release := make(chan struct{}), make(chan struct{})
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		events(w, req, 1, 1)
		close(begun)
		<-release
		events(w, req, 2, turnEvents)
	})
	storages := d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	go func() {
		<-begun
		for _, s := range storages[:2] {
			s.stop()
		}
		close(release)
	}()
	a := p.call(t, "POST", "/history/1", "in", map[string]string{"Attempt-Id": "t1", "Program-Id": "p", "Token-Budget": "10000", "Token-Count": "10,84"})
	if a.err == nil || eventIDs(a.body) != "1 2 3 4 5 6" {
		t.Errorf("%+v, want all events and a broken end", a)
	}
}
