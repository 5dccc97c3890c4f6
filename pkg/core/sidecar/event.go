// Package sidecar is the state machine of the sidecar process, which runs beside an
// upstream and sends it the attempts of calls that the owners dispatch. It decides on
// fencing, attempts, pins of cached prefixes, restarts of the upstream and draining.
// It reads no clock and performs no I/O: State.Step takes an event and returns the
// effects that the process carries out.
//
// Invariants:
//   - An attempt is sent to the upstream at most once. An attempt that was reported
//     as not run is never sent afterwards.
//   - No attempt is sent under an epoch below the highest one seen for its slot.
//   - A pin that is not renewed within its term is released.
//   - An effect with a Ref answers the event with the same Ref. A Resolve of a
//     running attempt gets a second Outcome when the attempt ends.
package sidecar

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Ref correlates an event with the effects that answer it. Zero is not a valid Ref.
type Ref uint64

// Event is an input of State.Step.
type Event interface{ When() time.Time }

// At is the time at which the process observed an event.
type At struct{ Time time.Time }

// When returns the time of the event.
func (a At) When() time.Time { return a.Time }

// The events.
type (
	// AttemptDispatched is an attempt that an owner dispatches. It is answered by
	// StartAttempt, RefuseAttempt or Answer.
	AttemptDispatched struct {
		At
		Ref                 Ref
		Attempt             core.AttemptID
		Slot                core.Slot
		Epoch               core.Epoch
		NonIdempotent       bool
		Fingerprint         uint64
		Key                 string
		SidecarIncarnation  string
		UpstreamIncarnation uint64
	}

	// SendRequested asks for permission immediately before the request of an attempt
	// is written to the upstream. It is answered by AllowSend or RefuseAttempt.
	SendRequested struct {
		At
		Ref     Ref
		Attempt core.AttemptID
	}

	// AttemptEnded reports the result of an attempt, or a late answer to an attempt
	// that ended without one.
	AttemptEnded struct {
		At
		Attempt core.AttemptID
		Result  Result
	}

	// ResultDelivered reports that the owner has received the result.
	ResultDelivered struct {
		At
		Attempt core.AttemptID
	}

	// Resolve asks for the outcome of an attempt. It is answered by Outcome, or by
	// LookUpOutcome and then Outcome.
	Resolve struct {
		At
		Ref                Ref
		Attempt            core.AttemptID
		Slot               core.Slot
		Epoch              core.Epoch
		Key                string
		SidecarIncarnation string
	}

	// OutcomeLookedUp is the service's answer to LookUpOutcome. Result.Ran is RanYes
	// with the answer, or RanUnknown. It is answered by Outcome.
	OutcomeLookedUp struct {
		At
		Ref     Ref
		Attempt core.AttemptID
		Result  Result
	}

	// OrderReceived is an order to the engine. It is answered by SendOrder or
	// RefuseOrder.
	OrderReceived struct {
		At
		Ref     Ref
		Order   string
		Program string
		Term    time.Duration
		Slot    core.Slot
		Epoch   core.Epoch
	}

	// OrderFailed reports that an order sent to the engine failed.
	OrderFailed struct {
		At
		Order   string
		Program string
	}

	// PinRenewed is the renewal of a pin in an owner's heartbeat.
	PinRenewed struct {
		At
		Program string
		Slot    core.Slot
		Epoch   core.Epoch
		Term    time.Duration
	}

	// UpstreamUp reports a successful probe of the upstream. The incarnation is zero
	// for an upstream that has none.
	UpstreamUp struct {
		At
		Incarnation uint64
	}

	// UpstreamDown reports that the upstream refuses connections.
	UpstreamDown struct{ At }

	// PinsListed lists the programs whose prefixes are pinned at the upstream.
	PinsListed struct {
		At
		Incarnation uint64
		Pinned      []string
	}

	// DrainStarted starts a graceful stop.
	DrainStarted struct{ At }

	// Tick advances the time, so that pins and results expire.
	Tick struct{ At }
)

// Result is the outcome of an ended attempt, as far as it is known.
type Result struct {
	Ran    core.Ran
	Answer *core.Answer // complete answer, if Ran is RanYes; nil if it is not available
}

// Effect is an output of State.Step.
type Effect interface{ effect() }

type isEffect struct{}

func (isEffect) effect() {}

// The effects.
type (
	// StartAttempt accepts a dispatched attempt.
	StartAttempt struct {
		isEffect
		Ref Ref
	}
	// AllowSend permits writing the request to the upstream.
	AllowSend struct {
		isEffect
		Ref Ref
	}
	// RefuseAttempt rejects an AttemptDispatched or a SendRequested event. Ran tells
	// whether the attempt ran, as far as it is known.
	RefuseAttempt struct {
		isEffect
		Ref      Ref
		Ran      core.Ran
		Fenced   bool
		Draining bool
		Step     string
		Message  string
	}
	// Answer returns the stored answer of an attempt that is dispatched again.
	Answer struct {
		isEffect
		Ref    Ref
		Answer core.Answer
	}
	// Outcome answers Resolve. If Running is set, another Outcome follows when the
	// attempt ends.
	Outcome struct {
		isEffect
		Ref     Ref
		Running bool
		Result  Result
	}
	// LookUpOutcome asks the service for the outcome of the call with the key.
	LookUpOutcome struct {
		isEffect
		Ref     Ref
		Attempt core.AttemptID
		Key     string
	}
	// SendOrder sends the order to the engine.
	SendOrder struct {
		isEffect
		Ref Ref
	}
	// RefuseOrder rejects an order.
	RefuseOrder struct {
		isEffect
		Ref     Ref
		Fenced  bool
		Message string
	}
	// RenewPin extends a pin at the engine by Term from now.
	RenewPin struct {
		isEffect
		Program string
		Term    time.Duration
	}
	// ReleasePin releases a pin that no owner has renewed.
	ReleasePin struct {
		isEffect
		Program string
	}
	// ListPins asks for a PinsListed event.
	ListPins struct {
		isEffect
		Incarnation uint64
	}
	// ReportCrash reports a crash of the upstream and the requests that were in
	// flight.
	ReportCrash struct {
		isEffect
		Incarnation  uint64
		Fingerprints []uint64
		Attempts     []core.AttemptID
	}
	// AnnounceDrain informs every entry that the sidecar is draining.
	AnnounceDrain struct{ isEffect }
)
