package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxWait is how long a request may wait for a token. A refusal costs the caller at least
	// as much time, and one of its two tries.
	MaxWait = 400 * time.Millisecond
	// waitingShare is the part of a quota's rate that the requests waiting at one edge count
	// on. More of them would not get a token in time.
	waitingShare = 0.3
	// prefetchTime is how long the tokens that an edge holds are to last.
	prefetchTime = time.Second
	// keepOneRate is the rate, in requests a second, from which an edge always holds a token.
	// Below it, most tokens would expire unused.
	keepOneRate = 1
	// refusedPause is the time until a coordinator that grants nothing is asked again.
	refusedPause = 100 * time.Millisecond
	// returnShare is the part of the tokens that is promised to refused callers who come again.
	// New requests take the rest: in ordinary use about 1/1.6 of the quota.
	returnShare = 0.5
	// unknownPause is the time after which refused callers should come again while the
	// coordinators are not known.
	unknownPause = 500 * time.Millisecond
	// An edge that does not answer is left out for failPause, which doubles with each
	// failure up to maxFailPause.
	failPause    = 200 * time.Millisecond
	maxFailPause = 2 * time.Second
	// idleAfter is the time without a request after which the state of a workspace is
	// dropped.
	idleAfter = 30 * time.Second
	// tokensPerCoordinator is the number of tokens from which a demand is divided among
	// several coordinators.
	tokensPerCoordinator = 4
)

// holding is a number of tokens that one coordinator granted.
type holding struct {
	from  string
	count uint32
	until Time
}

// workspace is what an edge keeps about a workspace that it has requests of.
type workspace struct {
	id    uint64
	quota Quota
	life  time.Duration
	base  bucket
	held  []holding // by expiry

	coordinators []string          // of the current list
	nextAt       map[string]Time   // when a coordinator will have tokens again
	laterAt      map[string]Time   // when it will have more than it keeps for requests that wait
	asking       map[string]uint32 // tokens that a coordinator is being asked for
	used         map[string]uint32 // tokens of each coordinator used since the last request to it
	waiting      int               // requests that wait for a reply

	seen, admitted, refused usage
	usedAt                  Time
	promisedAt              Time    // latest time at which a refused caller was asked to come again
	shortAt                 Time    // when a coordinator last had too few tokens
	newShare                float64 // part of the programs that may begin, at shortAt
	newCredit               float64 // sum of share over the programs since one began
	// turn selects the coordinator that is asked first. It stays the same while that one has
	// tokens, so that the coordinator learns which of its tokens were used.
	turn int
}

// drop removes the tokens for which f returns true.
func (w *workspace) drop(f func(holding) bool) { w.held = slices.DeleteFunc(w.held, f) }

// available returns the number of tokens that can be used now.
func (w *workspace) available(now Time) uint32 {
	n := uint32(0)
	for _, h := range w.held {
		if h.until > now {
			n += h.count
		}
	}
	return n
}

// take uses one token. It returns false if there is none.
func (w *workspace) take(now Time) bool {
	expired := 0
	for expired < len(w.held) && (w.held[expired].until <= now || w.held[expired].count == 0) {
		expired++
	}
	if expired > 0 {
		w.held = append(w.held[:0], w.held[expired:]...)
	}
	if len(w.held) > 0 {
		w.held[0].count--
		w.used[w.held[0].from]++
		return true
	}
	w.base.advance(w.base.capacity, now)
	if w.base.level >= 1 {
		w.base.level--
		return true
	}
	return false
}

// hold adds granted tokens.
func (w *workspace) hold(h holding) {
	if h.count == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(w.held, h, func(a, b holding) int { return int(a.until - b.until) })
	w.held = slices.Insert(w.held, at, h)
}

// scale applies a lower quota to the tokens held.
func (w *workspace) scale(factor float64) {
	for i := range w.held {
		w.held[i].count = uint32(float64(w.held[i].count) * factor)
	}
}

// readyAt returns when the first coordinator may have tokens, and whether one is being asked.
func (w *workspace) readyAt(now Time) (at Time, asking bool) {
	if len(w.coordinators) == 0 {
		return now + unknownPause, false // the list of edges is not known yet
	}
	at = now + maxWait
	for _, c := range w.coordinators {
		if _, ok := w.asking[c]; ok {
			asking = true
		}
		at = min(at, max(w.nextAt[c], now))
	}
	return at, asking
}

// mayGet reports whether a request may get a token if it waits: a coordinator is being
// asked, or has not said that it has none, or will have some in time for it.
func (w *workspace) mayGet(now Time) bool {
	at, asking := w.readyAt(now)
	if len(w.coordinators) == 0 || !asking && at > now+MaxWait {
		return false
	}
	if at <= now {
		return true
	}
	rate := max(w.admitted.rate(now), w.quota.Rate*waitingShare)
	return float64(w.waiting) < 1+rate*MaxWait.Seconds()
}

// refuse counts a refusal and returns the time after which the request should come again. Each
// refused caller gets a time of its own, as far apart as the tokens of this edge.
func (w *workspace) refuse(now Time) time.Duration {
	w.refused.add(now)
	at, _ := w.readyAt(now)
	w.base.advance(w.base.capacity, now)
	at = min(at, now+w.base.until(1))
	rate := max(w.admitted.rate(now), w.quota.Rate*baseShare/maxCoordinators, 1/maxWait.Seconds())
	spacing := time.Duration(float64(time.Second) / (returnShare * rate))
	at = max(at, min(w.promisedAt+spacing, now+maxWait))
	w.promisedAt = at
	return at - now
}

// missing returns how many tokens to ask for now.
func (w *workspace) missing(now Time) (n uint32, urgent bool) {
	have := w.available(now)
	for _, count := range w.asking {
		have += count
	}
	rate := w.seen.peak(now)
	need := rate * min(prefetchTime, w.life).Seconds()
	if w.waiting > 0 && uint32(w.waiting) > have {
		return uint32(w.waiting) - have + uint32(rate*minLife.Seconds()), true
	}
	// Half of what is needed is left when the next tokens are asked for.
	if need >= 1 && float64(have) < need/2 {
		return uint32(math.Ceil(need)) - have, false
	}
	if have == 0 && rate >= keepOneRate {
		return 1, false
	}
	return 0, false
}

// choose returns the coordinators to ask for n tokens and how many to ask each one for.
// They are chosen in the order of their ranks.
func (w *workspace) choose(n uint32, now Time, urgent bool, rank func(string) int) (list []string, each uint32) {
	for i := range w.coordinators {
		c := w.coordinators[(w.turn+i)%len(w.coordinators)]
		if _, ok := w.asking[c]; !ok && w.nextAt[c] <= now && (urgent || w.laterAt[c] <= now) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil, 0
	}
	slices.SortStableFunc(list, func(a, b string) int { return rank(a) - rank(b) })
	k := min(len(list), max(int(n)/tokensPerCoordinator, 1))
	return list[:k], (n + uint32(k) - 1) / uint32(k)
}
