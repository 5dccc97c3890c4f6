package fleet

import (
	"testing"
	"time"
)

// TestOtherRun guards against taking an upstream that has started again for the run that its
// registration still names, after that registration is read once more, and against refusing
// it once the new one is there (issue 32).
func TestOtherRun(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New("a1", nil, now)
	u := Upstream{ID: "u1", Service: "llm", Address: "a:1", FailureDomain: "a1", Slots: 4, StartedUnixMs: 1, SoftwareVersion: "v1"}
	f.Put(u, now)
	old := f.Member("u1")
	ended, ok := f.RecordOtherRun(old, 2)
	if !ok || ended.StartedUnixMs != 1 {
		t.Fatalf("ended %+v, %v", ended, ok)
	}
	if _, ok := f.RecordOtherRun(old, 2); ok {
		t.Error("the end of one run was recorded twice")
	}
	f.Put(u, now)
	m := f.Member("u1")
	if m.StartedUnixMs != 2 || m.SoftwareVersion == "v1" || m.SoftwareVersion == "" {
		t.Errorf("after the old registration was read again: %+v", m.Upstream)
	}
	v1 := Request{Service: "llm", Bound: true, Version: "v1", Continues: true}
	if f.Pick(v1, now) != nil {
		t.Error("a stream of the old version goes on at the new run")
	}
	if f.Pick(Request{Service: "llm"}, now) != m {
		t.Error("the new run gets no work")
	}
	if _, ok := f.RecordOtherRun(m, 3); !ok {
		t.Error("a second start is not recorded")
	}
	f.Put(u, now)
	if m := f.Member("u1"); m.StartedUnixMs != 3 {
		t.Errorf("after the second start: %+v", m.Upstream)
	}
	u.StartedUnixMs, u.SoftwareVersion = 3, "v2"
	f.Put(u, now)
	if m := f.Member("u1"); m.SoftwareVersion != "v2" || f.Outdated(u) {
		t.Errorf("after the new registration: %+v", m.Upstream)
	}
}
