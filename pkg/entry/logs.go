package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/natefinch/lumberjack.v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/eventlog"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
)

const (
	outcomesFile          = "outcomes.jsonl"
	outcomesMaxMegabytes  = 64 // the file is rotated at this size
	outcomesMaxBackups    = 8
	outcomesFlushInterval = time.Second
)

// randomSeed returns a random seed for the core, which derives attempt IDs from it.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}

// openLogs opens the event log and the outcome log in the data folder and prepares
// the recording of a trace. Without a data folder it does nothing.
func (n *Entry) openLogs() error {
	if n.cfg.DataFolder == "" {
		return nil
	}
	var err error
	n.events, err = eventlog.Create(n.cfg.DataFolder, eventlog.Header{
		Self: n.cfg.Incarnation, Region: n.cfg.Region, Seed: n.cfg.Seed,
	})
	if err != nil {
		return err
	}
	n.outcomesFile = &lumberjack.Logger{
		Filename:   filepath.Join(n.cfg.DataFolder, outcomesFile),
		MaxSize:    outcomesMaxMegabytes,
		MaxBackups: outcomesMaxBackups,
	}
	n.outcomes = report.NewWriter(n.outcomesFile)
	if n.cfg.RecordTrace > 0 {
		n.trace = newTraceRecorder(n.cfg.RecordTrace, time.Now())
	}
	return nil
}

// recordEvent appends a step of the core to the event log. A failed write does not
// stop the daemon, because the event log is used for diagnosis and not for
// recovery.
func (n *Entry) recordEvent(e core.Event, effects []core.Effect) {
	if err := n.events.Record(e, effects); err != nil {
		n.log.Warn("event not recorded", "error", err)
	}
}

// flushOutcomes flushes the outcome log at intervals.
func (n *Entry) flushOutcomes(ctx context.Context) {
	runEvery(ctx, outcomesFlushInterval, func() {
		if err := n.outcomes.Flush(); err != nil {
			n.log.Warn("outcomes not written", "error", err)
		}
	})
}

// closeLogs closes the event log and the outcome log and writes the recorded trace.
func (n *Entry) closeLogs() error {
	if n.events == nil {
		return nil
	}
	err := n.events.Close()
	for _, f := range []func() error{n.outcomes.Flush, n.outcomesFile.Close, n.writeTrace} {
		if closeErr := f(); err == nil {
			err = closeErr
		}
	}
	return errors.Wrap(err, "close event log and outcome log")
}

// recordOutcome appends the result of a call or a program to the outcome log, from
// which the burn-rate report is computed.
func (n *Entry) recordOutcome(scope report.Scope, caller, profile string, id core.ProgramID, start time.Time, refusal *core.Refusal) {
	if n.outcomes == nil {
		return
	}
	cfg, _ := n.config.distributor.Config()
	if profile == "" {
		profile = cfg.DefaultProfileName
		if st, ok := n.Program(context.Background(), id); ok && st.Profile != "" {
			profile = st.Profile
		}
	}
	e := report.Event{
		Time:      time.Now(),
		Scope:     scope,
		Caller:    caller,
		Profile:   profile,
		Class:     string(cfg.Profiles[profile].Class),
		Result:    outcomeResult(refusal),
		LatencyMs: float64(time.Since(start).Microseconds()) / 1000,
		Program:   string(id),
	}
	if refusal != nil {
		e.Cause = refusal.Code + " at " + refusal.Step
	}
	if err := n.outcomes.Write(e); err != nil {
		n.log.Warn("outcome not recorded", "error", err)
	}
}

// traceCall adds a finished call to the recorded trace.
func (n *Entry) traceCall(r *frontend.CallRequest, start time.Time, res frontend.Result) {
	if n.trace == nil {
		return
	}
	st, ok := n.Program(context.Background(), core.RootOf(r.Target))
	if !ok {
		return
	}
	profile := st.Profile
	if profile == "" {
		cfg, _ := n.config.distributor.Config()
		profile = cfg.DefaultProfileName
	}
	n.trace.recordCall(r, profile, n.cfg.Region, start, res)
}

// outcomeResult classifies a refusal for the outcome log. It counts as refused
// service if the request certainly did not run and the code is in countsAsRefused.
func outcomeResult(r *core.Refusal) report.Result {
	switch {
	case r == nil:
		return report.ResultOK
	case r.Ran == core.RanUnknown:
		return report.ResultUnknown
	case countsAsRefused[r.Code] && r.Ran == core.RanNo:
		return report.ResultRefused
	}
	return report.ResultFailed
}

// countsAsRefused lists the refusal codes that the regulator counts as refused
// service. Invalid requests, exhausted budgets and cancelled calls do not count.
var countsAsRefused = map[string]bool{
	core.CodeOverloaded:         true,
	core.CodeNoUpstream:         true,
	core.CodeDeadlineExceeded:   true,
	core.CodeNotOwner:           true,
	core.CodeJournalUnavailable: true,
	core.CodeShuttingDown:       true,
	core.CodeQuarantined:        true,
}

// latencySink is a frontend.Sink that measures the time to the first token and the
// time between tokens.
type latencySink struct {
	frontend.Sink
	n     *Entry
	start time.Time
	last  time.Time
}

// Chunk implements frontend.Sink.
func (s *latencySink) Chunk(chunk []byte) error {
	at := time.Now()
	if s.last.IsZero() {
		s.n.metrics.firstToken.Update(at.Sub(s.start).Seconds())
	} else {
		s.n.metrics.betweenTokens.Update(at.Sub(s.last).Seconds())
	}
	s.last = at
	return s.Sink.Chunk(chunk)
}
