package sidecar

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Options configures a State. Zero durations and sizes get defaults.
type Options struct {
	Incarnation  string        // of this sidecar
	OutcomeByKey bool          // the service can be asked for the outcome of a key
	PinTerm      time.Duration // longest time that a pin lasts without renewal, default 30 s
	ResultTerm   time.Duration // how long results are kept, default 10 min
	ResultBytes  int64         // largest total size of stored answers, default 32 MB
}

// status is the position of an attempt in its life cycle.
type status uint8

const (
	unseen   status = iota
	accepted        // started, not sent yet
	sent            // may have been written to the upstream
	ended           // has a result
	refused         // was never sent and never will be
)

// attempt is the record of an attempt.
type attempt struct {
	id            core.AttemptID
	status        status
	nonIdempotent bool
	crashed       bool // reported as in flight in a crash of the upstream
	undelivered   bool // has an answer to a non-idempotent call that no owner has received
	fingerprint   uint64
	slot          core.Slot
	epoch         core.Epoch
	incarnation   uint64 // of the upstream for which it was dispatched; 0: any
	key           string
	result        Result
	endedAt       time.Time
	resolveRefs   []Ref // Resolve events that await the end of the attempt
}

// attemptHash is a 16-byte hash of the id of an attempt. It is kept when the record of
// the attempt expires.
type attemptHash [2]uint64

func hashAttemptID(id core.AttemptID) attemptHash {
	return attemptHash{xxhash.Sum64String(string(id)), xxhash.Sum64String(string(id) + "\x00")}
}

// pin is a cached prefix that the engine must keep for a program.
type pin struct {
	expires       time.Time // end of its term unless an owner renews it
	engineExpires time.Time // end of its term at the engine
}

// State is the state of one sidecar process. Only LimitPinTerm may be called
// concurrently with other methods.
type State struct {
	options     Options
	now         time.Time
	epochs      map[core.Slot]core.Epoch // highest epoch seen
	attempts    map[core.AttemptID]*attempt
	expiryQueue []*attempt // ended attempts, oldest first
	answerBytes int64      // total size of the stored answers
	// expiredAttempts are the non-idempotent attempts whose records have expired.
	// They must not run again; the value tells whether they ran.
	expiredAttempts  map[attemptHash]core.Ran
	running          int
	undeliveredCount int // number of undelivered answers

	pins                map[string]*pin
	upstreamIncarnation uint64
	up                  bool // whether the upstream is up
	draining            bool
	effects             []Effect // of the current Step
}

// New returns the initial state of a sidecar process.
func New(options Options) *State {
	if options.PinTerm <= 0 {
		options.PinTerm = 30 * time.Second
	}
	if options.ResultTerm <= 0 {
		options.ResultTerm = 10 * time.Minute
	}
	if options.ResultBytes <= 0 {
		options.ResultBytes = 32 << 20
	}
	return &State{
		options: options, epochs: make(map[core.Slot]core.Epoch), attempts: make(map[core.AttemptID]*attempt),
		expiredAttempts: make(map[attemptHash]core.Ran), pins: make(map[string]*pin),
	}
}

// Running returns the number of attempts in progress.
func (s *State) Running() int { return s.running }

// Undelivered returns the number of answers to non-idempotent calls that no owner
// has received.
func (s *State) Undelivered() int { return s.undeliveredCount }

// Draining reports whether new attempts are refused.
func (s *State) Draining() bool { return s.draining }

// Pins returns the number of pins.
func (s *State) Pins() int { return len(s.pins) }

// Attempts returns the number of attempts on record, including expired ones.
func (s *State) Attempts() int { return len(s.attempts) + len(s.expiredAttempts) }

// Upstream returns the upstream's incarnation and whether it is up.
func (s *State) Upstream() (uint64, bool) { return s.upstreamIncarnation, s.up }

// CrashReported reports whether a ReportCrash named an attempt as in flight.
func (s *State) CrashReported(id core.AttemptID) bool {
	a := s.attempts[id]
	return a != nil && a.crashed
}

// Epoch returns the highest epoch seen for a slot.
func (s *State) Epoch(slot core.Slot) core.Epoch { return s.epochs[slot] }

// Step applies an event and returns its effects.
func (s *State) Step(e Event) []Effect {
	if t := e.When(); t.After(s.now) {
		s.now = t
	}
	s.effects = nil
	switch e := e.(type) {
	case AttemptDispatched:
		s.dispatched(e)
	case SendRequested:
		s.sendRequested(e)
	case AttemptEnded:
		s.ended(e)
	case ResultDelivered:
		if a := s.attempts[e.Attempt]; a != nil {
			s.delivered(a)
		}
	case Resolve:
		s.resolve(e)
	case OutcomeLookedUp:
		s.outcomeLookedUp(e)
	case OrderReceived:
		s.orderReceived(e)
	case OrderFailed:
		if e.Order == core.OrderPin {
			delete(s.pins, e.Program)
		}
	case PinRenewed:
		s.pinRenewed(e)
	case UpstreamUp:
		s.upstreamUp(e)
	case UpstreamDown:
		s.crashed()
	case PinsListed:
		s.pinsListed(e)
	case DrainStarted:
		if !s.draining {
			s.draining = true
			s.emit(AnnounceDrain{})
		}
	case Tick:
		s.expirePins()
		s.expireResults()
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// fenced reports whether an epoch is below the highest one seen for its slot. It
// records a higher epoch, which fences the owners with lower ones.
func (s *State) fenced(slot core.Slot, epoch core.Epoch) bool {
	if epoch < s.epochs[slot] {
		return true
	}
	s.epochs[slot] = epoch
	return false
}

func (s *State) dispatched(e AttemptDispatched) {
	refuse := func(r RefuseAttempt) {
		r.Ref, r.Step = e.Ref, "dispatch"
		s.emit(r)
		if r.Ran == core.RanNo && s.attempts[e.Attempt] == nil {
			s.refusePermanently(e.Attempt, e.Slot, e.Epoch)
		}
	}
	if s.fenced(e.Slot, e.Epoch) {
		refuse(RefuseAttempt{Ran: s.ranOf(e.Attempt), Fenced: true, Message: "a higher epoch of the slot is known"})
		return
	}
	if a := s.attempts[e.Attempt]; a != nil {
		switch {
		case a.status == refused:
			refuse(RefuseAttempt{Ran: core.RanNo, Message: "the attempt was already reported as not run"})
		case a.status == ended && a.result.Answer != nil:
			s.emit(Answer{Ref: e.Ref, Answer: *a.result.Answer})
		default:
			refuse(RefuseAttempt{Ran: s.ranOf(e.Attempt), Message: "the attempt was already dispatched"})
		}
		return
	}
	if ran, ok := s.expiredAttempts[hashAttemptID(e.Attempt)]; ok {
		refuse(RefuseAttempt{Ran: ran, Message: "the attempt was already dispatched"})
		return
	}
	switch {
	case s.draining:
		refuse(RefuseAttempt{Ran: core.RanNo, Draining: true, Message: "the sidecar is leaving"})
		return
	case e.SidecarIncarnation != "" && e.SidecarIncarnation != s.options.Incarnation:
		refuse(RefuseAttempt{Ran: core.RanNo, Message: "the attempt is for another incarnation of the sidecar"})
		return
	case s.upstreamRestarted(e.UpstreamIncarnation):
		refuse(RefuseAttempt{Ran: core.RanNo, Message: "the upstream has restarted"})
		return
	}
	s.attempts[e.Attempt] = &attempt{
		id: e.Attempt, status: accepted, nonIdempotent: e.NonIdempotent, fingerprint: e.Fingerprint,
		slot: e.Slot, epoch: e.Epoch, incarnation: e.UpstreamIncarnation, key: e.Key,
	}
	s.running++
	s.emit(StartAttempt{Ref: e.Ref})
}

// refusePermanently records an unknown attempt as refused, so that it never runs.
func (s *State) refusePermanently(id core.AttemptID, slot core.Slot, epoch core.Epoch) {
	a := &attempt{id: id, nonIdempotent: true, slot: slot, epoch: epoch}
	s.attempts[id] = a
	s.end(a, refused, Result{Ran: core.RanNo})
}

// upstreamRestarted reports whether the upstream has restarted since an incarnation,
// as far as both are known.
func (s *State) upstreamRestarted(incarnation uint64) bool {
	return incarnation != 0 && s.upstreamIncarnation != 0 && incarnation != s.upstreamIncarnation
}

// ranOf returns whether an attempt ran, as far as it is known.
func (s *State) ranOf(id core.AttemptID) core.Ran {
	a := s.attempts[id]
	switch {
	case a == nil:
		if ran, ok := s.expiredAttempts[hashAttemptID(id)]; ok {
			return ran
		}
		return core.RanNo
	case a.status == refused:
		return core.RanNo
	case a.status == ended:
		return a.result.Ran
	default:
		return core.RanUnknown // it is running, or may still be sent
	}
}

// sendRequested makes the last check before the request is written to the upstream.
func (s *State) sendRequested(e SendRequested) {
	a := s.attempts[e.Attempt]
	refuse := func(fenced bool, message string) {
		if a != nil && a.status == accepted {
			s.end(a, refused, Result{Ran: core.RanNo})
		}
		ran := s.ranOf(e.Attempt)
		if a == nil && ran == core.RanNo {
			s.refusePermanently(e.Attempt, 0, 0)
		}
		s.emit(RefuseAttempt{Ref: e.Ref, Ran: ran, Fenced: fenced, Step: "pass_on", Message: message})
	}
	switch {
	case a == nil || a.status != accepted:
		refuse(false, "the attempt may not be passed on")
	case a.epoch < s.epochs[a.slot]:
		refuse(true, "a higher epoch of the slot is known")
	case s.upstreamRestarted(a.incarnation):
		refuse(false, "the upstream has restarted")
	default:
		a.status = sent
		if a.incarnation == 0 {
			a.incarnation = s.upstreamIncarnation
		}
		s.emit(AllowSend{Ref: e.Ref})
	}
}

// end records the result of an attempt and answers the Resolve events that await it.
func (s *State) end(a *attempt, st status, r Result) {
	if a.status == accepted || a.status == sent {
		s.running--
	}
	a.status, a.result, a.endedAt = st, r, s.now
	if r.Answer != nil && a.nonIdempotent {
		s.answerBytes += int64(len(r.Answer.Body))
		if !a.undelivered {
			a.undelivered = true
			s.undeliveredCount++
		}
	}
	if !a.nonIdempotent {
		a.result.Answer = nil // an idempotent call is repeated, so its answer is not stored
	}
	s.expiryQueue = append(s.expiryQueue, a)
	for _, ref := range a.resolveRefs {
		s.emit(Outcome{Ref: ref, Result: r})
	}
	a.resolveRefs = nil
}

func (s *State) ended(e AttemptEnded) {
	a := s.attempts[e.Attempt]
	if a == nil {
		return
	}
	switch {
	case a.status == accepted:
		// It was not sent, and must not be sent after this result was recorded.
		s.end(a, refused, Result{Ran: core.RanNo})
	case a.status == sent, a.status == ended && a.result.Answer == nil && e.Result.Answer != nil:
		s.end(a, ended, e.Result)
	}
}

// delivered marks the answer of an attempt as received by an owner.
func (s *State) delivered(a *attempt) {
	if a.undelivered {
		a.undelivered = false
		s.undeliveredCount--
	}
}

func (s *State) resolve(e Resolve) {
	// A query of a new owner fences the previous owner.
	s.fenced(e.Slot, e.Epoch)
	a := s.attempts[e.Attempt]
	if a == nil {
		ran, known := s.expiredAttempts[hashAttemptID(e.Attempt)]
		switch {
		case !known && e.SidecarIncarnation == s.options.Incarnation:
			s.refusePermanently(e.Attempt, e.Slot, e.Epoch)
			ran = core.RanNo
		case !known:
			// An earlier incarnation of the sidecar may have sent it, so this one
			// must not.
			a := &attempt{id: e.Attempt, nonIdempotent: true, slot: e.Slot, epoch: e.Epoch, key: e.Key}
			s.attempts[e.Attempt] = a
			s.end(a, ended, Result{Ran: core.RanUnknown})
			s.lookUpOutcome(e.Ref, e.Attempt, e.Key)
			return
		case ran != core.RanNo:
			s.lookUpOutcome(e.Ref, e.Attempt, e.Key)
			return
		}
		s.emit(Outcome{Ref: e.Ref, Result: Result{Ran: ran}})
		return
	}
	switch {
	case a.status == accepted && a.epoch < s.epochs[a.slot]:
		// Its owner is fenced, so it must not be sent any more.
		s.end(a, refused, Result{Ran: core.RanNo})
		s.emit(Outcome{Ref: e.Ref, Result: a.result})
	case a.status == accepted || a.status == sent:
		a.resolveRefs = append(a.resolveRefs, e.Ref)
		s.emit(Outcome{Ref: e.Ref, Running: true, Result: Result{Ran: core.RanUnknown}})
	case a.result.Ran == core.RanNo || a.result.Answer != nil:
		s.delivered(a)
		s.emit(Outcome{Ref: e.Ref, Result: a.result})
	default:
		key := a.key
		if key == "" {
			key = e.Key
		}
		s.lookUpOutcome(e.Ref, e.Attempt, key)
	}
}

// lookUpOutcome asks the service for the outcome of a call, or answers with what is
// known here if the service cannot be asked.
func (s *State) lookUpOutcome(ref Ref, id core.AttemptID, key string) {
	if s.options.OutcomeByKey && key != "" {
		s.emit(LookUpOutcome{Ref: ref, Attempt: id, Key: key})
		return
	}
	s.emit(Outcome{Ref: ref, Result: Result{Ran: s.ranOf(id)}})
}

func (s *State) outcomeLookedUp(e OutcomeLookedUp) {
	r := e.Result
	a := s.attempts[e.Attempt]
	switch {
	case a != nil && r.Answer == nil && a.result.Ran == core.RanYes:
		r.Ran = core.RanYes // it ran, although its answer is lost
	case a != nil && a.status == ended && a.result.Answer == nil && r.Answer != nil:
		s.end(a, ended, r)
		s.delivered(a)
	}
	s.emit(Outcome{Ref: e.Ref, Result: r})
}

func (s *State) upstreamUp(e UpstreamUp) {
	if s.upstreamIncarnation != 0 && e.Incarnation != s.upstreamIncarnation {
		s.crashed()
	}
	if !s.up {
		s.emit(ListPins{Incarnation: e.Incarnation})
	}
	s.upstreamIncarnation, s.up = e.Incarnation, true
}

// crashed reports the requests that were in flight when the upstream crashed. Each
// incarnation and each attempt is reported at most once.
func (s *State) crashed() {
	c := ReportCrash{}
	for id, a := range s.attempts {
		if a.status != sent || a.crashed {
			continue
		}
		a.crashed = true
		c.Attempts = append(c.Attempts, id)
		if a.fingerprint != 0 {
			c.Fingerprints = append(c.Fingerprints, a.fingerprint)
		}
	}
	slices.Sort(c.Attempts)
	slices.Sort(c.Fingerprints)
	c.Fingerprints = slices.Compact(c.Fingerprints)
	if !s.up {
		if len(c.Attempts) == 0 {
			return
		}
		// The upstream started and crashed again between two probes.
		s.upstreamIncarnation++
	}
	s.up, c.Incarnation = false, s.upstreamIncarnation
	clear(s.pins) // the engine has lost its memory
	s.emit(c)
}

// expireResults removes records that are too old, or the oldest ones if the stored
// answers are too large. Non-idempotent attempts leave an attemptHash, so that they
// are never run again.
func (s *State) expireResults() {
	if len(s.expiryQueue) == 0 {
		s.expiryQueue = nil
	}
	for len(s.expiryQueue) > 0 {
		a := s.expiryQueue[0]
		old := s.now.Sub(a.endedAt) > s.options.ResultTerm
		if !old && s.answerBytes <= s.options.ResultBytes {
			return
		}
		s.expiryQueue[0] = nil // the underlying array would keep the record in memory
		s.expiryQueue = s.expiryQueue[1:]
		if s.attempts[a.id] != a {
			continue // queued twice, because a late answer ended it again
		}
		if a.result.Answer != nil {
			s.answerBytes -= int64(len(a.result.Answer.Body))
		}
		s.delivered(a)
		delete(s.attempts, a.id)
		if a.nonIdempotent {
			s.expiredAttempts[hashAttemptID(a.id)] = a.result.Ran
		}
	}
}

// pinnedPrograms returns the programs that have pins, sorted so that the order of
// effects is deterministic.
func (s *State) pinnedPrograms() []string {
	list := make([]string, 0, len(s.pins))
	for p := range s.pins {
		list = append(list, p)
	}
	sort.Strings(list)
	return list
}
