package engine

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// pendingLoad is a model or an adapter being loaded.
type pendingLoad struct {
	name    string
	adapter bool
	at      time.Time
}

// endless is the end of a pin without a term.
var endless = time.Unix(math.MaxInt32*4, 0)

// Order carries out an order at once, except for loading, which takes time.
func (e *Engine) Order(now time.Time, o Order) error {
	e.advanceTo(now)
	if e.Down(now) {
		return ErrDown
	}
	if e.o.Fencing && o.Fencing > 0 {
		scope := o.FencingScope
		if scope == "" {
			scope = o.Program
		}
		if o.Fencing < e.fencing[scope] {
			return ErrFenced
		}
		e.fencing[scope] = o.Fencing
	}
	defer e.schedule()
	switch o.Order {
	case core.OrderPin:
		return e.pin(o)
	case core.OrderRelease:
		e.cache.release(o.Program)
	case core.OrderOffload:
		return e.cache.offload(o.Program)
	case core.OrderLoadModel:
		if len(e.o.Models) == 0 || usable(e.models, o.Argument, now) || e.loading(o.Argument, false) {
			return nil
		}
		if len(e.models)+e.loadingModels() >= e.o.MaxModels {
			return ErrNoRoom
		}
		e.loads = append(e.loads, pendingLoad{name: o.Argument, at: now.Add(e.o.ModelDelay)})
	case core.OrderUnloadModel:
		delete(e.models, o.Argument)
	case core.OrderLoadAdapter:
		if !usable(e.adapters, o.Argument, now) && !e.loading(o.Argument, true) {
			e.loads = append(e.loads, pendingLoad{name: o.Argument, adapter: true, at: now.Add(e.o.AdapterDelay)})
		}
	case core.OrderSetRole:
		e.role = o.Argument
	default:
		return ErrOrder
	}
	return nil
}

func (e *Engine) pin(o Order) error {
	until := endless
	if o.Term > 0 {
		until = e.now.Add(o.Term)
	}
	if p := e.cache.entries[o.Program]; p != nil && !p.pinned.After(e.now) {
		limit := int64(e.o.PinShare * float64(e.o.CacheTokens))
		if e.cache.pinnedTokens(e.now)+p.memory() > limit {
			return ErrPinLimit
		}
	}
	e.cache.pin(o.Program, until)
	return nil
}

func (e *Engine) loading(name string, adapter bool) bool {
	return slices.ContainsFunc(e.loads, func(l pendingLoad) bool { return l.name == name && l.adapter == adapter })
}

func (e *Engine) loadingModels() int {
	n := 0
	for _, l := range e.loads {
		if !l.adapter {
			n++
		}
	}
	return n
}

func (e *Engine) finishLoads() {
	e.loads = slices.DeleteFunc(e.loads, func(l pendingLoad) bool {
		if l.at.After(e.now) {
			return false
		}
		if l.adapter {
			e.adapters[l.name] = l.at
		} else {
			e.models[l.name] = l.at
		}
		e.out = append(e.out, Output{Kind: Loaded, Time: l.at, Name: l.name})
		return true
	})
}

func usable(set map[string]time.Time, name string, now time.Time) bool {
	from, ok := set[name]
	return ok && !from.After(now)
}

func (e *Engine) hasModel(name string) bool {
	return len(e.o.Models) == 0 || usable(e.models, name, e.now)
}

// Models returns the loaded models, sorted.
func (e *Engine) Models() []string { return sortedKeys(e.models) }

// Adapters returns the loaded adapters, sorted.
func (e *Engine) Adapters() []string { return sortedKeys(e.adapters) }

// Role returns the role given by the last set_role order.
func (e *Engine) Role() string { return e.role }

func sortedKeys(set map[string]time.Time) []string {
	list := make([]string, 0, len(set))
	for k := range set {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// Export returns the prefix of a program.
func (e *Engine) Export(now time.Time, program string) (KV, error) {
	e.advanceTo(now)
	p := e.cache.entries[program]
	if e.Down(now) || p == nil {
		return KV{}, ErrNotHeld
	}
	kv := KV{Program: program, Model: p.model, Tokens: p.tokens}
	if p.parent != nil {
		kv.SharedPrefix, kv.SharedTokens = p.parent.id, p.base
	}
	return kv, nil
}

// Import puts an exported prefix into the cache.
func (e *Engine) Import(now time.Time, kv KV) error {
	e.advanceTo(now)
	if e.Down(now) {
		return ErrDown
	}
	if !e.cache.makeRoom(now, kv.Tokens, false) {
		return ErrTooLong
	}
	var parent *entry
	if kv.SharedPrefix != "" {
		parent = e.cache.entries[kv.SharedPrefix]
		if parent == nil && kv.SharedTokens > 0 {
			parent = e.cache.put(kv.SharedPrefix, kv.Model, kv.SharedTokens, nil, 0)
		}
		if parent != nil && parent.model != kv.Model {
			parent = nil
		}
	}
	e.cache.put(kv.Program, kv.Model, kv.Tokens, parent, kv.SharedTokens)
	e.sampleLoad()
	return nil
}

// Held lists the prefixes and pins in memory.
func (e *Engine) Held(now time.Time) []Held {
	e.advanceTo(now)
	return e.cache.held(now)
}

// CrashOn makes the engine crash when it has processed the prompt of a request
// with the fingerprint.
func (e *Engine) CrashOn(fingerprint uint64, on bool) {
	if on {
		e.crashOn[fingerprint] = true
	} else {
		delete(e.crashOn, fingerprint)
	}
}

// Crash loses everything; the engine starts again after RestartDelay under the
// next incarnation.
func (e *Engine) Crash(now time.Time) {
	e.advanceTo(now)
	e.crash()
}

func (e *Engine) crash() {
	lost := append(slices.Clone(e.running), e.waiting...)
	for _, s := range lost {
		e.out = append(e.out, Output{Kind: Failed, Time: e.now, ID: s.ID, Tokens: s.tokensAt(e.clock)})
	}
	e.reset()
	e.incarnation++
	e.downUntil = e.now.Add(e.o.RestartDelay + 1)
}

// Down reports whether the engine is between a crash and its next start.
func (e *Engine) Down(now time.Time) bool { return !e.downUntil.IsZero() && e.downUntil.After(now) }

// Incarnation returns the number of the current start.
func (e *Engine) Incarnation() uint64 { return e.incarnation }

// Info describes the engine as an upstream. The caller fills in the place and
// the sidecar.
func (e *Engine) Info() core.UpstreamInfo {
	return core.UpstreamInfo{
		ID: e.o.ID, Kind: core.KindModel, Models: e.Models(), Adapters: e.Adapters(),
		Incarnation: e.incarnation, Slots: e.o.Slots, CacheTokens: e.o.CacheTokens,
		PrefillRate: e.o.PrefillRate, DecodeRate: e.o.DecodeRate, ChecksFencing: e.o.Fencing,
	}
}
