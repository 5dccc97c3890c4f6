package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestStartSteps guards against a start whose steps cannot be distinguished: after a power loss of
// all processes, an operator must see what the first answer waited for. Only the order of the steps
// is checked, not their times.
func TestStartSteps(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 2) })
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	all := []*process{}
	for i, dir := range dirs {
		all = append(all, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dir))
	}
	p := d.edge("127.0.0.1")
	all = append(all, p)
	p.ready(t, 1, 3)
	if a := sendTurn(t, p, "t1", "", "A", 10000); a.status != http.StatusOK {
		t.Fatalf("first turn: %+v", a)
	}
	for _, x := range all {
		x.stop()
	}
	for i, dir := range dirs {
		d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dir)
	}
	p = d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	if a := sendTurn(t, p, "t2", "t1", "B", 10000); a.status != http.StatusOK {
		t.Fatalf("turn after the restart: %+v", a)
	}
	for step := range startSteps {
		if p.edge.startup.took(step) == 0 {
			t.Errorf("step %v did not end", step)
		}
		if !strings.Contains(d.log.text(), "step="+step.String()) {
			t.Errorf("step %v is not logged", step)
		}
	}
	order := []startStep{stepConfiguration, stepDeployment, stepFirstQuorum, stepFirstEvent, stepFirstDurable}
	for i, step := range order[1:] {
		if before := order[i]; p.edge.startup.took(before) > p.edge.startup.took(step) {
			t.Errorf("step %v ended after step %v", before, step)
		}
	}
}
