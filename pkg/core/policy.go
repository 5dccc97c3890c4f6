package core

import "time"

// ProgramView is the information about a program that a policy may use. It
// contains nothing about calls that the program has not made yet.
type ProgramView struct {
	ID       ProgramID
	Root     ProgramID
	Caller   string
	Profile  Profile
	Region   string
	Opened   time.Time
	Attained int64 // attained service of the root and its children, in engine token units
	Calls    int   // finished calls of the root and its children
}

// Request is a call that waits for an upstream.
type Request struct {
	Call    Call
	Program ProgramView
	Attempt AttemptID
	Tries   int          // earlier attempts that count as retries
	Suspect bool         // was running in a crash; must not share an upstream with another suspect
	Avoid   []UpstreamID // upstreams on which earlier attempts failed
}

// Admission is the decision on a new root program.
type Admission struct {
	OK         bool
	RetryAfter time.Duration // if refused
	Reason     string
}

// Assignment assigns a waiting request to an upstream.
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
	Canceled bool // ended by the core for a reason other than the upstream
	Ran      Ran
}

// Policy takes the scheduling decisions. It is part of the core's state
// machine: it reads no clock, performs no I/O and takes randomness only from a
// seed given at construction. Its methods are not called concurrently.
type Policy interface {
	// Name returns the name by which the configuration selects the policy.
	Name() string
	// Configure replaces the configuration.
	Configure(cfg Config)

	// Admit decides whether a new root program may start. An admitted program
	// counts as active until ProgramEnded.
	Admit(now time.Time, p ProgramView) Admission
	// ProgramRecovered counts a program as active that an earlier owner
	// admitted.
	ProgramRecovered(now time.Time, p ProgramView)
	// ProgramEnded reports the end of a root or child program.
	ProgramEnded(now time.Time, id ProgramID)

	// SetUpstream adds an upstream or replaces its description.
	SetUpstream(now time.Time, info UpstreamInfo)
	// SetUpstreamState reports whether an upstream is reachable and whether it
	// is leaving, that is, accepts no new attempts.
	SetUpstreamState(now time.Time, id UpstreamID, reachable, leaving bool)
	// RemoveUpstream removes an upstream.
	RemoveUpstream(now time.Time, id UpstreamID)
	// OnLoad handles a load report, which lags behind the actual load.
	OnLoad(now time.Time, l Load)
	// OnCache handles a cache event, which may arrive late.
	OnCache(now time.Time, e CacheEvent)

	// Enqueue adds a request to the queue.
	Enqueue(now time.Time, r Request)
	// Remove removes a request from the queue and reports whether it was
	// there.
	Remove(id CallID) bool
	// Next removes the next request that can be dispatched now from the queue
	// and assigns it. It returns false if there is none.
	Next(now time.Time) (Assignment, bool)
	// Unroutable removes the requests that no known upstream can serve from
	// the queue and returns them for immediate refusal.
	Unroutable(now time.Time) []Request

	// OnStarted reports that the upstream received an attempt.
	OnStarted(now time.Time, id AttemptID)
	// OnFirstToken reports the first output of an attempt and how many tokens
	// of its prompt were cached.
	OnFirstToken(now time.Time, id AttemptID, cachedTokens int64)
	// OnDone reports the end of an attempt with an answer.
	OnDone(now time.Time, id AttemptID, a Answer)
	// OnFailed reports the end of an attempt without an answer.
	OnFailed(now time.Time, f Failure)
	// Retry decides whether and after which delay a request whose attempt
	// failed is attempted again.
	Retry(now time.Time, r Request, f Failure) (delay time.Duration, ok bool)

	// Orders returns the due cache and placement orders. The core sets their
	// slot and epoch.
	Orders(now time.Time) []EngineOrder
}
