package core

import "time"

// Event is an input of the core. Every event carries the time at which the
// process observed it; the core has no other source of time.
type Event interface {
	When() time.Time
	event()
}

// At is embedded in every event.
type At struct {
	Time time.Time `json:"at"`
}

// When returns the time of the event.
func (a At) When() time.Time { return a.Time }
func (At) event()            {}

// The event types. Their names are stored in event logs.
type (
	// Tick lets the core act on deadlines and timeouts. Daemons send one at
	// least every 100 ms.
	Tick struct{ At }

	// ConfigApplied replaces the configuration, unless its version is not
	// higher than the current one.
	ConfigApplied struct {
		At
		Config Config `json:"config"`
	}

	// ProgramOpened is a caller's request to open a program. ID is chosen by
	// the daemon; a repeated open with the same caller and key returns the id
	// of the first one.
	ProgramOpened struct {
		At
		Call    CallID    `json:"call"`
		ID      ProgramID `json:"id"`
		Parent  ProgramID `json:"parent,omitempty"`
		Caller  string    `json:"caller"`
		Profile string    `json:"profile,omitempty"`
		Key     string    `json:"key,omitempty"`
	}

	// ProgramEnded is a caller's request to end a program and its children.
	ProgramEnded struct {
		At
		Call   CallID    `json:"call"`
		ID     ProgramID `json:"id"`
		Caller string    `json:"caller"`
	}

	// CallArrived is a new call or the resend of an earlier one.
	CallArrived struct {
		At
		Call Call `json:"call"`
	}

	// CallCanceled reports that the caller's connection is closed. The call
	// continues if it has an idempotency key or is non-idempotent.
	CallCanceled struct {
		At
		Call CallID `json:"call"`
	}

	// JournalCommitted reports that the store has every record up to Seq.
	JournalCommitted struct {
		At
		Seq Seq `json:"seq"`
	}

	// JournalRetained reports that a peer in another failure domain holds
	// every record up to Seq while the store cannot be reached.
	JournalRetained struct {
		At
		Seq Seq `json:"seq"`
	}

	// JournalSealed reports that another incarnation has sealed this journal:
	// the core gives up every slot and refuses all unfinished requests.
	JournalSealed struct {
		At
		By Incarnation `json:"by"`
	}

	// AttemptStarted reports that the sidecar sent the attempt to the upstream.
	AttemptStarted struct {
		At
		Attempt AttemptID `json:"attempt"`
	}

	// FirstToken reports that the attempt produced its first output.
	FirstToken struct {
		At
		Attempt      AttemptID `json:"attempt"`
		CachedTokens int64     `json:"cached_tokens"`
	}

	// AttemptDone carries the complete answer of an attempt.
	AttemptDone struct {
		At
		Attempt AttemptID `json:"attempt"`
		Answer  Answer    `json:"answer"`
	}

	// AttemptFailed reports that an attempt ended without a complete answer.
	AttemptFailed struct {
		At
		Attempt  AttemptID `json:"attempt"`
		Ran      Ran       `json:"ran"`
		Crashed  bool      `json:"crashed"`  // the upstream process crashed
		Fenced   bool      `json:"fenced"`   // the sidecar has seen a higher epoch of the slot
		Draining bool      `json:"draining"` // the sidecar accepts no new attempts
		Step     string    `json:"step"`
		Peer     string    `json:"peer"`
		Message  string    `json:"message"`
	}

	// OutcomeResolved is the result of ResolveClaim.
	OutcomeResolved struct {
		At
		Attempt AttemptID `json:"attempt"`
		Ran     Ran       `json:"ran"`
		Answer  Answer    `json:"answer"` // valid for RanYes
		// Unreachable is set if neither the sidecar nor the service could be
		// queried; the core then repeats the query.
		Unreachable bool `json:"unreachable,omitempty"`
	}

	// UpstreamChanged adds an upstream or replaces its description.
	UpstreamChanged struct {
		At
		Info UpstreamInfo `json:"info"`
	}

	// UpstreamState reports whether an upstream is reachable and whether it
	// is leaving, that is, accepts no new attempts.
	UpstreamState struct {
		At
		Upstream  UpstreamID `json:"upstream"`
		Reachable bool       `json:"reachable"`
		Leaving   bool       `json:"leaving"`
	}

	// UpstreamGone removes an upstream.
	UpstreamGone struct {
		At
		Upstream UpstreamID `json:"upstream"`
	}

	// LoadReported carries a load report, which lags behind the actual load.
	LoadReported struct {
		At
		Load Load `json:"load"`
	}

	// CacheReported carries a cache event, which may arrive late.
	CacheReported struct {
		At
		Event CacheEvent `json:"event"`
	}

	// UpstreamCrashed reports the crash of an upstream with the fingerprints
	// of the requests that it was running.
	UpstreamCrashed struct {
		At
		Upstream     UpstreamID `json:"upstream"`
		Incarnation  uint64     `json:"incarnation"`
		Fingerprints []uint64   `json:"fingerprints"`
	}

	// QuarantineChanged carries a quarantine decision of another entry or of
	// an operator.
	QuarantineChanged struct {
		At
		Fingerprint uint64     `json:"fingerprint"`
		Count       int        `json:"count"`
		Until       time.Time  `json:"until"`
		Released    bool       `json:"released"`
		Upstream    UpstreamID `json:"upstream,omitempty"` // of the last counted crash, if known
		Incarnation uint64     `json:"incarnation,omitempty"`
	}

	// SlotsAcquired reports that this process now owns the slots. Records are
	// those of the journals of earlier owners. Planned is set after a
	// hand-over, whose records are known to cover every dispatched attempt.
	SlotsAcquired struct {
		At
		Slots   map[Slot]Epoch `json:"slots"`
		Records []Record       `json:"records,omitempty"`
		Planned bool           `json:"planned,omitempty"`
	}

	// SlotsReleased starts a planned hand-over of the slots: new calls of
	// their programs are refused. Once Core.InFlight is 0 and the hand-over
	// record is durable, a second event with Done makes the core drop the
	// programs. If the hand-over fails, SlotsAcquired with the same epoch and
	// no records makes the core accept calls again.
	SlotsReleased struct {
		At
		Slots []Slot `json:"slots"`
		Done  bool   `json:"done,omitempty"`
	}

	// DrainStarted reports that the process is shutting down: new programs
	// are refused, existing ones continue.
	DrainStarted struct{ At }
)
