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
	outcomesFile     = "outcomes.jsonl"
	outcomesMegabyte = 64 // size at which the file is rotated
	outcomesBackups  = 8
	outcomesFlush    = time.Second
)

// randomSeed returns a seed for the core, which derives attempt ids from it.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}

// openRecords opens the event log and the outcome events in the data folder.
func (n *Entry) openRecords() error {
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
		MaxSize:    outcomesMegabyte,
		MaxBackups: outcomesBackups,
	}
	n.outcomes = report.NewWriter(n.outcomesFile)
	if n.cfg.RecordTrace > 0 {
		n.trace = newTraceRecorder(n.cfg.RecordTrace, time.Now())
	}
	return nil
}

// recordEvent appends to the event log. A failed write is logged and does not
// stop the daemon: the log serves diagnosis, not recovery.
func (n *Entry) recordEvent(e core.Event, effects []core.Effect) {
	if err := n.events.Record(e, effects); err != nil {
		n.log.Warn("event not recorded", "error", err)
	}
}

// flushOutcomes writes buffered outcomes out at intervals.
func (n *Entry) flushOutcomes(ctx context.Context) {
	every(ctx, outcomesFlush, func() {
		if err := n.outcomes.Flush(); err != nil {
			n.log.Warn("outcomes not written", "error", err)
		}
	})
}

func (n *Entry) closeRecords() error {
	if n.events == nil {
		return nil
	}
	err := n.events.Close()
	for _, f := range []func() error{n.outcomes.Flush, n.outcomesFile.Close, n.writeTrace} {
		if closeErr := f(); err == nil {
			err = closeErr
		}
	}
	return errors.Wrap(err, "close records")
}

// recordOutcome writes one outcome event for the burn report.
func (n *Entry) recordOutcome(scope report.Scope, caller, profile string, id core.ProgramID, start time.Time, refusal *core.Refusal) {
	if n.outcomes == nil {
		return
	}
	cfg, _ := n.config.dist.Config()
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
		Result:    resultOf(refusal),
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

// recordCall adds a finished call to the recorded trace.
func (n *Entry) recordCall(r *frontend.CallRequest, start time.Time, res frontend.Result) {
	if n.trace == nil {
		return
	}
	st, ok := n.Program(context.Background(), core.RootOf(r.Target))
	if !ok {
		return
	}
	profile := st.Profile
	if profile == "" {
		cfg, _ := n.config.dist.Config()
		profile = cfg.DefaultProfileName
	}
	n.trace.call(r, profile, n.cfg.Region, start, res)
}

// resultOf tells what a refusal means to the caller: it was refused service if
// the request did not run for a reason of ours.
func resultOf(r *core.Refusal) report.Result {
	switch {
	case r == nil:
		return report.ResultOK
	case r.Ran == core.RanUnknown:
		return report.ResultUnknown
	case refusesService[r.Code] && r.Ran == core.RanNo:
		return report.ResultRefused
	}
	return report.ResultFailed
}

// refusesService lists the codes that the regulator counts as refused service.
// Faults of the request, spent budgets and cancelled calls do not count.
var refusesService = map[string]bool{
	core.CodeOverloaded:         true,
	core.CodeNoUpstream:         true,
	core.CodeDeadlineExceeded:   true,
	core.CodeNotOwner:           true,
	core.CodeJournalUnavailable: true,
	core.CodeShuttingDown:       true,
	core.CodeQuarantined:        true,
}

// observeSink measures the first token and the time between tokens.
type observeSink struct {
	frontend.Sink
	n     *Entry
	start time.Time
	last  time.Time
}

// Chunk implements frontend.Sink.
func (s *observeSink) Chunk(chunk []byte) error {
	at := time.Now()
	if s.last.IsZero() {
		s.n.metrics.firstToken.Update(at.Sub(s.start).Seconds())
	} else {
		s.n.metrics.betweenTokens.Update(at.Sub(s.last).Seconds())
	}
	s.last = at
	return s.Sink.Chunk(chunk)
}
