package edge

import (
	"fmt"
	"net/http"
	"reflect"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Guards against a turn that continues one of another workspace, from the memory of an edge,
// from the ledger or after a restart of all processes, and against an answer that reveals that
// the turn exists.
func TestHistoryOfAnotherWorkspace(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	open := clone(history)
	open["Name"], open["PathPrefix"], open["Public"] = "open", "/open/", true
	d.route(open)
	d.workspaces(tenant("north", northKey), tenant("south", southKey))
	var r runs
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 1)
	})
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var all []*process
	for i, dir := range dirs {
		all = append(all, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dir))
	}
	n := 0
	turn := func(p *process, path, key, parent string) response {
		n++
		h := withKey(key, "Attempt-Id", fmt.Sprintf("t%d", n))
		if parent != "" {
			h["Parent-Turn"] = parent
		}
		a := p.call(t, "POST", path, fmt.Sprintf("in%d", n), h)
		a.header.Del("Date")
		a.header.Del("Attempt-Id")
		return a
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	d.inForce(p)
	if a := turn(p, "/history/1", northKey, ""); a.status != 200 || a.err != nil {
		t.Fatalf("first turn: %+v", a)
	}
	p.edge.turns.Add("old", &peerv1.TurnRecord{Id: "old", Input: []byte("old"), Output: []byte("out\n")})
	for _, key := range []string{northKey, southKey} {
		if a := turn(p, "/history/1", key, "old"); a.status != 200 {
			t.Errorf("turn without a workspace, continued with %s: %+v", key, a)
		}
	}
	check := func(where string, p *process) {
		absent := turn(p, "/history/1", southKey, "never")
		ran := r.count()
		if a := turn(p, "/history/1", southKey, "t1"); a.status != 404 || !reflect.DeepEqual(a, absent) {
			t.Errorf("%s, other workspace: %+v, a turn that does not exist: %+v", where, a, absent)
		}
		if a := turn(p, "/open/1", northKey, "t1"); a.status != 404 {
			t.Errorf("%s, public route: %+v", where, a)
		}
		if r.count() != ran {
			t.Errorf("%s: a refused turn ran", where)
		}
		if a := turn(p, "/history/1", northKey, "t1"); a.status != 200 || a.err != nil {
			t.Errorf("%s, own workspace: %+v", where, a)
		}
		if body, _ := r.last(); body != fmt.Sprintf("in1word1\nin%d", n) {
			t.Errorf("%s: ran with %q", where, body)
		}
	}
	check("edge that served it", p)
	other := d.edge("127.0.0.2")
	other.ready(t, 1, 3)
	d.inForce(other)
	check("edge that reads the ledger", other)
	for _, s := range append(all, p, other) {
		s.stop()
	}
	for i, dir := range dirs {
		d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dir)
	}
	p = d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	d.inForce(p)
	eventually(t, "the ledger does not answer", func() bool { return turn(p, "/history/1", northKey, "t1").status == 200 })
	p.edge.turns.Purge()
	check("after a restart", p)
	d.noKeyShown(p)
}
