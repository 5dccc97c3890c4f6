package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/origin"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

// Reasons for refusing a request that takes up a stream.
const (
	whyNoUpstream     = "no upstream left"
	whyOriginUnknown  = "version of the stream not known"
	whyVersionGone    = "no upstream of the stream's version"
	whyServiceChanged = "the route no longer leads to the stream's service"
	// A turn whose first events only its caller has would be stored without them.
	whyEventsNotKept = "the first events of the turn are not recorded"
	whyNoEventMemory = "no memory for the first events of the turn"
)

// streamKeyPrefix precedes the id of a stream in the ledger key of streams without a
// token budget.
const streamKeyPrefix = "stream/"

// takesUp reports whether the request takes up a stream that began in an earlier request
// of the caller.
func (c *call) takesUp() bool { return c.req.ResumedID != "" || c.req.LastEventID != "" }

// keepsOrigin reports whether the stream of this request may be continued, by this edge
// or by its caller, and so needs an origin.
func (c *call) keepsOrigin() bool { return c.route.Resumable && !c.takesUp() }

// hasBudget reports whether the tokens of the request are reserved in the ledger.
func (c *call) hasBudget() bool { return c.req.Program != "" && c.req.TokenBudget > 0 }

// ledgerKey returns the key under which the request's usage and origin are recorded: that
// of its program, or of its stream if it has no budget.
func (c *call) ledgerKey() string {
	switch {
	case c.hasBudget():
		return c.req.Program
	case c.req.ResumedID != "":
		return streamKeyPrefix + c.req.ResumedID
	}
	return streamKeyPrefix + c.req.ID
}

// fleetRequest returns the properties of the request that decide which members it may go
// to.
func (c *call) fleetRequest(excluded func(id string) bool) fleet.Request {
	return fleet.Request{
		Service: c.service, Excluded: excluded,
		Bound: c.binding.Bound(), Version: c.binding.Origin().Version, Continues: c.binding.Begun(),
	}
}

// bindFirst binds a new stream to the version of the upstream that suits it best. It
// reports false if there is no upstream.
func (c *call) bindFirst() bool {
	return c.bind(func(f *fleet.Fleet, r fleet.Request, now time.Time) (string, bool) { return f.FirstVersion(r, now) })
}

// bindToOther binds a stream that has not begun to another version than before, of an
// upstream that accepts attempts now. It reports false if there is none.
func (c *call) bindToOther() bool {
	return c.bind(func(f *fleet.Fleet, r fleet.Request, now time.Time) (string, bool) {
		version, ok := f.PreferredVersion(r, now)
		return version, ok && (!c.binding.Bound() || version != c.binding.Origin().Version)
	})
}

// bind binds a stream that has not begun to the version that choose returns for it.
func (c *call) bind(choose func(*fleet.Fleet, fleet.Request, time.Time) (string, bool)) bool {
	req := fleet.Request{Service: c.service, Draw: rand.Float64(), Excluded: c.tried, ServiceTime: c.route.LatencyObjective}
	if key := c.affinityKey(); key != "" {
		req.Affinity, _ = c.e.affinity.Get(key)
	}
	c.describeWork(&req)
	version, ok := "", false
	c.e.withFleet(func(f *fleet.Fleet) { version, ok = choose(f, req, time.Now()) })
	return ok && c.binding.Bind(origin.Origin{Service: c.service, Version: version})
}

// tried reports whether an attempt was made at an upstream.
func (c *call) tried(id string) bool { return c.triedUpstreams[id] }

// expectedRun returns the start of the run that must get the request, in Unix ms; 0: any
// may. A stream must not begin or go on at an upstream that has started again, maybe with
// another version, and whose new registration this edge has not seen: the record of a new one
// would be wrong.
func (c *call) expectedRun(m *fleet.Member) int64 {
	if !c.table.Service(c.service).ReportsState {
		return 0
	}
	if c.binding.Bound() {
		return m.StartedUnixMs
	}
	return 0
}

// recordOtherRun records that the upstream of a member has started again without a new
// registration.
func (e *Edge) recordOtherRun(m *fleet.Member, startedUnixMs int64, id string) {
	var ended []endedRun
	e.withFleet(func(f *fleet.Fleet) {
		if u, ok := f.RecordOtherRun(m, startedUnixMs); ok {
			ended = endedRuns(poison.Replaced, u)
		}
	})
	if len(ended) == 0 {
		return
	}
	e.metrics.otherRun()
	e.logger.Warn("upstream has started again without a new registration", "upstream", m.ID, "address", m.Address,
		"born", startedUnixMs, "registered", m.StartedUnixMs, "version", m.SoftwareVersion, "id", id)
	e.suspects.runsEnded(ended...)
}

// recordedOrigin returns the origin to write to the ledger; nil: none is needed. Also that
// the upstream names no version is recorded: another edge may list other upstreams.
func (c *call) recordedOrigin() *peerv1.Origin {
	if !c.binding.Bound() || c.takesUp() || c.req.ID == "" {
		return nil
	}
	o := c.binding.Origin()
	return &peerv1.Origin{Service: o.Service, Version: o.Version, Revision: c.binding.Revision()}
}

// mayAssumeUnversioned reports whether the upstreams of the service give no versions and
// no record can tell more, because the caller names no stream or there is no storage
// process. An edge that has lost the store and its peers may not have heard of a release,
// so it assumes nothing.
func (c *call) mayAssumeUnversioned() bool {
	if c.req.ResumedID != "" && len(c.e.view.Storage()) > 0 || !c.e.view.live() {
		return false
	}
	unversioned := false
	c.e.withFleet(func(f *fleet.Fleet) { unversioned = f.Unversioned(c.service) })
	return unversioned
}

// beginOrigin binds a new stream. Without a budget its origin is recorded beside the
// first attempt: a stream whose record is missing is not taken up.
func (c *call) beginOrigin() {
	if !c.keepsOrigin() || !c.bindFirst() || c.hasBudget() || c.recordedOrigin() == nil {
		return
	}
	c.e.origins.Add(c.req.ID, c.binding.Origin())
	if len(c.e.view.Storage()) == 0 {
		return
	}
	rec := c.usage(0, true)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitRetryTimeout)
		defer cancel()
		if err := c.e.ledger.Write(ctx, rec.GetProgram(), []*peerv1.LedgerRecord{usageRecord(rec)}); err != nil {
			c.e.logger.Warn("origin of a stream not recorded", "id", c.req.ID, "err", err)
		}
	}()
}

// moveOrigin binds a stream that has not begun to another version, because no upstream of
// the current one is left, and records it before anything of it is delivered: a caller
// would take the stream up at the version of an older record.
func (c *call) moveOrigin() bool {
	if !c.route.Resumable || c.binding.Begun() || c.takesUp() {
		return false
	}
	from := c.binding.Origin().Version
	if !c.bindToOther() {
		return false
	}
	err := c.writeOrigin()
	c.e.metrics.originMoved(err)
	c.e.logger.Info("stream moves to another version before its first event", "id", c.req.ID, "from", from, "to", c.binding.Origin().Version, "err", err)
	return err == nil
}

// writeOrigin records the current origin at a majority of the storage processes.
func (c *call) writeOrigin() error {
	if c.recordedOrigin() == nil {
		return nil
	}
	if !c.hasBudget() {
		c.e.origins.Add(c.req.ID, c.binding.Origin())
		if len(c.e.view.Storage()) == 0 {
			return nil // nothing was recorded
		}
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), earlier(c.deadline, time.Now().Add(ledgerTimeout)))
	defer cancel()
	rec := c.usage(c.req.MaxTokens, false)
	if !c.hasBudget() {
		rec = c.usage(0, true)
	}
	return c.e.ledger.Write(ctx, rec.GetProgram(), []*peerv1.LedgerRecord{usageRecord(rec)})
}

// continueOrigin binds a request that takes up a stream to the origin of the stream.
// recorded is the origin that the ledger returned. It returns why the request must be
// refused; empty: it is bound.
func (c *call) continueOrigin(recorded *peerv1.Origin) (refusal string) {
	k := origin.Knowledge{}
	if recorded != nil {
		k.Recorded = &origin.Origin{Service: recorded.GetService(), Version: recorded.GetVersion()}
	}
	if o, ok := c.e.origins.Get(c.req.ResumedID); ok {
		k.Local = &o
	}
	if c.mayAssumeUnversioned() {
		k.Unversioned = &origin.Origin{Service: c.service}
	}
	o, source := k.Resolve()
	c.e.metrics.streamTakenUp(source.String())
	c.e.logger.Info("stream taken up", "id", c.req.ID, "resumes", c.req.ResumedID, "after_event", c.req.LastEventID,
		"origin", source, "service", o.Service, "version", o.Version, "view_live", c.e.view.live())
	if source == origin.Unknown {
		return whyOriginUnknown
	}
	if !c.route.HasTarget(o.Service) {
		return whyServiceChanged
	}
	c.service = o.Service
	c.binding.Continue(o)
	return ""
}

// lookUpStream asks the ledger what is recorded of a stream without a budget, unless this edge
// knows its origin and the events are not needed. The ledger reads what a reservation returns,
// so this one is empty.
func (c *call) lookUpStream(ctx context.Context) (ledger.Reservation, error) {
	known := c.e.origins.Contains(c.req.ResumedID) && !c.route.KeepsHistory
	if c.req.ResumedID == "" || known || len(c.e.view.Storage()) == 0 {
		return ledger.Reservation{}, nil
	}
	return c.e.ledger.Reserve(ctx, c.usage(0, true), 0, 0, c.resumedKey())
}

// resumedKey returns the key of the attempt that began the stream which the request takes
// up; 0: it names none.
func (c *call) resumedKey() uint64 {
	if c.req.ResumedID == "" {
		return 0
	}
	return ledger.AttemptKey(c.req.ResumedID)
}
