package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/retrybudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/waitline"
)

const (
	// maxWaiting limits the requests that wait for the upstreams of one service. The
	// smallest edge serves some tens of requests a second and lets each wait for half a
	// second or so.
	maxWaiting = 256
	// lineShare is the part of the memory for bodies in transit that waiting requests may
	// hold. The rest is for requests that are being served.
	lineShare = 0.25
	// lineMemory is how long after the last rejection a service counts as short of room.
	lineMemory = 3 * time.Second
	// busyMemory is how long after a request had to wait the retry budget of its service is
	// in force.
	busyMemory = time.Second
	// timeLeftMemory is how long the longest time left of a route counts. Callers begin with
	// it and return with less.
	timeLeftMemory = 10 * time.Second
	// maxServiceLines bounds the services whose state is kept.
	maxServiceLines = 1024
	// minPump is the shortest time between two searches for room by the timer.
	minPump = 5 * time.Millisecond
)

// lines holds the requests that wait for room at the upstreams, by service.
type lines struct {
	e *Edge

	mu       sync.Mutex // locked before the fleet, never after it
	services map[string]*serviceLine
	bytes    waitline.Bytes
	usual    *waitline.Usual
	changed  chan struct{} // closed when waiting requests must be checked again
}

// serviceLine is the part of lines of one service.
type serviceLine struct {
	line     *waitline.Line
	budget   retrybudget.Budget
	shedAt   time.Time              // of the last rejection for lack of room
	waitAt   time.Time              // when a request last had to wait
	timeLeft map[string]longestTime // by route
	// passing is the number of requests that were let through and have not been placed.
	passing int
	timer   *time.Timer // runs while requests wait
}

// verdict is the decision on a request that joins or is in the line.
type verdict int

const (
	pass    verdict = iota // an upstream has room, or the line is not in force
	wait                   // the request is in the line
	evicted                // the line is full, or the request would wait too long
	expired                // it has waited as long as it may
)

// String implements fmt.Stringer.
func (v verdict) String() string { return [...]string{"served", "waiting", "evicted", "expired"}[v] }

// waiter is a request in the line.
type waiter struct {
	ticket     *waitline.Ticket
	excluded   map[string]bool // upstreams that must not get the request
	rejectedBy map[string]time.Time
	verdict    chan verdict
	changed    chan struct{}
	deadline   time.Time     // of the request
	after      time.Duration // Retry-After of a refusal; set before the verdict is sent
	position   int           // requests in the line when it joined
}

func newLines(e *Edge) *lines {
	return &lines{
		e: e, services: make(map[string]*serviceLine), usual: waitline.NewUsual(), changed: make(chan struct{}),
		bytes: waitline.Bytes{Limit: int64(lineShare * float64(transitLimit(e.settings.MemoryMB)))},
	}
}

// service returns the line of a service. The caller holds the lock.
func (l *lines) service(name string) *serviceLine {
	s := l.services[name]
	if s == nil {
		l.prune()
		s = &serviceLine{line: waitline.New(waitline.Config{MaxWaiting: maxWaiting, Bytes: &l.bytes, Usual: l.usual})}
		l.services[name] = s
	}
	return s
}

// prune removes the services without waiting requests if there are too many.
func (l *lines) prune() {
	if len(l.services) < maxServiceLines {
		return
	}
	for name, s := range l.services {
		if s.line.Len() == 0 && s.passing == 0 {
			delete(l.services, name)
		}
	}
}

// short reports whether the upstreams of the service rejected requests lately for lack of
// room.
func (s *serviceLine) short(now time.Time) bool {
	return !s.shedAt.IsZero() && now.Sub(s.shedAt) < lineMemory
}

// busy reports whether requests wait for room or had to within busyMemory.
func (s *serviceLine) busy(now time.Time) bool {
	return s.line.Len() > 0 || !s.waitAt.IsZero() && now.Sub(s.waitAt) < busyMemory
}

// enter decides whether a request may be placed now. If it has to wait, the verdict
// is sent to the waiter later.
func (l *lines) enter(c *call, now time.Time) (*waiter, verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(c.service)
	l.count(c, s, now)
	c.inLine.avoidFull = false
	if s.line.Len() == 0 && !s.short(now) || l.e.stopping.Load() != nil {
		return nil, pass
	}
	w := c.newWaiter()
	room := l.room(c.service, w, now)
	if c.isolated || room.Limited { // it runs alone, or permits decide
		return nil, pass
	}
	c.inLine.avoidFull = true
	if room.Unlimited || room.Full && !room.MayChange {
		return nil, pass // there is room, or this process could not learn that there is
	}
	if s.line.Len() == 0 && room.Places > s.passing {
		s.passing++
		c.inLine.passing = true
		return nil, pass
	}
	return l.join(c, s, w, now)
}

// count records a request in the retry budget and in the usual traffic, once.
func (l *lines) count(c *call, s *serviceLine, now time.Time) {
	if c.inLine.counted {
		return
	}
	c.inLine.counted = true
	s.budget.First(now)
	if c.workspace != nil {
		l.usual.Add(c.workspace.Name, now)
	}
	if c.req.HasTimeLeft {
		c.inLine.usualTime = s.recordTimeLeft(c.route.Name, c.timeout(), now)
	}
}

// recordTimeLeft records the time that a caller has left and returns the longest one of its
// route of late.
func (s *serviceLine) recordTimeLeft(route string, d time.Duration, now time.Time) time.Duration {
	if s.timeLeft == nil || len(s.timeLeft) > maxTimedRoutes {
		s.timeLeft = make(map[string]longestTime)
	}
	if t := s.timeLeft[route]; d >= t.d || now.Sub(t.at) > timeLeftMemory {
		s.timeLeft[route] = longestTime{d: d, at: now}
	}
	return s.timeLeft[route].d
}

// longestTime is the longest time that callers of a route had left of late.
type longestTime struct {
	d  time.Duration
	at time.Time
}

// join adds a request to the line. The caller holds the lock.
func (l *lines) join(c *call, s *serviceLine, w *waiter, now time.Time) (*waiter, verdict) {
	if last := c.inLine.served; last != nil {
		s.line.Return(last, now)
		c.inLine.served = nil
	}
	s.waitAt = now
	w.changed, w.position = l.changed, s.line.Len()
	out, joined := s.line.Join(w.ticket, now)
	for _, t := range out {
		l.endWait(s, t, evicted, now)
	}
	if !joined {
		w.after = l.returnAfter(s, w.ticket.Request, c.deadline.Sub(now), now)
		return w, evicted
	}
	l.pump(c.service, s, now)
	return w, wait
}

// endWait sends its verdict to a request that is no longer in the line.
func (l *lines) endWait(s *serviceLine, t *waitline.Ticket, v verdict, now time.Time) {
	w := t.Value.(*waiter)
	if v == pass {
		s.passing++
	} else {
		w.after = l.returnAfter(s, t.Request, w.deadline.Sub(now), now)
	}
	w.verdict <- v
}

// returnAfter returns when the caller of a refused request should return.
func (l *lines) returnAfter(s *serviceLine, r waitline.Request, left time.Duration, now time.Time) time.Duration {
	if r.LeaveBy.Before(now) {
		r.LeaveBy = now
	}
	return s.line.RetryAfter(r, left, now, rand.Float64())
}

// pump lets waiting requests pass for which an upstream has room, and ends the wait of those
// that may not wait any longer. The caller holds the lock.
func (l *lines) pump(service string, s *serviceLine, now time.Time) {
	for _, t := range s.line.Expire(now) {
		l.endWait(s, t, expired, now)
	}
	var room fleet.Room
	for s.line.Len() > 0 {
		room = l.room(service, nil, now)
		if room.Full || !room.Unlimited && room.Places <= s.passing {
			break
		}
		t := s.line.Next(now, func(t *waitline.Ticket) bool {
			w := t.Value.(*waiter)
			if len(w.excluded)+len(w.rejectedBy) == 0 {
				return true
			}
			own := l.room(service, w, now)
			return own.Unlimited || own.Places > s.passing
		})
		if t == nil {
			break
		}
		l.endWait(s, t, pass, now)
	}
	l.arm(service, s, room.Next, now)
}

// arm sets the timer that pumps the line again.
func (l *lines) arm(service string, s *serviceLine, next, now time.Time) {
	if s.line.Len() == 0 {
		if s.timer != nil {
			s.timer.Stop()
		}
		return
	}
	if next.IsZero() {
		next = now.Add(minPump)
	}
	next = earlier(next, s.line.NextExpiry())
	pause := max(next.Sub(now), minPump)
	if s.timer == nil {
		s.timer = time.AfterFunc(pause, func() { l.search(service) })
		return
	}
	s.timer.Reset(pause)
}

// search pumps the line of a service if there is one.
func (l *lines) search(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil && s.line.Len() > 0 {
		l.pump(service, s, time.Now())
	}
}

// room returns what the candidates of a request have room for. If w is nil, all members of the
// service are candidates.
func (l *lines) room(service string, w *waiter, now time.Time) (room fleet.Room) {
	req := fleet.Request{Service: service}
	var rejected map[string]time.Time
	if w != nil {
		rejected = w.rejectedBy
		if len(w.excluded) > 0 {
			req.Excluded = func(id string) bool { return w.excluded[id] }
		}
	}
	l.e.withFleet(func(f *fleet.Fleet) { room = f.Room(req, rejected, now) })
	return room
}

// leave removes a request from the line. It reports whether it was in it; if not, its verdict
// has been sent.
func (l *lines) leave(service string, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		return false // its verdict was sent, and the line was dropped as unused
	}
	before := s.line.Len()
	s.line.Leave(w.ticket, time.Now())
	return s.line.Len() < before
}

// placed records that a request that was let through was placed or ended.
func (l *lines) placed(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil && s.passing > 0 {
		s.passing--
		if s.line.Len() > 0 {
			l.pump(service, s, time.Now())
		}
	}
}

// recheck makes all waiting requests check whether they may still run, after a change of the
// configuration or at a stop.
func (l *lines) recheck() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// retryAfter returns when the caller of a refused request should return, if the upstreams of
// its service are short of room.
func (l *lines) retryAfter(c *call) (time.Duration, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[c.service]
	if s == nil || !s.short(now) {
		return 0, false
	}
	return l.returnAfter(s, c.waitRequest(now), c.deadline.Sub(now), now), true
}

// waiting returns the number of waiting requests.
func (l *lines) waiting() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services {
		n += s.line.Len()
	}
	return n
}

// held returns the bytes that the bodies of waiting requests hold.
func (l *lines) held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.Used
}
