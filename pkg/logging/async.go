package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a slow reader of the output.
	asyncLines = 4096
	// asyncFlush is the largest write that collects waiting lines.
	asyncFlush = 64 << 10
	// FlushTimeout bounds the wait for the output at the end of a process.
	FlushTimeout = 200 * time.Millisecond
)

// Async writes lines in the background and never blocks: lines that do not fit
// into its queue are dropped and counted.
type Async struct {
	w       io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewAsync returns a writer in front of w.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes what waits, for at most FlushTimeout. No Write may follow.
func (a *Async) Close() {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(FlushTimeout):
	}
}

func (a *Async) run() {
	defer close(a.done)
	var buf []byte
	for line := range a.lines {
		buf = append(buf[:0], line...)
	collect:
		for len(buf) < asyncFlush {
			select {
			case more, ok := <-a.lines:
				if !ok {
					break collect
				}
				buf = append(buf, more...)
			default:
				break collect
			}
		}
		if _, err := a.w.Write(buf); err != nil {
			a.dropped.Add(1) // the output is the only place to report to
		}
	}
}
