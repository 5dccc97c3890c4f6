package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

const (
	// limitReportInterval is the time between two reports while a rate limit is in
	// force.
	limitReportInterval = time.Second
	// limitIdleInterval is the time between two reports while none is known.
	limitIdleInterval = 5 * time.Second
	// limitReportDelay collects new limits into one report.
	limitReportDelay = 30 * time.Millisecond
	// limitReportTimeout limits one report: a few round trips between regions.
	limitReportTimeout = 300 * time.Millisecond
	// limitReportTries is the number of edges that a report is offered to.
	limitReportTries = 4
	// sharesLife is how long shares are used without another reply.
	sharesLife = 3 * time.Second
	// An edge that did not answer is left out for coordinatorPause, which doubles with
	// each failure up to maxCoordinatorPause.
	coordinatorPause    = 2 * time.Second
	maxCoordinatorPause = 5 * time.Minute
)

// limitExchanger divides rate limits among the edges. All edges report to the first
// edge, in the order of addresses, that they reach; it is the coordinator.
type limitExchanger struct {
	e     *Edge
	wake  chan struct{} // a limit has changed
	epoch uint64        // differs between starts of processes: versions begin anew

	mu          sync.Mutex
	allotter    *ratelimit.Allotter
	coordinator string // address; empty: none

	// The following fields belong to the goroutine of run.

	failures    map[string]failedCoordinator
	peerEpoch   uint64 // of the coordinator
	peerVersion uint64 // of the coordinator's changes that were received
	sentVersion uint64 // of the own changes that the coordinator has
	sharedAt    time.Time
	reportedAt  time.Time
}

// failedCoordinator is an edge that did not answer.
type failedCoordinator struct {
	until time.Time
	pause time.Duration
}

func newLimitExchanger(e *Edge) *limitExchanger {
	return &limitExchanger{
		e: e, wake: make(chan struct{}, 1), epoch: rand.Uint64() | 1, allotter: ratelimit.NewAllotter(),
		failures: make(map[string]failedCoordinator), reportedAt: time.Now(),
	}
}

// run reports until the context is done.
func (x *limitExchanger) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-x.e.view.loaded:
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
			time.Sleep(limitReportDelay)
		case <-timer.C:
		}
		active := x.reportOnce(ctx)
		interval := limitIdleInterval
		if active {
			interval = limitReportInterval
		}
		timer.Reset(interval*3/4 + rand.N(interval/2))
	}
}

// reportOnce reports to the coordinator and applies its reply. It returns whether a limit
// is in force.
func (x *limitExchanger) reportOnce(ctx context.Context) (active bool) {
	now := time.Now()
	report, version := x.report(now)
	self := x.e.settings.PeerAddress()
	tries := 0
	for _, address := range x.registered() {
		if address == self {
			x.apply(x.handle(report, now), self, version)
			return x.e.limitedCount() > 0
		}
		if now.Before(x.failures[address].until) {
			continue
		}
		if tries++; tries > limitReportTries {
			break
		}
		reply, err := x.send(ctx, address, report, version)
		if err == nil {
			delete(x.failures, address)
			x.apply(reply, address, version)
			return x.e.limitedCount() > 0
		}
		x.recordFailure(address, time.Now())
		x.e.logger.Debug("coordinator of rate limits not reached", "peer", address, "err", err)
	}
	x.expireShares(time.Now())
	return x.e.limitedCount() > 0
}

// recordFailure leaves an edge out for a while.
func (x *limitExchanger) recordFailure(address string, now time.Time) {
	pause := coordinatorPause
	if old, ok := x.failures[address]; ok {
		pause = min(2*old.pause, maxCoordinatorPause)
	}
	x.failures[address] = failedCoordinator{now.Add(pause), pause}
}

// report returns the report to the current coordinator and the version of the own
// changes up to which it goes.
func (x *limitExchanger) report(now time.Time) (*peerv1.LimitReport, uint64) {
	r := &peerv1.LimitReport{
		Entry: x.e.settings.PeerAddress(), Region: x.e.settings.Region, Epoch: x.peerEpoch, Version: x.peerVersion,
	}
	var version uint64
	x.e.withFleet(func(f *fleet.Fleet) {
		b := f.Limits()
		version = b.Version()
		r.Active = b.Active() > 0
		r.Changes = encodeLimits(b.ChangesSince(x.sentVersion), now)
		if took := now.Sub(x.reportedAt).Seconds(); took > 0 {
			r.Demand = float64(b.TakeDemand()) / took
		}
	})
	x.reportedAt = now
	return r, version
}

// send sends a report to an edge. If the edge does not know what the previous reports
// said, it sends all limits.
func (x *limitExchanger) send(ctx context.Context, address string, r *peerv1.LimitReport, version uint64) (*peerv1.LimitShares, error) {
	reply, err := askForShares(ctx, x.e, address, r)
	if err != nil || reply.GetEpoch() == r.GetEpoch() {
		return reply, err
	}
	x.e.withFleet(func(f *fleet.Fleet) { r.Changes = encodeLimits(f.Limits().ChangesSince(0), time.Now()) })
	r.Epoch, r.Version = reply.GetEpoch(), 0
	return askForShares(ctx, x.e, address, r)
}

// askForShares sends one report and waits for the reply.
func askForShares(ctx context.Context, e *Edge, address string, r *peerv1.LimitReport) (*peerv1.LimitShares, error) {
	ctx, cancel := context.WithTimeout(ctx, limitReportTimeout)
	defer cancel()
	m, err := e.transport.Ask(ctx, address, &peerv1.Envelope{Body: &peerv1.Envelope_LimitReport{LimitReport: r}})
	if err != nil {
		return nil, errors.Wrapf(err, "report rate limits to %s", address)
	}
	reply := m.GetLimitShares()
	if reply == nil {
		return nil, errors.Errorf("report rate limits to %s: unexpected reply of type %T", address, m.GetBody())
	}
	return reply, nil
}

// apply applies the reply of a coordinator to a report up to the given version of the
// own changes.
func (x *limitExchanger) apply(reply *peerv1.LimitShares, coordinator string, version uint64) {
	now := time.Now()
	if before := x.setCoordinator(coordinator); before != coordinator {
		x.e.logger.Info("coordinator of rate limits", "peer", coordinator, "before", before)
	}
	x.sharedAt = now
	x.peerEpoch, x.peerVersion, x.sentVersion = reply.GetEpoch(), reply.GetVersion(), version
	x.e.mergeLimits(reply.GetChanges(), "peer "+coordinator)
	x.e.withFleet(func(f *fleet.Fleet) { f.Limits().SetShares(decodeShares(reply), now) })
}

// expireShares replaces the shares by an even one if no coordinator has renewed them.
func (x *limitExchanger) expireShares(now time.Time) {
	if now.Sub(x.sharedAt) < sharesLife {
		return
	}
	if before := x.setCoordinator(""); before != "" {
		x.e.logger.Warn("no coordinator of rate limits, using an equal share", "before", before)
	}
	all := x.registered()
	index, _ := slices.BinarySearch(all, x.e.settings.PeerAddress())
	x.e.withFleet(func(f *fleet.Fleet) { f.Limits().SetShares(ratelimit.EqualShares(index, len(all)), now) })
}

// setCoordinator stores the coordinator's address and returns the previous one.
func (x *limitExchanger) setCoordinator(address string) (before string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	before, x.coordinator = x.coordinator, address
	return before
}

// currentCoordinator returns the coordinator's address, or an empty string.
func (x *limitExchanger) currentCoordinator() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.coordinator
}

// registered returns the sorted peer addresses of all known edges, with this one.
func (x *limitExchanger) registered() []string {
	list := append(x.e.view.otherEdges(), x.e.settings.PeerAddress())
	slices.Sort(list)
	return slices.Compact(list)
}

// handle answers a report as the coordinator.
func (x *limitExchanger) handle(r *peerv1.LimitReport, now time.Time) *peerv1.LimitShares {
	x.e.mergeLimits(r.GetChanges(), "peer "+r.GetEntry())
	reply := &peerv1.LimitShares{Epoch: x.epoch}
	since := r.GetVersion()
	if r.GetEpoch() != x.epoch {
		since = 0
	}
	x.e.withFleet(func(f *fleet.Fleet) {
		reply.Version = f.Limits().Version()
		reply.Changes = encodeLimits(f.Limits().ChangesSince(since), now)
	})
	x.mu.Lock()
	defer x.mu.Unlock()
	x.allotter.Record(ratelimit.Report{
		Entry: r.GetEntry(), Region: r.GetRegion(), Active: r.GetActive(), Demand: r.GetDemand(),
	}, now)
	shares := x.allotter.Shares(r.GetEntry(), x.registered, x.e.settings.Regions(), now)
	encodeShares(reply, shares)
	return reply
}

// mergeLimits applies what another edge observed.
func (e *Edge) mergeLimits(list []*peerv1.UpstreamLimit, source string) {
	now := time.Now()
	for _, w := range list {
		o := decodeLimit(w, now)
		var change ratelimit.Change
		e.withFleet(func(f *fleet.Fleet) { change = f.MergeLimit(o, now) })
		if change != ratelimit.Unchanged {
			e.logLimit(o.Run, o.Reading, change, source)
		}
	}
}
