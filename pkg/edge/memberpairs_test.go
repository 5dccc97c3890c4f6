package edge

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// pairTime limits two changes of members at once: an unreachable member is taken out, its
// successor settles, and a member that waits for that does the same after it.
const pairTime = 20 * time.Second

// memberPairs is a ledger of which each member is alone in its failure domain, with as many
// members as two losses allow.
type memberPairs struct {
	*deployment
	t      *testing.T
	p      *process
	stores []*process
}

// memberChange changes the member with a number and returns a function that reports whether
// the change has ended.
type memberChange func(d *memberPairs, i int) (ended func() bool)

// memberChanges are the changes of a member, by the state that it gets into.
var memberChanges = []struct {
	name   string
	change memberChange
}{
	{"joining", func(d *memberPairs, i int) func() bool { return d.join(18+i%2, fmt.Sprint("b", i)) }},
	{"replaced", func(d *memberPairs, i int) func() bool {
		d.stores[i].stop()
		return d.join(18+i%2, d.stores[i].settings.FailureDomain)
	}},
	{"catching up", func(d *memberPairs, i int) func() bool {
		d.stores[i].stop()
		d.loseDisk(i)
		return d.start(d.stores[i].settings)
	}},
	{"restarted", func(d *memberPairs, i int) func() bool {
		d.stores[i].stop()
		return d.start(d.stores[i].settings)
	}},
	{"retiring", func(d *memberPairs, i int) func() bool {
		s := d.stores[i].settings
		d.store.Put(platform.KindRetirements, s.Node, map[string]any{"DeadlineS": retirementTime.Seconds()})
		return func() bool { return d.retired(s) }
	}},
	{"gone", func(d *memberPairs, i int) func() bool {
		d.stores[i].stop()
		return func() bool { return true }
	}},
}

// join starts an empty storage process.
func (d *memberPairs) join(n int, domain string) func() bool {
	s := d.settings(fmt.Sprintf("127.0.0.%d", n))
	s.DataDir, s.FailureDomain, s.DisksToLose = d.t.TempDir(), domain, 2
	return d.start(s)
}

// start starts a storage process and returns a function that reports whether it counts and
// has the turn of before.
func (d *memberPairs) start(s *platform.Settings) func() bool {
	again := *s
	again.FirstStart = false
	d.storageWith(&again)
	return func() bool { return d.holds(&again, "t1") }
}

// loseDisk removes the files of a stopped storage process.
func (d *memberPairs) loseDisk(i int) {
	files, err := filepath.Glob(filepath.Join(d.stores[i].settings.DataDir, "*"))
	if err != nil {
		d.t.Fatal(err)
	}
	for _, f := range files {
		if err := os.RemoveAll(f); err != nil {
			d.t.Fatal(err)
		}
	}
}

// TestPairsOfMemberChanges guards against two members of the ledger that change at once and
// wait for each other, in each pair of states: both changes end, what was accepted is kept,
// and programs go on (issue 41).
func TestPairsOfMemberChanges(t *testing.T) {
	t.Parallel()
	for i, first := range memberChanges {
		for _, second := range memberChanges[i:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				d := &memberPairs{deployment: newDeployment(t), t: t}
				d.route(clone(history))
				d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
				d.p = d.edge("127.0.0.1")
				d.stores = d.spreadStorages(t, d.p, 2, "a1", "a2", "a3", "a4", "a5", "a6", "a7")
				for _, s := range d.stores {
					within(t, pairTime, "a member does not count", func() bool { return d.counts(s.settings) })
				}
				d.storedTurn(t, d.p)
				if a := sendTurn(t, d.p, "t2", "t1", "A", 3*70); !a.whole() {
					t.Fatalf("a turn before the changes: %+v", a)
				}
				firstEnded, secondEnded := first.change(d, 4), second.change(d, 5)
				within(t, pairTime, "the first change does not end", firstEnded)
				within(t, pairTime, "the second change does not end", secondEnded)
				within(t, pairTime, "the next turn is not served", func() bool {
					return sendTurn(t, d.p, fmt.Sprint("t3-", time.Now().UnixNano()), "t2", "B", 100*70).whole()
				})
				if _, err := d.p.edge.ledger.Reserve(t.Context(), &peerv1.Usage{Program: "q", Attempt: 1, Tokens: 70}, 100, 14, 0); err != nil {
					t.Errorf("tokens of another program: %v", err)
				}
			})
		}
	}
}
