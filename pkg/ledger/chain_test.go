package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// age makes the records of a storage process older, and removes those that expire.
func (c *cluster) age(i int, by time.Duration) {
	s := c.stores[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.state.turns {
		t.expires = t.expires.Add(-by)
	}
	s.state.Expire(time.Now())
}

// Guards against a long conversation that is lost: the members that store its last turn are
// not those that have its first ones, and let these expire (issue 35).
func TestLongChainOutlivesChangesOfItsMembers(t *testing.T) {
	t.Parallel()
	const members, turns, pause = 3, 9, defaultRetention * 5 / 6
	c := newCluster(t, members)
	var chain []*peerv1.TurnRecord
	for i := range turns {
		id, parent := fmt.Sprint("turn ", i), ""
		if i > 0 {
			parent = fmt.Sprint("turn ", i-1)
		}
		away := c.stores[i%members]
		away.SetLeaving(true) // refuses records
		rec := turnRecord(id, parent)
		receipt, err := c.client.WriteWithReceipt(longContext(t), "p", []*peerv1.LedgerRecord{rec})
		if err != nil {
			t.Fatal(err)
		}
		c.client.CompleteChains(longContext(t), receipt, chain)
		away.SetLeaving(false)
		chain = append(chain, rec.GetTurn())
		for m := range members {
			c.age(m, pause)
		}
	}
	got, err := c.client.Chain(longContext(t), fmt.Sprint("turn ", turns-1))
	if err != nil || len(got) != turns {
		t.Errorf("%d of %d turns are left %v after the last one, %v", len(got), turns, pause, err)
	}
	for _, r := range chain {
		replicas := 0
		for _, s := range c.stores {
			for _, have := range s.Chain(r.GetId()) {
				if have.GetId() == r.GetId() {
					replicas++
				}
			}
		}
		if replicas < Majority(members) {
			t.Errorf("%s has %d replicas, want %d or more", r.GetId(), replicas, Majority(members))
		}
	}
}
