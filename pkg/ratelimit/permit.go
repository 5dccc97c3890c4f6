package ratelimit

import (
	"math"
	"time"
)

// seconds returns the time that all entries share, in seconds since the Unix epoch. It
// does not follow changes of the time of day after the start.
func (b *Book) seconds(now time.Time) float64 {
	return float64(b.start.UnixNano())/float64(time.Second) + now.Sub(b.start).Seconds()
}

// accrue adds the permits of the slots since the last call and removes those that were
// not used in time. Slot k of a limit is at time k/rate.
func (b *Book) accrue(l *Limit, at float64) {
	ttl := l.ttl()
	keep := 0
	for keep < len(l.permits) && l.permits[keep] < at-ttl {
		keep++
	}
	l.permits = l.permits[keep:]
	if at <= l.accrued {
		return
	}
	rate := l.rate()
	from := max(l.accrued, at-ttl)
	for slot := int64(math.Floor(from*rate)) + 1; slot <= int64(math.Floor(at*rate)); slot++ {
		if len(l.permits) < maxPermits && b.shares.contains(l.region, slotPosition(slot, l.phase)) {
			l.permits = append(l.permits, float64(slot)/rate)
		}
	}
	l.accrued = at
}

// scalePermits drops unused permits if the rate falls, in proportion: they are those of
// the old rate.
func (l *Limit) scalePermits(next Reading) {
	if next.PerSecond >= l.reading.PerSecond {
		return
	}
	keep := int(float64(len(l.permits)) * next.PerSecond / l.reading.PerSecond)
	l.permits = l.permits[len(l.permits)-keep:]
}

// Permits returns how many requests this entry may send to a limited upstream now.
func (b *Book) Permits(l *Limit, now time.Time) int {
	b.accrue(l, b.seconds(now))
	return len(l.permits)
}

// Take uses a permit for a request, if there is one, and counts the request.
func (b *Book) Take(l *Limit, c Cause, now time.Time) {
	if !l.Limited() {
		return
	}
	if b.Permits(l, now) > 0 {
		l.permits = l.permits[1:]
	}
	l.meter.Add(c, now.Sub(b.start))
}

// PerSecond returns the permits that this entry gets for an upstream in a second.
func (b *Book) PerSecond(l *Limit) float64 { return l.rate() * b.shares.Width(l.region) }

// maxSlotSearch limits the slots that NextPermit looks at.
const maxSlotSearch = 4096

// NextPermit returns the time until this entry gets the next permit for an upstream.
func (b *Book) NextPermit(l *Limit, now time.Time) time.Duration {
	at, rate := b.seconds(now), l.rate()
	first := int64(math.Floor(max(at, l.accrued)*rate)) + 1
	slot := first
	for slot < first+maxSlotSearch && !b.shares.contains(l.region, slotPosition(slot, l.phase)) {
		slot++
	}
	return time.Duration((float64(slot)/rate - at) * float64(time.Second))
}

// SetShares changes the part of each limit that this entry may use. Permits that it
// already has stay.
func (b *Book) SetShares(s Shares, now time.Time) {
	at := b.seconds(now)
	for _, l := range b.limits {
		if l.reading.Limited {
			b.accrue(l, at)
		}
	}
	b.shares = s
}

// Shares returns the part of each limit that this entry may use.
func (b *Book) Shares() Shares { return b.shares }

// AddDemand counts a request that a limited upstream could serve.
func (b *Book) AddDemand() { b.demand++ }

// TakeDemand returns the number of such requests since the last call.
func (b *Book) TakeDemand() int {
	n := b.demand
	b.demand = 0
	return n
}
