package ledger

import (
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// setMembers replaces the members in the directory.
func (c *cluster) setMembers(list []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = list
}

// Guards against a write that gives up at once, asks members until its deadline that are
// gone, or counts members that were taken out, although the list of members has changed
// meanwhile (issue 32).
func TestWriteFollowsTheList(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*cluster)
	}{
		{"all members are leaving", func(c *cluster) {
			for _, s := range c.stores[:3] {
				s.SetLeaving(true)
			}
		}},
		{"all members are gone", func(c *cluster) {
			for i := range 3 {
				c.stop(i)
			}
		}},
		{"one member answers, two are gone", func(c *cluster) { c.stop(1); c.stop(2) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 6)
			all := cl.Storage()
			cl.setMembers(all[:3])
			c.prepare(cl)
			changed := time.AfterFunc(300*time.Millisecond, func() { cl.setMembers(all[3:]) })
			defer changed.Stop()
			began := time.Now()
			if err := cl.client.Write(longContext(t), "p", []*peerv1.LedgerRecord{turnRecord("a", "")}); err != nil {
				t.Fatalf("after %v: %v", time.Since(began), err)
			}
			copies := 0
			for _, s := range cl.stores[3:] {
				if len(s.Chain("a")) == 1 {
					copies++
				}
			}
			if copies < 2 {
				t.Errorf("%d of the 3 members that are listed have the turn, want 2", copies)
			}
		})
	}
}
