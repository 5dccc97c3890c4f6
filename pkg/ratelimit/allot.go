package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// grantPool is the part of the entries' equal shares that a coordinator distributes
	// by demand.
	grantPool = 0.8
	// reportTTL and idleReportTTL are how long a report counts, while its entry knows
	// of a limit and otherwise.
	reportTTL     = 3 * time.Second
	idleReportTTL = 12 * time.Second
	// removeAfter is the silence after which an entry counts as removed, although it is
	// still registered.
	removeAfter = time.Minute
	// demandWeight is the weight of the newest report in an entry's demand.
	demandWeight = 0.3
	// evenWeight is the part of the grants that is distributed evenly, so that an entry
	// whose first requests come has some.
	evenWeight = 0.1
	// Grants stay as they are while no entry's part differs from what it should be by
	// more than toleratedShift and toleratedChange of it: each change is in force at
	// different times on different entries.
	toleratedShift  = 0.05
	toleratedChange = 0.25
	// warmup is how long a new coordinator distributes limits evenly: it does not know
	// yet who needs them, and entries may still use what another one granted.
	warmup = 2 * time.Second
	// planInterval is how long computed shares are used for replies.
	planInterval = 200 * time.Millisecond
)

// Report is what an entry tells the coordinator.
type Report struct {
	Entry  string // unique among the entries
	Region string
	Active bool    // the entry knows of a limit
	Demand float64 // requests a second for services with limited upstreams
}

// Allotter is the coordinator's part: it divides limits among the entries. What it
// distributes is what the entries that report to it would have without a coordinator,
// so that several coordinators that do not know of each other distribute no more than
// the whole limit. It is not safe for concurrent use.
type Allotter struct {
	reports map[string]*reported
	grants  map[string][]grant // by region, sorted by entry
	// began is the start of the current series of reports, recordedAt its newest one.
	began, recordedAt time.Time

	plan   map[string]Shares // by entry
	planAt time.Time
}

type reported struct {
	Report
	at time.Time
}

// counts reports whether a report is recent.
func (r *reported) counts(now time.Time) bool {
	if r.Active {
		return now.Sub(r.at) <= reportTTL
	}
	return now.Sub(r.at) <= idleReportTTL
}

// grant is the part of a region's grants that one entry has.
type grant struct {
	entry  string
	weight float64 // the weights of a region add up to 1
}

// NewAllotter returns an allotter without reports.
func NewAllotter() *Allotter {
	return &Allotter{reports: make(map[string]*reported), grants: make(map[string][]grant)}
}

// Record stores a report.
func (a *Allotter) Record(r Report, now time.Time) {
	if now.Sub(a.recordedAt) > reportTTL {
		a.began = now
	}
	a.recordedAt = now
	if old := a.reports[r.Entry]; old != nil && old.counts(now) {
		r.Demand = old.Demand*(1-demandWeight) + r.Demand*demandWeight
	}
	a.reports[r.Entry] = &reported{r, now}
}

// current removes entries that stopped reporting and returns the number of recent reports.
func (a *Allotter) current(now time.Time) int {
	n := 0
	for name, r := range a.reports {
		if now.Sub(r.at) > removeAfter {
			delete(a.reports, name)
		} else if r.counts(now) {
			n++
		}
	}
	return n
}

// entries returns the sorted names of the entries that may send requests: those that
// reported, and those that are registered and may not have had the time to report.
func (a *Allotter) entries(registered []string, now time.Time) []string {
	all := make(map[string]bool, len(registered))
	if now.Sub(a.began) <= removeAfter {
		for _, name := range registered {
			all[name] = true
		}
	}
	for name := range a.reports {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Shares returns the shares of an entry that has reported. registered names all entries
// that the coordinator knows of, and regions all regions with upstreams; registered is
// only called when new shares are computed.
func (a *Allotter) Shares(entry string, registered func() []string, regions []string, now time.Time) Shares {
	s, ok := a.plan[entry]
	if !ok || now.Sub(a.planAt) >= planInterval {
		a.makePlan(registered(), regions, now)
		s = a.plan[entry]
	}
	return s
}

// makePlan computes the shares of all entries.
func (a *Allotter) makePlan(registered, regions []string, now time.Time) {
	reporting := a.current(now)
	all := a.entries(registered, now)
	a.plan, a.planAt = make(map[string]Shares, len(all)), now
	warm := now.Sub(a.began) >= warmup
	const even = 1 - grantPool
	for i, entry := range all {
		s := EqualShares(i, len(all))
		if warm {
			s.Base = Span{s.Base.From * even, s.Base.To * even}
			s.Grants = make(map[string]Span, len(regions))
		}
		a.plan[entry] = s
	}
	if !warm {
		return
	}
	pool := grantPool * float64(reporting) / float64(len(all))
	for _, region := range regions {
		from := 0.0
		for _, g := range a.regionGrants(region, now) {
			a.plan[g.entry].Grants[region] = Span{even + from*pool, even + (from+g.weight)*pool}
			from += g.weight
		}
	}
}

// regionGrants returns the grants of a region.
func (a *Allotter) regionGrants(region string, now time.Time) []grant {
	if wanted := a.wanted(region, now); !stillFits(a.grants[region], wanted) {
		a.grants[region] = wanted
	}
	return a.grants[region]
}

// wanted returns the grants of a region by the current demand. The upstreams of a region
// without entries are for all entries.
func (a *Allotter) wanted(region string, now time.Time) []grant {
	var local, list []*reported
	for _, r := range a.reports {
		if !r.counts(now) {
			continue
		}
		list = append(list, r)
		if r.Region == region {
			local = append(local, r)
		}
	}
	if len(local) > 0 {
		list = local
	}
	slices.SortFunc(list, func(x, y *reported) int { return cmp.Compare(x.Entry, y.Entry) })
	sum := 0.0
	for _, r := range list {
		sum += r.Demand
	}
	out := make([]grant, 0, len(list))
	for _, r := range list {
		even := 1 / float64(len(list))
		weight := even
		if sum > 0 {
			weight = evenWeight*even + (1-evenWeight)*r.Demand/sum
		}
		out = append(out, grant{r.Entry, weight})
	}
	return out
}

// stillFits reports whether grants are for the right entries and close enough to what
// is wanted.
func stillFits(current, wanted []grant) bool {
	return slices.EqualFunc(current, wanted, func(c, w grant) bool {
		shift := max(c.weight-w.weight, w.weight-c.weight)
		return c.entry == w.entry && shift <= toleratedShift+toleratedChange*c.weight
	})
}
