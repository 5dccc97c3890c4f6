package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

const (
	// confirmDelay is how long after a turn was passed on that is told to the storage
	// processes. A turn that has ended by then is settled instead.
	confirmDelay = 40 * time.Millisecond
	// confirmInterval collects the confirmations of several turns into one write.
	confirmInterval = 25 * time.Millisecond
	// confirmBatchTimeout limits one write. What is not stored then is written by itself, to
	// the replica group of that moment.
	confirmBatchTimeout = 300 * time.Millisecond
)

// confirmation is the record that a turn was passed on, until a quorum has it.
type confirmation struct {
	passedOn time.Time
	deadline time.Time // of the request
	record   *peerv1.LedgerRecord
	// ended is set once the turn is settled: its last record replaces this one.
	ended atomic.Bool
	// done is closed when the confirmation has ended; err is valid then.
	done chan struct{}
	err  error
	// finish is called once a quorum has the record, or with the error if none has; what it
	// returns becomes err.
	finish func(error) error
}

func (c *confirmation) end(err error) {
	c.err = c.finish(err)
	close(c.done)
}

// confirmer tells the storage processes which turns were passed on, several turns with one
// request to each process.
type confirmer struct {
	client *ledger.Client
	load   *load
	wake   chan struct{}

	mu      sync.Mutex
	pending []*confirmation // oldest first
}

func newConfirmer(c *ledger.Client, l *load) *confirmer {
	return &confirmer{client: c, load: l, wake: make(chan struct{}, 1)}
}

// add queues a confirmation.
func (f *confirmer) add(c *confirmation) {
	f.mu.Lock()
	f.pending = append(f.pending, c)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// takeDue removes the confirmations that are due, and reports whether others are left.
func (f *confirmer) takeDue(now time.Time) (due []*confirmation, left bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for ; n < len(f.pending) && now.Sub(f.pending[n].passedOn) >= confirmDelay; n++ {
		if c := f.pending[n]; !c.ended.Load() {
			due = append(due, c)
		}
	}
	f.pending = append([]*confirmation(nil), f.pending[n:]...)
	return due, len(f.pending) > 0
}

// run writes confirmations until the context is done.
func (f *confirmer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for left := true; left && ctx.Err() == nil; {
			time.Sleep(confirmInterval)
			var due []*confirmation
			if due, left = f.takeDue(time.Now()); len(due) > 0 {
				go f.write(due)
			}
		}
	}
}

// write stores confirmations at quorums.
func (f *confirmer) write(list []*confirmation) {
	byRecord := make(map[*peerv1.LedgerRecord]*confirmation, len(list))
	recs := make([]*peerv1.LedgerRecord, 0, len(list))
	for _, c := range list {
		byRecord[c.record] = c
		recs = append(recs, c.record)
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmBatchTimeout)
	defer cancel()
	answered := f.load.wait(stepPassOn)
	defer answered()
	for _, rec := range f.client.WriteAll(ctx, recs, func(rec *peerv1.LedgerRecord) { go byRecord[rec].end(nil) }) {
		go f.writeAlone(byRecord[rec])
	}
}

// writeAlone stores one confirmation until the deadline of its request.
func (f *confirmer) writeAlone(c *confirmation) {
	if c.ended.Load() {
		return
	}
	defer f.load.wait(stepPassOn)()
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	c.end(errors.Wrap(f.client.Write(ctx, c.record.GetUsage().GetProgram(), []*peerv1.LedgerRecord{c.record}), "record that a turn was passed on"))
}
