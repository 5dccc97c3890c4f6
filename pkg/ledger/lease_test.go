package ledger

import (
	"errors"
	"sync"
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

// Guards against turns that keep each other out of a budget that holds one of them: those
// that were refused have reserved nothing (issue 44).
func TestRefusedTurnsReserveNothing(t *testing.T) {
	c := newCluster(t, 3)
	reserve := func(attempt uint64) error {
		u := reservation(attempt, 70)
		u.Leased = true
		_, err := c.client.Reserve(longContext(t), u, 140, 14, 0)
		return err
	}
	for attempt := range uint64(2) {
		if err := reserve(1 + attempt); err != nil {
			t.Fatalf("attempt %d: %v", 1+attempt, err)
		}
	}
	var wg sync.WaitGroup
	for attempt := range uint64(10) {
		wg.Go(func() {
			if err := reserve(3 + attempt); !errors.Is(err, ErrBudgetReserved) {
				t.Errorf("attempt %d beside two: %v, want %v", 3+attempt, err, ErrBudgetReserved)
			}
		})
	}
	wg.Wait()
	ended := reservation(1, 0)
	ended.Settled = true
	if err := c.client.Write(longContext(t), "p", []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Usage{Usage: ended}}}); err != nil {
		t.Fatal(err)
	}
	if err := reserve(20); err != nil {
		t.Errorf("a turn beside one of the same size, with room for two: %v", err)
	}
}

// Guards against a burst of turns of one program that are all refused, since each counts the
// reservations of all others (issue 44).
func TestBurstOfTurnsLeavesOne(t *testing.T) {
	const turns, most, budget = 20, 70, 140
	c := newCluster(t, 3)
	results := make(chan error, turns)
	for attempt := range uint64(turns) {
		go func() {
			u := reservation(attempt+1, most)
			u.Leased = true
			_, err := c.client.Reserve(longContext(t), u, budget, 14, 0)
			results <- err
		}()
	}
	began := 0
	for range turns {
		switch err := <-results; {
		case err == nil:
			began++
		case !errors.Is(err, ErrBudgetReserved):
			t.Errorf("%v, want %v", err, ErrBudgetReserved)
		}
	}
	if began < 1 || began*most > budget {
		t.Errorf("%d of %d turns of %d tokens begin, want one at least, within a budget of %d", began, turns, most, budget)
	}
}

// Guards against a withdrawn reservation that keeps counting, and against one that is sent
// again and does not, whatever order the members get them in.
func TestLatestLeasedRevisionCounts(t *testing.T) {
	version := func(revision, tokens uint32) *peerv1.LedgerRecord {
		rec := leased(1, tokens)
		rec.GetUsage().Revision = revision
		return rec
	}
	for name, c := range map[string]struct {
		records []*peerv1.LedgerRecord
		tokens  uint32
	}{
		"withdrawn":                 {[]*peerv1.LedgerRecord{version(0, 70), version(1, 0)}, 0},
		"withdrawn, late copy":      {[]*peerv1.LedgerRecord{version(1, 0), version(0, 70)}, 0},
		"sent again":                {[]*peerv1.LedgerRecord{version(1, 0), version(2, 70)}, 70},
		"sent again, late copy":     {[]*peerv1.LedgerRecord{version(2, 70), version(1, 0)}, 70},
		"passed on, late copy":      {[]*peerv1.LedgerRecord{usage(1, 70, false), version(1, 0)}, 70},
		"passed on after its lease": {[]*peerv1.LedgerRecord{version(2, 70), usage(1, 70, false)}, 70},
	} {
		s := NewState()
		for _, rec := range c.records {
			s.Apply(rec, startTime)
		}
		tokens := uint32(0)
		for _, u := range s.Usage("p", 0, startTime) {
			tokens += u.GetTokens()
		}
		if tokens != c.tokens {
			t.Errorf("%s: %d tokens count, want %d", name, tokens, c.tokens)
		}
	}
}

// Guards against a turn that is refused because of records that some members still count as
// open and a quorum knows to be settled.
func TestOutdatedMembersDoNotRefuse(t *testing.T) {
	c := newCluster(t, 3)
	open, settled := reservation(1, 100), reservation(1, 10)
	settled.Settled = true
	for i, u := range []*peerv1.Usage{settled, open, open} {
		if err := c.stores[i].Write(longContext(t), []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Usage{Usage: u}}}); err != nil {
			t.Fatal(err)
		}
	}
	c.stop(2)
	if _, err := c.client.Reserve(longContext(t), reservation(2, 70), 100, 14, 0); err != nil {
		t.Errorf("70 of 100 tokens beside a turn that has used 10: %v", err)
	}
}

// Guards against settlements that wait for a member that is gone, while the tokens of all
// turns that end meanwhile stay reserved (issue 44).
func TestWriteAllDoesNotWaitForLostMember(t *testing.T) {
	c := newCluster(t, 3)
	c.stop(2)
	ctx, stored := longContext(t), 0
	failed := c.client.WriteAll(ctx, []*peerv1.LedgerRecord{usage(1, 10, true), usage(2, 10, true)}, func(*peerv1.LedgerRecord) { stored++ })
	if len(failed) > 0 || stored != 2 {
		t.Errorf("%d records stored at a quorum, %d not, want 2 and none", stored, len(failed))
	}
	if ctx.Err() != nil {
		t.Error("the write waits until its context is done")
	}
}

// Guards against a turn that reserves again, after its lease, with a record that a member
// takes for one older than its withdrawal: its tokens would not count there.
func TestReservationAfterWithdrawalCounts(t *testing.T) {
	c := newCluster(t, 3)
	lease := func(attempt uint64, revision uint32) *peerv1.Usage {
		u := reservation(attempt, 70)
		u.Leased, u.Revision = true, revision
		return u
	}
	if _, err := c.client.Reserve(longContext(t), lease(1, 0), 100, 14, 0); err != nil {
		t.Fatal(err)
	}
	res, err := c.client.Reserve(longContext(t), lease(2, 0), 100, 14, 0)
	if !errors.Is(err, ErrBudgetReserved) {
		t.Fatalf("a second turn of 70 of 100 tokens: %v, want %v", err, ErrBudgetReserved)
	}
	withdrawn := lease(2, res.NextRevision-1) // some member may have got it last
	withdrawn.Tokens = 0
	time.Sleep(ReservationLease)
	for _, s := range c.stores {
		if err := s.Write(longContext(t), []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Usage{Usage: withdrawn}}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.client.Reserve(longContext(t), lease(2, res.NextRevision), 100, 14, 0); err != nil {
		t.Fatalf("the second turn after the lease of the first: %v", err)
	}
	if _, err := c.client.Reserve(longContext(t), lease(3, 0), 100, 14, 0); !errors.Is(err, ErrBudgetReserved) {
		t.Errorf("a third turn beside the second: %v, want %v", err, ErrBudgetReserved)
	}
}
