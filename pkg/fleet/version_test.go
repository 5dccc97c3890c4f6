package fleet

import (
	"testing"
	"time"
)

// versioned returns an upstream of the service "llm" that runs a version.
func versioned(id, version string) Upstream {
	u := llm(id, 1)
	u.SoftwareVersion = version
	return u
}

func bound(version string, continues bool) Request {
	return Request{Service: "llm", Bound: true, Version: version, Continues: continues}
}

// Guards against sending a stream to an upstream that runs another version than the one
// it is bound to, whatever the state of the others (issue 29).
func TestPickKeepsVersion(t *testing.T) {
	f := New("a1", nil, start)
	f.SetLeavingGrace(time.Second)
	f.Put(versioned("x", "v1"), start)
	f.Put(versioned("y", "v2"), start)
	for range 3 {
		if m := f.Pick(bound("v1", false), start); m == nil || m.ID != "x" {
			t.Fatalf("picked %+v, want x", m)
		}
		f.RecordFailure(f.Member("x"), true, start) // a suspended one is the last resort
	}
	if f.HasAlternative(bound("v1", true), start) {
		t.Error("an upstream of another version counts as an alternative")
	}
}

// Guards against breaking off a stream whose upstreams have just announced their
// shutdown, against using them for new streams or for long, and against using one that
// announced it at an unknown time (issue 29).
func TestDrainingServesBegunStreams(t *testing.T) {
	f := New("a1", nil, start)
	f.SetLeavingGrace(time.Second)
	f.Put(versioned("x", "v1"), start)
	draining := versioned("x", "v1")
	draining.State = Draining
	f.Put(draining, start.Add(time.Second))
	unknown := versioned("z", "v3")
	unknown.State = Draining
	f.Put(unknown, start.Add(time.Second))
	for _, c := range []struct {
		request Request
		at      time.Duration
		want    bool
	}{
		{bound("v1", true), 1900 * time.Millisecond, true},
		{bound("v1", true), 2100 * time.Millisecond, false},
		{bound("v1", false), 1100 * time.Millisecond, false},
		{bound("v3", true), 1100 * time.Millisecond, false},
	} {
		if got := f.Pick(c.request, start.Add(c.at)) != nil; got != c.want {
			t.Errorf("%+v after %v: picked is %v, want %v", c.request, c.at, got, c.want)
		}
	}
}

// Guards against telling no versions apart while an upstream gives one (issue 29).
func TestUnversioned(t *testing.T) {
	f := New("a1", nil, start)
	if !f.Unversioned("llm") {
		t.Error("a service without upstreams has versions")
	}
	f.Put(llm("x", 1), start)
	if !f.Unversioned("llm") {
		t.Error("an upstream without a version has one")
	}
	f.Put(versioned("y", "v1"), start)
	if f.Unversioned("llm") {
		t.Error("the version of an upstream is ignored")
	}
}

// Guards against binding a new stream to a version whose upstreams accept no attempts
// while another's do, and against leaving it unbound while there is a last resort
// (issue 29).
func TestFirstVersion(t *testing.T) {
	f := New("a1", nil, start)
	r := Request{Service: "llm"}
	if _, ok := f.FirstVersion(r, start); ok {
		t.Error("a version without upstreams")
	}
	f.Put(versioned("x", "v1"), start)
	f.Put(versioned("y", "v2"), start)
	f.RecordFailure(f.Member("x"), true, start)
	if version, ok := f.FirstVersion(r, start); !ok || version != "v2" {
		t.Errorf("first version %q, %v, want v2", version, ok)
	}
	f.RecordFailure(f.Member("y"), true, start.Add(time.Millisecond))
	if _, ok := f.PreferredVersion(r, start.Add(2*time.Millisecond)); ok {
		t.Error("a suspended upstream is preferred")
	}
	version, ok := f.FirstVersion(r, start.Add(2*time.Millisecond))
	if m := f.Pick(r, start.Add(2*time.Millisecond)); !ok || m == nil || version != m.SoftwareVersion {
		t.Errorf("last resort %q, %v; Pick chooses %+v", version, ok, m)
	}
}
