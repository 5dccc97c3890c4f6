package trace

import (
	"bytes"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
)

func encode(t testing.TB, tr *Trace) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := Encode(&b, tr); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func generate(t testing.TB, deployment, scenario string, seed uint64) *Trace {
	t.Helper()
	s, err := ScenarioByName(scenario)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := Generate(deployment, s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Guards against a generator that draws from an unseeded source, writes a trace
// that the decoder rejects, or misses the stated load by more than the
// tolerance; and against shipped files growing beyond 1 MB.
func TestGenerateRepeatableValidAndAtStatedLoad(t *testing.T) {
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			tr := generate(t, d, s.Name, 3)
			text := encode(t, tr)
			if !bytes.Equal(text, encode(t, generate(t, d, s.Name, 3))) {
				t.Errorf("%s-%s: two runs with one seed differ", d, s.Name)
			}
			if len(text) > 1<<20 {
				t.Errorf("%s-%s: %d bytes, want at most 1 MB", d, s.Name, len(text))
			}
			back, err := Decode(bytes.NewReader(text))
			if err != nil {
				t.Errorf("%s-%s: %v", d, s.Name, err)
				continue
			}
			if !bytes.Equal(text, encode(t, back)) {
				t.Errorf("%s-%s: decoding and encoding changes the trace", d, s.Name)
			}
			want := s.Busy
			if s.burst > 1 {
				want *= 1 + (s.burst-1)*burstMs/burstEveryMs
			}
			if got := tr.BusyFraction(); s.endless == 0 && math.Abs(got/want-1) > fitTolerance {
				t.Errorf("%s-%s: engines are %.3f busy, want %.3f", d, s.Name, got, want)
			}
		}
	}
}

// Guards against shipped traces or stated outcomes that differ from what
// "trace generate" writes, for example bounds edited to fit a measurement.
func TestShippedFilesAreGenerated(t *testing.T) {
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			path := "../../traces/" + d + "-" + s.Name + ".jsonl"
			want := encode(t, generate(t, d, s.Name, 1))
			if got, err := os.ReadFile(path); err != nil || !bytes.Equal(got, want) {
				t.Errorf("%s differs from the generated trace (%v)", path, err)
			}
			want, err := StatedOutcomes(d, s).Encode()
			if err != nil {
				t.Fatal(err)
			}
			if got, err := os.ReadFile(OutcomesPath(path)); err != nil || !bytes.Equal(got, want) {
				t.Errorf("%s differs from the stated outcomes (%v)", OutcomesPath(path), err)
			}
		}
	}
}

const validHeader = `{"kind":"header","format":1,"name":"x","scenario":"x","seed":1,"duration_ms":1000,"busy":0,"deployment":{"name":"x","regions":["r"],"owners":["r"],"link":{"one_way_ms":1,"bits_per_s":1},"domain_ms":1,"client_ms":1,"prefixes":{},"upstreams":[{"id":"e","kind":"model","models":["m"],"region":"r","failure_domain":"d","slots":1,"cache_tokens":10,"prefill_rate":1,"decode_rate":1}],"config":{"slot_count":1,"regions":["r"],"profiles":{"p":{}}}}}`

const validProgram = `{"kind":"program","id":"g0","at_ms":1,"caller":"c","region":"r","profile":"p","model":"m","steps":[{"new":1,"out":1}]}`

// Guards against errors that leave the operator to search a file of a thousand
// lines, and against a decoder that accepts misspelt fields.
func TestDecodeErrorsNameTheLine(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		line             int
	}{
		{"no header", validProgram, "first line has kind", 1},
		{"empty", "", "no header line", 1},
		{"unknown field", validHeader + "\n" + strings.Replace(validProgram, `"new"`, `"mew"`, 1), "mew", 2},
		{"unknown model", validHeader + "\n\n" + strings.Replace(validProgram, `"model":"m"`, `"model":"n"`, 1), `no upstream has model "n"`, 3},
		{"unknown profile", validHeader + "\n" + strings.Replace(validProgram, `"p"`, `"q"`, 1), "unknown profile", 2},
		{"two kinds in a step", validHeader + "\n" + strings.Replace(validProgram, `"out":1`, `"out":1,"service":"s"`, 1), "exactly one", 2},
		{"id twice", validHeader + "\n" + validProgram + "\n" + validProgram, "used twice", 3},
		{"trailing data", validHeader + "\n" + validProgram + "{}", "after top-level value", 2},
		{"unknown fault", validHeader + "\n" + `{"kind":"fault","at_ms":1,"fault":"flood","for_ms":1}`, "unknown fault", 2},
		{"fault of unknown program", validHeader + "\n" + `{"kind":"fault","at_ms":1,"fault":"crash_request","program":"g9"}` + "\n" + validProgram, "unknown program", 2},
	} {
		_, err := Decode(strings.NewReader(c.text))
		var le *LineError
		if !errors.As(err, &le) {
			t.Errorf("%s: error %v names no line", c.name, err)
			continue
		}
		if le.Line != c.line || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %q, want line %d and %q", c.name, err, c.line, c.want)
		}
	}
}

// Guards against a lower bound that counts sub-agents one after the other or
// leaves pauses out.
func TestLowerBound(t *testing.T) {
	tr, err := Decode(strings.NewReader(validHeader + "\n" + validProgram))
	if err != nil {
		t.Fatal(err)
	}
	a := Agent{Model: "m", Steps: []Step{
		{New: 2, Out: 3},
		{PauseMs: 500, Agents: []Agent{{Model: "m", Steps: []Step{{Out: 1}}}, {Model: "m", Steps: []Step{{Out: 4}}}}},
		{Service: "s", WorkMs: 70},
	}}
	if got, want := tr.Header.Deployment.LowerBoundMs(&a), 5000.0+500+4000+70; got != want {
		t.Errorf("lower bound %v ms, want %v ms", got, want)
	}
}

// Guards against a decoder that panics or runs out of memory on damaged files.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validHeader + "\n" + validProgram))
	f.Add([]byte(validHeader + "\n" + `{"kind":"fault","at_ms":1,"fault":"store_outage","for_ms":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		tr, err := Decode(bytes.NewReader(text))
		if err != nil {
			return
		}
		if _, err := Decode(bytes.NewReader(encode(t, tr))); err != nil {
			t.Errorf("encoded trace is rejected: %v", err)
		}
	})
}
