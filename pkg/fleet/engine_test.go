package fleet

import (
	"cmp"
	"slices"
)

// The speed of the model of an engine, at pace 1: what was measured at the platform's.
const (
	engineStepMs    = 2.45 // one token for each running request
	engineReadRate  = 70.0 // prompt tokens per ms
	engineChunk     = 512  // prompt tokens read between two steps
	engineEvent     = 15   // tokens of an event
	engineSlots     = 8
	engineQueue     = 24
	engineSlowEvery = 600.0 // ms between changes of the pace
)

// engineRequest is a turn at an engine.
type engineRequest struct {
	parts         []Part
	prompt, out   int
	rank          int
	arrived       float64
	unread, done  int
	admitted      float64
	first, finish func(at float64)
}

func (r *engineRequest) tokens() int { return r.prompt + r.done }

// engine is a model of an engine that reads prompts in chunks between the tokens of its
// running requests, admits and reads in the order of their ranks, and evicts cached parts.
type engine struct {
	base      float64
	slow      func(at float64) bool
	memory    int
	running   []*engineRequest
	queue     []*engineRequest
	cache     []Part // least recently used first
	next      float64
	busy      bool
	readAgain int // tokens read again after a preemption
}

func (e *engine) pace(at float64) float64 {
	if e.slow(at) {
		return 2.5 * e.base
	}
	return e.base
}

// submit adds a request; false: the queue is full.
func (e *engine) submit(r *engineRequest, at float64) bool {
	if len(e.queue) >= engineQueue {
		return false
	}
	r.arrived, r.unread = at, r.prompt
	e.queue = append(e.queue, r)
	if !e.busy {
		e.next = at
		e.busy = true
	}
	return true
}

func byRank(a, b *engineRequest) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrived, b.arrived))
}

func (e *engine) used() (n int) {
	for _, r := range e.running {
		n += r.tokens()
	}
	return n
}

// admit starts waiting requests while there are slots and memory. One that does not fit
// preempts the newest of the less urgent ones.
func (e *engine) admit(at float64) {
	slices.SortFunc(e.queue, byRank)
	for len(e.queue) > 0 && len(e.running) < engineSlots {
		r := e.queue[0]
		if len(e.running) > 0 && e.used()+r.prompt > e.memory && !e.preempt(r.rank) {
			return
		}
		e.queue = e.queue[1:]
		r.admitted = at
		r.unread = max(r.tokens()-e.lookup(r.parts), 1)
		e.running = append(e.running, r)
	}
}

// preempt moves the newest of the least urgent running requests to the queue, if it is less
// urgent than the rank.
func (e *engine) preempt(rank int) bool {
	worst := -1
	for i, r := range e.running {
		if r.rank > rank && (worst < 0 || r.rank > e.running[worst].rank || r.rank == e.running[worst].rank && r.admitted >= e.running[worst].admitted) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	r := e.running[worst]
	e.running = slices.Delete(e.running, worst, worst+1)
	e.readAgain += r.tokens() - r.unread
	e.queue = append(e.queue, r)
	slices.SortFunc(e.queue, byRank)
	return true
}

func (e *engine) lookup(parts []Part) (n int) {
	for _, p := range parts {
		i := slices.IndexFunc(e.cache, func(c Part) bool { return c.Key == p.Key })
		if i < 0 {
			return n
		}
		n += min(e.cache[i].Tokens, p.Tokens)
		if e.cache[i].Tokens < p.Tokens {
			return n
		}
	}
	return n
}

func (e *engine) store(r *engineRequest) {
	for i, p := range r.parts {
		if i == len(r.parts)-1 {
			p.Tokens += r.done
		}
		e.cache = slices.DeleteFunc(e.cache, func(c Part) bool { return c.Key == p.Key })
		e.cache = append(e.cache, p)
	}
	room := e.memory - e.used()
	total := 0
	for i := len(e.cache) - 1; i >= 0; i-- {
		if total += e.cache[i].Tokens; total > room {
			e.cache = e.cache[i+1:]
			return
		}
	}
}

// step reads a chunk and generates a token for each request whose prompt is read.
func (e *engine) step() {
	at := e.next
	e.admit(at)
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	for e.used() > e.memory && len(e.running) > 1 && e.preempt(-1) {
	}
	left, decoding := engineChunk, []*engineRequest{}
	slices.SortStableFunc(e.running, byRank)
	for _, r := range e.running {
		if r.unread == 0 {
			decoding = append(decoding, r)
			continue
		}
		n := min(left, r.unread)
		r.unread -= n
		left -= n
	}
	took := float64(engineChunk-left) / engineReadRate
	if len(decoding) > 0 {
		took += engineStepMs
	}
	e.next = at + took*e.pace(at)
	for _, r := range decoding {
		if r.done++; r.done == min(engineEvent, r.out) {
			e.store(r)
			r.first(e.next)
		}
		if r.done >= r.out {
			e.running = slices.DeleteFunc(e.running, func(o *engineRequest) bool { return o == r })
			e.store(r)
			r.finish(e.next)
		}
	}
}
