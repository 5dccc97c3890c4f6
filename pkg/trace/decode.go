package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a trace. The header of a deployment of a few
// hundred upstreams is below 100 KB.
const maxLineBytes = 4 << 20

// LineError is a fault in one line of a trace.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault without its line.
func (e *LineError) Unwrap() error { return e.Err }

// Load reads and validates a trace file.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer f.Close()
	t, err := Decode(f)
	return t, errors.Wrapf(err, "trace %s", path)
}

// Decode reads a trace and validates it. Unknown fields and trailing data are
// errors, and an error names its line.
func Decode(r io.Reader) (*Trace, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	t := &Trace{}
	v := newValidator(t)
	line := 0
	for sc.Scan() {
		line++
		text := bytes.TrimSpace(sc.Bytes())
		if len(text) == 0 {
			continue
		}
		v.lineNo = line
		if err := v.line(text); err != nil {
			return nil, &LineError{Line: line, Err: err}
		}
	}
	if err := sc.Err(); err != nil {
		return nil, &LineError{Line: line + 1, Err: err}
	}
	if !v.headerSeen {
		return nil, &LineError{Line: max(line, 1), Err: errors.New("no header line")}
	}
	if err := v.finish(); err != nil {
		return nil, err
	}
	return t, nil
}

// strict decodes one JSON value into v and rejects unknown fields and trailing
// data.
func strict(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("data after the JSON object")
	}
	return nil
}

// Encode writes a trace, one object a line.
func Encode(w io.Writer, t *Trace) error {
	bw := bufio.NewWriter(w)
	enc := json.NewEncoder(bw)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(t.Header); err != nil {
		return errors.Wrap(err, "encode header")
	}
	for i := range t.Faults {
		if err := enc.Encode(&t.Faults[i]); err != nil {
			return errors.Wrap(err, "encode fault")
		}
	}
	for i := range t.Programs {
		if err := enc.Encode(&t.Programs[i]); err != nil {
			return errors.Wrapf(err, "encode program %s", t.Programs[i].ID)
		}
	}
	return errors.Wrap(bw.Flush(), "write trace")
}
