package core

import "time"

// ProgramView is what a policy may know about a program. It holds nothing about
// calls that the program has not made yet.
type ProgramView struct {
	ID       ProgramID
	Root     ProgramID
	Caller   string
	Profile  Profile
	Region   string
	Opened   time.Time
	Attained int64 // service received by the root and its children, in engine token units
	Calls    int   // calls finished by the root and its children
}

// Request is a call that waits for an upstream.
type Request struct {
	Call    Call
	Program ProgramView
	Attempt AttemptID
	Tries   int          // attempts made before this one
	Suspect bool         // on board of one crash; must not share an upstream with another suspect
	Avoid   []UpstreamID // upstreams on which earlier attempts failed
}

// Admission is the decision on a new root program.
type Admission struct {
	OK         bool
	RetryAfter time.Duration // when the caller should come back, if refused
	Reason     string
}

// Assignment sends a waiting request to an upstream.
type Assignment struct {
	Request  Request
	Upstream UpstreamID
	Priority int // engine priority, 0 is served first
}

// Failure describes an attempt that ended without an answer.
type Failure struct {
	Attempt  AttemptID
	Crashed  bool
	Draining bool
	Canceled bool // ended by the core for a reason that is not the upstream's
	Ran      Ran
}

// Policy takes the scheduling decisions. It is part of the reducer: it reads no
// clock, performs no I/O and takes randomness only from a seed given at
// construction. Methods are called from one goroutine.
type Policy interface {
	// Name returns the name under which the policy is selected.
	Name() string
	// Configure puts a configuration in force.
	Configure(cfg Config)

	// Admit decides on a new root program. An admitted program is counted as
	// active until ProgramEnded.
	Admit(now time.Time, p ProgramView) Admission
	// ProgramRecovered counts a program that an earlier owner admitted.
	ProgramRecovered(now time.Time, p ProgramView)
	// ProgramEnded tells that a program (root or child) is gone.
	ProgramEnded(now time.Time, id ProgramID)

	// SetUpstream adds an upstream or replaces its description.
	SetUpstream(now time.Time, info UpstreamInfo)
	// SetUpstreamState reports reachability and leaving.
	SetUpstreamState(now time.Time, id UpstreamID, reachable, leaving bool)
	// RemoveUpstream forgets an upstream.
	RemoveUpstream(now time.Time, id UpstreamID)
	// OnLoad takes a lagged load report.
	OnLoad(now time.Time, l Load)
	// OnCache takes a late cache event.
	OnCache(now time.Time, e CacheEvent)

	// Enqueue adds a request to the waiting queue.
	Enqueue(now time.Time, r Request)
	// Remove takes a request out of the waiting queue and reports whether it
	// was there.
	Remove(id CallID) bool
	// Next takes the next request that can be dispatched now out of the
	// queue. It returns false when none can.
	Next(now time.Time) (Assignment, bool)
	// Unroutable takes the waiting requests that no known upstream can serve
	// out of the queue, for an immediate refusal.
	Unroutable(now time.Time) []Request

	// OnStarted tells that the upstream received the attempt.
	OnStarted(now time.Time, id AttemptID)
	// OnFirstToken tells when output began and how much prompt was cached.
	OnFirstToken(now time.Time, id AttemptID, cachedTokens int64)
	// OnDone ends an attempt with its answer.
	OnDone(now time.Time, id AttemptID, a Answer)
	// OnFailed ends an attempt without an answer.
	OnFailed(now time.Time, f Failure)
	// Retry decides whether a failed idempotent request may be attempted again,
	// and after which delay.
	Retry(now time.Time, r Request, f Failure) (delay time.Duration, ok bool)

	// Orders returns the cache and placement orders that are due. The core
	// fills in slot and epoch.
	Orders(now time.Time) []EngineOrder
}
