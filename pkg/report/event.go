// Package report computes the service-level burn report: refused caller-minutes,
// error budget, burn rates, worst minutes, unknown effects and latency, from
// recorded outcome events. The event format is described in
// docs/burn-report.md.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result is the outcome of a request or a program towards its caller.
type Result string

// The results.
const (
	ResultOK      Result = "ok"
	ResultRefused Result = "refused" // the caller was refused service; the request did not run
	ResultFailed  Result = "failed"  // the request or program ended with an error
	ResultUnknown Result = "unknown" // it cannot be known whether a non-idempotent call ran
)

// Scope tells what an event is about.
type Scope string

// The scopes.
const (
	ScopeProgram Scope = "program" // a program ended, or its opening was refused
	ScopeCall    Scope = "call"    // one call of a program
)

// Event is one outcome, written by the entry that answered the caller.
type Event struct {
	Time      time.Time `json:"time"` // of the answer
	Scope     Scope     `json:"scope"`
	Caller    string    `json:"caller"`
	Profile   string    `json:"profile"`
	Class     string    `json:"class"`
	Result    Result    `json:"result"`
	LatencyMs float64   `json:"latency_ms"`
	Cause     string    `json:"cause,omitempty"` // error code, or code and step
	Program   string    `json:"program,omitempty"`
}

// check returns the first fault of an event.
func (e *Event) check() error {
	switch {
	case e.Time.IsZero():
		return errors.New("time is missing")
	case e.Caller == "":
		return errors.New("caller is missing")
	case e.Scope != ScopeProgram && e.Scope != ScopeCall:
		return fmt.Errorf("unknown scope %q", e.Scope)
	case e.LatencyMs < 0:
		return fmt.Errorf("latency_ms %v is negative", e.LatencyMs)
	}
	switch e.Result {
	case ResultOK, ResultRefused, ResultFailed, ResultUnknown:
		return nil
	}
	return fmt.Errorf("unknown result %q", e.Result)
}

// Writer writes events as JSON lines. It is safe for concurrent use.
type Writer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// NewWriter returns a writer of events. Flush must be called at the end.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriter(w)} }

// Write adds an event as one line.
func (w *Writer) Write(e Event) error {
	if err := e.check(); err != nil {
		return errors.Wrap(err, "write event")
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.w.Write(append(line, '\n'))
	return errors.Wrap(err, "write event")
}

// Flush writes buffered lines out.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Wrap(w.w.Flush(), "flush events")
}

// maxEventBytes bounds one line of an event file.
const maxEventBytes = 64 << 10

// ReadEvents decodes an event file. Errors name the line. A last line without
// its line end is what a killed writer leaves behind; torn is true if it was
// dropped.
func ReadEvents(r io.Reader) (events []Event, torn bool, err error) {
	br := bufio.NewReaderSize(r, maxEventBytes)
	for line := 1; ; line++ {
		text, err := br.ReadSlice('\n')
		last := err == io.EOF
		if err != nil && !last {
			return nil, false, fmt.Errorf("line %d: %w", line, err)
		}
		if len(bytes.TrimSpace(text)) > 0 {
			e, err := decodeEvent(text)
			switch {
			case err == nil:
				events = append(events, e)
			case last:
				return events, true, nil
			default:
				return nil, false, fmt.Errorf("line %d: %w", line, err)
			}
		}
		if last {
			return events, false, nil
		}
	}
}

func decodeEvent(text []byte) (Event, error) {
	var e Event
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return e, err
	}
	if _, err := d.Token(); err != io.EOF {
		return e, errors.New("data after the JSON object")
	}
	return e, e.check()
}
