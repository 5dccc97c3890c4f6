package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// nestingDepth exceeds what encoding/json decodes.
const nestingDepth = 20_000

// oddEntries are registrations that no upstream writes.
func oddEntries() map[string]string {
	nested := strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth)
	entry := func(address, slots, born, extra string) string {
		return fmt.Sprintf(`{"Service":"app","Address":%q,"Zone":"a1","Slots":%s,"State":"ready","born":%s%s}`, address, slots, born, extra)
	}
	const unused = "127.0.0.1:1"
	return map[string]string{
		"nested":               nested,
		"nested unknown field": entry(unused, "8", "1", `,"Other":`+nested),
		"too many slots":       entry(unused, "1e300", "1", ""),
		"negative slots":       entry(unused, "-5", "1", ""),
		"no number":            entry(unused, "1e999", "1", ""),
		"start too large":      entry(unused, "8", "1e300", ""),
		"port out of range":    entry("127.0.0.1:99999", "8", "1", ""),
		"port 0":               entry("127.0.0.1:0", "8", "1", ""),
		"negative port":        entry("127.0.0.1:-1", "8", "1", ""),
		"no port":              entry("127.0.0.1", "8", "1", ""),
		"version of a number":  entry(unused, "8", "1", `,"Version":3`),
		"version of an object": entry(unused, "8", "1", `,"Version":{"v":1}`),
	}
}

// TestOddEntry guards against an edge that does not start, stops following the list of
// upstreams, or sends requests to nobody, because of one odd entry in the list that
// another program wrote (issue 29).
func TestOddEntry(t *testing.T) {
	t.Parallel()
	for name, spec := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) { sign(w, req) })
			running := d.edge("127.0.0.1")
			running.ready(t, 1, 0)
			d.store.PutText("servers", "odd", spec)
			d.upstream("u2", "app", func(w http.ResponseWriter, req *http.Request) { sign(w, req) })
			starting := d.edge("127.0.0.2")
			for _, p := range []*process{running, starting} {
				within(t, learnTimeout, "the edge serves with the two upstreams", func() bool {
					return p.edge.view.ready() && p.edge.fleetLen() == 2 && p.listens()
				})
				for i := range 8 {
					if a := p.send(t, "in"); a.status != http.StatusOK {
						t.Errorf("request %d: %+v", i, a)
					}
				}
			}
		})
	}
}
