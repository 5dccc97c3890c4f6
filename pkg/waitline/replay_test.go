package waitline

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// replay plays requests against one service with a bounded queue, by events in virtual time.
// A refused caller returns after Retry-After if that is at most a third of its time left.
type replay struct {
	line  *Line // nil: a request that finds no place is refused at once
	usual *Usual
	rand  *rand.Rand

	events  events
	running int
	queue   []*request
	served  map[string]int // within the objective, by workspace
	answers map[string]int // before the deadline
	sent    map[string]int
}

const (
	replaySlots     = 8
	replayPlaces    = 8 // in the queue of the service
	replayTime      = 100 * time.Millisecond
	replayWork      = 2 * replayTime // with the wait in the queue of the service
	replayCapacity  = 80.0           // requests a second
	replayObjective = time.Second
	replayTimeout   = 3 * time.Second
)

var start = time.Unix(1000, 0)

type request struct {
	workspace string
	at, by    time.Time
	retries   int // that its caller still makes
	ticket    *Ticket
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newReplay(seed uint64, withLine bool) *replay {
	r := &replay{
		rand: rand.New(rand.NewPCG(seed, 1)), usual: NewUsual(),
		served: make(map[string]int), answers: make(map[string]int), sent: make(map[string]int),
	}
	if withLine {
		r.line = New(Config{MaxWaiting: 64, Usual: r.usual})
	}
	return r
}

// arrivals sends requests of a workspace at a rate per second, with random gaps.
func (r *replay) arrivals(workspace string, from, to time.Duration, rate float64) {
	for at := from; ; {
		at += time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		q := &request{workspace: workspace, at: start.Add(at), by: start.Add(at + replayTimeout), retries: 1 + r.rand.IntN(2)}
		r.schedule(q.at, func(now time.Time) {
			r.sent[q.workspace]++
			r.usual.Add(q.workspace, now)
			r.arrive(q, now)
		})
	}
}

func (r *replay) schedule(at time.Time, f func(time.Time)) { heap.Push(&r.events, event{at, f}) }

func (r *replay) run() {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.run(e.at)
	}
}

func (r *replay) room() bool { return r.running < replaySlots || len(r.queue) < replayPlaces }

func (r *replay) arrive(q *request, now time.Time) {
	switch {
	case r.room() && (r.line == nil || r.line.Len() == 0):
		r.start(q, now)
	case r.line == nil:
		r.refuse(q, 200*time.Millisecond+time.Duration(r.rand.Int64N(int64(200*time.Millisecond))), now)
	default:
		q.ticket = &Ticket{Value: q, Request: Request{
			Workspace: q.workspace, Due: q.at.Add(replayObjective - replayWork), Work: replayWork,
			Late:    now.Sub(q.at)+replayWork > replayObjective,
			LeaveBy: LeaveBy(now, q.by, now.Sub(q.at), replayWork, replayObjective),
		}}
		out, joined := r.line.Join(q.ticket, now)
		if !joined && len(out) == 0 {
			out = []*Ticket{q.ticket}
		}
		r.refuseAll(out, now)
		if joined {
			r.schedule(q.ticket.LeaveBy, func(now time.Time) { r.refuseAll(r.line.Expire(now), now) })
		}
	}
}

func (r *replay) refuseAll(list []*Ticket, now time.Time) {
	for _, t := range list {
		q := t.Value.(*request)
		r.refuse(q, r.line.RetryAfter(t.Request, q.by.Sub(now), now, r.rand.Float64()), now)
	}
}

func (r *replay) refuse(q *request, after time.Duration, now time.Time) {
	if q.retries--; q.retries >= 0 && after <= q.by.Sub(now)/honoredDivisor {
		r.schedule(now.Add(after), func(now time.Time) { r.arrive(q, now) })
	}
}

// start gives a request a slot or a place in the queue of the service.
func (r *replay) start(q *request, now time.Time) {
	if r.running == replaySlots {
		r.queue = append(r.queue, q)
		return
	}
	r.running++
	took := time.Duration((0.5 + r.rand.Float64()) * float64(replayTime))
	r.schedule(now.Add(took), func(now time.Time) { r.end(q, now) })
}

func (r *replay) end(q *request, now time.Time) {
	if !now.After(q.by) {
		r.answers[q.workspace]++
	}
	if now.Sub(q.at) <= replayObjective {
		r.served[q.workspace]++
	}
	r.running--
	if len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.start(next, now)
	}
	for r.line != nil && r.room() {
		t := r.line.Next(now, func(*Ticket) bool { return true })
		if t == nil {
			return
		}
		r.start(t.Value.(*request), now)
	}
}

// burst is twice the capacity for 4 s between times of normal load.
func (r *replay) burst() {
	r.arrivals("", 0, 2*time.Second, 0.6*replayCapacity)
	r.arrivals("", 2*time.Second, 6*time.Second, 2*replayCapacity)
	r.arrivals("", 6*time.Second, 10*time.Second, 0.6*replayCapacity)
}

// surging is the workspace that sends seven times its usual traffic for 6.5 s.
const surging = "w3"

// surge plays workspaces with skewed traffic of three quarters of the capacity.
func (r *replay) surge() {
	const usual, from, to, end = 0.75 * replayCapacity, 40 * time.Second, 46500 * time.Millisecond, 50 * time.Second
	for i, share := range []float64{0.35, 0.2, 0.15, 0.12, 0.08, 0.05, 0.03, 0.02} {
		w := fmt.Sprint("w", i)
		r.arrivals(w, 0, end, share*usual)
		if w == surging {
			r.arrivals(w, from, to, 6*share*usual)
		}
	}
}
