package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Run identifies one run of an upstream, from a start of its process to its end. A new
// run has no limit until it names one.
type Run struct {
	ID            string
	StartedUnixMs int64
}

// Reading is what an upstream stated about its limit.
type Reading struct {
	Limited   bool
	PerSecond float64 // requests a second of all entries together; only if Limited
}

// Change is how a reading changed what an entry knows.
type Change int

// Changes.
const (
	Unchanged Change = iota
	Named            // a limit where there was none
	Adjusted         // another rate
	Ended
)

// String implements fmt.Stringer.
func (c Change) String() string { return [...]string{"unchanged", "named", "adjusted", "ended"}[c] }

// maxRuns bounds the runs whose limits are kept.
const maxRuns = 8192

// Book holds the limits that one entry knows. It is not safe for concurrent use.
type Book struct {
	start   time.Time
	limits  map[Run]*Limit
	active  int // limits in force
	shares  Shares
	demand  int
	version uint64 // number of changes so far
}

// NewBook returns an empty book of an entry that may use each limit alone. start is any
// time before the first use; its time of day is the common reference of all entries.
func NewBook(start time.Time) *Book {
	return &Book{start: start, limits: make(map[Run]*Limit), shares: EqualShares(0, 1)}
}

// Limit is the limit of one run of an upstream as one entry knows it.
type Limit struct {
	run       Run
	reading   Reading
	updatedAt time.Time // of the response with the newest reading
	version   uint64    // of the book at the last change
	meter     Meter

	region  string    // of the upstream
	phase   uint64    // makes the slots of two upstreams with one rate belong to different entries
	permits []float64 // times of the slots that this entry may use and has not, oldest first
	accrued float64   // time up to which slots became permits
}

// Active returns the number of limits in force.
func (b *Book) Active() int { return b.active }

// Find returns the limit of a run, which may have ended, or nil if it never named one.
func (b *Book) Find(r Run) *Limit { return b.limits[r] }

// Observe applies a reading from a response to a request that was sent at sentAt. A
// response without a limit ends one only if its request was sent after the limit was
// last named: an earlier one may have been answered before the naming.
func (b *Book) Observe(r Run, reading Reading, sentAt, now time.Time) Change {
	l := b.limits[r]
	if l == nil && !reading.Limited {
		return Unchanged
	}
	if l != nil && l.reading.Limited && !reading.Limited && !sentAt.After(l.updatedAt) {
		return Unchanged
	}
	return b.set(r, reading, now, now)
}

// endDelay is how much newer a peer's reading without a limit has to be than one with a
// limit: the two times were taken by different processes, and the message took time.
const endDelay = 500 * time.Millisecond

// Observation is a reading with the time at which it was received.
type Observation struct {
	Run     Run
	Reading Reading
	At      time.Time
}

// Merge applies what another entry observed if it is newer.
func (b *Book) Merge(o Observation, now time.Time) Change {
	l := b.limits[o.Run]
	if l == nil && !o.Reading.Limited {
		return Unchanged
	}
	if o.At.After(now) {
		o.At = now
	}
	if l == nil {
		return b.set(o.Run, o.Reading, o.At, now)
	}
	known := l.updatedAt
	if l.reading.Limited && !o.Reading.Limited {
		known = known.Add(endDelay)
	}
	if !o.At.After(known) {
		return Unchanged
	}
	return b.set(o.Run, o.Reading, o.At, now)
}

// Version returns the number of changes so far.
func (b *Book) Version() uint64 { return b.version }

// ChangesSince returns what changed after a version, in no order.
func (b *Book) ChangesSince(version uint64) []Observation {
	if version >= b.version {
		return nil
	}
	var list []Observation
	for _, l := range b.limits {
		if l.version > version {
			list = append(list, Observation{Run: l.run, Reading: l.reading, At: l.updatedAt})
		}
	}
	return list
}

// SetRegion sets the region of a limited upstream.
func (l *Limit) SetRegion(region string) { l.region = region }

// set stores a reading of the time at and returns what it changed.
func (b *Book) set(r Run, reading Reading, at, now time.Time) Change {
	l := b.limits[r]
	if l == nil {
		b.evictOldest()
		l = &Limit{run: r, phase: xxhash.Sum64String(r.ID)}
		b.limits[r] = l
	}
	old := l.reading
	if old == reading {
		l.updatedAt = at
		return Unchanged
	}
	b.version++
	l.version = b.version
	change := Adjusted
	switch {
	case !old.Limited:
		b.active++
		change = Named
		l.permits, l.accrued = nil, b.seconds(now)
	case !reading.Limited:
		b.active--
		change = Ended
	default:
		b.accrue(l, b.seconds(now))
		l.scalePermits(reading)
	}
	l.reading, l.updatedAt = reading, at
	return change
}

// evictOldest removes the limit with the oldest reading if there are too many.
func (b *Book) evictOldest() {
	if len(b.limits) < maxRuns {
		return
	}
	var oldest *Limit
	for _, l := range b.limits {
		if oldest == nil || l.updatedAt.Before(oldest.updatedAt) {
			oldest = l
		}
	}
	if oldest.reading.Limited {
		b.active--
	}
	delete(b.limits, oldest.run)
}

// Reading returns the newest reading. It may be called on nil: no limit.
func (l *Limit) Reading() Reading {
	if l == nil {
		return Reading{}
	}
	return l.reading
}

// Limited reports whether a limit is in force. It may be called on nil.
func (l *Limit) Limited() bool { return l != nil && l.reading.Limited }

// Usage is how often this entry used a limited upstream.
type Usage struct {
	Run    Run
	Limit  float64 // requests a second of all entries together
	Counts Counts  // requests of this entry in the last Window
}

// Usages returns the use of the limited upstreams that this entry sent requests to in
// the last Window, in no order.
func (b *Book) Usages(now time.Time) []Usage {
	var list []Usage
	for _, l := range b.limits {
		if u := b.Usage(l, now); l.reading.Limited && u.Counts.Total() > 0 {
			list = append(list, u)
		}
	}
	return list
}

// Usage returns the use of one limited upstream.
func (b *Book) Usage(l *Limit, now time.Time) Usage {
	return Usage{Run: l.run, Limit: l.reading.PerSecond, Counts: l.meter.Counts(now.Sub(b.start))}
}
