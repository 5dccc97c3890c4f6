// Package eventlog records the events of a core.Core and verifies that
// replaying them yields the same effects.
package eventlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"gopkg.in/natefinch/lumberjack.v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
)

const (
	// FileName is the name of the log file in the data folder.
	FileName         = "events.jsonl"
	maxFileMegabytes = 64 // size at which the file is rotated
	maxBackups       = 4
	maxLineBytes     = 32 << 20 // a hand-over event contains whole programs
)

// Header is the first line of a log: the options of the recorded core.
type Header struct {
	Self   core.Incarnation `json:"self"`
	Region string           `json:"region"`
	Seed   uint64           `json:"seed"`
}

// line is one line of the log.
type line struct {
	Header  *Header         `json:"start,omitempty"`
	Type    string          `json:"type,omitempty"`
	Event   json.RawMessage `json:"event,omitempty"`
	Effects int             `json:"effects,omitempty"` // number of effects
	Digest  uint64          `json:"digest,omitempty"`  // of the effects
}

// Writer appends to a log.
type Writer struct {
	w   io.WriteCloser
	enc *json.Encoder
}

// Create starts a log in a data folder. The log file is rotated and limited in
// size.
func Create(folder string, h Header) (*Writer, error) {
	w := &lumberjack.Logger{
		Filename:   filepath.Join(folder, FileName),
		MaxSize:    maxFileMegabytes,
		MaxBackups: maxBackups,
	}
	if err := w.Rotate(); err != nil {
		return nil, errors.Wrapf(err, "create event log in %s", folder)
	}
	return NewWriter(w, h)
}

// NewWriter starts a log on w.
func NewWriter(w io.WriteCloser, h Header) (*Writer, error) {
	l := &Writer{w: w, enc: json.NewEncoder(w)}
	return l, errors.Wrap(l.enc.Encode(line{Header: &h}), "write header of event log")
}

// Record appends an event with the number and the digest of its effects.
func (l *Writer) Record(e core.Event, effects []core.Effect) error {
	event, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	digest, err := digestOf(effects)
	if err != nil {
		return err
	}
	return errors.Wrap(l.enc.Encode(line{
		Type: reflect.TypeOf(e).Name(), Event: event, Effects: len(effects), Digest: digest,
	}), "write event")
}

// Close closes the log.
func (l *Writer) Close() error { return l.w.Close() }

func digestOf(effects []core.Effect) (uint64, error) {
	h := xxhash.New()
	enc := json.NewEncoder(h)
	for _, e := range effects {
		_, _ = h.WriteString(reflect.TypeOf(e).Name())
		if err := enc.Encode(e); err != nil {
			return 0, errors.Wrap(err, "encode effect")
		}
	}
	return h.Sum64(), nil
}

// DivergenceError reports the first event whose replay yields different
// effects.
type DivergenceError struct {
	Line            int
	Event           string
	RecordedEffects int // number of effects
	ReplayedEffects int
}

// Error implements error.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("event log line %d: effects of %s differ from the recorded ones (%d recorded, %d replayed)", e.Line, e.Event, e.RecordedEffects, e.ReplayedEffects)
}

// Verify replays a recorded log on a new core and compares the effects. It
// returns the number of events. The log must begin with its header, so a file
// that was rotated away cannot be verified on its own.
func Verify(r io.Reader) (int, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 1<<20), maxLineBytes)
	var c *core.Core
	n := 0
	for sc.Scan() {
		n++
		var l line
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return n, errors.Wrapf(err, "event log line %d", n)
		}
		if l.Header != nil {
			c = newCore(*l.Header)
			continue
		}
		if c == nil {
			return n, errors.Errorf("event log line %d: missing header at the start of the log", n)
		}
		if err := verifyLine(c, n, &l); err != nil {
			return n, err
		}
	}
	return max(n-1, 0), errors.Wrap(sc.Err(), "read event log")
}

// newCore returns a core with the same options as the daemon's: its policy
// follows the recorded configurations.
func newCore(h Header) *core.Core {
	return core.New(core.Options{Self: h.Self, Region: h.Region, Seed: h.Seed, Policy: policy.NewReconfigurable(h.Seed)})
}

func verifyLine(c *core.Core, n int, l *line) error {
	e, err := decodeEvent(l.Type, l.Event)
	if err != nil {
		return errors.Wrapf(err, "event log line %d", n)
	}
	effects := c.Step(e)
	digest, err := digestOf(effects)
	if err != nil {
		return err
	}
	if digest != l.Digest || len(effects) != l.Effects {
		return &DivergenceError{Line: n, Event: l.Type, RecordedEffects: l.Effects, ReplayedEffects: len(effects)}
	}
	return nil
}

// eventTypes maps the name of each event type to the type.
var eventTypes = typesByName(
	core.Tick{}, core.ConfigApplied{}, core.ProgramOpened{}, core.ProgramEnded{}, core.CallArrived{},
	core.CallCanceled{}, core.JournalCommitted{}, core.JournalRetained{}, core.JournalSealed{},
	core.AttemptStarted{}, core.FirstToken{}, core.AttemptDone{}, core.AttemptFailed{}, core.OutcomeResolved{},
	core.UpstreamChanged{}, core.UpstreamState{}, core.UpstreamGone{}, core.LoadReported{}, core.CacheReported{},
	core.UpstreamCrashed{}, core.QuarantineChanged{}, core.SlotsAcquired{}, core.SlotsReleased{}, core.DrainStarted{},
)

func typesByName(events ...core.Event) map[string]reflect.Type {
	m := make(map[string]reflect.Type, len(events))
	for _, e := range events {
		t := reflect.TypeOf(e)
		m[t.Name()] = t
	}
	return m
}

func decodeEvent(name string, data []byte) (core.Event, error) {
	t, ok := eventTypes[name]
	if !ok {
		return nil, errors.Errorf("unknown event type %q", name)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(data, v.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decode event %s", name)
	}
	e, ok := v.Elem().Interface().(core.Event)
	if !ok {
		return nil, errors.Errorf("type %q does not implement core.Event", name)
	}
	return e, nil
}
