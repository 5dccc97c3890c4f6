package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

const longInput = 3_500_000 // bytes; the limit of a body is 4 MiB

// longDeployment is a deployment with a route that keeps histories, and time enough for large
// bodies.
func longDeployment(t *testing.T, r *runs) *deployment {
	d := newDeployment(t)
	route := clone(history)
	route["TimeoutMs"] = 20_000
	d.route(route)
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 2)
	})
	d.storages()
	return d
}

// sendLong sends a turn that carries no budget.
func sendLong(t *testing.T, p *process, id, parent, input string) response {
	h := map[string]string{"Attempt-Id": id}
	if parent != "" {
		h["Parent-Turn"] = parent
	}
	return p.call(t, "POST", "/history/1", input, h)
}

// TestLongConversationAfterRestart guards against a conversation of more than a message of the
// ledger holds, which can't go on at an edge that doesn't have it in memory (review case 9).
func TestLongConversationAfterRestart(t *testing.T) {
	t.Parallel()
	var r runs
	d := longDeployment(t, &r)
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	parent := ""
	var want strings.Builder
	for i := range 4 {
		id := fmt.Sprint("t", i)
		input := id + strings.Repeat("x", longInput)
		if a := sendLong(t, p, id, parent, input); !a.whole() {
			t.Fatalf("%s: status %d, %v", id, a.status, a.err)
		}
		want.WriteString(input + "word1\nword2\n")
		parent = id
	}
	p.stop()
	other := d.edge("127.0.0.2")
	other.ready(t, 1, 3)
	if a := sendLong(t, other, "next", parent, "and then?"); !a.whole() {
		t.Fatalf("the turn after the restart: status %d, %v", a.status, a.err)
	}
	want.WriteString("and then?")
	if body, _ := r.last(); body != want.String() {
		t.Errorf("it ran with %d bytes, want %d", len(body), want.Len())
	}
}

// TestLongConversationOfPeer guards against the same between edges: a conversation that only
// the memory of another edge has.
func TestLongConversationOfPeer(t *testing.T) {
	t.Parallel()
	var r runs
	d := longDeployment(t, &r)
	p, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	p.ready(t, 1, 3)
	other.ready(t, 1, 3)
	parent := ""
	for i := range 3 {
		id := fmt.Sprint("t", i)
		p.edge.turns.Add(id, &peerv1.TurnRecord{Id: id, Parent: parent, Input: make([]byte, longInput), RetentionMs: 60_000})
		parent = id
	}
	if a := sendLong(t, other, "next", parent, "and then?"); !a.whole() {
		t.Fatalf("status %d, %v", a.status, a.err)
	}
	if body, _ := r.last(); len(body) < 3*longInput {
		t.Errorf("it ran with %d bytes", len(body))
	}
}

// TestTurnTooLargeToStore guards against a turn that runs although its record fits into no
// message, and against one that is not refused at once.
func TestTurnTooLargeToStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	var r runs
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 2)
	})
	d.storages()
	d.limitBodies(ledger.MaxTurnBytes * 2)
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	began := time.Now()
	a := sendLong(t, p, "t1", "", strings.Repeat("x", ledger.MaxTurnBytes))
	if a.status != http.StatusRequestEntityTooLarge || r.count() != 0 {
		t.Errorf("status %d after %v, %d runs, want 413 and none", a.status, time.Since(began), r.count())
	}
	if a := sendLong(t, p, "t2", "", strings.Repeat("x", ledger.MaxTurnBytes-1000)); !a.whole() {
		t.Errorf("a turn that fits: status %d, %v", a.status, a.err)
	}
}

// TestTurnsWithoutStorageMemory guards against turns that run although it is known that they
// can't be stored, and against edges that refuse them for good.
func TestTurnsWithoutStorageMemory(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	route := clone(history)
	route["RetentionS"] = 1
	d.route(route)
	var r runs
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 2)
	})
	for i := range 3 {
		s := d.settings(fmt.Sprintf("127.0.0.%d", 11+i))
		s.DataDir, s.MemoryMB = t.TempDir(), 5 // 2 MB of it for turns
		d.storageWith(s)
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	input := strings.Repeat("x", 2<<20)
	if a := sendLong(t, p, "t1", "", input); !a.whole() {
		t.Fatalf("t1: status %d, %v", a.status, a.err)
	}
	if a := sendLong(t, p, "t2", "", "in"); a.err == nil {
		t.Errorf("t2 ends as stored: status %d", a.status)
	}
	count := r.count()
	if a := sendLong(t, p, "t3", "", "in"); a.status != http.StatusServiceUnavailable || r.count() != count {
		t.Errorf("t3: status %d, %d runs, want 503 and none", a.status, r.count()-count)
	}
	eventually(t, "no turn is stored after the first one has expired", func() bool {
		return sendLong(t, p, "t4", "", "in").whole()
	})
}
