package journal

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Retainer is the connection to one member of the retention set.
type Retainer interface {
	Retain(ctx context.Context, m *peerv1.Retain) (*peerv1.RetainResult, error)
}

// WriterOptions configures a Writer. The callbacks are called from Run, in
// order and without a lock; nil callbacks are not called. Zero durations take
// the defaults in parentheses.
type WriterOptions struct {
	// Committed reports that every record up to seq is in the store.
	Committed func(defaultCallback core.Seq)
	// Retained reports that every record up to seq is in the store or held by
	// every reachable member of the retention set, and by at least one.
	Retained func(defaultCallback core.Seq)
	// Undurable reports that records up to seq are not known to be in the store
	// and not retained, because no member is reachable either.
	Undurable func(defaultCallback core.Seq)
	// Sealed reports that another incarnation has sealed the journal. Run
	// returns a SealedError afterwards.
	Sealed func(by core.Incarnation)

	// Retention is the initial retention set: incarnations of other entries.
	Retention []core.Incarnation
	// Retainer returns the connection to a member, or nil if that
	// incarnation cannot be reached.
	Retainer func(member core.Incarnation) Retainer

	AppendTimeout time.Duration // time limit of one append attempt (5 s)
	RetainAfter   time.Duration // age of an append at which retention of its batch starts (300 ms)
	RetainTimeout time.Duration // time limit of one message to a member (1 s)
	MinCollect    time.Duration // lower bound of the time between the starts of two appends (5 ms)
	MaxCollect    time.Duration // upper bound of that time (50 ms); up to ten times as long in an outage
	Logger        *slog.Logger
}

func (o *WriterOptions) setDefaults() {
	defaultDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	defaultDuration(&o.AppendTimeout, 5*time.Second)
	defaultDuration(&o.RetainAfter, 300*time.Millisecond)
	defaultDuration(&o.RetainTimeout, time.Second)
	defaultDuration(&o.MinCollect, 5*time.Millisecond)
	defaultDuration(&o.MaxCollect, 50*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	defaultCallback := func(f *func(core.Seq)) {
		if *f == nil {
			*f = func(core.Seq) {}
		}
	}
	defaultCallback(&o.Committed)
	defaultCallback(&o.Retained)
	defaultCallback(&o.Undurable)
	if o.Sealed == nil {
		o.Sealed = func(core.Incarnation) {}
	}
	if o.Retainer == nil {
		o.Retainer = func(core.Incarnation) Retainer { return nil }
	}
}

// SealedError reports that another incarnation has sealed or fenced a journal.
type SealedError struct {
	Journal core.Incarnation
	By      core.Incarnation
	Object  uint64
}

// Error implements error.
func (e *SealedError) Error() string {
	return fmt.Sprintf("journal: journal of %s was sealed by %s at object %d", e.Journal, e.By, e.Object)
}
