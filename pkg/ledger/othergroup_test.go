package ledger

import (
	"log/slog"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// TestReserveAsksOtherGroups guards against tokens that are reserved twice by two clients
// whose lists of members share no quorum (issue 35), and against refusals because of lists
// that say nothing.
func TestReserveAsksOtherGroups(t *testing.T) {
	for name, c := range map[string]struct {
		knows   func(all []Member) []Member
		stale   bool // the members receive no changes
		stop    []int
		err     error
		holders int // of the three that the client does not list, at least
	}{
		"another group":               {knows: func(all []Member) []Member { return all[3:] }, holders: 2},
		"a group with common members": {knows: func(all []Member) []Member { return all[2:5] }, holders: 1},
		"one of it is down":           {knows: func(all []Member) []Member { return all[3:] }, stop: []int{3}, holders: 2},
		"no quorum of it answers":     {knows: func(all []Member) []Member { return all[3:] }, stop: []int{3, 4}, err: ErrNoMajority},
		"the same group":              {knows: func(all []Member) []Member { return []Member{all[2], all[0], all[1]} }},
		"a list without updates":      {knows: func(all []Member) []Member { return all[3:] }, stale: true},
		"a list that begins":          {knows: func(all []Member) []Member { return all[3:4] }},
		"a part of the asked ones":    {knows: func(all []Member) []Member { return all[1:3] }, stop: []int{1}},
		"no list":                     {knows: func([]Member) []Member { return nil }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 6)
			all := cl.Storage()
			cl.mu.Lock()
			cl.members = slices.Clone(all[:3])
			cl.knows = func() ([]Member, bool) { return c.knows(all), !c.stale }
			cl.mu.Unlock()
			for _, i := range c.stop {
				cl.stop(i)
			}
			u := &peerv1.Usage{Program: "p", Attempt: 1, Tokens: 70}
			_, err := cl.client.Reserve(shortContext(t), u, 100, 0, 0)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			holders := 0
			for _, s := range cl.stores[3:] {
				if len(s.Usage("p", 0)) > 0 {
					holders++
				}
			}
			if err == nil && holders < c.holders {
				t.Errorf("%d of the members that the client does not list hold the reservation, want %d", holders, c.holders)
			}
			if c.err != nil || c.holders < 2 {
				return
			}
			other := &cluster{members: all[3:]}
			client := NewClient(cl.client.transport, other, 1, slog.New(slog.DiscardHandler))
			if _, err := client.Reserve(shortContext(t), &peerv1.Usage{Program: "p", Attempt: 2, Tokens: 70}, 100, 0, 0); !errors.Is(err, ErrOverBudget) {
				t.Errorf("a client with the other list: %v, want %v", err, ErrOverBudget)
			}
		})
	}
}
