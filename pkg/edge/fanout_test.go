package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// Guards against an entry that feeds everybody, against a change that crosses
// the link between regions once for each process, and against one that is
// referred to a process that sends no feeds.
func TestAdmit(t *testing.T) {
	feeds := func(n int, domain, region string, sends bool) (list []receiver) {
		for i := range n {
			list = append(list, receiver{address: fmt.Sprint(domain, i), failureDomain: domain, region: region, sends: sends})
		}
		return list
	}
	entry := func(domain, region string) receiver {
		return receiver{address: "new", failureDomain: domain, region: region, sends: true}
	}
	disk := entry("a1", "a")
	disk.sends = false
	farDisk := entry("b1", "b")
	farDisk.sends = false
	for _, c := range []struct {
		name   string
		feeds  []receiver
		asking receiver
		want   string
	}{
		{"first", nil, entry("a1", "a"), "ok"},
		{"last place", feeds(maxFeeds-1, "a1", "a", true), entry("a2", "a"), "ok"},
		{"full, near first", slices.Concat(feeds(maxFeeds-2, "a1", "a", true), feeds(2, "a2", "a", true)), entry("a2", "a"), "a20 a21 a10 a11"},
		{"full of storage processes", feeds(maxFeeds, "a1", "a", false), entry("a1", "a"), ""},
		{"comes back", append(feeds(maxFeeds, "a1", "a", true), entry("a1", "a")), entry("a1", "a"), "ok"},
		{"other region", feeds(1, "b1", "b", true), entry("b1", "b"), "ok"},
		{"other region is served", feeds(2, "b1", "b", true), entry("b2", "b"), "b10 b11"},
		{"storage process of a region that is served", feeds(1, "b1", "b", true), farDisk, "b10"},
		{"storage process of a region that is not served", feeds(1, "a1", "a", true), farDisk, "ok"},
		{"storage process beside few", feeds(maxFeeds/2-1, "a1", "a", true), disk, "ok"},
		{"storage process beside many", feeds(maxFeeds/2, "a1", "a", true), disk, "a10 a11 a12 a13"},
	} {
		ok, instead := admit("a", c.feeds, c.asking)
		got := strings.Join(instead, " ")
		if ok {
			got = "ok"
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// hops returns the entries between an entry and the store, and the number of its
// receivers.
func (p *process) hops() (hops, receivers int) {
	s := p.edge.Status()
	return s.Hops, len(s.Followers)
}

// Guards against one entry that all others follow, whose memory and traffic grow
// with the deployment, and against a change that is late at the end of a chain of
// entries, also after an entry in its middle has ended.
func TestFeedsOverEntries(t *testing.T) {
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
		if i == 1 { // the first two of the region are followed by the others
			for _, p := range all {
				within(t, changeBound, "the entry follows", p.follows)
			}
		}
	}
	inForce := func() {
		t.Helper()
		d.route(clone(unsafeRoute))
		for _, p := range all {
			within(t, changeBound, "the configuration is in force", func() bool { return p.version() == d.version })
		}
	}
	for _, p := range all {
		within(t, changeBound, "the entry follows", p.follows)
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
		t.Fatal("no entry follows another one than the seed")
	}
	gone := all[middle]
	all = slices.Delete(all, middle, middle+1)
	gone.cancel() // it drains: its receivers are told
	inForce()
}
