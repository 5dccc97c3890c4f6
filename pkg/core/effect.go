package core

import "time"

// Effect is an output of the reducer, carried out by the daemon.
type Effect interface{ effect() }

type isEffect struct{}

func (isEffect) effect() {}

// The effects.
type (
	// AppendJournal appends records to this incarnation's journal. Seq is the
	// sequence number of the last record; the daemon reports JournalCommitted
	// when it is durable.
	AppendJournal struct {
		isEffect
		Seq     Seq      `json:"seq"`
		Records []Record `json:"records"`
	}

	// Dispatch sends an attempt to an upstream's sidecar.
	Dispatch struct {
		isEffect
		Attempt  AttemptID  `json:"attempt"`
		Call     CallID     `json:"call"`
		Program  ProgramID  `json:"program"`
		Upstream UpstreamID `json:"upstream"`
		// SidecarIncarnation is that for which the attempt was chosen or claimed.
		// Another one refuses the attempt as not run: it does not know which
		// attempts its predecessor rejected.
		SidecarIncarnation Incarnation `json:"sidecar_incarnation,omitempty"`
		Slot               Slot        `json:"slot"`
		Epoch              Epoch       `json:"epoch"`
		Priority           int         `json:"priority"` // engine priority, 0 is served first
		MaxTokens          int64       `json:"max_tokens"`
		Deadline           time.Time   `json:"deadline"`
	}

	// CancelAttempt tells the sidecar to stop an attempt.
	CancelAttempt struct {
		isEffect
		Attempt  AttemptID  `json:"attempt"`
		Upstream UpstreamID `json:"upstream"`
	}

	// ResolveClaim asks the sidecar, then the service, for the outcome of a
	// dispatch whose answer was lost. The daemon reports OutcomeResolved. Only
	// the sidecar of the same incarnation may answer that the attempt was never
	// seen.
	ResolveClaim struct {
		isEffect
		Attempt            AttemptID   `json:"attempt"`
		Program            ProgramID   `json:"program"`
		Upstream           UpstreamID  `json:"upstream"`
		SidecarIncarnation Incarnation `json:"sidecar_incarnation,omitempty"`
		Service            string      `json:"service"`
		Key                string      `json:"key"`
		Slot               Slot        `json:"slot"`
		Epoch              Epoch       `json:"epoch"`
	}

	// Reply completes a call. Stored is true when the answer comes from the
	// record of an earlier call with the same key.
	Reply struct {
		isEffect
		Call    CallID    `json:"call"`
		Answer  Answer    `json:"answer"`
		Stored  bool      `json:"stored"`
		Pending bool      `json:"pending"` // acknowledged from a retained batch
		Attempt AttemptID `json:"attempt,omitempty"`
	}

	// JoinCall attaches a resend to the call that is still running: the
	// daemon gives it the same answer.
	JoinCall struct {
		isEffect
		Call CallID `json:"call"`
		To   CallID `json:"to"`
	}

	// Refuse completes a call, an open or an end with an error.
	Refuse struct {
		isEffect
		Call    CallID  `json:"call"`
		Refusal Refusal `json:"refusal"`
	}

	// Opened acknowledges an open or an end once it is durable.
	Opened struct {
		isEffect
		Call CallID    `json:"call"`
		ID   ProgramID `json:"id"`
	}

	// EngineOrder sends an order to an engine through its sidecar.
	EngineOrder struct {
		isEffect
		Upstream UpstreamID    `json:"upstream"`
		Order    string        `json:"order"`
		Program  ProgramID     `json:"program,omitempty"`
		Argument string        `json:"argument,omitempty"` // model, adapter, role or target
		Term     time.Duration `json:"term,omitempty"`     // for OrderPin
		Slot     Slot          `json:"slot"`
		Epoch    Epoch         `json:"epoch"`
	}

	// ShareQuarantine tells every peer about a crash suspect. Upstream and
	// Incarnation name the crash that was counted last, so that no peer counts
	// it again; Incarnation is 0 until the crash is reported.
	ShareQuarantine struct {
		isEffect
		Fingerprint uint64     `json:"fingerprint"`
		Count       int        `json:"count"`
		Until       time.Time  `json:"until"`
		Released    bool       `json:"released"`
		Upstream    UpstreamID `json:"upstream,omitempty"`
		Incarnation uint64     `json:"incarnation,omitempty"`
	}
)
