package sidecar

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

func (s *State) ordered(e OrderReceived) {
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
		until := s.now.Add(s.term(e.Term))
		s.pins[e.Program] = &pin{until: until, engine: until}
	case core.OrderRelease, core.OrderOffload:
		delete(s.pins, e.Program)
	}
	s.emit(SendOrder{Ref: e.Ref})
}

// LimitPinTerm returns the term for which a pin is passed on.
func (s *State) LimitPinTerm(asked time.Duration) time.Duration { return s.term(asked) }

// term limits a pin, so that the memory of lost owners is freed in time.
func (s *State) term(asked time.Duration) time.Duration {
	if asked <= 0 {
		return s.o.PinTerm
	}
	return min(asked, s.o.PinTerm)
}

// pinRenewed extends a pin. The engine is told only when half of its term is
// over, since renewals come with every heartbeat.
func (s *State) pinRenewed(e PinRenewed) {
	if e.Program == "" || s.fenced(e.Slot, e.Epoch) {
		return
	}
	term := s.term(e.Term)
	p := s.pins[e.Program]
	if p == nil {
		p = &pin{}
		s.pins[e.Program] = p
	}
	p.until = s.now.Add(term)
	if p.engine.Sub(s.now) < term/2 {
		p.engine = p.until
		s.emit(RenewPin{Program: e.Program, Term: term})
	}
}

// heldListed adopts the pins that an earlier sidecar or owner left at the
// engine. They are released unless an owner renews them within a term.
func (s *State) heldListed(e PinsListed) {
	if e.Incarnation != s.upstream {
		return
	}
	for _, program := range e.Pinned {
		if s.pins[program] == nil {
			s.pins[program] = &pin{until: s.now.Add(s.o.PinTerm)}
		}
	}
}

func (s *State) expirePins() {
	for _, program := range s.sortedPrograms() {
		if s.pins[program].until.After(s.now) {
			continue
		}
		delete(s.pins, program)
		s.emit(ReleasePin{Program: program})
	}
}
