package soak

import (
	"testing"
	"time"
)

// kill is an end of a process without notice. The kernel may need a part of a second to end
// it on a busy machine, and resets its connections only then.
type kill struct {
	at    time.Time // when the signal was to be sent
	ends  int       // ends of the process before
	ended bool      // it had ended already
}

// until returns when the process had ended, by the times of all its ends.
func (k kill) until(ends []time.Time) time.Time {
	switch {
	case k.ended:
		return k.at
	case k.ends < len(ends):
		return ends[k.ends]
	}
	return time.Now()
}

// Guards against a cut that is blamed on an edge which a kill was ending, and against one that
// is excused by a kill long before.
func TestKillLastsUntilTheProcessHasEnded(t *testing.T) {
	began := time.Now().Add(-time.Minute)
	after := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	e := &process{ends: []time.Time{after(-5000), after(500)}}
	for _, c := range []struct {
		name       string
		kill       kill
		sent, lost int // ms after the kill
		excused    bool
	}{
		{"sent before the kill", kill{at: began, ends: 1}, -400, -250, false},
		{"cut by the kill", kill{at: began, ends: 1}, -400, 10, true},
		{"sent while the kernel ends the process", kill{at: began, ends: 1}, 270, 520, true},
		{"sent to the next process", kill{at: began, ends: 1}, 800, 1200, false},
		{"sent after an end that was noticed late", kill{at: began, ends: 1, ended: true}, 270, 520, false},
	} {
		l := &lostSoak{faults: map[*process]*faultState{e: {kills: []kill{c.kill}}}}
		if got := l.killedBetween(e, after(c.sent), after(c.lost)); got != c.excused {
			t.Errorf("%s: excused %t, want %t", c.name, got, c.excused)
		}
	}
}
