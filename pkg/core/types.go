// Package core is the decision core of the scheduler: a pure state machine that
// consumes events and returns effects. It reads no clock, performs no I/O and
// starts no goroutine, so that a recorded event log always yields the same
// effects.
package core

import "time"

// Identifiers. The strings are opaque, chosen by the process that creates the
// object, and never reused.
type (
	// ProgramID identifies a program. The id of a child program starts with
	// the id of its root, see RootOf.
	ProgramID string
	// CallID identifies one request of a caller within this process.
	CallID string
	// AttemptID identifies one dispatch of a call to an upstream.
	AttemptID string
	// UpstreamID identifies an upstream instance.
	UpstreamID string
	// Incarnation identifies one start of a process: "<instance>.<start number>".
	Incarnation string
	// Slot is the unit of program ownership; every program belongs to one.
	Slot uint16
	// Epoch is the fencing number of a slot. It increases by one with each
	// change of owner.
	Epoch uint64
	// Seq is a position in the journal of one incarnation, starting at 1.
	Seq uint64
)

// Ran states what is known about the execution of a request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"      // the request was never dispatched to an upstream
	RanYes     Ran = "yes"     // the upstream ran the request
	RanUnknown Ran = "unknown" // the request may have run; a non-idempotent one is never repeated
)

// CallKind distinguishes model calls from calls to plain services.
type CallKind string

// The kinds of calls.
const (
	KindModel   CallKind = "model"
	KindService CallKind = "service"
)

// Class is the latency class of a profile.
type Class string

// The latency classes, highest precedence first.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Budget limits what a root program and its children may use. A zero field is
// unlimited.
type Budget struct {
	Tokens     int64         `json:"tokens,omitempty"`      // prompt and generated tokens
	Calls      int64         `json:"calls,omitempty"`       // calls of any kind
	SpendMicro int64         `json:"spend_micro,omitempty"` // millionths of the currency unit
	WallTime   time.Duration `json:"wall,omitempty"`        // time since the program was opened
	Depth      int           `json:"depth,omitempty"`       // levels of sub-agents below the root
	Width      int           `json:"width,omitempty"`       // children running at the same time
}

// Profile is the configuration for a class of programs.
type Profile struct {
	Name             string        `json:"name"`
	Class            Class         `json:"class"`
	Priority         int           `json:"priority"` // 0 (lowest) to 9
	Budget           Budget        `json:"budget"`
	HistoryRetention time.Duration `json:"history_retention"` // after the end of the program
	IdleTimeout      time.Duration `json:"idle_timeout"`      // a program without calls for this long is ended
	CacheRetention   time.Duration `json:"cache_retention"`   // longest time for which the cache stays pinned in a tool pause
	RetryLimit       int           `json:"retry_limit"`       // repeated attempts of an idempotent call
	CallTimeout      time.Duration `json:"call_timeout"`      // for calls without a deadline of their own
	ClaimWait        time.Duration `json:"claim_wait"`        // longest wait for a claim to become durable; 0: until the deadline
	LatencyWeight    float64       `json:"latency_weight"`    // relative to CacheWeight, in routing and cache decisions
	CacheWeight      float64       `json:"cache_weight"`
	RefusalRetry     time.Duration `json:"refusal_retry"`   // shortest Retry-After of a refusal
	QuarantineTime   time.Duration `json:"quarantine_time"` // time for which a request that crashed upstreams is refused
}

// ServiceSpec describes a plain service to which calls are routed.
type ServiceSpec struct {
	Name              string   `json:"name"`
	NonIdempotent     []string `json:"non_idempotent,omitempty"`  // operations that must run at most once
	OutcomeByKey      bool     `json:"outcome_by_key"`            // the service can be queried for the outcome of a key
	SpendMicroPerCall int64    `json:"spend_micro_call"`          // charged to the budget for each call
	DefaultProfile    string   `json:"default_profile,omitempty"` // for calls that name no profile
}

// Config is the configuration shared by all processes. Its version only
// increases.
type Config struct {
	Version            uint64                 `json:"version"`
	Policy             string                 `json:"policy"`            // name, see package policy
	Without            []string               `json:"without,omitempty"` // disabled parts of the policy
	SlotCount          int                    `json:"slot_count"`
	Regions            []string               `json:"regions"` // the slots are divided evenly among them, in this order
	Profiles           map[string]Profile     `json:"profiles"`
	Services           map[string]ServiceSpec `json:"services"`
	DefaultProfileName string                 `json:"default_profile"`
}

// The orders that the owner of a slot sends to an engine.
const (
	OrderPin         = "pin"
	OrderRelease     = "release"
	OrderOffload     = "offload"
	OrderLoadModel   = "load_model"
	OrderUnloadModel = "unload_model"
	OrderLoadAdapter = "load_adapter"
	OrderSetRole     = "set_role"
	OrderExportKV    = "export_kv"
	OrderImportKV    = "import_kv"
	OrderResyncCache = "resync_cache" // report all cached prefixes again, as events with number 0
)

// UpstreamInfo is the static description of an upstream.
type UpstreamInfo struct {
	ID            UpstreamID `json:"id"`
	Kind          CallKind   `json:"kind"`
	Service       string     `json:"service,omitempty"` // for KindService
	Models        []string   `json:"models,omitempty"`  // loaded models, for KindModel
	Adapters      []string   `json:"adapters,omitempty"`
	Region        string     `json:"region"`
	FailureDomain string     `json:"failure_domain"`
	Sidecar       string     `json:"sidecar"` // host:port
	Incarnation   uint64     `json:"incarnation"`
	// SidecarIncarnation is that of the sidecar process. A restarted sidecar
	// does not know which attempts its predecessor rejected.
	SidecarIncarnation Incarnation `json:"sidecar_incarnation,omitempty"`
	Slots              int         `json:"slots"`          // largest batch or concurrency
	CacheTokens        int64       `json:"cache_tokens"`   // capacity of the prefix cache
	PrefillRate        float64     `json:"prefill_rate"`   // tokens/s of prompt processing
	DecodeRate         float64     `json:"decode_rate"`    // tokens/s of one sequence
	ChecksOrders       bool        `json:"checks_orders"`  // the engine authenticates the sender of an order
	ChecksFencing      bool        `json:"checks_fencing"` // the engine refuses orders with an old epoch
}

// Load is an upstream's report of its own load. It lags behind the actual load.
type Load struct {
	Upstream     UpstreamID `json:"upstream"`
	Measured     time.Time  `json:"measured"`
	Running      int        `json:"running"`
	Waiting      int        `json:"waiting"`
	QueuedTokens int64      `json:"queued_tokens"` // prompt tokens not yet processed
	CacheUsed    int64      `json:"cache_used"`    // tokens
	CachePinned  int64      `json:"cache_pinned"`  // tokens
}

// CacheEvent reports that an engine caches or has evicted a program's prefix.
// Events may arrive late and with gaps in Number.
type CacheEvent struct {
	Upstream UpstreamID `json:"upstream"`
	Number   uint64     `json:"number"`
	Prefix   string     `json:"prefix"` // program id or id of a shared prefix
	Tokens   int64      `json:"tokens"` // cached tokens; 0 after an eviction
}

// Call is a caller's request as the core sees it.
type Call struct {
	ID           CallID            `json:"id"`
	Program      ProgramID         `json:"program"`
	Caller       string            `json:"caller"`
	Profile      string            `json:"profile,omitempty"`
	Kind         CallKind          `json:"kind"`
	Model        string            `json:"model,omitempty"`
	Adapter      string            `json:"adapter,omitempty"`
	Service      string            `json:"service,omitempty"`
	Operation    string            `json:"operation,omitempty"`
	Key          string            `json:"key,omitempty"` // idempotency key
	Digest       uint64            `json:"digest"`        // of the request; distinguishes a resend from a reused key
	Fingerprint  uint64            `json:"fingerprint"`   // of the content; identifies requests that crash upstreams
	SharedPrefix string            `json:"shared_prefix,omitempty"`
	SharedTokens int64             `json:"shared_tokens,omitempty"`
	PromptTokens int64             `json:"prompt_tokens"` // of the whole prompt, including the history
	MaxTokens    int64             `json:"max_tokens"`
	Stream       bool              `json:"stream"`
	Request      []byte            `json:"request,omitempty"` // the part that this turn adds to the history
	Attributes   map[string]string `json:"attributes,omitempty"`
	Arrived      time.Time         `json:"arrived"`
	Deadline     time.Time         `json:"deadline"`
}

// Answer is the result of one attempt.
type Answer struct {
	Body         []byte `json:"body,omitempty"` // complete final answer
	Status       int    `json:"status"`         // HTTP status of the upstream
	PromptTokens int64  `json:"prompt_tokens"`
	CachedTokens int64  `json:"cached_tokens"`
	OutputTokens int64  `json:"output_tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Refusal is the typed error that is returned to a caller.
type Refusal struct {
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Step       string        `json:"step"`
	Peer       string        `json:"peer,omitempty"`
	Ran        Ran           `json:"ran"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// The error codes. They are part of the public API and must not change.
const (
	CodeOverloaded         = "overloaded"
	CodeBudgetExceeded     = "budget_exceeded"
	CodeDeadlineExceeded   = "deadline_exceeded"
	CodeQuarantined        = "quarantined"
	CodeKeyReused          = "idempotency_key_reused"
	CodeOutcomeUnknown     = "outcome_unknown"
	CodeNoUpstream         = "no_upstream"
	CodeUpstreamFailed     = "upstream_failed"
	CodeNotOwner           = "not_owner"
	CodeProgramEnded       = "program_ended"
	CodeProgramUnknown     = "program_unknown"
	CodeJournalUnavailable = "journal_unavailable"
	CodeBadRequest         = "bad_request"
	CodeShuttingDown       = "shutting_down"
	CodeCanceled           = "canceled"
	CodeUnauthenticated    = "unauthenticated"
)
