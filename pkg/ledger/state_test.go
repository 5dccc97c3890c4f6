package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

var startTime = time.Unix(1000, 0)

func usage(attempt uint64, tokens uint32, settled bool) *peerv1.LedgerRecord {
	return &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: &peerv1.Usage{
		Program: "p", Attempt: attempt, Tokens: tokens, Settled: settled,
	}}}
}

func turnRecord(id, parent string) *peerv1.LedgerRecord {
	return &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{
		Id: id, Parent: parent, Input: []byte("in " + id), Output: []byte("out " + id),
	}}}
}

// Guards against a late copy of a reservation that replaces its settled version,
// in both orders of arrival.
func TestSettledRecordStays(t *testing.T) {
	for _, order := range [][]*peerv1.LedgerRecord{
		{usage(1, 280, false), usage(1, 70, true)},
		{usage(1, 70, true), usage(1, 280, false)},
	} {
		s := NewState()
		for _, r := range order {
			s.Apply(r, startTime)
		}
		got := s.Usage("p", 0, startTime)
		if len(got) != 1 || got[0].GetTokens() != 70 || !got[0].GetSettled() {
			t.Errorf("usage is %v, want 70 settled tokens", got)
		}
	}
}

// Guards against a turn that fits the budget only because each of two storage
// processes lacks a different part of the used tokens.
func TestFitsCountsUnion(t *testing.T) {
	a := []*peerv1.Usage{{Attempt: 1, Tokens: 100, Settled: true}, {Attempt: 9, Tokens: 50}}
	b := []*peerv1.Usage{{Attempt: 2, Tokens: 100}, {Attempt: 9, Tokens: 50}}
	all := MergeUsage(a, b)
	if !FitsBudget(all, 9, 50, 250) {
		t.Error("100, 100 and 50 tokens do not fit a budget of 250")
	}
	if FitsBudget(all, 9, 50, 249) {
		t.Error("100, 100 and 50 tokens fit a budget of 249")
	}
}

// Guards against open turns that each exceed their limit by a part of an event, and
// against a refusal of what fits a budget by such parts alone.
func TestFitsWholeEvents(t *testing.T) {
	open := func(n int, tokens uint32) map[uint64]*peerv1.Usage {
		records := map[uint64]*peerv1.Usage{1: {Attempt: 1, Tokens: 60}}
		for i := range n {
			records[uint64(10+i)] = &peerv1.Usage{Attempt: uint64(10 + i), Tokens: tokens}
		}
		return records
	}
	settled := open(1, 0)
	settled[10] = &peerv1.Usage{Attempt: 10, Tokens: 851, Settled: true}
	for name, c := range map[string]struct {
		records  map[uint64]*peerv1.Usage
		budget   int
		perEvent int
		fits     bool
	}{
		"only turn":                {open(0, 0), 60, 14, true},
		"two of two":               {open(1, 60), 120, 14, true},
		"13 of 15":                 {open(12, 60), 900, 14, true},
		"14 of 15":                 {open(13, 60), 900, 14, false},
		"15 of 15 in whole events": {open(14, 60), 900, 15, true},
		"no events":                {open(14, 60), 900, 0, true},
		"settled tokens are exact": {settled, 861, 14, true},
		"beyond the budget":        {settled, 860, 14, false},
	} {
		if got := FitsWholeEvents(c.records, 1, 60, c.budget, c.perEvent); got != c.fits {
			t.Errorf("%s: fits is %v, want %v", name, got, c.fits)
		}
	}
}

// Guards against two concurrent reservations that both succeed although only one
// fits the budget. Any two majorities share a member, which sees both.
func TestConcurrentReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members, limit, budget = 3, 60, 100
		states := make([]*State, members)
		for i := range states {
			states[i] = NewState()
		}
		// Each reservation reaches two members in its own order. Its replies are the
		// usage that these have after it arrived.
		type step struct{ attempt, member int }
		var steps []step
		for _, attempt := range []int{1, 2} {
			for _, m := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "members")[:2] {
				steps = append(steps, step{attempt, m})
			}
		}
		replies := map[int][][]*peerv1.Usage{} // by attempt
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			s := steps[i]
			states[s.member].Apply(usage(uint64(s.attempt), limit, false), startTime)
			replies[s.attempt] = append(replies[s.attempt], states[s.member].Usage("p", 0, startTime))
		}
		passed := 0
		for attempt, lists := range replies {
			if FitsBudget(MergeUsage(lists...), uint64(attempt), limit, budget) {
				passed++
			}
		}
		if passed > 1 {
			t.Fatalf("both reservations of %d fit a budget of %d", limit, budget)
		}
	})
}

// Guards against turns in the wrong order, and against an endless loop if a turn
// is its own ancestor.
func TestChain(t *testing.T) {
	s := NewState()
	s.Apply(turnRecord("b", "a"), startTime)
	if chain := s.Chain("b"); len(chain) != 1 {
		t.Errorf("chain without the first turn is %v, want 1 turn", chain)
	}
	s.Apply(turnRecord("a", ""), startTime)
	chain := s.Chain("b")
	if len(chain) != 2 || chain[0].GetId() != "a" || chain[1].GetId() != "b" {
		t.Errorf("chain is %v, want turns a and b", chain)
	}
	if chain := s.Chain("none"); len(chain) != 0 {
		t.Errorf("chain of an unknown turn is %v, want none", chain)
	}
	s.Apply(turnRecord("loop", "loop"), startTime)
	if chain := s.Chain("loop"); len(chain) > maxChainTurns {
		t.Errorf("chain of a turn that is its own parent has %d turns", len(chain))
	}
}

// Guards against a turn that expires before the later turns of its chain.
func TestChainExpiresTogether(t *testing.T) {
	s := NewState()
	s.Apply(turnRecord("a", ""), startTime)
	half := startTime.Add(retentionFactor * defaultRetention / 2)
	s.Apply(turnRecord("b", "a"), half)
	s.Expire(startTime.Add(retentionFactor*defaultRetention + time.Second))
	if len(s.Chain("b")) != 2 {
		t.Error("the first turn expired before the last one")
	}
	s.Expire(half.Add(retentionFactor*defaultRetention + time.Second))
	if len(s.Records(peerv1.Pull_ALL)) != 0 {
		t.Error("expired records were not removed")
	}
}
