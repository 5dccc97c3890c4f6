package core

import "time"

// Event is an input of the reducer. Every event carries the time at which the
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

// The events.
type (
	// Tick lets the core act on deadlines and terms. Daemons send one at
	// least every 100 ms.
	Tick struct{ At }

	// ConfigApplied puts a configuration in force. An older version than
	// the one in force is ignored.
	ConfigApplied struct {
		At
		Config Config `json:"config"`
	}

	// ProgramOpened is a caller's request to open a program. ID is chosen by
	// the daemon; an open with the same caller and key returns the first id.
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

	// CallArrived is a new request or a resend of an earlier one.
	CallArrived struct {
		At
		Call Call `json:"call"`
	}

	// CallCanceled tells that the caller's connection is gone. The call goes
	// on if it has an idempotency key or is non-idempotent.
	CallCanceled struct {
		At
		Call CallID `json:"call"`
	}

	// JournalCommitted tells that every record up to Seq is durable.
	JournalCommitted struct {
		At
		Seq Seq `json:"seq"`
	}

	// JournalRetained tells that every record up to Seq is held by a peer in
	// another failure domain, while the store cannot be reached.
	JournalRetained struct {
		At
		Seq Seq `json:"seq"`
	}

	// JournalSealed tells that another incarnation has sealed this journal:
	// the core gives up every slot and refuses all that is not durable.
	JournalSealed struct {
		At
		By Incarnation `json:"by"`
	}

	// AttemptStarted tells that the sidecar passed the attempt to the upstream.
	AttemptStarted struct {
		At
		Attempt AttemptID `json:"attempt"`
	}

	// FirstToken tells that the attempt produced its first output.
	FirstToken struct {
		At
		Attempt      AttemptID `json:"attempt"`
		CachedTokens int64     `json:"cached_tokens"`
	}

	// AttemptDone carries the whole answer of an attempt.
	AttemptDone struct {
		At
		Attempt AttemptID `json:"attempt"`
		Answer  Answer    `json:"answer"`
	}

	// AttemptFailed tells that an attempt ended without a whole answer.
	AttemptFailed struct {
		At
		Attempt  AttemptID `json:"attempt"`
		Ran      Ran       `json:"ran"`
		Crashed  bool      `json:"crashed"`  // the upstream process died
		Fenced   bool      `json:"fenced"`   // the sidecar knows a higher epoch
		Draining bool      `json:"draining"` // the sidecar takes no new work
		Step     string    `json:"step"`
		Peer     string    `json:"peer"`
		Message  string    `json:"message"`
	}

	// OutcomeResolved answers ResolveClaim.
	OutcomeResolved struct {
		At
		Attempt AttemptID `json:"attempt"`
		Ran     Ran       `json:"ran"`
		Answer  Answer    `json:"answer"` // valid for RanYes
		// Unreachable is set when nobody could be asked; the core asks again.
		Unreachable bool `json:"unreachable,omitempty"`
	}

	// UpstreamChanged adds an upstream or replaces its description.
	UpstreamChanged struct {
		At
		Info UpstreamInfo `json:"info"`
	}

	// UpstreamState reports reachability and leaving.
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

	// LoadReported carries a lagged load report.
	LoadReported struct {
		At
		Load Load `json:"load"`
	}

	// CacheReported carries a late cache event.
	CacheReported struct {
		At
		Event CacheEvent `json:"event"`
	}

	// UpstreamCrashed lists the fingerprints on board of a crashed upstream.
	UpstreamCrashed struct {
		At
		Upstream     UpstreamID `json:"upstream"`
		Incarnation  uint64     `json:"incarnation"`
		Fingerprints []uint64   `json:"fingerprints"`
	}

	// QuarantineChanged carries another entry's or an operator's decision.
	QuarantineChanged struct {
		At
		Fingerprint uint64     `json:"fingerprint"`
		Count       int        `json:"count"`
		Until       time.Time  `json:"until"`
		Released    bool       `json:"released"`
		Upstream    UpstreamID `json:"upstream,omitempty"` // the crash that was counted last, if known
		Incarnation uint64     `json:"incarnation,omitempty"`
	}

	// SlotsAcquired tells that this process now owns the slots, with the
	// records read from the journals of earlier owners. Planned is set after
	// a hand-over whose records state everything that was dispatched.
	SlotsAcquired struct {
		At
		Slots   map[Slot]Epoch `json:"slots"`
		Records []Record       `json:"records,omitempty"`
		Planned bool           `json:"planned,omitempty"`
	}

	// SlotsReleased tells that this process gives up the slots in a planned
	// hand-over: no new call of theirs is accepted. Once Core.InFlight is 0 and
	// the hand-over record is durable, a second event with Done makes the core
	// forget the programs. If the hand-over fails, SlotsAcquired with the same
	// epoch and no records makes the core accept calls again.
	SlotsReleased struct {
		At
		Slots []Slot `json:"slots"`
		Done  bool   `json:"done,omitempty"`
	}

	// DrainStarted tells that the process is stopping: new programs are
	// refused, work under way is finished.
	DrainStarted struct{ At }
)
