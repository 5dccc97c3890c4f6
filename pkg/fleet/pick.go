package fleet

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

// Part is a part of a prompt.
type Part struct {
	Key    uint64 // PartKey of its id
	Tokens int
}

// PartKey returns the key of the part with the id, the same in all processes.
func PartKey(id string) uint64 { return xxhash.Sum64String(id) }

// Request holds the properties of a request that affect the selection of a member.
type Request struct {
	Service string
	// Affinity is the id of the member that served the program before and probably has
	// its prompt in the cache; may be empty.
	Affinity string
	Excluded func(id string) bool // reports members that must not be selected; may be nil
	Draw     float64              // uniform in [0, 1), breaks ties
	Rank     ratelimit.Rank       // order among others while upstreams are limited
	// Bound is set if only members that run Version may be selected.
	Bound   bool
	Version string
	// Continues is set for a stream that has begun: while no other member of its version
	// is left, it may go to one whose shutdown was announced shortly before.
	Continues bool
	// TimeLeft is how long the caller waits for an answer at most.
	TimeLeft time.Duration
	// ServiceTime is the expected duration of the request at an idle member.
	ServiceTime time.Duration

	// What follows affects the choice only for services whose upstreams report a pace.

	PromptTokens int    // 0: unknown, or not a request to a model
	Prompt       []Part // leading parts of the prompt, in order
	// OutputTokens is the expected number of generated tokens; 0: unknown.
	OutputTokens int
	EventTokens  int // tokens of one event of a stream
	// CacheTokens is the memory of an upstream for running requests and cached prompts;
	// 0: unknown.
	CacheTokens int

	LaterTurn    bool   // the conversation has earlier turns
	Conversation uint64 // PartKey of its id; 0: none
	// Partial is set if the response begins in the middle of a stream: its times are not
	// those of a whole one.
	Partial bool

	home *Member // home of the conversation; set by Select
}

// Components of the expected cost of a member, in ms. Those of distance, failures and
// warm-up are also part of the score of services that report a pace.
const (
	otherDomainCost = 1.0  // round trip between failure domains
	otherRegionCost = 60.0 // round trip between regions, whose link has little bandwidth and is billed
	affinityBonus   = 12.0 // prompt processing saved by the cache of the member
	failureCost     = 900.0
	warmupCost      = 30.0
	jitterCost      = 1.5 // spreads processes that observe equal members
	// loadCost is the cost of a member with all slots in use and no queue. Steps take
	// longer the more requests share them.
	loadCost = 20.0
)

// Pick returns the member with the lowest expected cost, or nil if none may be used. If
// all candidates are leaving or suspended, it returns the leaving one that announced
// its shutdown last, within the grace period, or else the suspended one whose
// suspension ends first. A member with a rate limit is a candidate only while this
// process has a permit for it.
func (f *Fleet) Pick(r Request, now time.Time) *Member { return f.Select(&r, now) }

// Select is like Pick, but also sets the home of the conversation in the request, which StartWork
// needs afterwards.
func (f *Fleet) Select(r *Request, now time.Time) *Member {
	var offered supply
	best, others := f.best(r, &offered, now)
	chosen := cmp.Or(best, others.leaving, others.suspended)
	if offered.limited {
		f.limits.AddDemand()
	}
	if chosen == nil || !f.admit(*r, offered, now) {
		return nil
	}
	return chosen
}

// best returns the usable member with the lowest expected cost, nil if there is none, and
// the last resorts.
func (f *Fleet) best(r *Request, offered *supply, now time.Time) (*Member, lastResorts) {
	if md := f.timeModel(r); md != nil {
		if m := f.bestOfSample(md, r, now); m != nil {
			return m, lastResorts{}
		}
		return f.bestByTime(md, r, offered, now)
	}
	var best *Member
	var others lastResorts
	bestCost := math.Inf(1)
	i := 0
	for _, m := range f.byService[r.Service] {
		v := f.filter(m, r, offered, now)
		if v != excluded {
			i++
		}
		if v != usable {
			others.add(f, m, v, now)
			continue
		}
		if cost := f.cost(m, *r, now) + jitterCost*tieBreak(r.Draw, i); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best, others
}

// HasAlternative reports whether a request has a candidate that accepts attempts now.
// While some members are limited, it must also have a free slot: an attempt that is
// repeated in another queue only adds work.
func (f *Fleet) HasAlternative(r Request, now time.Time) bool {
	limited, found, free := false, false, false
	for _, m := range f.byService[r.Service] {
		limited = limited || m.State == Ready && m.Limited()
		if m.ShuttingDown() || m.Suspended(now) || !f.candidate(m, &r, now) {
			continue
		}
		if m.Limited() && f.limits.Permits(m.limit, now) == 0 {
			continue
		}
		found = true
		free = free || f.load(m, now) < float64(max(m.Slots, 1))
	}
	return free || found && !limited
}

// tieBreak maps a random draw to a different value in [0, 1) for each candidate.
func tieBreak(draw float64, i int) float64 {
	_, frac := math.Modf(draw*float64(31+i*7) + draw)
	return frac
}

// cost returns the expected cost of running a request at a member, in ms.
func (f *Fleet) cost(m *Member, r Request, now time.Time) float64 {
	cost := failureCost * m.currentFailureRate(now)
	if m.FailureDomain != f.domain {
		cost += otherDomainCost
		if f.regionOf[m.FailureDomain] != f.regionOf[f.domain] {
			cost += otherRegionCost
		}
	}
	if m.ID == r.Affinity {
		cost -= affinityBonus
	}
	if m.WarmupRemaining > 0 {
		cost += warmupCost
	}
	slots := float64(max(m.Slots, 1))
	load := f.load(m, now)
	cost += loadCost * math.Min(load/slots, 1)
	if queued := load + 1 - slots; queued > 0 {
		cost += queued / slots * max(float64(r.ServiceTime.Milliseconds()), 1)
	}
	return cost
}

// load estimates the number of requests at a member: those of this process, plus those
// of other processes as last reported, whose weight decays with age.
func (f *Fleet) load(m *Member, now time.Time) float64 {
	load := float64(m.inFlight)
	if !m.loadReportedAt.IsZero() {
		age := now.Sub(m.loadReportedAt)
		load += m.otherRequests * math.Exp2(-float64(age)/float64(loadHalfLife))
	}
	return load
}

// Busy reports whether the estimated load of a member exceeds its slots.
func (f *Fleet) Busy(m *Member, now time.Time) bool {
	return f.load(m, now) > float64(max(m.Slots, 1))
}
