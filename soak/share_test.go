package soak

import (
	"net/http"
	"testing"
)

const (
	// leastShare is the share of the requests that each edge must serve over a run with
	// faults: the users' floor for a failure domain on a day with trouble.
	leastShare = 0.46
	// fewestAsked is how many requests an edge must have read for its share to count.
	fewestAsked = 50
)

// share is how many requests an edge has read, and how many of them it has answered whole
// with something else than that it can't serve them.
type share struct{ asked, served int }

func (s share) enough() bool {
	return s.asked < fewestAsked || float64(s.served) >= leastShare*float64(s.asked)
}

// countShare counts the outcome of a request that was sent to an edge.
func (l *lostSoak) countShare(e *process, a answer) {
	if !a.sent {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[e]
	s.asked++
	if a.whole && a.status < http.StatusInternalServerError {
		s.served++
	}
	l.shares[e] = s
}

// checkShares reports edges that served too little of what they were asked.
func (l *lostSoak) checkShares() {
	l.mu.Lock()
	shares := make(map[string]share)
	for e, s := range l.shares {
		shares[e.ip] = s
	}
	l.mu.Unlock()
	for ip, s := range shares {
		l.note("edge %s served %d of %d requests", ip, s.served, s.asked)
		if !s.enough() {
			l.violate("edge %s served %d of %d requests, %.2f are the least", ip, s.served, s.asked, leastShare)
		}
	}
}

// Guards against a soak that passes although one edge serves next to nothing (issue 44).
func TestShareOfWorstEdge(t *testing.T) {
	for _, c := range []struct {
		share  share
		enough bool
	}{{share{100, 100}, true}, {share{100, 46}, true}, {share{100, 45}, false}, {share{40, 0}, true}} {
		if c.share.enough() != c.enough {
			t.Errorf("%+v: enough %t, want %t", c.share, !c.enough, c.enough)
		}
	}
}
