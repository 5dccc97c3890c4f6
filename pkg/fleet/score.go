package fleet

import "time"

// Score is the expected time to finish a request at a member, in ms, by its parts.
type Score struct {
	Queue    float64 // until a slot is free
	Ahead    float64 // reading of the prompts that come before
	Prefill  float64 // the part of the prompt that is probably not cached
	Decode   float64 // generating the output, or the whole time of a plain request
	Batch    float64 // delay by the prompts of others during Decode
	Delay    float64 // caused by the prompt to the requests that run there
	Memory   float64 // preemption of another request if this one does not fit
	Distance float64 // round trip
	Failure  float64
	Warmup   float64
	Pace     float64 // factor that the times of work already include

	read int // prompt tokens to read
}

// Total returns the expected time to finish.
func (s *Score) Total() float64 {
	return s.Queue + s.Ahead + s.Prefill + s.Decode + s.Batch + s.Delay + s.Memory + s.Distance + s.Failure + s.Warmup
}

const (
	// delayWeight is the weight of the delay that a prompt causes to the requests that run
	// at a member, beside the time of the request itself. It is more than 1 since a prompt
	// also delays the requests that arrive while it is read, and evicts cached prompts. With a
	// weight below 1, long prompts are read where short ones wait for their first event.
	delayWeight = 2.0
	// loadSpread is the approximate error of the estimated number of requests at a member. No
	// wait for a slot is expected only if the estimate is that much below the slots.
	loadSpread = 2.0
	// averageLeft is the share of its work that a running request has left on average.
	averageLeft = 0.5
	// minShare is the smallest share of a cache that is assumed to be filled by this process.
	minShare = 0.02
)

// score returns the expected time of a request at a member. It allocates nothing.
func (f *Fleet) score(md *model, m *Member, r *Request, now time.Time) Score {
	var unknown estimate
	e := m.est
	if e == nil {
		e = &unknown
	}
	at, p := f.moment(now), e.pace.now(now)
	slots := float64(max(m.Slots, 1))
	others := f.othersAt(md, m, slots, now)
	load := float64(m.inFlight) + others
	s := Score{
		Pace: p, Distance: m.distance, Failure: failureCost * m.currentFailureRate(now),
	}
	if m.WarmupRemaining > 0 {
		s.Warmup = warmupCost
	}
	if r.PromptTokens == 0 {
		s.Decode = p * md.duration.value
		s.Queue = p * overload(load, slots) * averageLeft * md.duration.value / slots
		return s
	}
	output := md.outputTokens(r)
	room, over := md.memory(e, r, others, output)
	cached := float64(f.prefixes.cached(&e.cache, r.Prompt, room))
	if m == r.home {
		cached = max(cached, md.homeShare(r)*float64(r.PromptTokens))
	}
	s.read = max(r.PromptTokens-int(cached), 1)
	prefill, decode := md.readTime*float64(s.read), md.step.value*output
	meanPrefill := md.readTime * md.read.value
	mean := md.mean()
	running := min(load, slots)

	left := e.remaining(at, p) + others*averageLeft*mean
	s.Queue = p * overload(load, slots) * min(left/max(load, 1), mean) / slots
	s.Ahead = p * (md.readTime*e.toRead(md, at, p) + min(others, slots)*meanPrefill*meanPrefill/(2*max(mean, 1)))
	s.Prefill = p * prefill
	s.Decode = p * decode
	s.Batch = p * running * meanPrefill * decode / max(mean, 1)
	s.Delay = p * delayWeight * prefill * running
	if over > 0 {
		// Another request is read again, or this one waits for its end.
		s.Memory = p * min(over, 1) * (mean + md.readTime*md.size.value)
	}
	return s
}

// mean returns the time of an average request to a model on an idle member.
func (md *model) mean() float64 {
	return md.readTime*md.read.value + md.step.value*md.output.value
}

// othersAt estimates the requests of other processes at a member. The older a report is, the
// more the average of the service counts instead.
func (f *Fleet) othersAt(md *model, m *Member, slots float64, now time.Time) float64 {
	usual := md.others.value * slots
	reported := min(m.otherRequests, maxQueueFactor*slots)
	return usual + decay(m.loadReportedAt, now, loadHalfLife)*(reported-usual)
}

// overload returns how many requests a new one probably has to wait for, given the
// estimated load.
func overload(load, slots float64) float64 {
	d := load + 1 - slots
	switch {
	case d >= loadSpread:
		return d
	case d <= -loadSpread:
		return 0
	}
	return (d + loadSpread) * (d + loadSpread) / (4 * loadSpread)
}

// memory returns the tokens of this process's prompts that may be cached at a member, and
// by how much of its own size a new request exceeds the memory.
func (md *model) memory(e *estimate, r *Request, others, output float64) (room, over float64) {
	if r.CacheTokens <= 0 {
		return unlimitedRoom, 0
	}
	used := e.tokens + others*md.size.value
	need := float64(r.PromptTokens) + output
	free := float64(r.CacheTokens) - used
	share := 1.0
	if md.ownShare.known() {
		share = max(md.ownShare.value, minShare)
	}
	return max(free, 0) * share, (need - free) / need
}

// unlimitedRoom is the room of a cache whose size is not known, in tokens.
const unlimitedRoom = 1e12

// distanceTo returns the round trip to a failure domain, in ms.
func (f *Fleet) distanceTo(domain string) float64 {
	switch {
	case domain == f.domain:
		return 0
	case f.regionOf[domain] == f.regionOf[f.domain]:
		return otherDomainCost
	}
	return otherDomainCost + otherRegionCost
}
