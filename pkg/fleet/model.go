package fleet

import "time"

const (
	// minSamples is the number of measurements from which on an estimate is used.
	minSamples = 8
	// modelWeight is the weight of the newest measurement of a service: an estimate follows
	// about the last hundred.
	modelWeight = 0.01
	// regressionWeight is the weight of the newest measurement in the relation between prompt
	// and time, which has more noise.
	regressionWeight = 0.004
	// maxOutlier times the estimate is the largest value that a measurement counts as. A
	// measurement from a process that was stopped would otherwise weigh as much as a hundred
	// others.
	maxOutlier = 6.0
	// minSpread is the standard deviation of the prompt lengths, relative to their mean,
	// from which on the time of a prompt token can be separated from the constant part.
	minSpread = 0.15
)

// average is a moving average, exact for the first values.
type average struct{ value, n float64 }

func (a *average) add(x, weight float64) {
	a.n++
	a.value += max(1/a.n, weight) * (x - a.value)
}

// addBounded adds a measurement; one beyond maxOutlier times the average counts as that.
func (a *average) addBounded(x, weight float64) {
	if a.n >= minSamples {
		x = min(x, maxOutlier*a.value)
	}
	a.add(x, weight)
}

func (a *average) known() bool { return a.n >= minSamples }

// regression is a moving linear regression of y on x.
type regression struct{ x, y, xx, xy average }

func (l *regression) add(x, y float64) {
	if l.y.known() {
		y = min(y, maxOutlier*max(l.at(x), l.y.value))
	}
	l.x.add(x, regressionWeight)
	l.y.add(y, regressionWeight)
	l.xx.add(x*x, regressionWeight)
	l.xy.add(x*y, regressionWeight)
}

// slope returns the increase of y with x. If all x are about equal, it cannot be separated
// from the constant part: half of the proportion is assumed.
func (l *regression) slope() float64 {
	if l.x.value <= 0 {
		return 0
	}
	proportion := l.y.value / l.x.value
	variance := l.xx.value - l.x.value*l.x.value
	if variance < minSpread*minSpread*l.x.value*l.x.value {
		return proportion / 2
	}
	slope := (l.xy.value - l.x.value*l.y.value) / variance
	return min(max(slope, 0), proportion)
}

// at returns the expected y at x.
func (l *regression) at(x float64) float64 { return max(l.y.value+l.slope()*(x-l.x.value), 0) }

// model holds the estimates of the work of one service, from the measurements of this process at
// all its upstreams. Times are in ms at the usual pace.
type model struct {
	members [reportKinds]int // number of members by the kind of their last report

	first    regression // time to the first event without its tokens, over tokens to read
	step     average    // time of a generated token
	duration average    // of a whole request
	output   average    // tokens generated for a request
	read     average    // prompt tokens of a request that were not cached
	size     average    // prompt and output tokens of a request

	others   average // requests of other processes at a report, per slot
	ownShare average // requests of this process among all at a report

	roaming average // later turns of conversations that this process does not know

	readTime float64 // per prompt token, from first
}

// knows reports whether there are enough measurements to estimate the time of a request.
func (md *model) knows(r *Request) bool {
	if r.PromptTokens == 0 {
		return md.duration.known()
	}
	return md.first.y.known() && md.step.known()
}

// outputTokens returns the expected number of tokens that a request generates.
func (md *model) outputTokens(r *Request) float64 {
	if r.OutputTokens > 0 {
		return float64(r.OutputTokens)
	}
	return md.output.value
}

// timeModel returns the model of a request's service, or nil if the cost by counts is in force:
// the upstreams are not paced, or too little has been measured yet.
func (f *Fleet) timeModel(r *Request) *model {
	md := f.models[r.Service]
	if md == nil || !md.paced() || !md.knows(r) {
		return nil
	}
	return md
}

// reportKind is what the last load report of a member had.
type reportKind int

// Kinds of load reports.
const (
	reportsNothing reportKind = iota
	reportsCounts             // running, waiting, slots
	reportsPace               // and the pace
	reportKinds               // number of kinds
)

// paced reports whether the upstreams of the service report a pace. It is true only if more
// of them do than do not: a single one has no effect.
func (md *model) paced() bool { return md.members[reportsPace] > md.members[reportsCounts] }

// countReports records the kind of a member's last report.
func (f *Fleet) countReports(m *Member, k reportKind) {
	if m.reports == k {
		return
	}
	md := f.models[m.Service]
	if md == nil {
		md = &model{}
		f.models[m.Service] = md
	}
	md.members[m.reports]--
	md.members[k]++
	m.reports = k
}

// recordReport records what a load report says about the pace of a member.
func (f *Fleet) recordReport(m *Member, l Load, now time.Time) {
	if f.members[m.ID] != m {
		return
	}
	if l.Pace == 0 {
		f.countReports(m, reportsCounts)
		return
	}
	f.countReports(m, reportsPace)
	md, e := f.models[m.Service], f.estimate(m)
	e.pace.report(l.Pace, now)
	slots := float64(max(m.Slots, 1))
	md.others.add(min(m.otherRequests, maxQueueFactor*slots)/slots, modelWeight)
	// The request of this report is always one of this process. It is left out, since it would
	// make the share too large.
	if all := l.Running + l.Waiting - 1; all > 0 {
		md.ownShare.add(min(max(float64(m.inFlight-1)/float64(all), 0), 1), modelWeight)
	}
}

// maxQueueFactor times its slots is the largest number of requests that a member is assumed to
// have: its slots and a queue of three times as many.
const maxQueueFactor = 4.0

// maxPlaces times the slots is the largest number of running or waiting requests in a plausible
// report. Queues have three to four places for each slot.
const maxPlaces = 16

// plausible reports whether the member can have the load of a report with a pace: the number of
// slots has not grown many times, and the requests are not many times the slots.
func plausible(m *Member, l Load) bool {
	if l.Pace == 0 {
		return true
	}
	slots := max(l.Slots, m.Slots, 1)
	return (m.Slots <= 0 || l.Slots <= maxQueueFactor*m.Slots) && l.Running <= maxPlaces*slots && l.Waiting <= maxPlaces*slots
}
