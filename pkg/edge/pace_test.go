package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
)

// pacedCalls is how many streams an edge has to serve at least until it knows the speed of a
// service: eight for the time of a token, then eight for that of a prompt.
const pacedCalls = 24

// callPaced sends streams whose upstream reports loads, and returns the edge.
func callPaced(t *testing.T, report func(n int64) string) *process {
	t.Helper()
	d := newDeployment(t)
	d.route(resumable)
	var n atomic.Int64
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Server-Load", report(n.Add(1)))
		events(w, req, 1, 5)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	for i := range pacedCalls {
		r := p.call(t, "POST", "/resumable/", "x", map[string]string{
			"Token-Count": fmt.Sprintf("%d,200", 700+50*i), "Prompt-Prefix": fmt.Sprintf("shared:512,conv%d:%d", i, 188+50*i), "Length-Hint": "70",
		})
		if r.status != http.StatusOK {
			t.Fatalf("status %d, %v", r.status, r.err)
		}
	}
	return p
}

func (p *process) metricsText() string {
	var b strings.Builder
	p.edge.metrics.set.WritePrometheus(&b)
	return b.String()
}

// Guards against reports with a pace that have no effect, and against work that stays
// recorded after its attempt has ended.
func TestPlacementByTime(t *testing.T) {
	p := callPaced(t, func(int64) string { return "1,0,8,130" })
	if !strings.Contains(p.metricsText(), `yucca_edge_placements_total{by="time"}`) {
		t.Errorf("no attempt was placed by its expected time")
	}
	p.edge.withFleet(func(f *fleet.Fleet) {
		if n := f.RunningWork(f.Member("u1")); n != 0 {
			t.Errorf("%d attempts are recorded as running, none is", n)
		}
	})
}

// Guards against another cost where upstreams report no pace, or only malformed reports.
func TestPlacementByCounts(t *testing.T) {
	p := callPaced(t, func(n int64) string {
		if n%2 == 0 {
			return "1,0,8,100,5"
		}
		return "1,0,8"
	})
	text := p.metricsText()
	if strings.Contains(text, `by="time"`) {
		t.Error("attempts were placed by their expected time")
	}
	if want := fmt.Sprintf(`yucca_edge_load_reports_ignored_total{why="fields"} %d`, pacedCalls/2); !strings.Contains(text, want) {
		t.Errorf("missing %q", want)
	}
}
