package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	takeUpService = "take-up"
	takeUpEvents  = 12
	takeUpGap     = 25 * time.Millisecond
	takeUpRounds  = 3
	// takeUpStreams is the number of turns of a round, and takeUpTries how often each is taken
	// up at the most.
	takeUpStreams = 24
	takeUpTries   = 6
	takeUpWait    = 400 * time.Millisecond // between two tries
)

// takeUpSoak kills edges while they serve turns that may be taken up, and checks that these go
// on at other edges and that the next turn gets what the caller has.
type takeUpSoak struct {
	*soak
	mu     sync.Mutex
	bodies map[string]string // that ran, by the id of the attempt
	broken []string          // violations
	taken  int               // streams that were taken up
	wentOn int               // of these
}

func (s *takeUpSoak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// ServeHTTP is an upstream whose events name the attempt that they were written for.
func (s *takeUpSoak) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.UpstreamStatePath {
		http.NotFound(w, r) // it does not say which run it is
		return
	}
	id := r.Header.Get("Attempt-Id")
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.bodies[id] = string(body)
	s.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= takeUpEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d of %s\n\n", i, i, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(takeUpGap)
	}
}

// takenTurn is a turn of a caller over its attempts.
type takenTurn struct {
	program, first string
	events         []string // data of those that the caller has
	whole          bool
}

// attempt sends the turn to an edge, or takes it up after the events that the caller has.
func (s *takeUpSoak) attempt(t *takenTurn, e *process, id, parent string) (status int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.caller+"/takeup/x", strings.NewReader("in"))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	req.Host = "h.example"
	h := map[string]string{
		"Attempt-Id": id, "Program-Id": t.program, "Token-Budget": "100000",
		"Token-Count": fmt.Sprint("10,", takeUpEvents*tokensPerEvent), "Deadline-Ms": "3000",
	}
	if parent != "" {
		h["Parent-Turn"] = parent
	}
	if t.first != "" {
		h["Resumes"], h["Last-Event-Id"] = t.first, strconv.Itoa(len(t.events))
	}
	for k, v := range h {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode
	}
	lines := bufio.NewScanner(resp.Body)
	number := 0
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, _ = strconv.Atoi(v)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if number != len(t.events)+1 {
			s.violation("%s: event %d follows event %d", id, number, len(t.events))
		}
		if t.first == "" {
			t.first = id
		}
		t.events = append(t.events, data)
	}
	t.whole = lines.Err() == nil && len(t.events) == takeUpEvents
	return resp.StatusCode
}

// playTurn sends a turn, takes it up until it is whole, and continues it with another one.
func (s *takeUpSoak) playTurn(rng *rand.Rand, name string) {
	t := &takenTurn{program: "p" + name}
	last := name + "-0"
	s.attempt(t, s.edges[rng.IntN(len(s.edges))], last, "")
	if t.first == "" {
		return // it did not begin
	}
	if !t.whole {
		had := len(t.events)
		for try := 1; !t.whole && try <= takeUpTries; try++ {
			time.Sleep(takeUpWait/2 + rand.N(takeUpWait/2))
			last = fmt.Sprintf("%s-%d", name, try)
			s.attempt(t, s.edges[rng.IntN(len(s.edges))], last, "")
		}
		s.mu.Lock()
		s.taken++
		if len(t.events) > had || t.whole {
			s.wentOn++
		}
		s.mu.Unlock()
	}
	if t.whole {
		s.checkNext(t, rng, name, last)
	}
}

// checkNext continues a whole turn and checks what its upstream gets.
func (s *takeUpSoak) checkNext(t *takenTurn, rng *rand.Rand, name, parent string) {
	want := "in" + strings.Join(t.events, "\n") + "\nin"
	for try := range takeUpTries {
		next, id := &takenTurn{program: t.program}, fmt.Sprintf("%s-next-%d", name, try)
		status := s.attempt(next, s.edges[rng.IntN(len(s.edges))], id, parent)
		if status == http.StatusNotFound {
			s.violation("%s: the turn after %s gets 404", id, parent)
		}
		s.mu.Lock()
		body, ran := s.bodies[id]
		s.mu.Unlock()
		if ran && body != want {
			s.violation("%s ran with %q, want %q", id, body, want)
		}
		if next.whole {
			return
		}
		time.Sleep(takeUpWait)
	}
	s.violation("the turn after %s is not served", parent)
}

// TestTakeUpSoak guards against turns that can't go on at another edge after theirs was killed,
// and against conversations that lose or double events by that (review case 10).
func TestTakeUpSoak(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := &takeUpSoak{soak: newSoak(t, bin, seed), bodies: make(map[string]string)}
			up := httptest.NewServer(s)
			t.Cleanup(func() { up.CloseClientConnections(); up.Close() })
			s.store.Put(platform.KindUpstreams, "taken", map[string]any{
				"Service": takeUpService, "Address": strings.TrimPrefix(up.URL, "http://"), "Zone": "a1", "Slots": 64, "State": "ready", "born": 1,
			})
			s.store.Put(platform.KindConfig, platform.ConfigName, takeUpConfig())
			s.waitReady()
			time.Sleep(settleTime) // the configuration is in force everywhere
			for round := range takeUpRounds {
				s.playRound(seed, round)
			}
			for _, v := range s.broken {
				t.Error(v)
			}
			if s.taken == 0 || 2*s.wentOn < s.taken {
				t.Errorf("%d of %d streams that were taken up went on", s.wentOn, s.taken)
			}
			t.Logf("%d of %d streams that were taken up went on", s.wentOn, s.taken)
			if t.Failed() {
				s.keepLogs(seed)
			}
		})
	}
}

// playRound sends turns and kills an edge while they are under way.
func (s *takeUpSoak) playRound(seed uint64, round int) {
	var wg sync.WaitGroup
	for n := range takeUpStreams {
		rng := rand.New(rand.NewPCG(seed, uint64(round*takeUpStreams+n)))
		wg.Go(func() { s.playTurn(rng, fmt.Sprintf("t%d-%d-%d", seed, round, n)) })
	}
	time.Sleep(takeUpGap * time.Duration(1+s.rng.IntN(takeUpEvents)))
	s.restart(s.edges[s.rng.IntN(len(s.edges))], syscall.SIGKILL, false)
	wg.Wait()
	s.waitReady()
}

// takeUpConfig returns the usual configuration with a route whose turns may be taken up.
func takeUpConfig() map[string]any {
	c := config(2)
	c["Routes"] = append(c["Routes"].([]any), map[string]any{
		"Name": "takeup", "Host": "h.example", "PathPrefix": "/takeup/", "Kind": "streaming", "Service": takeUpService,
		"TimeoutMs": 5000, "TargetLatencyMs": 300, "GapTargetMs": 150, "MaxAttempts": 2,
		"ServerHistory": true, "Resumable": true, "RetentionS": 60,
	})
	c["Services"] = append(c["Services"].([]any), map[string]any{"Name": takeUpService, "Engine": map[string]any{"ChunkTokens": tokensPerEvent}})
	return c
}
