package ratelimit

import (
	"slices"
	"time"
)

const (
	// reserveShare is the part of a second's permits that programs in progress on routes
	// of lower priority leave to those on routes of the highest one.
	reserveShare = 0.1
	// newReserveShare is the part that programs which have not begun leave to those in
	// progress.
	newReserveShare = 0.3
	// returnGrace is how long after the announced time a refused caller is still
	// expected.
	returnGrace = 500 * time.Millisecond
	// returnLead is how long before the announced time a permit is kept for a refused
	// caller.
	returnLead = 500 * time.Millisecond
	// maxExpectedReturns limits the refused callers that are expected.
	maxExpectedReturns = 1024
	// minSupply is the lowest rate of permits, in permits a second, that a wait is
	// computed from.
	minSupply = 0.01
)

// Supply is what the upstreams of a service offer to one entry.
type Supply struct {
	Permits   int           // requests that may be sent now
	Capacity  float64       // permits of a second, as many as Permits can be at most
	PerSecond float64       // permits a second, without those that other entries will use
	Next      time.Duration // until the next permit
}

// Rank orders the requests for a service while some of its upstreams are limited; 0 is
// the most urgent. It is the priority of the route, plus NewProgram for the first request
// of a program: refusing it costs little, while a program in progress would lose its
// work.
type Rank int

// NewProgram is the best rank of a program that has not begun.
const NewProgram Rank = 100

// Gate decides which requests are sent to a service while some of its upstreams are
// limited. Refused callers come back through any entry, so
// each entry expects as many as it refused. The zero value expects none.
type Gate struct{ expectedReturns []expectedReturn }

// expectedReturn is the time at which a refused caller was told to retry.
type expectedReturn struct {
	due  time.Time
	rank Rank
}

// Admit reports whether a request may be sent. It leaves permits for callers of a better
// rank that return about now, and a reserve for requests of a better rank.
func (g *Gate) Admit(rank Rank, s Supply, now time.Time) bool {
	g.expire(now)
	ahead := g.count(func(p expectedReturn) bool { return p.rank < rank && p.isDue(now) })
	if s.Permits < 1+ahead+reserve(rank, s) {
		return false
	}
	g.removeEarliest(rank, now)
	return true
}

// Refuse returns the time after which a refused request should come again: when there
// is a permit for it behind those of the callers that were refused before it. timeLeft is
// how long the caller waits for an answer at most: one whose permit comes later will not
// return for it.
func (g *Gate) Refuse(rank Rank, s Supply, timeLeft time.Duration, now time.Time) time.Duration {
	g.expire(now)
	ahead := g.count(func(p expectedReturn) bool { return p.rank <= rank })
	missing := max(1+ahead+reserve(rank, s)-s.Permits, 1)
	wait := max(s.Next, 0) + time.Duration(float64(missing-1)/max(s.PerSecond, minSupply)*float64(time.Second))
	if wait <= timeLeft && len(g.expectedReturns) < maxExpectedReturns {
		g.expectedReturns = append(g.expectedReturns, expectedReturn{now.Add(wait), rank})
	}
	return wait
}

// reserve returns the permits that requests of a rank leave to better ones.
func reserve(rank Rank, s Supply) int {
	switch {
	case rank >= NewProgram:
		return int(newReserveShare * s.Capacity)
	case rank > 0:
		return int(reserveShare * s.Capacity)
	}
	return 0
}

// isDue reports whether the caller returns about now.
func (p expectedReturn) isDue(now time.Time) bool { return !p.due.After(now.Add(returnLead)) }

func (g *Gate) count(f func(expectedReturn) bool) int {
	n := 0
	for _, p := range g.expectedReturns {
		if f(p) {
			n++
		}
	}
	return n
}

// expire removes the expected returns of callers that did not retry in time.
func (g *Gate) expire(now time.Time) {
	g.expectedReturns = slices.DeleteFunc(g.expectedReturns, func(p expectedReturn) bool { return now.After(p.due.Add(returnGrace)) })
}

// removeEarliest removes the earliest expected return of a rank that is due.
func (g *Gate) removeEarliest(rank Rank, now time.Time) {
	first := -1
	for i, p := range g.expectedReturns {
		if p.rank == rank && p.isDue(now) && (first < 0 || p.due.Before(g.expectedReturns[first].due)) {
			first = i
		}
	}
	if first >= 0 {
		g.expectedReturns = slices.Delete(g.expectedReturns, first, first+1)
	}
}
