package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

var began = time.Unix(1000, 0)

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

// Guards against a settled record that a late copy of the reservation opens
// again, and against the reverse order that loses the settlement.
func TestSettledRecordStays(t *testing.T) {
	for _, order := range [][]*peerv1.LedgerRecord{
		{usage(1, 280, false), usage(1, 70, true)},
		{usage(1, 70, true), usage(1, 280, false)},
	} {
		s := NewState()
		for _, r := range order {
			s.Apply(r, began)
		}
		got := s.Usage("p")
		if len(got) != 1 || got[0].GetTokens() != 70 || !got[0].GetSettled() {
			t.Errorf("usage is %v, want 70 settled", got)
		}
	}
}

// Guards against a budget that holds because each of two storage processes
// misses another part of what was used.
func TestFitsCountsUnion(t *testing.T) {
	a := []*peerv1.Usage{{Attempt: 1, Tokens: 100, Settled: true}, {Attempt: 9, Tokens: 50}}
	b := []*peerv1.Usage{{Attempt: 2, Tokens: 100}, {Attempt: 9, Tokens: 50}}
	all := MergeUsage(a, b)
	if !FitsBudget(all, 9, 50, 250) {
		t.Error("250 do not hold 100, 100 and 50")
	}
	if FitsBudget(all, 9, 50, 249) {
		t.Error("249 hold 100, 100 and 50")
	}
}

// Guards against two concurrent reservations that both pass though the budget
// holds one: of any two majorities one member sees both.
func TestConcurrentReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members, limit, budget = 3, 60, 100
		states := make([]*State, members)
		for i := range states {
			states[i] = NewState()
		}
		// Each reservation reaches the members in an order of its own, and its
		// answer is the usage that the first two hold after it arrived.
		type step struct{ attempt, member int }
		var steps []step
		for _, attempt := range []int{1, 2} {
			for _, m := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "members")[:2] {
				steps = append(steps, step{attempt, m})
			}
		}
		answers := map[int][][]*peerv1.Usage{}
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			s := steps[i]
			states[s.member].Apply(usage(uint64(s.attempt), limit, false), began)
			answers[s.attempt] = append(answers[s.attempt], states[s.member].Usage("p"))
		}
		passed := 0
		for attempt, lists := range answers {
			if FitsBudget(MergeUsage(lists...), uint64(attempt), limit, budget) {
				passed++
			}
		}
		if passed > 1 {
			t.Fatalf("both reservations of %d fit a budget of %d", limit, budget)
		}
	})
}

// Guards against turns out of order, and against a loop of parents.
func TestChain(t *testing.T) {
	s := NewState()
	s.Apply(turnRecord("b", "a"), began)
	if chain := s.Chain("b"); len(chain) != 1 {
		t.Errorf("the part that is here is %v", chain)
	}
	s.Apply(turnRecord("a", ""), began)
	chain := s.Chain("b")
	if len(chain) != 2 || chain[0].GetId() != "a" || chain[1].GetId() != "b" {
		t.Errorf("chain is %v", chain)
	}
	if chain := s.Chain("none"); len(chain) != 0 {
		t.Errorf("chain of no turn is %v", chain)
	}
	s.Apply(turnRecord("loop", "loop"), began)
	if chain := s.Chain("loop"); len(chain) > maxChain {
		t.Errorf("a turn that names itself has %d turns", len(chain))
	}
}

// Guards against a first turn that expires before the last one of its chain.
func TestChainIsKeptAsAWhole(t *testing.T) {
	s := NewState()
	s.Apply(turnRecord("a", ""), began)
	half := began.Add(retentionFactor * defaultRetention / 2)
	s.Apply(turnRecord("b", "a"), half)
	s.Expire(began.Add(retentionFactor*defaultRetention + time.Second))
	if len(s.Chain("b")) != 2 {
		t.Error("the chain lost its first turn")
	}
	s.Expire(half.Add(retentionFactor*defaultRetention + time.Second))
	if len(s.Records(peerv1.Pull_ALL)) != 0 {
		t.Error("expired records are kept")
	}
}
