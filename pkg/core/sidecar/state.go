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
	OutcomeByKey bool          // the service answers for the outcome of a key
	PinTerm      time.Duration // longest term of a pin without renewal, default 30 s
	ResultTerm   time.Duration // how long results are kept, default 10 min
	ResultBytes  int64         // largest total size of stored answers, default 32 MB
}

type status uint8

const (
	unseen   status = iota
	accepted        // started, not yet passed on
	onBoard         // passed on
	ended           // see result
	refused         // never passed on, and never will be
)

type attempt struct {
	id            core.AttemptID
	status        status
	nonIdempotent bool
	crashed       bool // reported as on board of a crash
	undelivered   bool // a non-idempotent result that the owner has not got
	fingerprint   uint64
	slot          core.Slot
	epoch         core.Epoch
	incarnation   uint64 // of the upstream for which it was dispatched; 0: any
	key           string
	result        Result
	endedAt       time.Time
	waiting       []Ref // Resolve events of a running attempt
}

// digest stands for an attempt whose record has expired.
type digest [2]uint64

func digestOf(id core.AttemptID) digest {
	return digest{xxhash.Sum64String(string(id)), xxhash.Sum64String(string(id) + "\x00")}
}

type pin struct {
	until  time.Time // nobody has renewed it beyond
	engine time.Time // the engine keeps it so long
}

// State is the sidecar's state.
type State struct {
	o        Options
	now      time.Time
	epochs   map[core.Slot]core.Epoch
	attempts map[core.AttemptID]*attempt
	expiry   []*attempt // ended, oldest first
	bytes    int64
	// expired attempts that must not run again; the value tells whether they
	// ran.
	expired map[digest]core.Ran
	running int
	missing int // undelivered results

	pins     map[string]*pin
	upstream uint64
	up       bool
	draining bool
	out      []Effect
}

// New returns the state of a fresh incarnation.
func New(o Options) *State {
	if o.PinTerm <= 0 {
		o.PinTerm = 30 * time.Second
	}
	if o.ResultTerm <= 0 {
		o.ResultTerm = 10 * time.Minute
	}
	if o.ResultBytes <= 0 {
		o.ResultBytes = 32 << 20
	}
	return &State{
		o: o, epochs: make(map[core.Slot]core.Epoch), attempts: make(map[core.AttemptID]*attempt),
		expired: make(map[digest]core.Ran), pins: make(map[string]*pin),
	}
}

// Running returns the number of attempts under way.
func (s *State) Running() int { return s.running }

// Undelivered returns the number of non-idempotent results that no owner has
// received.
func (s *State) Undelivered() int { return s.missing }

// Draining reports whether new attempts are refused.
func (s *State) Draining() bool { return s.draining }

// Pins returns the number of pins.
func (s *State) Pins() int { return len(s.pins) }

// Attempts returns the number of attempts on record.
func (s *State) Attempts() int { return len(s.attempts) + len(s.expired) }

// Upstream returns the upstream's incarnation and whether it is up.
func (s *State) Upstream() (uint64, bool) { return s.upstream, s.up }

// CrashReported tells whether an attempt was reported as on board of a crash.
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
	s.out = nil
	switch e := e.(type) {
	case AttemptDispatched:
		s.dispatched(e)
	case SendRequested:
		s.passOn(e)
	case AttemptEnded:
		s.ended(e)
	case ResultDelivered:
		if a := s.attempts[e.Attempt]; a != nil {
			s.delivered(a)
		}
	case Resolve:
		s.resolve(e)
	case OutcomeLookedUp:
		s.lookedUp(e)
	case OrderReceived:
		s.ordered(e)
	case OrderFailed:
		if e.Order == core.OrderPin {
			delete(s.pins, e.Program)
		}
	case PinRenewed:
		s.pinRenewed(e)
	case UpstreamUp:
		s.upstreamSeen(e)
	case UpstreamDown:
		s.crashed()
	case PinsListed:
		s.heldListed(e)
	case DrainStarted:
		if !s.draining {
			s.draining = true
			s.emit(AnnounceDrain{})
		}
	case Tick:
		s.expirePins()
		s.expireResults()
	}
	return s.out
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

// fenced records the epoch and reports whether it is below the highest.
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
			s.neverRun(e.Attempt, e.Slot, e.Epoch)
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
	if ran, ok := s.expired[digestOf(e.Attempt)]; ok {
		refuse(RefuseAttempt{Ran: ran, Message: "the attempt was already dispatched"})
		return
	}
	switch {
	case s.draining:
		refuse(RefuseAttempt{Ran: core.RanNo, Draining: true, Message: "the sidecar is leaving"})
		return
	case e.SidecarIncarnation != "" && e.SidecarIncarnation != s.o.Incarnation:
		refuse(RefuseAttempt{Ran: core.RanNo, Message: "the attempt is for another incarnation of the sidecar"})
		return
	case s.otherUpstream(e.UpstreamIncarnation):
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

// neverRun refuses an unseen attempt for ever.
func (s *State) neverRun(id core.AttemptID, slot core.Slot, epoch core.Epoch) {
	a := &attempt{id: id, nonIdempotent: true, slot: slot, epoch: epoch}
	s.attempts[id] = a
	s.end(a, refused, Result{Ran: core.RanNo})
}

func (s *State) otherUpstream(incarnation uint64) bool {
	return incarnation != 0 && s.upstream != 0 && incarnation != s.upstream
}

// ranOf returns what is known about the execution of an attempt.
func (s *State) ranOf(id core.AttemptID) core.Ran {
	a := s.attempts[id]
	switch {
	case a == nil:
		if ran, ok := s.expired[digestOf(id)]; ok {
			return ran
		}
		return core.RanNo
	case a.status == refused:
		return core.RanNo
	case a.status == ended:
		return a.result.Ran
	default:
		return core.RanUnknown // it runs, or may still be passed on
	}
}

// passOn is the last check before the upstream sees the request.
func (s *State) passOn(e SendRequested) {
	a := s.attempts[e.Attempt]
	refuse := func(fenced bool, message string) {
		if a != nil && a.status == accepted {
			s.end(a, refused, Result{Ran: core.RanNo})
		}
		ran := s.ranOf(e.Attempt)
		if a == nil && ran == core.RanNo {
			s.neverRun(e.Attempt, 0, 0)
		}
		s.emit(RefuseAttempt{Ref: e.Ref, Ran: ran, Fenced: fenced, Step: "pass_on", Message: message})
	}
	switch {
	case a == nil || a.status != accepted:
		refuse(false, "the attempt may not be passed on")
	case a.epoch < s.epochs[a.slot]:
		refuse(true, "a higher epoch of the slot is known")
	case s.otherUpstream(a.incarnation):
		refuse(false, "the upstream has restarted")
	default:
		a.status = onBoard
		if a.incarnation == 0 {
			a.incarnation = s.upstream
		}
		s.emit(AllowSend{Ref: e.Ref})
	}
}

// end records the result of an attempt and answers those who wait for it.
func (s *State) end(a *attempt, st status, r Result) {
	if a.status == accepted || a.status == onBoard {
		s.running--
	}
	a.status, a.result, a.endedAt = st, r, s.now
	if r.Answer != nil && a.nonIdempotent {
		s.bytes += int64(len(r.Answer.Body))
		if !a.undelivered {
			a.undelivered = true
			s.missing++
		}
	}
	if !a.nonIdempotent {
		a.result.Answer = nil // the call is repeated rather than resolved
	}
	s.expiry = append(s.expiry, a)
	for _, ref := range a.waiting {
		s.emit(Outcome{Ref: ref, Result: r})
	}
	a.waiting = nil
}

func (s *State) ended(e AttemptEnded) {
	a := s.attempts[e.Attempt]
	if a == nil {
		return
	}
	switch {
	case a.status == accepted:
		// It was never passed on, so it must not be later either.
		s.end(a, refused, Result{Ran: core.RanNo})
	case a.status == onBoard, a.status == ended && a.result.Answer == nil && e.Result.Answer != nil:
		s.end(a, ended, e.Result)
	}
}

func (s *State) delivered(a *attempt) {
	if a.undelivered {
		a.undelivered = false
		s.missing--
	}
}

func (s *State) resolve(e Resolve) {
	// The query of a new owner fences the old one.
	s.fenced(e.Slot, e.Epoch)
	a := s.attempts[e.Attempt]
	if a == nil {
		ran, known := s.expired[digestOf(e.Attempt)]
		switch {
		case !known && e.SidecarIncarnation == s.o.Incarnation:
			s.neverRun(e.Attempt, e.Slot, e.Epoch)
			ran = core.RanNo
		case !known:
			// A predecessor may have passed it on; this process must not.
			a := &attempt{id: e.Attempt, nonIdempotent: true, slot: e.Slot, epoch: e.Epoch, key: e.Key}
			s.attempts[e.Attempt] = a
			s.end(a, ended, Result{Ran: core.RanUnknown})
			s.lookUp(e.Ref, e.Attempt, e.Key)
			return
		case ran != core.RanNo:
			s.lookUp(e.Ref, e.Attempt, e.Key)
			return
		}
		s.emit(Outcome{Ref: e.Ref, Result: Result{Ran: ran}})
		return
	}
	switch {
	case a.status == accepted && a.epoch < s.epochs[a.slot]:
		// Its owner is fenced: it will be refused at PassOn.
		s.end(a, refused, Result{Ran: core.RanNo})
		s.emit(Outcome{Ref: e.Ref, Result: a.result})
	case a.status == accepted || a.status == onBoard:
		a.waiting = append(a.waiting, e.Ref)
		s.emit(Outcome{Ref: e.Ref, Running: true, Result: Result{Ran: core.RanUnknown}})
	case a.result.Ran == core.RanNo || a.result.Answer != nil:
		s.delivered(a)
		s.emit(Outcome{Ref: e.Ref, Result: a.result})
	default:
		key := a.key
		if key == "" {
			key = e.Key
		}
		s.lookUp(e.Ref, e.Attempt, key)
	}
}

func (s *State) lookUp(ref Ref, id core.AttemptID, key string) {
	if s.o.OutcomeByKey && key != "" {
		s.emit(LookUpOutcome{Ref: ref, Attempt: id, Key: key})
		return
	}
	s.emit(Outcome{Ref: ref, Result: Result{Ran: s.ranOf(id)}})
}

func (s *State) lookedUp(e OutcomeLookedUp) {
	r := e.Result
	a := s.attempts[e.Attempt]
	switch {
	case a != nil && r.Answer == nil && a.result.Ran == core.RanYes:
		r.Ran = core.RanYes // it ran, though its answer is not to be had
	case a != nil && a.status == ended && a.result.Answer == nil && r.Answer != nil:
		s.end(a, ended, r)
		s.delivered(a)
	}
	s.emit(Outcome{Ref: e.Ref, Result: r})
}

func (s *State) upstreamSeen(e UpstreamUp) {
	if s.upstream != 0 && e.Incarnation != s.upstream {
		s.crashed()
	}
	if !s.up {
		s.emit(ListPins{Incarnation: e.Incarnation})
	}
	s.upstream, s.up = e.Incarnation, true
}

// crashed reports the requests on board of an upstream that died. Each
// incarnation is reported once.
func (s *State) crashed() {
	c := ReportCrash{}
	for id, a := range s.attempts {
		if a.status != onBoard || a.crashed {
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
		// It started and died again between two looks.
		s.upstream++
	}
	s.up, c.Incarnation = false, s.upstream
	clear(s.pins) // its memory is gone
	s.emit(c)
}

// expireResults drops old records. Non-idempotent attempts leave a digest, so
// that they are refused for ever.
func (s *State) expireResults() {
	if len(s.expiry) == 0 {
		s.expiry = nil
	}
	for len(s.expiry) > 0 {
		a := s.expiry[0]
		old := s.now.Sub(a.endedAt) > s.o.ResultTerm
		if !old && s.bytes <= s.o.ResultBytes {
			return
		}
		s.expiry[0] = nil // the array outlives the slice's start
		s.expiry = s.expiry[1:]
		if s.attempts[a.id] != a {
			continue // listed twice because a late outcome ended it again
		}
		if a.result.Answer != nil {
			s.bytes -= int64(len(a.result.Answer.Body))
		}
		s.delivered(a)
		delete(s.attempts, a.id)
		if a.nonIdempotent {
			s.expired[digestOf(a.id)] = a.result.Ran
		}
	}
}

// sortedPrograms returns the keys of the pins in order, so that effects do not
// depend on map iteration.
func (s *State) sortedPrograms() []string {
	list := make([]string, 0, len(s.pins))
	for p := range s.pins {
		list = append(list, p)
	}
	sort.Strings(list)
	return list
}
