package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// twoRegions changes settings to those of a deployment with two regions.
func twoRegions(s *platform.Settings, region string) *platform.Settings {
	s.RegionOf = map[string]string{"a1": "a", "b1": "b"}
	s.Region, s.FailureDomain = region, region+"1"
	return s
}

// keepList makes an edge keep the list of storage processes that it has now.
func (p *process) keepList(d *deployment) {
	list := staleDirectory(p.edge.view.Storage())
	p.edge.ledger = ledger.NewClient(p.edge.transport, list, p.settings.DisksToLose, d.logger())
}

// TestBudgetWithDifferentLists guards against a program that gets its token budget twice
// (issue 35): an edge that is cut off from the store and from the other edges, and not from
// the storage processes, has not learnt of one that joined. With more than five, its quorums
// and those of an edge that knows the new one may share no member.
func TestBudgetWithDifferentLists(t *testing.T) {
	t.Parallel()
	const turnTokens, budget = 70, 2 * 70 // five events of 14 tokens
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
	regions := []string{"a", "a", "a", "b", "b"}
	start := func(i int, region string, first bool) *platform.Settings {
		s := twoRegions(d.settings(fmt.Sprintf("127.0.0.%d", 11+i)), region)
		s.DataDir, s.FirstStart = t.TempDir(), first
		d.storageWith(s)
		return s
	}
	for i, region := range regions {
		start(i, region, true)
	}
	behind := d.edgeWith(twoRegions(d.settings("127.0.0.1"), "a"))
	current := d.edgeWith(twoRegions(d.settings("127.0.0.2"), "b"))
	behind.ready(t, 1, len(regions))
	current.ready(t, 1, len(regions))
	behind.keepList(d)
	joined := start(len(regions), "b", false)
	current.ready(t, 1, len(regions)+1)
	// All members have to count for reads, the new one too.
	program := fmt.Sprint("warm-up in ", joined.Node)
	eventually(t, "the new member does not count", func() bool {
		return strings.Count(d.log.text(), "msg=\"caught up\"") > len(regions) && sendBudgetTurn(t, current, program, "w", 1000).whole()
	})

	// In the replica groups of these programs the new member takes the place of one in
	// region a, so that each region has three members of one of the two groups.
	var programs []string
	for i := 0; len(programs) < 8; i++ {
		name := fmt.Sprint("p", i)
		group := ledger.ReplicaGroup(current.edge.view.Storage(), name)
		for j, region := range regions {
			left := !slices.ContainsFunc(group, func(m ledger.Member) bool { return m.Name == fmt.Sprintf("node-127.0.0.%d", 11+j) })
			if left && region == "a" {
				programs = append(programs, name)
			}
		}
	}
	for _, name := range programs {
		delivered := 0
		for i := range 3 {
			for _, p := range []*process{behind, current} {
				a := sendBudgetTurn(t, p, name, fmt.Sprint(name, "-", i, "-", p.settings.IP), budget)
				delivered += 14 * strings.Count(a.body, "data: ")
			}
		}
		if delivered > budget+turnTokens {
			t.Errorf("%s: %d tokens were delivered, want %d at most", name, delivered, budget+turnTokens)
		}
		if delivered < budget {
			t.Errorf("%s: %d tokens were delivered, its budget is %d", name, delivered, budget)
		}
	}
}

// sendBudgetTurn sends the first turn of a line of a program.
func sendBudgetTurn(t *testing.T, p *process, program, id string, budget int) response {
	t.Helper()
	return p.call(t, "POST", "/history/1", "in", map[string]string{
		"Attempt-Id": id, "Program-Id": program, "Token-Budget": fmt.Sprint(budget), "Token-Count": "10,70",
	})
}
