package policy

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// gapDoubt is the confidence left in a holding per gap in the numbers of
	// the upstream's cache events since the holding was last confirmed: the
	// lost events may have told of its eviction.
	gapDoubt = 0.6
	// freshShare is the share of the cache that may be filled by other
	// prompts before an unpinned prefix is expected to be evicted; it
	// is certainly gone when the whole cache has been filled anew.
	freshShare = 0.6
	// accuracyWeight is the weight of one answer in the running comparison
	// of expected and true cached tokens.
	accuracyWeight = 0.05
	// minAccuracy keeps an upstream that misreported for a while usable as
	// a holder.
	minAccuracy = 0.3
	// resyncSpacing is the shortest time between two resync requests to one
	// upstream.
	resyncSpacing = 5 * time.Second
)

// holding is the expectation that an upstream holds a prefix.
type holding struct {
	tokens int64
	clock  int64 // cacheState.clock at the last use
	gaps   int   // cacheState.gaps at the last confirmation
	pinned time.Time
	host   bool // in host memory, where other prompts do not displace it
}

// cacheState is the cache map's view of one upstream.
type cacheState struct {
	held     map[string]holding
	clock    int64 // tokens written to the cache since the start
	last     uint64
	gaps     int
	accuracy float64
	resync   bool
	resynced time.Time
}

// cacheMap estimates the prefix tokens that each upstream holds.
type cacheMap struct {
	fleet   *fleet
	holders map[string][]*upstream
}

func newCacheMap(f *fleet) *cacheMap {
	return &cacheMap{fleet: f, holders: map[string][]*upstream{}}
}

// reset forgets what an upstream held, after its restart or removal.
func (c *cacheMap) reset(u *upstream) {
	for prefix := range u.cache.held { // each prefix is independent of the others
		c.dropHolder(prefix, u)
	}
	u.cache = cacheState{held: map[string]holding{}, accuracy: 1}
}

func (c *cacheMap) dropHolder(prefix string, u *upstream) {
	hs := c.holders[prefix]
	if i := slices.Index(hs, u); i >= 0 {
		if len(hs) == 1 {
			delete(c.holders, prefix)
			return
		}
		c.holders[prefix] = slices.Delete(hs, i, i+1)
	}
}

// forget drops a prefix everywhere.
func (c *cacheMap) forget(prefix string) {
	for _, u := range c.holders[prefix] {
		delete(u.cache.held, prefix)
	}
	delete(c.holders, prefix)
}

// set states that an upstream holds a prefix now.
func (c *cacheMap) set(u *upstream, prefix string, tokens int64, pinned time.Time) {
	s := &u.cache
	old, known := s.held[prefix]
	if tokens <= 0 {
		if known {
			delete(s.held, prefix)
			c.dropHolder(prefix, u)
		}
		return
	}
	if pinned.IsZero() {
		pinned = old.pinned
	}
	s.held[prefix] = holding{tokens: tokens, clock: s.clock, gaps: s.gaps, pinned: pinned}
	if !known {
		c.holders[prefix] = append(c.holders[prefix], u)
	}
}

// onEvent takes a late event. Number 0 marks an event of a resync, which is
// outside the sequence.
func (c *cacheMap) onEvent(u *upstream, e core.CacheEvent) {
	s := &u.cache
	switch {
	case e.Number == 0:
	case e.Number <= s.last:
		return // delivered twice or out of order; the newer state is known
	default:
		if e.Number != s.last+1 {
			if s.last != 0 {
				s.gaps++
			}
			s.resync = true
		}
		s.last = e.Number
	}
	if old, ok := s.held[e.Prefix]; ok && e.Tokens > 0 {
		// The event confirms the holding; it is no use of it.
		old.tokens, old.gaps = e.Tokens, s.gaps
		s.held[e.Prefix] = old
		return
	}
	c.set(u, e.Prefix, e.Tokens, time.Time{})
}

// sweepGaps is the number of gaps after which an unconfirmed holding is dropped.
const sweepGaps = 6

// sweep drops the holdings of an upstream that nothing can be expected of any
// more. The events of their eviction were lost.
func (c *cacheMap) sweep(now time.Time, u *upstream) {
	for prefix, h := range u.cache.held { // each prefix is independent of the others
		gone := !h.host && u.cache.last == 0 && c.fresh(u.cache.clock-h.clock, u) == 0
		if now.Before(h.pinned) || (!gone && u.cache.gaps-h.gaps < sweepGaps) {
			continue
		}
		delete(u.cache.held, prefix)
		c.dropHolder(prefix, u)
	}
}

// resyncDue tells whether the upstream should list all that it holds.
func (c *cacheMap) resyncDue(now time.Time, u *upstream) bool {
	s := &u.cache
	if !s.resync || now.Sub(s.resynced) < resyncSpacing {
		return false
	}
	s.resync, s.resynced = false, now
	return true
}

// prefix returns the tokens of a prefix, up to limit, that the upstream is
// expected to hold.
func (c *cacheMap) prefix(now time.Time, u *upstream, prefix string, limit int64) int64 {
	s := &u.cache
	h, ok := s.held[prefix]
	if !ok {
		return 0
	}
	p := 1.0
	if !now.Before(h.pinned) {
		p = s.accuracy
		if !h.host && s.last == 0 {
			// Events tell of evictions; without any, age has to do.
			p *= c.fresh(s.clock-h.clock, u)
		}
		for range s.gaps - h.gaps {
			p *= gapDoubt
		}
	}
	return int64(p * float64(min(h.tokens, limit)))
}

// fresh is the probability that a prefix has survived the tokens that were
// written since its last use. The writes of other entries are inferred from
// their share of the calls.
func (c *cacheMap) fresh(written int64, u *upstream) float64 {
	capacity := float64(u.info.CacheTokens)
	if capacity <= 0 {
		return 1
	}
	w := float64(written) * c.fleet.entries()
	return min(1, max(0, (1-w/capacity)/(1-freshShare)))
}

// offload states that the prefix was moved to host memory.
func (c *cacheMap) offload(u *upstream, prefix string) {
	if h, ok := u.cache.held[prefix]; ok {
		h.host = true
		u.cache.held[prefix] = h
	}
}

// onFirstToken corrects the map by the true number of cached tokens.
func (c *cacheMap) onFirstToken(fl *flight, cached int64) {
	s := &fl.up.cache
	call := &fl.req.Call
	if believed := call.PromptTokens - fl.missing; believed > 0 {
		hit := min(1, float64(cached)/float64(believed))
		s.accuracy = max(minAccuracy, s.accuracy+accuracyWeight*(hit-s.accuracy))
	}
	s.clock += max(0, call.PromptTokens-cached)
	c.set(fl.up, string(call.Program), call.PromptTokens, time.Time{})
	if call.SharedPrefix != "" {
		c.set(fl.up, call.SharedPrefix, call.SharedTokens, time.Time{})
	}
}

// onDone adds the answer to what the upstream holds of the program.
func (c *cacheMap) onDone(fl *flight, a *core.Answer) {
	fl.up.cache.clock += a.OutputTokens
	c.set(fl.up, string(fl.req.Call.Program), max(a.PromptTokens, fl.req.Call.PromptTokens)+a.OutputTokens, time.Time{})
}
