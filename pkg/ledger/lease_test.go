package ledger

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

func leased(attempt uint64, tokens uint32) *peerv1.LedgerRecord {
	rec := usage(attempt, tokens, false)
	rec.GetUsage().Leased = true
	return rec
}

// Guards against a reservation of a turn that was never passed on and counts for good, and
// against one that was passed on and ends with its lease (issue 41).
func TestLeaseEnds(t *testing.T) {
	for name, c := range map[string]struct {
		records []*peerv1.LedgerRecord
		after   time.Duration
		tokens  uint32
	}{
		"leased, in its lease":     {[]*peerv1.LedgerRecord{leased(1, 70)}, ReservationLease, 70},
		"leased, after its lease":  {[]*peerv1.LedgerRecord{leased(1, 70)}, ReservationLease + 1, 0},
		"passed on":                {[]*peerv1.LedgerRecord{leased(1, 70), usage(1, 70, false)}, time.Minute, 70},
		"passed on, late copy":     {[]*peerv1.LedgerRecord{usage(1, 70, false), leased(1, 70)}, time.Minute, 70},
		"settled before the lease": {[]*peerv1.LedgerRecord{usage(1, 14, true), leased(1, 70)}, time.Minute, 14},
	} {
		s := NewState()
		for _, rec := range c.records {
			s.Apply(rec, startTime)
		}
		tokens := uint32(0)
		for _, u := range s.Usage("p", 0, startTime.Add(c.after)) {
			tokens += u.GetTokens()
		}
		if tokens != c.tokens {
			t.Errorf("%s: %d tokens count, want %d", name, tokens, c.tokens)
		}
	}
}

// Guards against the loss of a stream's origin with the lease of its reservation.
func TestOriginOutlivesLease(t *testing.T) {
	u := usageWithOrigin(1, 70, false, "v1", 1)
	u.Leased = true
	s := NewState()
	s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}}, startTime)
	list := s.Usage("p", 1, startTime.Add(time.Minute))
	if len(list) != 1 || list[0].GetOrigin().GetVersion() != "v1" || list[0].GetTokens() != 0 {
		t.Errorf("the records are %v, want the origin and no tokens", list)
	}
}

// Guards against a final refusal because of turns that may never be passed on.
func TestCheckBudget(t *testing.T) {
	records := MergeUsage([]*peerv1.Usage{
		{Attempt: 1, Tokens: 100, Settled: true}, {Attempt: 2, Tokens: 100}, {Attempt: 3, Tokens: 100, Leased: true}, {Attempt: 9, Tokens: 100},
	})
	for budget, want := range map[int]error{400: nil, 399: ErrBudgetReserved, 300: ErrBudgetReserved, 299: ErrOverBudget} {
		if err := CheckBudget(records, 9, 100, budget, 0); !errors.Is(err, want) {
			t.Errorf("budget %d: %v, want %v", budget, err, want)
		}
	}
}

// Guards against a budget that is exceeded because members disagree on whether a turn was
// passed on: whatever order its records reach a quorum in, each later quorum counts it.
func TestPassedOnAtEachQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []*State{NewState(), NewState(), NewState()}
		members := []int{0, 1, 2}
		for _, m := range rapid.Permutation(members).Draw(t, "leased at")[:2] {
			states[m].Apply(leased(1, 70), startTime)
		}
		for _, m := range rapid.Permutation(members).Draw(t, "passed on at")[:2] {
			states[m].Apply(usage(1, 70, false), startTime)
		}
		later := startTime.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "s later")) * time.Second)
		var lists [][]*peerv1.Usage
		for _, m := range rapid.Permutation(members).Draw(t, "read at")[:2] {
			lists = append(lists, states[m].Usage("p", 0, later))
		}
		if err := CheckBudget(MergeUsage(lists...), 9, 40, 100, 0); !errors.Is(err, ErrOverBudget) {
			t.Fatalf("%v, want %v", err, ErrOverBudget)
		}
	})
}
