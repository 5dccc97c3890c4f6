package engine

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sequence is a request inside the engine.
type sequence struct {
	Request
	order     uint64 // of arrival
	output    int64  // length of the answer
	reason    string
	generated int64 // before the current run; grows when the run is interrupted
	cached    int64 // of the first run
	restored  int64
	started   bool    // the first token was reported
	reported  int64   // tokens of the last Tokens output
	work      float64 // seconds of prompt processing left
	private   int64   // reserved memory beyond the cached prefix
	use       []*entry
	decoding  bool
	from      float64 // decode clock at the start of decoding
}

func (s *sequence) tokensAt(clock float64) int64 {
	if !s.decoding {
		return s.generated
	}
	// The last step of the prompt processing yields the first token.
	return min(s.output, s.generated+int64(clock-s.from+epsilon))
}

func (s *sequence) end() float64 { return s.from + float64(s.output-s.generated) }

// epsilon absorbs rounding of the decode clock, in tokens.
const epsilon = 1e-6

// Engine is the state of one engine.
type Engine struct {
	o           Options
	now         time.Time
	rng         *rand.Rand
	incarnation uint64
	downUntil   time.Time
	arrivals    uint64

	waiting []*sequence // ordered by priority and arrival
	running []*sequence // in order of admission
	byID    map[string]*sequence
	results map[string]*Result
	expiry  []string // ids of results in order of their end

	prefilling *sequence
	clock      float64 // tokens decoded per sequence since the start

	cache    *prefixCache
	models   map[string]time.Time // usable from
	adapters map[string]time.Time
	role     string
	loads    []pendingLoad
	fencing  map[string]uint64
	crashOn  map[uint64]bool

	events  []Output // cache events under way, in order of delivery
	eventNo uint64
	out     []Output
	history []loadSample
}

// New returns an engine that has just started.
func New(o Options) *Engine {
	e := &Engine{o: o.withDefaults(), crashOn: make(map[uint64]bool)}
	e.incarnation = e.o.Incarnation
	e.rng = rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(e.o.ID))))
	e.reset()
	return e
}

// reset loses everything that a process keeps in memory.
func (e *Engine) reset() {
	e.waiting, e.running, e.prefilling = nil, nil, nil
	e.byID = make(map[string]*sequence)
	e.results = make(map[string]*Result)
	e.expiry, e.loads, e.events = nil, nil, nil
	e.fencing = make(map[string]uint64)
	e.clock, e.eventNo = 0, 0
	e.cache = newPrefixCache(e.o, e.cacheChanged)
	e.models, e.adapters = make(map[string]time.Time), make(map[string]time.Time)
	for _, m := range e.o.Models {
		e.models[m] = time.Time{}
	}
	for _, a := range e.o.Adapters {
		e.adapters[a] = time.Time{}
	}
	e.history = nil
}

// Submit hands a request to the engine.
func (e *Engine) Submit(now time.Time, r Request) error {
	e.advanceTo(now)
	if e.Down(now) {
		return ErrDown
	}
	if !e.hasModel(r.Model) {
		return ErrModel
	}
	if r.Adapter != "" && !usable(e.adapters, r.Adapter, now) {
		return ErrAdapter
	}
	if e.byID[r.ID] != nil || e.results[r.ID] != nil {
		return ErrDuplicate
	}
	e.arrivals++
	s := &sequence{Request: r, order: e.arrivals, output: r.OutputTokens, reason: ReasonStop}
	if s.output <= 0 {
		limit := r.MaxTokens
		if limit <= 0 {
			limit = 256
		}
		s.output = 1 + int64((xxhash.Sum64String(r.ID)^e.o.Seed)%uint64(limit))
	}
	if r.MaxTokens > 0 && s.output > r.MaxTokens {
		s.output, s.reason = r.MaxTokens, ReasonLength
	}
	if r.PromptTokens+s.output > e.o.CacheTokens {
		return ErrTooLong
	}
	e.byID[r.ID] = s
	e.enqueue(s)
	e.schedule()
	return nil
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		if a.order < b.order {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// Cancel ends a request. The prefix that it has computed stays in the cache.
func (e *Engine) Cancel(now time.Time, id string) {
	e.advanceTo(now)
	s := e.byID[id]
	if s == nil {
		return
	}
	s.generated = s.tokensAt(e.clock)
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	} else {
		e.leave(s)
	}
	e.finish(s, ReasonCancelled)
	e.schedule()
}

// Advance moves the time to now and returns what happened since the last call.
func (e *Engine) Advance(now time.Time) []Output {
	e.advanceTo(now)
	if e.o.Stream {
		for _, s := range e.running {
			if n := s.tokensAt(e.clock); s.started && n > s.reported {
				s.reported = n
				e.out = append(e.out, Output{Kind: Tokens, Time: now, ID: s.ID, Tokens: n})
			}
		}
	}
	out := e.out
	e.out = nil
	return out
}

// NextEvent returns the time of the next change, or zero when the engine is
// idle.
func (e *Engine) NextEvent() time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if s := e.prefilling; s != nil {
		earliest(e.after(s.work / e.prefillShare()))
	}
	if rate := e.decodeRate(); rate > 0 {
		first := math.Inf(1)
		for _, s := range e.running {
			if s.decoding {
				first = min(first, s.end())
			}
		}
		if !math.IsInf(first, 1) {
			earliest(e.after((first - e.clock) / rate))
		}
	}
	if len(e.events) > 0 {
		earliest(e.events[0].Time)
	}
	for _, l := range e.loads {
		earliest(l.at)
	}
	if !e.downUntil.IsZero() {
		earliest(e.downUntil)
	}
	if t, ok := e.pinEnd(); ok {
		earliest(t)
	}
	return next
}

// pinEnd returns the earliest end of a pin when a waiting request needs the
// memory.
func (e *Engine) pinEnd() (time.Time, bool) {
	if len(e.waiting) == 0 || len(e.running) >= e.o.Slots {
		return time.Time{}, false
	}
	var first time.Time
	for _, p := range e.cache.entries {
		if p.pinned.After(e.now) && p.pinned.Before(endless) && (first.IsZero() || p.pinned.Before(first)) {
			first = p.pinned
		}
	}
	return first, !first.IsZero()
}

// after returns the time in so many seconds, rounded up so that the event is
// due when it is reached.
func (e *Engine) after(seconds float64) time.Time {
	return e.now.Add(time.Duration(math.Ceil(max(seconds, 0)*1e9)) + 1)
}

func (e *Engine) prefillShare() float64 {
	if e.decoders() == 0 {
		return 1
	}
	return 1 - e.o.DecodeShare
}

func (e *Engine) decoders() int {
	n := 0
	for _, s := range e.running {
		if s.decoding {
			n++
		}
	}
	return n
}

// decodeRate returns the tokens/s of each decoding sequence.
func (e *Engine) decodeRate() float64 {
	n := e.decoders()
	if n == 0 {
		return 0
	}
	rate := e.o.DecodeRate / (1 + e.o.BatchSlowdown*float64(n-1))
	if e.prefilling != nil {
		rate *= e.o.DecodeShare
	}
	return rate
}

func (e *Engine) advanceTo(now time.Time) {
	if e.now.IsZero() {
		e.now = now
	}
	for {
		next := e.NextEvent()
		if next.IsZero() || next.After(now) {
			break
		}
		e.progress(next)
		e.fire()
	}
	if now.After(e.now) {
		e.progress(now)
	}
}

// progress lets the current phase run until t, without any change of phase.
func (e *Engine) progress(t time.Time) {
	dt := t.Sub(e.now).Seconds()
	if dt <= 0 {
		return
	}
	rate, share := e.decodeRate(), e.prefillShare()
	if e.prefilling != nil {
		e.prefilling.work -= dt * share
	}
	e.clock += dt * rate
	e.now = t
}

// fire carries out everything that is due.
func (e *Engine) fire() {
	if !e.downUntil.IsZero() && !e.downUntil.After(e.now) {
		e.downUntil = time.Time{}
	}
	for len(e.events) > 0 && !e.events[0].Time.After(e.now) {
		e.out = append(e.out, e.events[0])
		e.events = e.events[1:]
	}
	e.finishLoads()
	for _, s := range slices.Clone(e.running) {
		if s.decoding && s.end() <= e.clock+epsilon {
			s.generated = s.output
			e.leave(s)
			e.finish(s, s.reason)
		}
	}
	if s := e.prefilling; s != nil && s.work <= 1e-9 {
		e.prefilling = nil
		if e.crashOn[s.Fingerprint] {
			e.crash()
			return
		}
		e.startDecode(s)
	}
	e.schedule()
}

func (e *Engine) startDecode(s *sequence) {
	s.decoding = true
	// The prompt pass generates one token itself.
	s.from = e.clock - 1
	if s.SharedPrefix != "" && s.SharedTokens > 0 {
		e.keepShared(s)
	}
	if !s.started {
		s.started = true
		s.reported = 1
		e.out = append(e.out, Output{
			Kind: FirstToken, Time: e.now, ID: s.ID, Prompt: s.PromptTokens,
			Cached: s.cached, Restored: s.restored, Tokens: s.generated + 1,
		})
	}
}

// finish records the end of a request.
func (e *Engine) finish(s *sequence, reason string) {
	delete(e.byID, s.ID)
	e.results[s.ID] = &Result{
		Prompt: s.PromptTokens, Cached: s.cached, Tokens: s.generated, Reason: reason, ended: e.now,
	}
	e.expiry = append(e.expiry, s.ID)
	for len(e.expiry) > 0 && e.now.Sub(e.results[e.expiry[0]].ended) > e.o.ResumeTerm {
		delete(e.results, e.expiry[0])
		e.expiry = e.expiry[1:]
	}
	e.out = append(e.out, Output{
		Kind: Done, Time: e.now, ID: s.ID, Prompt: s.PromptTokens, Cached: s.cached,
		Restored: s.restored, Tokens: s.generated, Reason: reason,
	})
}

// Lookup returns the state of a running or recently ended request.
func (e *Engine) Lookup(now time.Time, id string) (Result, bool) {
	e.advanceTo(now)
	if s := e.byID[id]; s != nil {
		return Result{Running: true, Prompt: s.PromptTokens, Cached: s.cached, Tokens: s.tokensAt(e.clock)}, true
	}
	if r := e.results[id]; r != nil && now.Sub(r.ended) <= e.o.ResumeTerm {
		return *r, true
	}
	return Result{}, false
}
