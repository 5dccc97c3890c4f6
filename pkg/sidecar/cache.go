package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
)

const (
	// eventMemory is the number of cache events kept for peers that lag.
	eventMemory = 4096
	// eventPoll bounds one long poll, so that a silent connection is left
	// within 3 s.
	eventPoll = 2500 * time.Millisecond
	// eventRetry separates polls after a failure.
	eventRetry = 250 * time.Millisecond
	// eventsPerHeartbeat keeps a heartbeat well below the message cap.
	eventsPerHeartbeat = 2048
)

// engineEvents is the answer of GET /v1/cache/events.
type engineEvents struct {
	Incarnation uint64        `json:"incarnation"`
	Events      []engineEvent `json:"events"`
}

type engineEvent struct {
	Number uint64 `json:"number"`
	Prefix string `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// parseEvents checks an answer of the engine: numbers must grow.
func parseEvents(b []byte) (engineEvents, error) {
	var ev engineEvents
	if err := json.Unmarshal(b, &ev); err != nil {
		return engineEvents{}, err
	}
	for i, e := range ev.Events {
		if e.Number == 0 || i > 0 && e.Number <= ev.Events[i-1].Number {
			return engineEvents{}, fmt.Errorf("cache event %d is out of order", e.Number)
		}
		if e.Tokens < 0 || e.Prefix == "" {
			return engineEvents{}, fmt.Errorf("cache event %d is not valid", e.Number)
		}
	}
	return ev, nil
}

// cacheLog is the sequence of cache events towards the peers. Its numbers grow
// across restarts of the engine, whose own numbers start again; the engine's
// gaps are kept as gaps.
type cacheLog struct {
	last        uint64 // number of the newest event towards the peers
	incarnation uint64
	seen        uint64 // engine number of the newest event
	events      []*peerv1.CacheEvent
	held        map[string]int64
	dropped     uint64 // number of the newest event that is no longer kept
}

func newCacheLog(base uint64) cacheLog {
	return cacheLog{last: base, dropped: base, held: make(map[string]int64)}
}

func (c *cacheLog) add(number uint64, prefix string, tokens int64) {
	c.last = number
	if tokens == 0 {
		delete(c.held, prefix)
	} else {
		c.held[prefix] = tokens
	}
	c.events = append(c.events, &peerv1.CacheEvent{Number: number, Prefix: prefix, Tokens: tokens})
	if n := len(c.events) - eventMemory; n >= eventMemory/4 {
		c.dropped = c.events[n-1].Number
		c.events = append([]*peerv1.CacheEvent(nil), c.events[n:]...)
	}
}

// take adds the engine's events and returns the number of gaps.
func (c *cacheLog) take(ev engineEvents) (gaps int) {
	if ev.Incarnation != c.incarnation {
		if c.incarnation != 0 {
			c.lost()
		}
		c.incarnation = ev.Incarnation
	}
	for _, e := range ev.Events {
		if e.Number <= c.seen {
			continue
		}
		step := e.Number - c.seen
		if step > 1 && c.seen > 0 {
			gaps++
		}
		if c.seen == 0 {
			step = 1 // earlier events are covered by the listing at the start
		}
		c.seen = e.Number
		c.add(c.last+step, e.Prefix, e.Tokens)
	}
	return gaps
}

// lost reports every prefix as gone after a crash.
func (c *cacheLog) lost() {
	for _, p := range sortedPrefixes(c.held) {
		c.add(c.last+1, p, 0)
	}
	c.seen, c.incarnation = 0, 0
}

// resync replaces what the events have told by a listing and returns it as
// events with number 0, which are outside the sequence.
func (c *cacheLog) resync(incarnation uint64, held map[string]int64) []*peerv1.CacheEvent {
	if incarnation != c.incarnation {
		c.incarnation, c.seen = incarnation, 0
	}
	var list []*peerv1.CacheEvent
	for _, p := range sortedPrefixes(c.held) {
		if held[p] == 0 {
			list = append(list, &peerv1.CacheEvent{Prefix: p})
		}
	}
	c.held = held
	return append(list, c.snapshot()...)
}

// snapshot returns everything held as events with number 0.
func (c *cacheLog) snapshot() []*peerv1.CacheEvent {
	list := make([]*peerv1.CacheEvent, 0, len(c.held))
	for _, p := range sortedPrefixes(c.held) {
		list = append(list, &peerv1.CacheEvent{Prefix: p, Tokens: c.held[p]})
	}
	return list
}

// after returns the events after a number, up to the limit, and the number to
// continue from. ok is false when events after it are no longer kept.
func (c *cacheLog) after(number uint64, limit int) (list []*peerv1.CacheEvent, next uint64, ok bool) {
	if number < c.dropped {
		return nil, c.last, false
	}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].Number > number })
	list = c.events[i:min(len(c.events), i+limit)]
	next = number
	if len(list) > 0 {
		next = list[len(list)-1].Number
	}
	return list, next, true
}

func sortedPrefixes(m map[string]int64) []string {
	list := make([]string, 0, len(m))
	for p := range m {
		list = append(list, p)
	}
	sort.Strings(list)
	return list
}

// readCacheEvents follows the engine's events until the sidecar stops.
func (s *Sidecar) readCacheEvents() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		after, incarnation := s.cache.seen, s.cache.incarnation
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(s.ctx, eventPoll)
		var raw json.RawMessage
		err := s.up.getJSON(ctx, s.up.pooled, fmt.Sprintf("/v1/cache/events?after=%d", after), &raw)
		expired := ctx.Err() != nil
		cancel()
		var ev engineEvents
		if err == nil {
			ev, err = parseEvents(raw)
		}
		if err != nil {
			if !expired {
				s.sleep(eventRetry)
			}
			continue
		}
		s.mu.Lock()
		restarted := ev.Incarnation != incarnation && after > 0
		if restarted {
			ev.Events = nil // they were asked for with the old incarnation's number
		}
		gaps := s.cache.take(ev)
		s.mu.Unlock()
		s.met.cacheEvents.Add(len(ev.Events))
		s.met.cacheGaps.Add(gaps)
		if len(ev.Events) == 0 && !restarted {
			s.sleep(eventRetry)
		}
	}
}

func (s *Sidecar) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// engineHeld is the answer of GET /v1/cache.
type engineHeld struct {
	Incarnation uint64 `json:"incarnation"`
	Held        []struct {
		Prefix string `json:"prefix"`
		Tokens int64  `json:"tokens"`
		Pinned bool   `json:"pinned"`
	} `json:"held"`
}

// listHeld compares the engine's memory with the pins on record and, with
// resync, reports everything held to the peers, which corrects missed events.
func (s *Sidecar) listHeld(resync bool) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, controlTimeout)
		var h engineHeld
		err := s.up.getJSON(ctx, s.up.fresh, "/v1/cache", &h)
		cancel()
		if err == nil {
			s.takeHeld(h, resync)
			return
		}
		s.log.Warn("engine memory cannot be listed", "step", "reconcile", "peer", s.cfg.Upstream.URL, "err", err)
		s.sleep(s.cfg.ProbeInterval)
		s.mu.Lock()
		_, up := s.state.Upstream()
		s.mu.Unlock()
		if !up {
			return // the next start of the engine is listed again
		}
	}
}

func (s *Sidecar) takeHeld(h engineHeld, resync bool) {
	e := decide.PinsListed{At: now(), Incarnation: h.Incarnation}
	held := make(map[string]int64)
	for _, p := range h.Held {
		if p.Tokens > 0 {
			held[p.Prefix] = p.Tokens
		}
		if p.Pinned {
			e.Pinned = append(e.Pinned, p.Prefix)
		}
	}
	if resync {
		s.resync(h.Incarnation, held)
	}
	s.step(e)
}

func (s *Sidecar) resync(incarnation uint64, held map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.cache.resync(incarnation, held)
	for _, ps := range s.peers {
		ps.pending = events
	}
}
