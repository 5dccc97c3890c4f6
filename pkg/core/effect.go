package core

import "time"

// Effect is an output of the core, carried out by the daemon.
type Effect interface{ effect() }

// isEffect is embedded in every effect.
type isEffect struct{}

func (isEffect) effect() {}

// The effect types. Their names are part of the digests in event logs.
type (
	// AppendJournal appends records to the journal of this incarnation. Seq is
	// the sequence number of the last record. The daemon sends
	// JournalCommitted once the store has it.
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
		// SidecarIncarnation is the incarnation for which the attempt was
		// assigned or claimed. Any other one refuses the attempt as not run,
		// because it does not know which attempts its predecessor rejected.
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

	// ResolveClaim queries the sidecar, then the service, for the outcome of
	// an attempt whose answer was lost. The daemon sends OutcomeResolved. Only
	// the sidecar of the same incarnation may report that the attempt never
	// arrived.
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

	// Reply answers a call. Stored is true if the answer is the recorded one of
	// an earlier call with the same key.
	Reply struct {
		isEffect
		Call    CallID    `json:"call"`
		Answer  Answer    `json:"answer"`
		Stored  bool      `json:"stored"`
		Pending bool      `json:"pending"` // a peer retains the record, the store does not have it yet
		Attempt AttemptID `json:"attempt,omitempty"`
	}

	// JoinCall attaches a resend to the original call, which is still running:
	// the daemon returns the same answer to both.
	JoinCall struct {
		isEffect
		Call CallID `json:"call"`
		To   CallID `json:"to"`
	}

	// Refuse answers a call, an open request or an end request with an error.
	Refuse struct {
		isEffect
		Call    CallID  `json:"call"`
		Refusal Refusal `json:"refusal"`
	}

	// Opened acknowledges an open request or an end request once it is durable.
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

	// ShareQuarantine sends the state of a crash suspect to every peer. Upstream
	// and Incarnation identify the last counted crash, so that no peer counts it
	// again; Incarnation is 0 until the crash is reported.
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
