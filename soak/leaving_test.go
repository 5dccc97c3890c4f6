package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	leavingHeader = "Server-Leaving"
	// drainTime is how long after an entry passed on an answer that says so a request
	// may still reach an upstream that leaves.
	drainTime = 2 * time.Second
	// leavingTime is the length of the time in which upstreams leave.
	leavingTime = 10 * time.Second
	// leaveFor is how long an upstream goes on serving before its successor has its
	// address.
	leaveFor = 3500 * time.Millisecond
)

// announcements are the upstreams that say in their answers that they leave, as the
// callers of each entry have seen them.
type announcements struct {
	mu     sync.Mutex
	seen   map[int]map[string]time.Time // by entry and upstream
	starts map[int]int                  // of each entry; a start ends what it knew
	passed int                          // answers with an announcement
}

// started returns the number of starts of an entry.
func (a *announcements) started(entry int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts[entry]
}

// restart notes that an entry ends and starts again.
func (a *announcements) restart(entry int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts[entry]++
	a.seen[entry] = make(map[string]time.Time)
}

// noteAnswer notes an answer that an entry passed on.
func (a *announcements) noteAnswer(entry int, upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.passed++
	if a.seen[entry] == nil {
		a.seen[entry] = make(map[string]time.Time)
	}
	if _, ok := a.seen[entry][upstream]; !ok {
		a.seen[entry][upstream] = time.Now()
	}
}

// late returns how long after the bound a request was sent that ran at an upstream.
func (a *announcements) late(entry, starts int, upstream string, sent time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	first, ok := a.seen[entry][upstream]
	if !ok || a.starts[entry] != starts {
		return 0
	}
	return max(sent.Sub(first.Add(drainTime)), 0)
}

// leavingCaller sends requests to an entry until the context ends.
func (s *soak) leavingCaller(ctx context.Context, a *announcements, n, entry int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("unsafe-l%d-%d", n, i)
		s.runs.expect(id, "x")
		starts, sent := a.started(entry), time.Now()
		header, err := s.sendTo(ctx, entry, id)
		for _, r := range s.runs.runsOf(id) {
			if err == nil && header.Get(leavingHeader) != "" {
				a.noteAnswer(entry, r.upstream)
			}
			if late := a.late(entry, starts, r.upstream, sent); late > 0 {
				s.runs.broken("%s was sent %v too late to %s, which leaves", id, late, r.upstream)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendTo sends one request to an entry.
func (s *soak) sendTo(ctx context.Context, entry int, id string) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.edges[entry].caller+"/unsafe/x", strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Header, err
}

// leaveInTurn lets upstreams leave and be replaced at their addresses, while entries
// start again and the store is away, until the context ends.
func (s *soak) leaveInTurn(ctx context.Context, a *announcements, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	apps := s.ups[3:]
	for i := 0; ctx.Err() == nil; i++ {
		u := apps[i%len(apps)]
		u.leave()
		if rng.IntN(2) == 0 {
			entry := rng.IntN(len(s.edges))
			wg.Go(func() {
				a.restart(entry)
				s.restart(s.edges[entry], syscall.SIGKILL, false)
			})
		}
		s.store.SetDown(true)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		s.store.SetDown(false)
		s.register(u, "ready") // its heartbeat
		time.Sleep(leaveFor)
		old, service := u.identity()
		s.store.Delete(platform.KindUpstreams, old)
		s.started++
		u.reuse(fmt.Sprintf("u%d", s.started), service)
		s.register(u, "ready")
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// Guards against new work for upstreams that say only in their answers that they
// leave (issue 20), with the real processes.
func TestLeavingSoak(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, bin, seed)
			a := &announcements{seen: make(map[int]map[string]time.Time), starts: make(map[int]int)}
			s.waitReady()
			ctx, cancel := context.WithTimeout(context.Background(), leavingTime)
			defer cancel()
			var wg sync.WaitGroup
			for n := range callers {
				wg.Go(func() { s.leavingCaller(ctx, a, n, n%len(s.edges)) })
			}
			s.leaveInTurn(ctx, a, rand.New(rand.NewPCG(seed, 7)))
			wg.Wait()
			for _, fault := range s.runs.check() {
				t.Error(fault)
			}
			if a.passed == 0 {
				t.Error("no answer said that an upstream leaves")
			}
			t.Logf("%d requests ran, %d answers said that an upstream leaves", len(s.runs.runs), a.passed)
			if t.Failed() {
				s.keepLogs(seed)
			}
		})
	}
}
