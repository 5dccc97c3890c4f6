package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// entry is a minimal entry: it refuses the first open of each caller and keeps
// count of what it was asked.
type entry struct {
	mu     sync.Mutex
	opened map[string]int // by caller
	live   int
	calls  int
	cut    bool // answers end early
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Method == http.MethodDelete:
		e.live--
	case r.URL.Path == "/v1/programs":
		e.opened[r.Header.Get("Yucca-Caller")]++
		if e.opened[r.Header.Get("Yucca-Caller")] == 1 {
			w.Header().Set("Retry-After", "0.01")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"code":"overloaded","step":"admission","ran":"no"}}`)
			return
		}
		e.live++
		fmt.Fprintf(w, `{"id":"p%d"}`, e.live)
	case strings.HasPrefix(r.URL.Path, "/v1/chat/"):
		e.calls++
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"saw\"}}]}\n\n")
		if !e.cut {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	default:
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(w, `{"error":{"code":"outcome_unknown","step":"resolve","ran":"unknown"}}`)
	}
}

func runLoad(t *testing.T, e *entry, programs int, step trace.Step) *Result {
	t.Helper()
	return runDrained(t, e, programs, step, time.Minute)
}

func runDrained(t *testing.T, e *entry, programs int, step trace.Step, drain time.Duration) *Result {
	t.Helper()
	srv := httptest.NewServer(e)
	defer srv.Close()
	tr := &trace.Trace{Header: trace.Header{Name: "x"}}
	for i := range 10 {
		tr.Programs = append(tr.Programs, trace.Program{
			Caller: fmt.Sprintf("c%d", i), Agent: trace.Agent{Model: "m", Steps: []trace.Step{step, step}},
		})
	}
	r, err := Run(context.Background(), tr, Options{Target: srv.URL, Programs: programs, Duration: min(10*time.Second, drain), Drain: drain, Speed: 1, Parallel: 10, Client: srv.Client()})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a load that exceeds its bound, callers that do not come back
// after a refusal, and programs that are not ended.
func TestRunIsBoundedAndRefusedCallersComeBack(t *testing.T) {
	e := &entry{opened: map[string]int{}}
	r := runLoad(t, e, 3, trace.Step{New: 4, Out: 4})
	if r.Started != 3 || r.Completed != 3 || r.Refusals != 3 || r.Calls != 6 || e.calls != 6 || e.live != 0 {
		t.Errorf("%+v, %d calls seen, %d programs not ended", r, e.calls, e.live)
	}
	if r.TTFTMs.Count != 6 || r.ProgramMs.Count != 3 {
		t.Errorf("%d first tokens and %d programs measured, want 6 and 3", r.TTFTMs.Count, r.ProgramMs.Count)
	}
}

// Guards against repeating a call whose outcome is unknown, and against leaving
// it out of the count, with and without a key.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, key := range []string{"", "k"} {
		r := runLoad(t, &entry{opened: map[string]int{}}, 1, trace.Step{Service: "booking", Op: "book", Key: key})
		if r.Unknown != 1 || r.Failed != 1 || r.Errors["outcome_unknown"] != 1 {
			t.Errorf("key %q: %+v, want one unknown effect in one failed program", key, r)
		}
	}
}

// Guards against an answer that ends early being taken for a whole one.
func TestCutAnswerIsNotComplete(t *testing.T) {
	r := runLoad(t, &entry{opened: map[string]int{}, cut: true}, 1, trace.Step{New: 1, Out: 1})
	if r.Completed != 0 || r.Calls != 0 || r.Errors["connection"] != callTries {
		t.Errorf("%+v, want no completed call after %d tries", r, callTries)
	}
}

// Guards against a run that goes on beyond its bound, and against counting what
// it cuts off as failures.
func TestRunEndsAtItsBound(t *testing.T) {
	r := runDrained(t, &entry{opened: map[string]int{"c0": 1}}, 1, trace.Step{New: 1, Out: 1, PauseMs: 3_600_000}, 50*time.Millisecond)
	if r.Started != 1 || r.CutOff != 1 || r.Failed != 0 || r.Refusals != 0 {
		t.Errorf("%+v, want one program cut off", r)
	}
}
