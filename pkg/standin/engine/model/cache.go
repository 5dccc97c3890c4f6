package engine

import (
	"container/list"
	"sort"
	"time"
)

// entry is a cached prefix. The prefix of a program may hang below a shared
// prefix; then it accounts only for the tokens after it, and the shared prefix
// cannot be evicted before it.
type entry struct {
	id        string
	model     string
	tokens    int64 // from the start of the prompt
	base      int64 // the first tokens, accounted for by the parent
	parent    *entry
	children  int
	refs      int // running requests that use it
	pinned    time.Time
	offloaded bool
	elem      *list.Element
}

func (e *entry) memory() int64 { return e.tokens - e.base }

// prefixCache accounts for memory in tokens.
type prefixCache struct {
	capacity, hostCapacity int64
	used                   int64 // entries on the device and reservations of running requests
	host                   int64
	entries                map[string]*entry
	lru                    *list.List // front: most recently used
	pins                   map[string]time.Time
	changed                func(prefix string, tokens int64)
}

func newPrefixCache(o Options, changed func(string, int64)) *prefixCache {
	return &prefixCache{
		capacity: o.CacheTokens, hostCapacity: o.HostTokens, changed: changed,
		entries: make(map[string]*entry), lru: list.New(), pins: make(map[string]time.Time),
	}
}

// lookup returns the longest usable prefix of a request and its length.
func (c *prefixCache) lookup(r *Request) (*entry, int64) {
	if e := c.entries[r.Program]; r.Program != "" && e != nil && e.model == modelKey(r) {
		return e, e.tokens
	}
	if e := c.shared(r); e != nil {
		return e, min(e.tokens, r.SharedTokens)
	}
	return nil, 0
}

// shared returns the entry of the request's shared prefix.
func (c *prefixCache) shared(r *Request) *entry {
	if e := c.entries[r.SharedPrefix]; r.SharedPrefix != "" && e != nil && e.model == modelKey(r) {
		return e
	}
	return nil
}

// modelKey separates prefixes of different models and adapters, whose KV
// cannot be exchanged.
func modelKey(r *Request) string { return r.Model + "/" + r.Adapter }

func (c *prefixCache) touch(e *entry) { c.lru.MoveToFront(e.elem) }

// put makes sure that the cache holds at least tokens of the prefix. The first
// base tokens of a new entry belong to its parent.
func (c *prefixCache) put(id, model string, tokens int64, parent *entry, base int64) *entry {
	e := c.entries[id]
	if e != nil && e.model != model {
		if e.refs > 0 || e.children > 0 {
			return e // in use by the other model; the new prefix is not kept
		}
		c.drop(e)
		e = nil
	}
	if e == nil {
		if parent == nil {
			base = 0
		}
		base = min(base, tokens)
		e = &entry{id: id, model: model, tokens: tokens, base: base, parent: parent, pinned: c.pins[id]}
		e.elem = c.lru.PushFront(e)
		c.entries[id] = e
		if parent != nil {
			parent.children++
		}
		c.used += e.memory()
		c.changed(id, tokens)
		return e
	}
	c.touch(e)
	if tokens > e.tokens && !e.offloaded {
		c.used += tokens - e.tokens
		e.tokens = tokens
		c.changed(id, tokens)
	}
	return e
}

func (c *prefixCache) drop(e *entry) {
	if e.offloaded {
		c.host -= e.memory()
	} else {
		c.used -= e.memory()
	}
	if e.parent != nil {
		e.parent.children--
	}
	c.lru.Remove(e.elem)
	delete(c.entries, e.id)
	c.changed(e.id, 0)
}

// makeRoom evicts least recently used prefixes until need tokens are free. It
// evicts pinned ones only with force.
func (c *prefixCache) makeRoom(now time.Time, need int64, force bool) bool {
	for el := c.lru.Back(); el != nil && c.capacity-c.used < need; {
		e := el.Value.(*entry)
		el = el.Prev()
		if e.refs > 0 || e.children > 0 || e.offloaded || e.pinned.After(now) && !force {
			continue
		}
		parent := e.parent
		c.drop(e)
		if parent != nil && parent.children == 0 {
			el = c.lru.Back() // the shared prefix may have become evictable
		}
	}
	return c.capacity-c.used >= need
}

func (c *prefixCache) pinnedTokens(now time.Time) int64 {
	var n int64
	for _, e := range c.entries {
		if e.pinned.After(now) && !e.offloaded {
			n += e.memory()
		}
	}
	return n
}

func (c *prefixCache) pin(id string, until time.Time) {
	c.pins[id] = until
	if e := c.entries[id]; e != nil {
		e.pinned = until
	}
}

// release removes the pin and, when nothing uses it, the prefix.
func (c *prefixCache) release(id string) {
	delete(c.pins, id)
	e := c.entries[id]
	if e == nil {
		return
	}
	e.pinned = time.Time{}
	if e.refs == 0 && e.children == 0 {
		c.drop(e)
	}
}

// offload moves a prefix to host memory.
func (c *prefixCache) offload(id string) error {
	e := c.entries[id]
	if e == nil || e.refs > 0 || e.children > 0 {
		return ErrNotHeld
	}
	if e.offloaded {
		return nil
	}
	for el := c.lru.Back(); el != nil && c.hostCapacity-c.host < e.memory(); {
		victim := el.Value.(*entry)
		el = el.Prev()
		if victim.offloaded {
			c.drop(victim)
		}
	}
	if c.hostCapacity-c.host < e.memory() {
		return ErrTooLong
	}
	c.used -= e.memory()
	c.host += e.memory()
	e.offloaded = true
	return nil
}

// restore moves an offloaded prefix back; the caller has made room.
func (c *prefixCache) restore(e *entry) {
	c.host -= e.memory()
	c.used += e.memory()
	e.offloaded = false
}

// held lists the prefixes and the pins without a prefix, sorted.
func (c *prefixCache) held(now time.Time) []Held {
	list := make([]Held, 0, len(c.entries))
	for id, e := range c.entries {
		h := Held{Prefix: id, Tokens: e.tokens, Offloaded: e.offloaded}
		if h.Pinned = e.pinned.After(now); h.Pinned {
			h.PinnedUntil = e.pinned
		}
		list = append(list, h)
	}
	for id, until := range c.pins {
		switch {
		case !until.After(now):
			delete(c.pins, id)
		case c.entries[id] == nil:
			list = append(list, Held{Prefix: id, Pinned: true, PinnedUntil: until})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Prefix < list[j].Prefix })
	return list
}
