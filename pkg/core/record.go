package core

import "time"

// RecordKind is the kind of a journal record.
type RecordKind string

// The kinds of journal records that the core writes.
const (
	RecordOpened  RecordKind = "opened"
	RecordEnded   RecordKind = "ended"
	RecordTurn    RecordKind = "turn"
	RecordClaim   RecordKind = "claim"
	RecordOutcome RecordKind = "outcome"
	RecordRefused RecordKind = "refused" // a claim whose attempt did not run
	RecordProgram RecordKind = "program" // full state of a program, for checkpoints and hand-overs
	// RecordReserved reserves budget for an attempt without a claim.
	// RecordSettled ends the reservation of an attempt that had no answer: the
	// reservation is released if Ran is RanNo and counted as spent otherwise.
	RecordReserved RecordKind = "reserved"
	RecordSettled  RecordKind = "settled"
)

// Record is one entry of the journal. It belongs to one root program. Records
// are applied in order of Seq; applying a record twice has no effect.
type Record struct {
	Kind       RecordKind `json:"kind"`
	Slot       Slot       `json:"slot"`
	Epoch      Epoch      `json:"epoch"`
	Seq        Seq        `json:"seq"`
	Program    ProgramID  `json:"program"`
	Parent     ProgramID  `json:"parent,omitempty"`
	Caller     string     `json:"caller,omitempty"`
	Profile    string     `json:"profile,omitempty"`
	Key        string     `json:"key,omitempty"`
	Digest     uint64     `json:"digest,omitempty"`
	Attempt    AttemptID  `json:"attempt,omitempty"`
	Upstream   UpstreamID `json:"upstream,omitempty"`
	Service    string     `json:"service,omitempty"`
	Operation  string     `json:"operation,omitempty"`
	KindOfCall CallKind   `json:"call_kind,omitempty"`
	Request    []byte     `json:"request,omitempty"`
	Answer     *Answer    `json:"answer,omitempty"`
	Ran        Ran        `json:"ran,omitempty"`
	Reserved   int64      `json:"reserved,omitempty"` // tokens
	SpendMicro int64      `json:"spend_micro,omitempty"`
	Turn       int        `json:"turn,omitempty"` // position in the program's history, from 1
	At         time.Time  `json:"at"`
	// Retained is set by a successor on records that it read from a peer's
	// retained batch and not from the store. It is not stored.
	Retained bool   `json:"retained,omitempty"`
	State    []byte `json:"state,omitempty"` // RecordProgram: encoded state; RecordOpened: singleCallMarker or empty; RecordClaim: sidecar incarnation
}
