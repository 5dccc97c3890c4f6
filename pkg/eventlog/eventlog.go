// Package eventlog records the events of a decision core and checks that the
// core yields the same effects when it runs again on the record.
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
	// FileName is the name of the log in the data folder.
	FileName     = "events.jsonl"
	maxMegabytes = 64 // size at which the file is rotated
	maxBackups   = 4
	maxLine      = 32 << 20 // bytes; a hand-over carries whole programs
)

// Header is the first line of a log: what the core was built from.
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

// Writer appends to a bounded, rotated log.
type Writer struct {
	w   io.WriteCloser
	enc *json.Encoder
}

// Create starts a log in a data folder.
func Create(folder string, s Header) (*Writer, error) {
	w := &lumberjack.Logger{
		Filename:   filepath.Join(folder, FileName),
		MaxSize:    maxMegabytes,
		MaxBackups: maxBackups,
	}
	if err := w.Rotate(); err != nil {
		return nil, errors.Wrapf(err, "create event log in %s", folder)
	}
	return NewWriter(w, s)
}

// NewWriter starts a log on any writer.
func NewWriter(w io.WriteCloser, s Header) (*Writer, error) {
	l := &Writer{w: w, enc: json.NewEncoder(w)}
	return l, errors.Wrap(l.enc.Encode(line{Header: &s}), "write start of event log")
}

// Record appends an event and the digest of its effects.
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

// DivergenceError tells at which line the core behaved differently.
type DivergenceError struct {
	Line            int
	Event           string
	RecordedEffects int // number of effects
	ReplayedEffects int
}

// Error implements error.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("event log line %d: %s yields other effects than recorded (%d recorded, %d now)", e.Line, e.Event, e.RecordedEffects, e.ReplayedEffects)
}

// Verify runs a new core on a recorded log and compares the effects. It returns
// the number of events. The log must begin with its start line, so a rotated
// file can not be verified on its own.
func Verify(r io.Reader) (int, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 1<<20), maxLine)
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
			return n, errors.Errorf("event log line %d: the log does not begin with its start line", n)
		}
		if err := verifyLine(c, n, &l); err != nil {
			return n, err
		}
	}
	return max(n-1, 0), errors.Wrap(sc.Err(), "read event log")
}

// newCore builds the core as the daemon does: its policy follows the recorded
// configurations.
func newCore(s Header) *core.Core {
	return core.New(core.Options{Self: s.Self, Region: s.Region, Seed: s.Seed, Policy: policy.Follow(s.Seed)})
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

// eventTypes lists every event that a log can hold.
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
		return nil, errors.Errorf("event type %q is not known", name)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(data, v.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decode event %s", name)
	}
	e, ok := v.Elem().Interface().(core.Event)
	if !ok {
		return nil, errors.Errorf("event type %q is not an event", name)
	}
	return e, nil
}
