package entry

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// eventQueueSize limits the number of events that wait for the loop. A full queue
// blocks the posting goroutines, which creates backpressure towards callers.
const eventQueueSize = 4096

// executor executes effects of the core. It must not block.
type executor interface {
	execute(core.Effect)
}

// loop runs the core. Only the goroutine of run may access the core.
type loop struct {
	core       *core.Core
	events     chan core.Event
	coreFuncs  chan func(*core.Core)
	exec       executor
	recordStep func(core.Event, []core.Effect) // records each step in the event log; nil without one
	done       chan struct{}
}

func newLoop(c *core.Core) *loop {
	return &loop{
		core:      c,
		events:    make(chan core.Event, eventQueueSize),
		coreFuncs: make(chan func(*core.Core)),
		done:      make(chan struct{}),
	}
}

// post queues an event and blocks while the queue is full. Events are dropped
// after the loop has ended.
func (l *loop) post(e core.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// postLater queues an event from the goroutine of the loop itself. That goroutine
// would deadlock if it waited for room in the queue that it drains.
func (l *loop) postLater(e core.Event) { go l.post(e) }

// withCore runs f in the goroutine of the loop, which may access the core, and
// waits for it. It returns false without running f if the loop has ended.
func (l *loop) withCore(f func(*core.Core)) bool {
	finished := make(chan struct{})
	wrapped := func(c *core.Core) {
		defer close(finished)
		f(c)
	}
	select {
	case l.coreFuncs <- wrapped:
		<-finished
		return true
	case <-l.done:
		return false
	}
}

// run processes events, calls of withCore and ticks until the context is
// cancelled.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(coreTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		case f := <-l.coreFuncs:
			f(l.core)
		case <-tick.C:
			l.step(core.Tick{At: now()})
		}
	}
}

// step passes an event to the core and executes the resulting effects.
func (l *loop) step(e core.Event) {
	effects := l.core.Step(e)
	if l.recordStep != nil {
		l.recordStep(e, effects)
	}
	for _, eff := range effects {
		l.exec.execute(eff)
	}
}

// now returns the current time for an event. It has no monotonic clock reading and
// no location, so that it equals the time that is read back from the event log.
func now() core.At { return core.At{Time: time.Now().UTC().Round(0)} }
