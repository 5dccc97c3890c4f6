package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	body string
	at   time.Time
}

// ledgerOfRuns is what the upstreams and the callers have seen.
type ledgerOfRuns struct {
	mu      sync.Mutex
	runs    map[string][]run  // by request id
	wanted  map[string]string // the body that a request must run with
	refused map[string]string // requests that were promised not to run, and the answer
	faults  []string
}

func newLedgerOfRuns() *ledgerOfRuns {
	return &ledgerOfRuns{runs: make(map[string][]run), wanted: make(map[string]string), refused: make(map[string]string)}
}

// broken notes a broken promise.
func (l *ledgerOfRuns) broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *ledgerOfRuns) expect(id, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted[id] = body
}

func (l *ledgerOfRuns) promiseNotRun(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = answer
}

func (l *ledgerOfRuns) ran(id, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], run{body: body, at: time.Now()})
}

// check returns all broken promises.
func (l *ledgerOfRuns) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.faults
	for id, runs := range l.runs {
		want, known := l.wanted[id]
		if !known {
			list = append(list, "run of a request that no caller sent: "+id)
		}
		if len(runs) > 1 && !strings.HasPrefix(id, "safe") {
			list = append(list, fmt.Sprintf("%s ran %d times", id, len(runs)))
		}
		for _, r := range runs {
			if known && r.body != want {
				list = append(list, fmt.Sprintf("%s ran with %q, want %q", id, r.body, want))
			}
		}
		if answer, ok := l.refused[id]; ok && !strings.HasPrefix(id, "safe") {
			list = append(list, fmt.Sprintf("%s was answered %s and ran", id, answer))
		}
	}
	return list
}

// tokensPerEvent and eventsPerTurn make a turn of 40 tokens at most.
const (
	tokensPerEvent = 10
	eventsPerTurn  = 4
)

// upstream is a scripted upstream that loses answers, stalls and is full at
// times.
type upstream struct {
	l       *ledgerOfRuns
	mu      sync.Mutex
	rng     *rand.Rand
	trouble float64 // share of requests in trouble
	proxy   *proxy
}

func newUpstream(t *testing.T, l *ledgerOfRuns, seed uint64) *upstream {
	u := &upstream{l: l, rng: rand.New(rand.NewPCG(seed, 9))}
	srv := httptest.NewServer(u)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	u.proxy = newProxy(t, strings.TrimPrefix(srv.URL, "http://"))
	return u
}

// draw returns whether a request is in trouble, and which.
func (u *upstream) draw() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rng.Float64() >= u.trouble {
		return -1
	}
	return u.rng.IntN(4)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	trouble := u.draw()
	if trouble == 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.l.ran(id, string(body))
	if trouble == 1 { // the answer is lost
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "s."+id)
	if !strings.HasPrefix(r.URL.Path, "/turn/") {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "answer "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= eventsPerTurn; i++ {
		if trouble == 2 && i == 3 { // cut in the middle of an event
			fmt.Fprintf(w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		if trouble == 3 && i == 2 {
			time.Sleep(700 * time.Millisecond)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// output is what a whole turn adds to the history.
func output(id string) string {
	var b strings.Builder
	for i := 1; i <= eventsPerTurn; i++ {
		b.WriteString(id + "-" + strconv.Itoa(i) + "\n")
	}
	return b.String()
}

// config returns the configuration of a version; version changes the timeout,
// so that each is a change.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"Name": name, "Host": "h.example", "PathPrefix": prefix, "Kind": kind, "Service": service,
			"TimeoutMs": 3000 + version%7, "TargetLatencyMs": 300, "GapTargetMs": 150, "MaxAttempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("turn", "/turn/", "streaming", "llm", map[string]any{"ServerHistory": true, "RetentionS": 60}),
			route("safe", "/safe/", "safe", "app", nil),
			route("unsafe", "/unsafe/", "unsafe", "app", nil),
		},
		"Services": []any{
			map[string]any{"Name": "llm", "Engine": map[string]any{"ChunkTokens": tokensPerEvent}}, map[string]any{"Name": "app"},
		},
		"Limits": map[string]any{"MaxBodyBytes": 1 << 20},
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values are literals of this package
	}
	return data
}
