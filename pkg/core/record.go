package core

import "time"

// RecordKind tells what a journal record states.
type RecordKind string

// The kinds of journal records that the core writes.
const (
	RecordOpened  RecordKind = "opened"
	RecordEnded   RecordKind = "ended"
	RecordTurn    RecordKind = "turn"
	RecordClaim   RecordKind = "claim"
	RecordOutcome RecordKind = "outcome"
	RecordRefused RecordKind = "refused" // a claim that was never dispatched
	RecordProgram RecordKind = "program" // whole state of a program, in checkpoints and hand-overs
	// RecordReserved states the budget reserved for an attempt that needs no
	// claim, RecordSettled closes it without a turn: with RanNo the
	// reservation is released, otherwise it is counted as spent.
	RecordReserved RecordKind = "reserved"
	RecordSettled  RecordKind = "settled"
)

// Record is one entry of the journal. A record belongs to one root program
// and is applied in order of Seq. Applying a record twice has no effect.
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
	Reserved   int64      `json:"reserved,omitempty"` // tokens reserved and not yet settled
	SpendMicro int64      `json:"spend_micro,omitempty"`
	Turn       int        `json:"turn,omitempty"` // position in the program's history, from 1
	At         time.Time  `json:"at"`
	// Retained is set on the records that a successor got from a retained batch
	// which is not in the store. It is not stored itself.
	Retained bool   `json:"retained,omitempty"`
	State    []byte `json:"state,omitempty"` // for RecordProgram; openedSingle in RecordOpened; sidecar incarnation in RecordClaim
}
