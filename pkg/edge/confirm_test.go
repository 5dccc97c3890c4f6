package edge

import (
	"testing"
	"time"
)

// Guards against a write for each turn (issue 44): a turn that was settled meanwhile needs no
// confirmation, and those that are due together are written together.
func TestSettledTurnsAreNotConfirmed(t *testing.T) {
	now := time.Now()
	passedOn := func(age time.Duration, settled bool) *confirmation {
		c := &confirmation{passedOn: now.Add(-age)}
		c.ended.Store(settled)
		return c
	}
	f := newConfirmer(nil, newLoad())
	for _, c := range []*confirmation{
		passedOn(3*confirmDelay, true), passedOn(2*confirmDelay, false), passedOn(confirmDelay, false), passedOn(confirmDelay/2, false),
	} {
		f.add(c)
	}
	if due, left := f.takeDue(now); len(due) != 2 || !left {
		t.Errorf("%d confirmations are due, others left: %t; want 2 and one left", len(due), left)
	}
	if due, left := f.takeDue(now.Add(confirmDelay)); len(due) != 1 || left {
		t.Errorf("%d confirmations are due later, others left: %t; want 1 and none", len(due), left)
	}
}

// Guards against confirmations that come too late to deliver the first events of a turn.
func TestConfirmationsComeBeforeEventsWait(t *testing.T) {
	const roundTrip = 60 * time.Millisecond // between regions
	if latest := confirmDelay + confirmInterval + roundTrip; latest > unconfirmedDelivery {
		t.Errorf("a confirmation may take %v, events wait for it from %v on", latest, unconfirmedDelivery)
	}
}
