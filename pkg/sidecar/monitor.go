package sidecar

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
)

const (
	// probeFailures is the number of failed health checks in a row after which
	// an upstream that still accepts connections counts as unreachable.
	probeFailures = 2
	// crashMemory is the number of crash reports kept for peers that connect
	// later.
	crashMemory = 16
	// crashReportAge is how long a crash is reported to peers that connect.
	crashReportAge = time.Minute
	// verdictTimeout bounds the search for the reason of a broken connection.
	verdictTimeout = 1500 * time.Millisecond
	verdictRetry   = 50 * time.Millisecond
	// crashReportWait bounds the wait for peers to take a crash report before
	// the failures of the attempts on board are sent.
	crashReportWait = 100 * time.Millisecond
	// tickInterval drives the terms of pins and results.
	tickInterval = 250 * time.Millisecond
)

// engineInfo is the answer of GET /v1/info.
type engineInfo struct {
	Incarnation   uint64   `json:"incarnation"`
	Models        []string `json:"models"`
	Adapters      []string `json:"adapters"`
	Slots         int64    `json:"slots"`
	CacheTokens   int64    `json:"cache_tokens"`
	PrefillRate   float64  `json:"prefill_rate"`
	DecodeRate    float64  `json:"decode_rate"`
	ChecksFencing bool     `json:"checks_fencing"`
}

type crashReport struct {
	number uint64
	at     time.Time
	crash  *peerv1.Crash
}

// monitor watches the upstream's health and load and drives the terms.
func (s *Sidecar) monitor() {
	probe := time.NewTicker(s.cfg.ProbeInterval)
	defer probe.Stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	// Pins that a failed release or a lost order left behind are found here.
	reconcile := time.NewTicker(s.cfg.PinTerm)
	defer reconcile.Stop()
	failures := 0
	look := func() {
		if err := s.probe(s.ctx); err != nil {
			if failures++; failures >= probeFailures || refused(err) {
				s.setReachable(false, err)
			}
			return
		}
		failures = 0
		s.setReachable(true, nil)
		s.readLoad()
	}
	look()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-probe.C:
			look()
		case <-tick.C:
			s.step(decide.Tick{At: now()})
		case <-reconcile.C:
			if s.cfg.Upstream.Kind == core.KindModel {
				s.background(func() { s.listHeld(false) })
			}
		}
	}
}

// probe looks at the upstream on a new connection and reports a crash when it
// refuses the connection or answers as another incarnation.
func (s *Sidecar) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProbeTimeout)
	defer cancel()
	var err error
	var info engineInfo
	if s.cfg.Upstream.Kind == core.KindModel {
		err = s.up.getJSON(ctx, s.up.fresh, "/v1/info", &info)
	} else {
		err = s.up.getJSON(ctx, s.up.fresh, "/healthz", nil)
		info.Incarnation = s.serviceIncarnation()
	}
	switch {
	case err == nil:
		s.setInfo(&info)
		s.step(decide.UpstreamUp{At: now(), Incarnation: info.Incarnation})
	case refused(err):
		s.met.probeFailures.Inc()
		s.step(decide.UpstreamDown{At: now()})
	case s.ctx.Err() == nil:
		s.met.probeFailures.Inc()
	}
	return err
}

// serviceIncarnation numbers the starts of a service, which has no incarnation
// of its own. The numbers grow across restarts of the sidecar, because entries
// ignore the report of a crash that is not newer than the last one.
func (s *Sidecar) serviceIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, up := s.state.Upstream()
	if !up {
		n = max(n+1, uint64(time.Now().UnixMilli()))
	}
	return n
}

// verdict looks at the upstream after a connection broke. A dying process still
// accepts connections and resets them, so such an answer is asked for again.
func (s *Sidecar) verdict(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	for {
		err := s.probe(ctx)
		if err == nil || refused(err) || ctx.Err() != nil {
			return err
		}
		timer := time.NewTimer(verdictRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// causeAfterVerdict returns why an attempt was broken, or nil if only its
// connection was lost. Another goroutine may have seen the crash first and be
// about to break the attempt, which is waited for.
func (s *Sidecar) causeAfterVerdict(ctx context.Context, c *call) error {
	s.mu.Lock()
	reported := s.state.CrashReported(core.AttemptID(c.d.Attempt))
	s.mu.Unlock()
	if reported && ctx.Err() == nil {
		timer := time.NewTimer(crashReportWait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			return errCrashed
		}
	}
	return context.Cause(ctx)
}

func (s *Sidecar) setInfo(i *engineInfo) {
	if s.cfg.Upstream.Kind != core.KindModel {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &peerv1.UpstreamInfo{
		Id: s.cfg.Upstream.ID, Kind: string(s.cfg.Upstream.Kind), Models: i.Models, Adapters: i.Adapters,
		Incarnation: i.Incarnation, Slots: i.Slots, CacheTokens: i.CacheTokens, PrefillRate: i.PrefillRate,
		DecodeRate: i.DecodeRate, ChecksOrders: s.cfg.Upstream.ChecksOrders,
		ChecksFencing: s.cfg.Upstream.ChecksFencing || i.ChecksFencing,
	}
	if !proto.Equal(next, s.info) {
		s.info = next
		s.infoVersion++
	}
}

func (s *Sidecar) setReachable(up bool, cause error) {
	s.mu.Lock()
	changed := s.reachable != up
	s.reachable = up
	s.mu.Unlock()
	if !changed {
		return
	}
	if up {
		s.log.Info("upstream is reachable", "step", "probe", "peer", s.cfg.Upstream.URL)
	} else {
		s.log.Warn("upstream is not reachable", "step", "probe", "peer", s.cfg.Upstream.URL, "err", cause)
	}
	s.pushHeartbeats()
}

// readLoad takes the upstream's lagged load report. The load of a service is
// what this sidecar has under way.
func (s *Sidecar) readLoad() {
	if s.cfg.Upstream.Kind != core.KindModel {
		s.mu.Lock()
		s.load = &peerv1.Load{MeasuredUnixMs: time.Now().UnixMilli(), Running: int64(s.state.Running())}
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.ProbeTimeout)
	defer cancel()
	var l core.Load
	if err := s.up.getJSON(ctx, s.up.pooled, "/v1/load", &l); err != nil {
		s.met.probeFailures.Inc()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = &peerv1.Load{
		MeasuredUnixMs: l.Measured.UnixMilli(), Running: int64(l.Running), Waiting: int64(l.Waiting),
		QueuedTokens: l.QueuedTokens, CacheUsed: l.CacheUsed, CachePinned: l.CachePinned,
	}
}

// upstreamCrashed breaks the attempts on board and reports their fingerprints.
// The owners hear of the failures after the report: an entry that knows of the
// crash does not have to guess which one broke its attempt.
func (s *Sidecar) upstreamCrashed(e decide.ReportCrash) {
	s.met.crashes.Inc()
	reported := make(chan struct{})
	s.mu.Lock()
	for _, id := range e.Attempts {
		if c := s.calls[id]; c != nil {
			c.crash(reported)
		}
	}
	s.cache.lost()
	_, s.reachable = s.state.Upstream()
	number := uint64(1)
	if n := len(s.crashes); n > 0 {
		number = s.crashes[n-1].number + 1
	}
	s.crashes = append(s.crashes, crashReport{
		number: number, at: time.Now(),
		crash: &peerv1.Crash{Incarnation: e.Incarnation, Fingerprints: e.Fingerprints},
	})
	if n := len(s.crashes); n > crashMemory {
		s.crashes = slices.Clone(s.crashes[n-crashMemory:])
	}
	s.mu.Unlock()
	s.log.Warn("upstream crashed", "step", "crash", "peer", s.cfg.Upstream.URL, "incarnation", e.Incarnation,
		"on_board", len(e.Attempts), "fingerprints", len(e.Fingerprints))
	told := s.pushHeartbeats()
	s.background(func() {
		defer close(reported)
		timer := time.NewTimer(crashReportWait)
		defer timer.Stop()
		select {
		case <-told:
		case <-timer.C:
		}
	})
}
