package sidecar

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// orderReceived checks an engine order and records its effect on the pins.
func (s *State) orderReceived(e OrderReceived) {
	if s.fenced(e.Slot, e.Epoch) {
		s.emit(RefuseOrder{Ref: e.Ref, Fenced: true, Message: "a higher epoch of the slot is known"})
		return
	}
	switch e.Order {
	case core.OrderPin:
		if e.Program == "" {
			s.emit(RefuseOrder{Ref: e.Ref, Message: "a pin names its program"})
			return
		}
		expires := s.now.Add(s.pinTerm(e.Term))
		s.pins[e.Program] = &pin{expires: expires, engineExpires: expires}
	case core.OrderRelease, core.OrderOffload:
		delete(s.pins, e.Program)
	}
	s.emit(SendOrder{Ref: e.Ref})
}

// LimitPinTerm returns the term to request from the engine for a pin.
func (s *State) LimitPinTerm(requested time.Duration) time.Duration { return s.pinTerm(requested) }

// pinTerm limits the term of a pin, so that cache pinned by a lost owner is freed
// soon. An owner that requests no term gets the longest.
func (s *State) pinTerm(requested time.Duration) time.Duration {
	if requested <= 0 {
		return s.options.PinTerm
	}
	return min(requested, s.options.PinTerm)
}

// pinRenewed extends a pin. Renewals arrive with every heartbeat, so they are sent to
// the engine only once half of its term is over.
func (s *State) pinRenewed(e PinRenewed) {
	if e.Program == "" || s.fenced(e.Slot, e.Epoch) {
		return
	}
	pinTerm := s.pinTerm(e.Term)
	p := s.pins[e.Program]
	if p == nil {
		p = &pin{}
		s.pins[e.Program] = p
	}
	p.expires = s.now.Add(pinTerm)
	if p.engineExpires.Sub(s.now) < pinTerm/2 {
		p.engineExpires = p.expires
		s.emit(RenewPin{Program: e.Program, Term: pinTerm})
	}
}

// pinsListed records the pins that an earlier sidecar or owner left at the engine.
// They are released unless an owner renews them within PinTerm.
func (s *State) pinsListed(e PinsListed) {
	if e.Incarnation != s.upstreamIncarnation {
		return
	}
	for _, program := range e.Pinned {
		if s.pins[program] == nil {
			s.pins[program] = &pin{expires: s.now.Add(s.options.PinTerm)}
		}
	}
}

// expirePins releases the pins that were not renewed in time.
func (s *State) expirePins() {
	for _, program := range s.pinnedPrograms() {
		if s.pins[program].expires.After(s.now) {
			continue
		}
		delete(s.pins, program)
		s.emit(ReleasePin{Program: program})
	}
}
