package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// retirementTime is how long an operator gives a storage process to be emptied.
const retirementTime = 8400 * time.Millisecond

// retired reports whether the retirement of a storage process is reported as done.
func (d *deployment) retired(s *platform.Settings) bool {
	_, status, _ := d.store.Get(platform.KindRetirements, s.Node)
	return strings.Contains(string(status), `"completed"`)
}

// TestTwoRetirementsAtOnce guards against two storage processes that retire at the same
// moment and refuse each other's records: neither ever ends, and no quorum is left
// (issue 41).
func TestTwoRetirementsAtOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
	p := d.edge("127.0.0.1")
	stores := d.spreadStorages(t, p, 1, "a1", "a1", "a1", "a1")
	if a := sendTurn(t, p, "t0", "", "A", 10000); !a.whole() {
		t.Fatalf("first turn: %+v", a)
	}
	for _, s := range stores[:2] {
		d.store.Put(platform.KindRetirements, s.settings.Node, map[string]any{"DeadlineS": retirementTime.Seconds()})
	}
	within(t, retirementTime, "the two retirements are not done", func() bool {
		return d.retired(stores[0].settings) && d.retired(stores[1].settings)
	})
	for _, s := range stores[:2] {
		s.stop()
	}
	for _, s := range stores[2:] {
		if status := d.fetchStatus(s.settings, "t0"); status != peerv1.LedgerReply_OK {
			t.Errorf("%s does not have the turn: %s", s.settings.Node, status)
		}
	}
	p.ready(t, 1, 2)
	if a := sendTurn(t, p, "t1", "t0", "B", 10000); !a.whole() {
		t.Errorf("the next turn: %+v", a)
	}
}

// TestSuccessorsInTwoDomains guards against two empty storage processes that take the places
// of lost ones in two failure domains and wait for the records of each other's predecessor:
// neither ever counts, and the lost ones stay in the ledger (issue 41).
func TestSuccessorsInTwoDomains(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
	p := d.edge("127.0.0.1")
	stores := d.spreadStorages(t, p, 2, "a1", "a1", "a2", "a2", "a3", "a4")
	if a := sendTurn(t, p, "t1", "", "A", 10000); !a.whole() {
		t.Fatalf("first turn: %+v", a)
	}
	var successors []*platform.Settings
	for i, lost := range stores[4:] {
		lost.stop()
		s := d.settings(fmt.Sprintf("127.0.0.%d", 18+i))
		s.DataDir, s.FirstStart, s.DisksToLose, s.FailureDomain = t.TempDir(), false, 2, lost.settings.FailureDomain
		successors = append(successors, s)
	}
	for _, s := range successors {
		d.storageWith(s)
	}
	within(t, 12*time.Second, "the successors do not take the places", func() bool {
		for i, s := range successors {
			if !d.holds(s, "t1") || !d.node(stores[4+i].settings).Removed {
				return false
			}
		}
		return true
	})
}

// TestUnsettledMembersAndTwoLost guards against members that wait for each other without end:
// some that ended before they had settled, on whose disks is all that they acknowledged, and
// two that are lost for good (issue 41; seed 34 of TestPairsSoak).
func TestUnsettledMembersAndTwoLost(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
	p := d.edge("127.0.0.1")
	stores := d.spreadStorages(t, p, 2, "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8")
	unsettled := stores[6:]
	for _, s := range unsettled {
		if d.counts(s.settings) {
			t.Fatal("a member has settled already: the case was not played")
		}
	}
	for _, s := range append(unsettled, stores[:2]...) {
		s.stop()
	}
	for _, s := range unsettled {
		again := *s.settings
		again.FirstStart = false
		d.storageWith(&again)
	}
	for _, s := range unsettled {
		within(t, pairTime, "a member that had not settled does not catch up", func() bool { return d.counts(s.settings) })
	}
}
