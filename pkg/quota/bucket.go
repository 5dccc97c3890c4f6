package quota

import "time"

// maxWait bounds computed waits.
const maxWait = 10 * time.Second

// bucket is a token bucket.
type bucket struct {
	level, rate, capacity float64
	at                    Time // when level was computed
}

// advance adds the tokens since the last call, up to a limit.
func (b *bucket) advance(limit float64, now Time) {
	if now <= b.at {
		return
	}
	if b.level < limit {
		b.level = min(b.level+b.rate*(now-b.at).Seconds(), limit)
	}
	b.at = now
}

// resize changes rate and capacity. A smaller capacity scales the level, a larger one
// leaves it: tokens come with time only.
func (b *bucket) resize(rate, capacity float64) {
	if capacity < b.capacity {
		b.level *= capacity / b.capacity
	}
	b.rate, b.capacity = rate, capacity
}

// until returns the time until a level is reached.
func (b *bucket) until(level float64) time.Duration {
	if b.level >= level {
		return 0
	}
	if b.rate <= 0 {
		return maxWait
	}
	return time.Duration(min((level-b.level)/b.rate, maxWait.Seconds()) * float64(time.Second))
}

// issue is a number of granted tokens that expire together.
type issue struct {
	count float64
	until Time
}

// pool is a coordinator's bucket of one workspace. Granted tokens count against its
// capacity until they expire or are used, so that the tokens in the bucket and those that edges
// hold never exceed it together.
type pool struct {
	bucket
	issued      []issue // by expiry
	outstanding float64 // tokens in issued
	usedAt      Time
}

// advance lets time pass, one expiry after the other.
func (p *pool) advance(now Time) {
	n := 0
	for ; n < len(p.issued) && p.issued[n].until <= now; n++ {
		p.bucket.advance(p.capacity-p.outstanding, p.issued[n].until)
		p.outstanding -= p.issued[n].count
	}
	if n > 0 {
		p.issued = append(p.issued[:0], p.issued[n:]...)
	}
	p.bucket.advance(p.capacity-p.outstanding, now)
}

// take grants up to wanted tokens and leaves the given level.
func (p *pool) take(wanted uint32, leave float64, life time.Duration, now Time) uint32 {
	p.advance(now)
	p.usedAt = now
	n := uint32(min(max(p.level-leave, 0), float64(wanted)))
	if n == 0 {
		return 0
	}
	p.level -= float64(n)
	p.outstanding += float64(n)
	until := (now + life + issueGrain - 1).Truncate(issueGrain)
	if last := len(p.issued) - 1; last >= 0 {
		if until = max(until, p.issued[last].until); until == p.issued[last].until {
			p.issued[last].count += float64(n)
			return n
		}
	}
	p.issued = append(p.issued, issue{count: float64(n), until: until})
	return n
}

// release records that granted tokens were used. Those that expire first are removed, since
// the used ones may be any.
func (p *pool) release(used uint32, now Time) {
	p.advance(now)
	left := float64(used)
	for i := 0; i < len(p.issued) && left > 0; i++ {
		n := min(left, p.issued[i].count)
		p.issued[i].count -= n
		p.outstanding -= n
		left -= n
	}
}

// issueGrain is the unit to which expiries are rounded up, so that grants of about the same time
// become one entry. This bounds the memory of a pool.
const issueGrain = 10 * time.Millisecond

// isFull reports whether the pool is as if it had never been used.
func (p *pool) isFull() bool { return len(p.issued) == 0 && p.level >= p.capacity }
