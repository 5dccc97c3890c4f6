package policy

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// gapConfidence is the factor by which the confidence in an estimate drops
	// per gap in the sequence of the upstream's cache events since the estimate
	// was last confirmed. The lost events may include the eviction of the prefix.
	gapConfidence = 0.6
	// evictionThreshold is the share of the cache that other prompts may fill
	// before the probability that an unpinned prefix has been evicted exceeds 0.
	// The probability reaches 1 when the whole cache has been refilled.
	evictionThreshold = 0.6
	// accuracyWeight is the weight of one call in the moving average of the
	// ratio of actual to expected cached tokens.
	accuracyWeight = 0.05
	// minAccuracy is the lower limit of that average, so that an upstream that has
	// reported wrongly for a while can still be chosen for its cache.
	minAccuracy = 0.3
	// minResyncInterval is the shortest time between two resync orders to one
	// upstream.
	minResyncInterval = 5 * time.Second
)

// prefixEstimate is the estimate of what an upstream has cached of a prefix.
type prefixEstimate struct {
	tokens        int64
	writtenTokens int64 // cacheState.writtenTokens at the last use
	gaps          int   // cacheState.gaps at the last confirmation
	pinnedUntil   time.Time
	inHostMemory  bool // offloaded to host memory, where other prompts don't evict it
}

// cacheState is the estimated cache content of one upstream.
type cacheState struct {
	prefixes      map[string]prefixEstimate
	writtenTokens int64 // tokens written to the cache since its start
	lastEvent     uint64
	gaps          int
	accuracy      float64
	needsResync   bool
	lastResync    time.Time
}

// cacheMap estimates which prefixes each upstream has cached, and how many of
// their tokens.
type cacheMap struct {
	fleet   *fleet
	holders map[string][]*upstream
}

func newCacheMap(f *fleet) *cacheMap {
	return &cacheMap{fleet: f, holders: map[string][]*upstream{}}
}

// reset clears the estimates of an upstream that was restarted or removed.
func (c *cacheMap) reset(u *upstream) {
	for prefix := range u.cache.prefixes { // each prefix is independent of the others
		c.dropHolder(prefix, u)
	}
	u.cache = cacheState{prefixes: map[string]prefixEstimate{}, accuracy: 1}
}

// dropHolder removes an upstream from the holders of a prefix.
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

// dropPrefix removes a prefix from all upstreams.
func (c *cacheMap) dropPrefix(prefix string) {
	for _, u := range c.holders[prefix] {
		delete(u.cache.prefixes, prefix)
	}
	delete(c.holders, prefix)
}

// set records that an upstream now has a prefix cached, or no longer if tokens is
// 0. If pinnedUntil is zero, the end of an earlier pin stays.
func (c *cacheMap) set(u *upstream, prefix string, tokens int64, pinnedUntil time.Time) {
	s := &u.cache
	old, known := s.prefixes[prefix]
	if tokens <= 0 {
		if known {
			delete(s.prefixes, prefix)
			c.dropHolder(prefix, u)
		}
		return
	}
	if pinnedUntil.IsZero() {
		pinnedUntil = old.pinnedUntil
	}
	s.prefixes[prefix] = prefixEstimate{tokens: tokens, writtenTokens: s.writtenTokens, gaps: s.gaps, pinnedUntil: pinnedUntil}
	if !known {
		c.holders[prefix] = append(c.holders[prefix], u)
	}
}

// onEvent processes a cache event, which may be delayed. Number 0 marks an event
// of a resync, which is outside the sequence.
func (c *cacheMap) onEvent(u *upstream, e core.CacheEvent) {
	s := &u.cache
	switch {
	case e.Number == 0:
	case e.Number <= s.lastEvent:
		return // a duplicate or out of order; the newer state is known
	default:
		if e.Number != s.lastEvent+1 {
			if s.lastEvent != 0 {
				s.gaps++
			}
			s.needsResync = true
		}
		s.lastEvent = e.Number
	}
	if old, ok := s.prefixes[e.Prefix]; ok && e.Tokens > 0 {
		// The event confirms the estimate but does not count as a use.
		old.tokens, old.gaps = e.Tokens, s.gaps
		s.prefixes[e.Prefix] = old
		return
	}
	c.set(u, e.Prefix, e.Tokens, time.Time{})
}

// maxUnconfirmedGaps is the number of gaps after which an unconfirmed estimate is
// removed.
const maxUnconfirmedGaps = 6

// sweep removes the estimates of an upstream whose prefixes have most likely been
// evicted without an eviction event being received.
func (c *cacheMap) sweep(now time.Time, u *upstream) {
	for prefix, h := range u.cache.prefixes { // each prefix is independent of the others
		gone := !h.inHostMemory && u.cache.lastEvent == 0 && c.survivalProbability(u.cache.writtenTokens-h.writtenTokens, u) == 0
		if now.Before(h.pinnedUntil) || (!gone && u.cache.gaps-h.gaps < maxUnconfirmedGaps) {
			continue
		}
		delete(u.cache.prefixes, prefix)
		c.dropHolder(prefix, u)
	}
}

// resyncDue reports whether the upstream should be ordered to list its cache, and
// records that it was.
func (c *cacheMap) resyncDue(now time.Time, u *upstream) bool {
	s := &u.cache
	if !s.needsResync || now.Sub(s.lastResync) < minResyncInterval {
		return false
	}
	s.needsResync, s.lastResync = false, now
	return true
}

// prefix returns the number of tokens of a prefix, up to limit, that the upstream
// is expected to have cached.
func (c *cacheMap) prefix(now time.Time, u *upstream, prefix string, limit int64) int64 {
	s := &u.cache
	h, ok := s.prefixes[prefix]
	if !ok {
		return 0
	}
	confidence := 1.0
	if !now.Before(h.pinnedUntil) {
		confidence = s.accuracy
		if !h.inHostMemory && s.lastEvent == 0 {
			// Without cache events, evictions are estimated from age.
			confidence *= c.survivalProbability(s.writtenTokens-h.writtenTokens, u)
		}
		for range s.gaps - h.gaps {
			confidence *= gapConfidence
		}
	}
	return int64(confidence * float64(min(h.tokens, limit)))
}

// survivalProbability returns the probability that a prefix is still cached after
// this entry process has written the given number of tokens since its last use.
// The writes of other entry processes are estimated from their share of the calls.
func (c *cacheMap) survivalProbability(written int64, u *upstream) float64 {
	capacity := float64(u.info.CacheTokens)
	if capacity <= 0 {
		return 1
	}
	w := float64(written) * c.fleet.demandFactor()
	return min(1, max(0, (1-w/capacity)/(1-evictionThreshold)))
}

// markOffloaded records that a prefix was moved to host memory.
func (c *cacheMap) markOffloaded(u *upstream, prefix string) {
	if h, ok := u.cache.prefixes[prefix]; ok {
		h.inHostMemory = true
		u.cache.prefixes[prefix] = h
	}
}

// onFirstToken corrects the estimates with the actual number of cached tokens.
func (c *cacheMap) onFirstToken(att *attempt, cached int64) {
	s := &att.up.cache
	call := &att.req.Call
	if expected := call.PromptTokens - att.uncachedTokens; expected > 0 {
		hit := min(1, float64(cached)/float64(expected))
		s.accuracy = max(minAccuracy, s.accuracy+accuracyWeight*(hit-s.accuracy))
	}
	s.writtenTokens += max(0, call.PromptTokens-cached)
	c.set(att.up, string(call.Program), call.PromptTokens, time.Time{})
	if call.SharedPrefix != "" {
		c.set(att.up, call.SharedPrefix, call.SharedTokens, time.Time{})
	}
}

// onDone adds the answer to the program's cached prefix.
func (c *cacheMap) onDone(att *attempt, a *core.Answer) {
	att.up.cache.writtenTokens += a.OutputTokens
	c.set(att.up, string(att.req.Call.Program), max(a.PromptTokens, att.req.Call.PromptTokens)+a.OutputTokens, time.Time{})
}
