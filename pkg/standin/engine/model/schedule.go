package engine

import "slices"

// schedule admits waiting requests while slots and memory allow, and chooses
// the next prompt to process.
func (e *Engine) schedule() {
	for len(e.waiting) > 0 && e.downUntil.IsZero() {
		s := e.waiting[0]
		if len(e.running) >= e.o.Slots && !e.preemptFor(s) {
			break
		}
		if !e.admit(s) {
			if len(e.running) == 0 || !e.preemptFor(s) {
				break
			}
			continue
		}
	}
	e.choosePrefill()
	e.sampleLoad()
}

// admit gives a request a slot and memory for its whole prompt and answer.
// Reserving the answer in advance avoids running out of memory in the middle
// of a batch.
func (e *Engine) admit(s *sequence) bool {
	prompt := s.PromptTokens + s.generated
	prefix, cached := e.cache.lookup(&s.Request)
	var restored, need int64
	if prefix != nil {
		cached = max(0, min(cached, prompt-1)) // the last token is always computed
		if prefix.offloaded {
			restored = min(prefix.memory(), cached)
			need = prefix.memory()
		}
		e.ref(s, prefix)
	}
	private := prompt + s.output - s.generated - cached
	need += private
	if !e.cache.makeRoom(e.now, need, false) {
		// Pins must not stop an engine that has nothing else to do.
		if len(e.running) > 0 || !e.cache.makeRoom(e.now, need, true) {
			e.unref(s)
			return false
		}
	}
	if prefix != nil {
		if prefix.offloaded {
			e.cache.restore(prefix)
		}
		e.cache.touch(prefix)
	}
	e.waiting = slices.Delete(e.waiting, 0, 1)
	e.running = append(e.running, s)
	e.cache.used += private
	s.private = private
	if !s.started {
		s.cached, s.restored = cached, restored
	}
	s.work = float64(prompt-cached)/e.o.PrefillRate + float64(restored)/e.o.RestoreRate
	s.decoding = false
	return true
}

func (e *Engine) ref(s *sequence, p *entry) {
	for ; p != nil; p = p.parent {
		p.refs++
		s.use = append(s.use, p)
	}
}

func (e *Engine) unref(s *sequence) {
	for _, p := range s.use {
		p.refs--
	}
	s.use = nil
}

// preemptFor interrupts the least important running request when the waiting
// one has precedence, and reports whether it did.
func (e *Engine) preemptFor(s *sequence) bool {
	if !e.o.Preempt {
		return false
	}
	var victim *sequence
	for _, r := range e.running {
		if r.Priority > s.Priority && (victim == nil || r.Priority >= victim.Priority) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	victim.generated = victim.tokensAt(e.clock)
	e.leave(victim)
	e.enqueue(victim)
	return true
}

// leave takes a request out of the batch and keeps its computed prefix.
func (e *Engine) leave(s *sequence) {
	i := slices.Index(e.running, s)
	if i < 0 {
		return
	}
	e.running = slices.Delete(e.running, i, i+1)
	if e.prefilling == s {
		e.prefilling = nil
	}
	e.cache.used -= s.private
	s.private = 0
	if s.decoding && s.Program != "" {
		parent := e.cache.shared(&s.Request)
		var base int64
		if parent != nil {
			base = min(parent.tokens, s.SharedTokens)
		}
		e.cache.put(s.Program, modelKey(&s.Request), s.PromptTokens+s.generated, parent, base)
	}
	e.unref(s)
	s.decoding = false
}

// keepShared moves the shared part of a computed prompt from the reservation
// of the request to the cache.
func (e *Engine) keepShared(s *sequence) {
	if s.SharedTokens > s.PromptTokens || e.cache.entries[s.SharedPrefix] != nil {
		return
	}
	if p := e.cache.entries[s.Program]; s.Program != "" && p != nil {
		return // the program's prefix already contains it
	}
	p := e.cache.put(s.SharedPrefix, modelKey(&s.Request), s.SharedTokens, nil, 0)
	s.private -= s.SharedTokens
	e.cache.used -= s.SharedTokens
	e.ref(s, p)
}

// choosePrefill picks the prompt to process. With preemption a more important
// prompt interrupts the current one, which keeps its progress.
func (e *Engine) choosePrefill() {
	if e.prefilling != nil && !e.o.Preempt {
		return
	}
	best := e.prefilling
	for _, s := range e.running {
		if !s.decoding && (best == nil || s.Priority < best.Priority) {
			best = s
		}
	}
	e.prefilling = best
}
