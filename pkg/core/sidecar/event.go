// Package sidecar is the decision part of the sidecar: a pure state machine
// over fencing, attempts, pins, the upstream's incarnation and the drain. It
// reads no clock and performs no I/O.
//
// Invariants:
//   - An attempt is passed to the upstream at most once. An attempt that was
//     reported as not run is never passed on afterwards.
//   - Nothing is passed on for a slot under an epoch below the highest seen.
//   - A pin that nobody renews within its term is released.
//   - Every effect with a Ref answers the event that carried it; a Resolve of
//     a running attempt gets a second Outcome when the attempt ends.
package sidecar

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Ref connects an event to the effects that answer it. Zero is never answered.
type Ref uint64

// Event is an input of State.Step.
type Event interface{ When() time.Time }

// At is the time at which the process observed an event.
type At struct{ Time time.Time }

// When returns the time of the event.
func (a At) When() time.Time { return a.Time }

// The events.
type (
	// AttemptDispatched is an owner's attempt. Answered by Start, Refuse or Answer.
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

	// SendRequested asks, immediately before the request is written to the upstream,
	// whether it may be. Answered by Pass or Refuse.
	SendRequested struct {
		At
		Ref     Ref
		Attempt core.AttemptID
	}

	// AttemptEnded tells how an attempt ended, or gives a late outcome.
	AttemptEnded struct {
		At
		Attempt core.AttemptID
		Result  Result
	}

	// ResultDelivered tells that the owner has received the result.
	ResultDelivered struct {
		At
		Attempt core.AttemptID
	}

	// Resolve asks for the outcome of an attempt. Answered by Outcome or
	// LookUp.
	Resolve struct {
		At
		Ref                Ref
		Attempt            core.AttemptID
		Slot               core.Slot
		Epoch              core.Epoch
		Key                string
		SidecarIncarnation string
	}

	// OutcomeLookedUp is the service's answer to LookUp. Ran is RanYes with the
	// result, or RanUnknown. Answered by Outcome.
	OutcomeLookedUp struct {
		At
		Ref     Ref
		Attempt core.AttemptID
		Result  Result
	}

	// OrderReceived is an engine order. Answered by PassOrder or RefuseOrder.
	OrderReceived struct {
		At
		Ref     Ref
		Order   string
		Program string
		Term    time.Duration
		Slot    core.Slot
		Epoch   core.Epoch
	}

	// OrderFailed tells that the engine refused an order that was passed on.
	OrderFailed struct {
		At
		Order   string
		Program string
	}

	// PinRenewed extends a pin from an owner's heartbeat.
	PinRenewed struct {
		At
		Program string
		Slot    core.Slot
		Epoch   core.Epoch
		Term    time.Duration
	}

	// UpstreamUp is a successful look at the upstream. Upstreams without
	// incarnations report zero.
	UpstreamUp struct {
		At
		Incarnation uint64
	}

	// UpstreamDown tells that the upstream refuses connections.
	UpstreamDown struct{ At }

	// PinsListed lists the pinned prefixes of the upstream after ListHeld.
	PinsListed struct {
		At
		Incarnation uint64
		Pinned      []string
	}

	// DrainStarted starts the graceful stop.
	DrainStarted struct{ At }

	// Tick lets pins and results expire.
	Tick struct{ At }
)

// Result is what is known about an ended attempt.
type Result struct {
	Ran    core.Ran
	Answer *core.Answer // whole answer, for RanYes
}

// Effect is an output of State.Step.
type Effect interface{ effect() }

type isEffect struct{}

func (isEffect) effect() {}

// The effects.
type (
	// StartAttempt runs the attempt.
	StartAttempt struct {
		isEffect
		Ref Ref
	}
	// AllowSend lets the request be written to the upstream.
	AllowSend struct {
		isEffect
		Ref Ref
	}
	// RefuseAttempt ends a Dispatched or a PassOn without the attempt being passed on
	// by it.
	RefuseAttempt struct {
		isEffect
		Ref      Ref
		Ran      core.Ran
		Fenced   bool
		Draining bool
		Step     string
		Message  string
	}
	// Answer gives the stored answer to an attempt that is dispatched again.
	Answer struct {
		isEffect
		Ref    Ref
		Answer core.Answer
	}
	// Outcome answers Resolve. Another Outcome follows when Running is set.
	Outcome struct {
		isEffect
		Ref     Ref
		Running bool
		Result  Result
	}
	// LookUpOutcome asks the service for the outcome of the key.
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
	// RefuseOrder ends an order.
	RefuseOrder struct {
		isEffect
		Ref     Ref
		Fenced  bool
		Message string
	}
	// RenewPin extends a pin at the engine.
	RenewPin struct {
		isEffect
		Program string
		Term    time.Duration
	}
	// ReleasePin releases a prefix that no owner claims.
	ReleasePin struct {
		isEffect
		Program string
	}
	// ListPins asks for the pinned prefixes of the upstream.
	ListPins struct {
		isEffect
		Incarnation uint64
	}
	// ReportCrash reports a crash of the upstream and the requests on board.
	ReportCrash struct {
		isEffect
		Incarnation  uint64
		Fingerprints []uint64
		Attempts     []core.AttemptID
	}
	// AnnounceDrain announces the drain to every entry.
	AnnounceDrain struct{ isEffect }
)
