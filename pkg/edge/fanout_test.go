package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// TestAdmit guards against an edge that sends too many feeds, against a change that
// crosses the link between regions once per process, and against proposing a process
// that sends no feeds.
func TestAdmit(t *testing.T) {
	feeds := func(n int, domain, region string, relays bool) (list []follower) {
		for i := range n {
			list = append(list, follower{address: fmt.Sprint(domain, i), failureDomain: domain, region: region, relays: relays})
		}
		return list
	}
	edgeIn := func(domain, region string) follower {
		return follower{address: "new", failureDomain: domain, region: region, relays: true}
	}
	localStorage := edgeIn("a1", "a")
	localStorage.relays = false
	remoteStorage := edgeIn("b1", "b")
	remoteStorage.relays = false
	for _, c := range []struct {
		name      string
		feeds     []follower
		candidate follower
		want      string
	}{
		{"first", nil, edgeIn("a1", "a"), "ok"},
		{"last free feed", feeds(maxFeeds-1, "a1", "a", true), edgeIn("a2", "a"), "ok"},
		{"full, near first", slices.Concat(feeds(maxFeeds-2, "a1", "a", true), feeds(2, "a2", "a", true)), edgeIn("a2", "a"), "a20 a21 a10 a11"},
		{"full of storage processes", feeds(maxFeeds, "a1", "a", false), edgeIn("a1", "a"), ""},
		{"reconnects", append(feeds(maxFeeds, "a1", "a", true), edgeIn("a1", "a")), edgeIn("a1", "a"), "ok"},
		{"other region", feeds(1, "b1", "b", true), edgeIn("b1", "b"), "ok"},
		{"other region has its feeds", feeds(2, "b1", "b", true), edgeIn("b2", "b"), "b10 b11"},
		{"storage process of a region with a relay", feeds(1, "b1", "b", true), remoteStorage, "b10"},
		{"storage process of a region without a relay", feeds(1, "a1", "a", true), remoteStorage, "ok"},
		{"storage process beside few", feeds(maxFeeds/2-1, "a1", "a", true), localStorage, "ok"},
		{"storage process beside many", feeds(maxFeeds/2, "a1", "a", true), localStorage, "a10 a11 a12 a13"},
	} {
		ok, alternatives := admit("a", c.feeds, c.candidate)
		got := strings.Join(alternatives, " ")
		if ok {
			got = "ok"
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// hops returns the number of edges between an edge and the store, and the number of
// its followers.
func (p *process) hops() (hops, receivers int) {
	s := p.edge.Status()
	return s.Hops, len(s.Followers)
}

// TestFeedsThroughRelays guards against all edges following a single one, whose
// memory and traffic would grow with the deployment, and against changes that arrive
// late at the end of a chain of edges, also after an edge in the chain has stopped.
func TestFeedsThroughRelays(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) { sign(w, req) })
	seed := d.edge("127.0.0.1")
	seed.ready(t, 1, 0)
	var all []*process
	for i := range maxFeeds + 3 {
		s := d.settings(fmt.Sprintf("127.0.0.%d", 2+i))
		s.Seeds = []string{"127.0.0.1"}
		if i < 4 {
			s.RegionOf = map[string]string{"a1": "a", "b1": "b"}
			s.FailureDomain, s.Region = "b1", "b"
		}
		all = append(all, d.edgeWith(s))
		if i == 1 { // the other edges of the region follow the first two
			for _, p := range all {
				within(t, maxChangeDelay, "the edge follows", p.follows)
			}
		}
	}
	inForce := func() {
		t.Helper()
		d.route(clone(unsafeRoute))
		for _, p := range all {
			within(t, maxChangeDelay, "the configuration is in force", func() bool { return p.version() == d.version })
		}
	}
	for _, p := range all {
		within(t, maxChangeDelay, "the edge follows", p.follows)
	}
	inForce()
	if _, n := seed.hops(); n > maxFeeds {
		t.Errorf("the seed sends %d feeds", n)
	}
	remote := 0
	for _, p := range all[:4] {
		if hops, _ := p.hops(); hops == 1 {
			remote++
		}
	}
	if remote > maxRemoteFeeds {
		t.Errorf("%d feeds to the other region", remote)
	}
	middle := slices.IndexFunc(all, func(p *process) bool { _, n := p.hops(); return n > 0 })
	if middle < 0 {
		t.Fatal("no edge follows another one than the seed")
	}
	stopped := all[middle]
	all = slices.Delete(all, middle, middle+1)
	stopped.cancel() // it drains and informs its followers
	inForce()
}
