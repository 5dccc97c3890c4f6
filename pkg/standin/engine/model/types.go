// Package engine is the logic of the model engine's stand-in: a pure state
// machine in virtual time, used by the HTTP stand-in and by the replay. It
// reads no clock and starts no goroutine; the same calls with the same seed
// give the same outputs.
//
// The model: requests wait in order of priority and arrival, up to Slots of
// them run as one batch, prompt processing goes before decoding, and the
// sequences of the batch decode at one common rate. Memory is counted in
// tokens and is shared by running requests and by the prefix cache.
package engine

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Errors of Submit, Order and Import.
var (
	ErrDown      = errors.New("engine is down")
	ErrModel     = errors.New("model is not loaded")
	ErrAdapter   = errors.New("adapter is not loaded")
	ErrTooLong   = errors.New("prompt and answer exceed the engine's memory")
	ErrDuplicate = errors.New("request id is in use")
	ErrFenced    = errors.New("fencing number is older than one already seen")
	ErrOrder     = errors.New("order is not known")
	ErrNotHeld   = errors.New("prefix is not held")
	ErrPinLimit  = errors.New("pins exceed the share of memory open to them")
	ErrNoRoom    = errors.New("no room for another model")
)

// Options describes an engine. Zero fields get the values of Defaults.
type Options struct {
	ID          core.UpstreamID
	Incarnation uint64 // of the first start
	Seed        uint64

	Slots         int     // largest batch
	CacheTokens   int64   // memory for running requests and cached prefixes
	HostTokens    int64   // memory for offloaded prefixes
	PrefillRate   float64 // tokens/s
	DecodeRate    float64 // tokens/s of a sequence that runs alone
	RestoreRate   float64 // tokens/s of bringing back an offloaded prefix
	BatchSlowdown float64 // each further sequence adds this share to the time per token
	DecodeShare   float64 // share of the engine left to decoding during a prefill
	Preempt       bool    // a higher priority interrupts a running request; otherwise it only jumps the queue

	Models       []string // loaded at start; empty: every model name is served
	Adapters     []string
	MaxModels    int
	ModelDelay   time.Duration // time to load a model
	AdapterDelay time.Duration
	RestartDelay time.Duration // time from a crash to the next start

	Fencing    bool    // refuses orders with an old fencing number
	PinShare   float64 // share of CacheTokens that pins may hold
	LoadLag    time.Duration
	EventDelay time.Duration // shortest delay of a cache event
	EventLag   time.Duration // random further delay
	EventLoss  float64       // probability that a cache event is never delivered

	Stream     bool          // Advance reports the progress of each running request
	ResumeTerm time.Duration // how long the result of an ended request is kept
}

// Defaults returns the options of a mid-sized engine.
func Defaults() Options {
	return Options{
		ID: "engine", Incarnation: 1, Slots: 16, CacheTokens: 400_000, HostTokens: 1_600_000,
		PrefillRate: 8_000, DecodeRate: 50, RestoreRate: 80_000, MaxModels: 2,
		ModelDelay: 20 * time.Second, AdapterDelay: 2 * time.Second, RestartDelay: 5 * time.Second,
		PinShare: 0.8, LoadLag: time.Second, EventDelay: 100 * time.Millisecond,
		EventLag: 400 * time.Millisecond, ResumeTerm: 30 * time.Second,
	}
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	d := Defaults()
	orDefault(&o.ID, d.ID)
	orDefault(&o.Incarnation, d.Incarnation)
	orDefault(&o.Slots, d.Slots)
	orDefault(&o.CacheTokens, d.CacheTokens)
	orDefault(&o.HostTokens, d.HostTokens)
	orDefault(&o.PrefillRate, d.PrefillRate)
	orDefault(&o.DecodeRate, d.DecodeRate)
	orDefault(&o.RestoreRate, d.RestoreRate)
	orDefault(&o.MaxModels, d.MaxModels)
	orDefault(&o.PinShare, d.PinShare)
	orDefault(&o.ResumeTerm, d.ResumeTerm)
	return o
}

// Request is a call to the engine.
type Request struct {
	ID           string
	Program      string // owner of the prefix; empty: the prefix is not kept
	Model        string
	Adapter      string
	SharedPrefix string // prefix common to several programs
	SharedTokens int64
	PromptTokens int64 // whole prompt, with the shared prefix
	MaxTokens    int64 // limit of the answer; 0: none
	OutputTokens int64 // length of the answer; 0: drawn from the seed and the id
	Priority     int   // 0 is served first
	Fingerprint  uint64
}

// Order is an instruction about memory, models or the role.
type Order struct {
	Order        string // a core.Order constant
	Program      string // program or shared prefix
	Argument     string // model, adapter or role
	Term         time.Duration
	Fencing      uint64 // 0: not fenced
	FencingScope string // numbers are compared within a scope; default Program
}

// OutputKind tells what an Output reports.
type OutputKind int

// The kinds of outputs.
const (
	FirstToken OutputKind = iota // prompt processed, first token generated
	Tokens                       // progress, with Options.Stream
	Done                         // answer complete, or cancelled
	Failed                       // lost in a crash
	Cache                        // a cache event
	Loaded                       // a model or an adapter became usable
)

// Output is something that happened at Time.
type Output struct {
	Kind     OutputKind
	Time     time.Time
	ID       string // request
	Prompt   int64
	Cached   int64 // prompt tokens found in the cache
	Restored int64 // part of Cached that was brought back from host memory
	Tokens   int64 // generated so far
	Reason   string
	Event    core.CacheEvent
	Name     string // model or adapter, for Loaded
}

// Finish reasons.
const (
	ReasonStop      = "stop"
	ReasonLength    = "length"
	ReasonCancelled = "cancelled"
)

// Result is the state of a request, for streams that resume.
type Result struct {
	Running bool
	Prompt  int64
	Cached  int64
	Tokens  int64
	Reason  string // set when Running is false
	ended   time.Time
}

// KV is an exported prefix.
type KV struct {
	Program      string `json:"program"`
	Model        string `json:"model"`
	Tokens       int64  `json:"tokens"`
	SharedPrefix string `json:"shared_prefix,omitempty"`
	SharedTokens int64  `json:"shared_tokens,omitempty"`
}

// Held describes a prefix in memory.
type Held struct {
	Prefix      string    `json:"prefix"`
	Tokens      int64     `json:"tokens"`
	Pinned      bool      `json:"pinned"`
	PinnedUntil time.Time `json:"pinned_until,omitzero"`
	Offloaded   bool      `json:"offloaded"`
}
