package entry

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// eventQueue bounds the events that wait for the loop. A full queue slows the
// posting goroutines down, which is the backpressure towards callers.
const eventQueue = 4096

// executor carries out one effect without blocking.
type executor interface {
	execute(core.Effect)
}

// loop owns the core: only its goroutine touches it.
type loop struct {
	core   *core.Core
	events chan core.Event
	reads  chan func(*core.Core)
	exec   executor
	record func(core.Event, []core.Effect) // nil without an event log
	done   chan struct{}
}

func newLoop(c *core.Core) *loop {
	return &loop{
		core:   c,
		events: make(chan core.Event, eventQueue),
		reads:  make(chan func(*core.Core)),
		done:   make(chan struct{}),
	}
}

// post queues an event. It is dropped once the loop has ended.
func (l *loop) post(e core.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// postLater queues an event from the loop's own goroutine, which must not wait
// for the queue it empties.
func (l *loop) postLater(e core.Event) { go l.post(e) }

// do runs f with the core in the loop's goroutine and waits for it. It reports
// false if the loop has ended.
func (l *loop) do(f func(*core.Core)) bool {
	finished := make(chan struct{})
	wrapped := func(c *core.Core) {
		defer close(finished)
		f(c)
	}
	select {
	case l.reads <- wrapped:
		<-finished
		return true
	case <-l.done:
		return false
	}
}

// run steps the core until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		case f := <-l.reads:
			f(l.core)
		case <-tick.C:
			l.step(core.Tick{At: now()})
		}
	}
}

func (l *loop) step(e core.Event) {
	effects := l.core.Step(e)
	if l.record != nil {
		l.record(e, effects)
	}
	for _, eff := range effects {
		l.exec.execute(eff)
	}
}

// now returns the event time of this moment, in the form in which the event log
// restores it: without monotonic reading and location.
func now() core.At { return core.At{Time: time.Now().UTC().Round(0)} }
