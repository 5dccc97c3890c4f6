// Package waitline holds the requests of one process that wait until an upstream of their
// service has room, in one queue for each service, the line. It decides who waits, who is served
// next, who is refused and when a refused caller should come again. It has no clock, no goroutine
// and no I/O; the time and random numbers are passed in.
package waitline

import (
	"cmp"
	"slices"
	"time"
)

// maxExamined bounds the waiting requests that one search for the next one examines. Most
// requests of a service have the same candidates, so the first one usually fits.
const maxExamined = 32

// Bytes is the memory of waiting requests, which the lines of a process share.
type Bytes struct {
	Limit int64
	Used  int64
}

// Config configures a line.
type Config struct {
	MaxWaiting int    // requests that wait at the same time
	Bytes      *Bytes // memory that they hold
	Usual      *Usual // weights of the workspaces; nil: all are equal
}

// Request holds the properties of a request that its place in the line depends on.
type Request struct {
	Workspace  string // empty: none
	Class      string // requests that share the room of their workspace evenly with its other classes
	Priority   int    // of workspace and class; 0 is served first
	NewProgram bool   // no earlier turn of its program was served
	// Late is set if the request can't meet its objective any more. If
	// late requests were served first, they would make others late, too.
	Late bool
	// Due is the latest start at which the request's program ends in time. The earliest is
	// served first among requests of equal rank.
	Due time.Time
	// LeaveBy is when the request stops waiting.
	LeaveBy time.Time
	Work    time.Duration // expected service time
	Bytes   int64         // memory that the request holds
}

// Ranks of one priority, from 0 (first). As in an engine's queue, a late request comes after
// a program that has not begun.
const (
	newProgramRank = 1
	lateRank       = 2
	ranks          = 4 // number of ranks of one priority
)

// rank is the place of a request in its workspace and class; 0 is served first.
func (r Request) rank() int {
	rank := ranks * max(r.Priority, 0)
	if r.NewProgram {
		rank += newProgramRank
	}
	if r.Late {
		rank += lateRank
	}
	return rank
}

// priority is the rank of a request among other workspaces and classes.
func (r Request) priority() int { return max(r.Priority, 0) }

// Ticket is a request in a line.
type Ticket struct {
	Request
	JoinedAt time.Time
	Value    any // not used by this package

	class   *class
	waiting bool
}

// Line holds the waiting requests of one service.
type Line struct {
	cfg        Config
	workspaces map[string]*workspace
	waiting    int
	bytes      int64
	drain      drain
	returns    map[string]time.Time // when the next refused caller of a workspace returns
}

// New returns an empty line.
func New(cfg Config) *Line {
	if cfg.Bytes == nil {
		cfg.Bytes = &Bytes{Limit: 1 << 62}
	}
	return &Line{cfg: cfg, workspaces: make(map[string]*workspace), returns: make(map[string]time.Time)}
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return l.waiting }

// Held returns the memory of the waiting requests.
func (l *Line) Held() int64 { return l.bytes }

// Join adds a request. It returns the requests that have to leave because the line is full,
// which may include the new one. A request that would wait longer than it may is refused at
// once: joined is false and it is not in the line.
func (l *Line) Join(t *Ticket, now time.Time) (evicted []*Ticket, joined bool) {
	l.drain.advance(now, l.waiting > 0)
	if t.JoinedAt.IsZero() {
		t.JoinedAt = now
	}
	if t.Bytes > l.cfg.Bytes.Limit || now.Add(l.wait(t.Request)).After(t.LeaveBy) {
		return nil, false
	}
	l.insert(t)
	for l.waiting > l.cfg.MaxWaiting {
		evicted = append(evicted, l.evict(countOf, float64(l.cfg.MaxWaiting), t))
	}
	for t.waiting && l.cfg.Bytes.Used > l.cfg.Bytes.Limit {
		evicted = append(evicted, l.evict(bytesOf, float64(l.cfg.Bytes.Limit), t))
	}
	return evicted, t.waiting
}

// Leave removes a request that was neither served nor refused by the line, because its
// caller left, for example.
func (l *Line) Leave(t *Ticket, now time.Time) {
	if !t.waiting {
		return
	}
	l.drain.advance(now, l.waiting > 0)
	l.remove(t)
}

// Next removes and returns the request that is served next, among those that admit accepts;
// nil: none. It serves the most urgent priority first. Workspaces of one priority take turns
// in proportion to their weights, the classes of a workspace evenly.
func (l *Line) Next(now time.Time, admit func(*Ticket) bool) *Ticket {
	l.drain.advance(now, l.waiting > 0)
	examined := 0
	for _, c := range l.order() {
		for _, t := range c.tickets {
			if examined++; examined > maxExamined {
				return nil
			}
			if !now.After(t.LeaveBy) && admit(t) {
				l.remove(t)
				c.charge(t.Work, l.weight(c.owner))
				l.drain.served(1)
				return t
			}
		}
	}
	return nil
}

// Return undoes the accounting of a request that Next returned but whose upstream had no room.
// The request may join again; JoinedAt keeps its place.
func (l *Line) Return(t *Ticket, now time.Time) {
	l.drain.advance(now, l.waiting > 0)
	l.drain.served(-1)
	if t.class != nil {
		t.class.charge(-t.Work, l.weight(t.class.owner))
	}
}

// Expire removes and returns the requests that may not wait any longer.
func (l *Line) Expire(now time.Time) (expired []*Ticket) {
	l.drain.advance(now, l.waiting > 0)
	for _, w := range l.workspaces {
		for _, c := range w.classes {
			for _, t := range c.tickets {
				if !now.Before(t.LeaveBy) {
					expired = append(expired, t)
				}
			}
		}
	}
	for _, t := range expired {
		l.remove(t)
	}
	slices.SortFunc(expired, func(a, b *Ticket) int { return a.LeaveBy.Compare(b.LeaveBy) })
	return expired
}

// NextExpiry returns when the next waiting request may not wait any longer; zero: none waits.
func (l *Line) NextExpiry() (next time.Time) {
	for _, w := range l.workspaces {
		for _, c := range w.classes {
			for _, t := range c.tickets {
				if next.IsZero() || t.LeaveBy.Before(next) {
					next = t.LeaveBy
				}
			}
		}
	}
	return next
}

// insert adds a request to its class in the order of rank and due time.
func (l *Line) insert(t *Ticket) {
	w := l.workspace(t.Workspace)
	c := w.class(t.Class)
	if len(c.tickets) == 0 {
		l.activate(c, t.priority())
	}
	i, _ := slices.BinarySearchFunc(c.tickets, t, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.Due.Compare(b.Due), a.JoinedAt.Compare(b.JoinedAt), -1)
	})
	c.tickets = slices.Insert(c.tickets, i, t)
	t.class, t.waiting = c, true
	w.waiting++
	l.waiting++
	l.bytes += t.Bytes
	l.cfg.Bytes.Used += t.Bytes
}

// remove takes a request out of its class.
func (l *Line) remove(t *Ticket) {
	c := t.class
	if i := slices.Index(c.tickets, t); i >= 0 {
		c.tickets = slices.Delete(c.tickets, i, i+1)
	}
	t.waiting = false
	c.owner.waiting--
	l.waiting--
	l.bytes -= t.Bytes
	l.cfg.Bytes.Used -= t.Bytes
	l.prune()
}
