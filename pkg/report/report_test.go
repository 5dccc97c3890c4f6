package report

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

func event(minute int, caller string, result Result) Event {
	return Event{Time: start.Add(time.Duration(minute)*time.Minute + 5*time.Second), Scope: ScopeProgram, Caller: caller,
		Profile: "diagnose", Class: "interactive", Result: result, LatencyMs: 1000, Cause: "overloaded"}
}

// Guards against counting several refusals of a caller in one minute more than
// once, or refusals of two callers in one minute only once.
func TestRefusedMinutesCountedOncePerCallerAndMinute(t *testing.T) {
	events := []Event{
		event(0, "a", ResultRefused), event(0, "a", ResultRefused), event(0, "a", ResultOK),
		event(0, "b", ResultRefused), event(1, "a", ResultRefused), event(1, "c", ResultOK),
	}
	b, err := Compute(events, DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	if b.Total.RefusedMinutes != 3 || b.Total.Minutes != 4 || b.Total.Refusals != 4 {
		t.Errorf("refused %d of %d minutes, %d refusals; want 3 of 4, 4", b.Total.RefusedMinutes, b.Total.Minutes, b.Total.Refusals)
	}
	if b.Callers[0].Name != "a" || b.Callers[0].RefusedMinutes != 2 {
		t.Errorf("first caller %+v, want a with 2 refused minutes", b.Callers[0])
	}
	if m := b.Worst[0]; !m.Time.Equal(start) || m.Refused != 2 || m.CauseText() != "overloaded ×3" {
		t.Errorf("worst minute %+v, want the first one with 2 callers", m)
	}
}

// Guards against burn rates over the wrong window or against the wrong share:
// one caller is active in each of 600 minutes and refused in the last 3.
func TestBurnRatesOverKnownData(t *testing.T) {
	var events []Event
	for m := range 600 {
		r := ResultOK
		if m >= 597 {
			r = ResultRefused
		}
		events = append(events, event(m, "a", r))
	}
	o := DefaultOptions()
	o.Objective = 0.99
	b, err := Compute(events, o)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []float64{3.0 / 5 / 0.01, 3.0 / 60 / 0.01, 3.0 / 360 / 0.01, 3.0 / 600 / 0.01} {
		if got := b.Total.Burn[i].Now; math.Abs(got-want) > 1e-6 {
			t.Errorf("burn rate over %s is %v, want %v", b.Total.Burn[i].Window, got, want)
		}
	}
	if got := b.Total.BudgetSpent; math.Abs(got-0.5) > 1e-9 {
		t.Errorf("budget spent %v, want 0.5 (3 of 6 minutes)", got)
	}
	if got := b.Total.LatencyMet; got != 1 {
		t.Errorf("latency met by %v, want 1", got)
	}
}

// Guards against events outside of the budget's period being counted.
func TestWindowLeavesOldEventsOut(t *testing.T) {
	o := DefaultOptions()
	o.Window = 10 * time.Minute
	b, err := Compute([]Event{event(0, "a", ResultRefused), event(20, "a", ResultOK)}, o)
	if err != nil {
		t.Fatal(err)
	}
	if b.Events != 1 || b.Total.RefusedMinutes != 0 {
		t.Errorf("%d events, %d refused minutes; want 1 and 0", b.Events, b.Total.RefusedMinutes)
	}
}

// Guards against a page that loads anything over the network or runs callers'
// names as markup.
func TestPageIsSelfContained(t *testing.T) {
	b, err := Compute([]Event{event(0, "<script>x</script>", ResultRefused), event(3, "b", ResultOK)}, DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	var buf bytes.Buffer
	if err := b.WriteHTML(&buf, "Burn"); err != nil {
		t.Fatal(err)
	}
	page := buf.String()
	for _, s := range []string{"<script", "src=", "@import", "<link", "url(http"} {
		if strings.Contains(page, s) {
			t.Errorf("the page contains %q", s)
		}
	}
	if strings.Count(page, "<svg") != 4 {
		t.Errorf("the page has %d plots, want 4", strings.Count(page, "<svg"))
	}
}

// Guards against a reader that rejects the file of a killed daemon, or hides
// damage in the middle of a file.
func TestReadEventsTornTailAndDamagedLine(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	for m := range 3 {
		if err := w.Write(event(m, "a", ResultOK)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	text := buf.String()
	events, torn, err := ReadEvents(strings.NewReader(text[:len(text)-10]))
	if err != nil || !torn || len(events) != 2 {
		t.Errorf("torn file: %d events, torn %v, error %v; want 2, true, nil", len(events), torn, err)
	}
	_, _, err = ReadEvents(strings.NewReader("\n{}\n" + text))
	if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") {
		t.Errorf("damaged line: error %v, want one that names line 2", err)
	}
}

// Guards against a decoder that panics on damaged files, and against a writer
// whose output the reader rejects.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte(`{"time":"2026-03-02T10:00:00Z","scope":"call","caller":"a","profile":"p","class":"batch","result":"ok","latency_ms":1}` + "\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		events, _, err := ReadEvents(bytes.NewReader(text))
		if err != nil {
			return
		}
		var buf bytes.Buffer
		w := NewWriter(&buf)
		for _, e := range events {
			if err := w.Write(e); err != nil {
				t.Fatalf("event was read but not written: %v", err)
			}
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		if back, _, err := ReadEvents(&buf); err != nil || len(back) != len(events) {
			t.Errorf("%d events read back, want %d: %v", len(back), len(events), err)
		}
		if _, err := Compute(events, DefaultOptions()); err != nil {
			t.Error(err)
		}
	})
}
