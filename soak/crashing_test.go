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

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	crashingUpstreams = 8
	deadlyRequests    = 3
	harmlessCallers   = 4
	// crashingTime is the duration of the faults. It exceeds the time to crash three
	// upstreams plus detectionTime.
	crashingTime = 14 * time.Second
	// detectionTime is how long after its third crash a request may still reach any
	// number of upstreams. maxLateRuns is the number of runs allowed after that.
	detectionTime = 4 * time.Second
	thirdCrash    = 3
	maxLateRuns   = 3
	// expiryTime is how long after a crash the registration expires.
	expiryTime = 600 * time.Millisecond
)

// crashingUpstream is an upstream that crashes on a request with "deadly" in its body.
type crashingUpstream struct {
	w   *crashTest
	net *faultnet.Server

	mu   sync.Mutex
	id   string
	born int64
	down bool
}

// crashTest holds the state of a test with crashing upstreams.
type crashTest struct {
	s *soak

	mu      sync.Mutex
	rng     *rand.Rand
	started int
	// announcedPercent is how many of 100 crashes are preceded by the announcement of a
	// shutdown.
	announcedPercent int
	runs             map[string][]time.Time // times of the runs of deadly requests, by body
}

func (w *crashTest) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// between returns a random duration from least to most milliseconds.
func (w *crashTest) between(least, most int) time.Duration {
	return time.Duration(least+w.draw(most-least)) * time.Millisecond
}

func (w *crashTest) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	return fmt.Sprint("f", w.started)
}

func newCrashTest(s *soak, seed uint64) *crashTest {
	w := &crashTest{s: s, rng: rand.New(rand.NewPCG(seed, 5)), runs: make(map[string][]time.Time), announcedPercent: 50}
	if seed%2 == 0 {
		w.announcedPercent = 100
	}
	for _, u := range s.upstreams {
		id, _ := u.identity()
		s.store.Delete(platform.KindUpstreams, id)
	}
	for range crashingUpstreams {
		f := &crashingUpstream{w: w, id: w.newID(), born: 1}
		f.net = faultnet.New(f)
		if err := f.net.Listen("127.0.0.1:0"); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = f.net.Close() })
		f.register()
	}
	return w
}

func (f *crashingUpstream) register() { f.registerAs("ready") }

func (f *crashingUpstream) registerAs(state string) {
	f.w.s.store.Put(platform.KindUpstreams, f.id, map[string]any{
		"Service": "app", "Address": f.net.Addr(), "Zone": "a1", "Slots": 8, "State": state, "born": f.born,
	})
}

// announceShutdown announces the shutdown of some upstreams while they run a deadly
// request, as in a planned replacement.
func (f *crashingUpstream) announceShutdown() {
	if f.w.draw(100) >= f.w.announcedPercent {
		return
	}
	f.mu.Lock()
	if !f.down {
		f.registerAs("draining")
	}
	f.mu.Unlock()
	time.Sleep(f.w.between(20, 300))
}

func (f *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	id, down := f.id, f.down
	f.mu.Unlock()
	if down { // crashed without closing its connections
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Target-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.Contains(string(body), "deadly") {
		f.announceShutdown()
		f.crash(string(body))
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.w.between(2, 30))
	w.Header().Set("Response-Signature", "s")
	fmt.Fprint(w, "done")
}

// crash stops the upstream, with or without closing its connections, and schedules its
// restart.
func (f *crashingUpstream) crash(body string) {
	f.w.mu.Lock()
	f.w.runs[body] = append(f.w.runs[body], time.Now())
	f.w.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return
	}
	f.down = true
	if f.w.draw(3) == 0 {
		f.net.Silence()
	} else {
		go f.net.Drop()
	}
	go f.restart()
}

func (f *crashingUpstream) restart() {
	time.Sleep(expiryTime)
	f.w.s.store.Delete(platform.KindUpstreams, f.id)
	time.Sleep(f.w.between(50, 1500))
	f.net.Drop()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.w.draw(2) == 0 {
		f.id = f.w.newID()
	}
	f.born = time.Now().UnixMilli()
	f.down = false
	if err := f.net.Listen(""); err == nil { // fails if the test has ended
		f.register()
	}
}

// deadlyCaller repeats a deadly request at random edges, at times in two concurrent
// copies and at times canceled before the response.
func (w *crashTest) deadlyCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(uint64(n), 17))
	body := fmt.Sprintf("deadly %d", n)
	for i := 0; ctx.Err() == nil; i++ {
		var copies sync.WaitGroup
		for c := range 1 + rng.IntN(2) {
			impatient := rng.IntN(4) == 0
			seed := rng.Uint64()
			copies.Go(func() {
				ctx, cancel := context.WithCancel(ctx)
				defer cancel()
				if impatient {
					defer time.AfterFunc(150*time.Millisecond, cancel).Stop()
				}
				own := rand.New(rand.NewPCG(seed, 1))
				_, _, _ = w.s.send(ctx, own, "POST", "/unsafe/x", fmt.Sprintf("deadly-%d-%d-%d", n, i, c), body, nil)
			})
		}
		copies.Wait()
		time.Sleep(w.between(100, 600))
	}
}

// harmlessCaller sends harmless requests and retries each until it succeeds.
func (w *crashTest) harmlessCaller(ctx context.Context, n int) (served, sent int) {
	rng := rand.New(rand.NewPCG(uint64(n), 23))
	for i := 0; ctx.Err() == nil; i++ {
		sent++
		body := fmt.Sprintf("sound %d %d", n, i)
		for try := 0; ctx.Err() == nil; try++ {
			status, _, err := w.s.send(ctx, rng, "POST", "/unsafe/x", fmt.Sprintf("sound-%d-%d-%d", n, i, try), body, nil)
			if status == http.StatusOK && err == nil {
				served++
				break
			}
			time.Sleep(w.between(50, 300))
		}
		time.Sleep(w.between(5, 40))
	}
	return served, sent
}

// faults injects overlapping faults into the processes and the store until the context
// ends.
func (w *crashTest) faults(ctx context.Context) {
	s := w.s
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		e, d := s.edges[w.draw(len(s.edges))], w.between(200, 1500)
		var f func()
		switch w.draw(6) {
		case 0:
			f = func() { s.restart(e, syscall.SIGKILL, false) }
		case 1:
			f = func() { s.restart(e, syscall.SIGTERM, false) }
		case 2:
			f = func() { e.pause(d) }
		case 3:
			f = func() { s.store.SetDown(true); time.Sleep(d); s.store.SetDown(false) }
		case 4:
			st := s.storages[w.draw(len(s.storages))]
			f = func() { s.restart(st, syscall.SIGKILL, w.draw(2) == 0) }
		case 5: // all edges at once
			f = func() {
				var all sync.WaitGroup
				for _, e := range s.edges {
					all.Go(func() { s.restart(e, syscall.SIGKILL, false) })
				}
				all.Wait()
			}
		}
		wg.Go(f)
		time.Sleep(w.between(300, 1200))
	}
}

// check returns the deadly requests that ran too often after detectionTime.
func (w *crashTest) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var faults []string
	for body, runs := range w.runs {
		late := 0
		for _, at := range runs {
			if len(runs) >= thirdCrash && at.After(runs[thirdCrash-1].Add(detectionTime)) {
				late++
			}
		}
		if late > maxLateRuns {
			faults = append(faults, fmt.Sprintf("%q ran %d times, %d of them later than %v after its third crash", body, len(runs), late, detectionTime))
		}
		w.s.t.Logf("%q ran %d times, %d of them late", body, len(runs), late)
	}
	return faults
}

// Guards against requests that crash upstreams repeatedly (issue 19), with the real
// processes: several deadly requests run concurrently with harmless ones that are
// retried, while edges are killed, stopped and paused, the store is unavailable and
// upstreams announce their shutdown before they crash (issue 29).
func TestCrashingSoak(t *testing.T) {
	forEachSeed(t, func(t *testing.T, s *soak, seed uint64) {
		w := newCrashTest(s, seed)
		s.waitReady()
		ctx, cancel := context.WithTimeout(context.Background(), crashingTime)
		defer cancel()
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, sent := 0, 0
		for n := range deadlyRequests {
			wg.Go(func() { w.deadlyCaller(ctx, n) })
		}
		for n := range harmlessCallers {
			wg.Go(func() {
				a, b := w.harmlessCaller(ctx, n)
				mu.Lock()
				defer mu.Unlock()
				served, sent = served+a, sent+b
			})
		}
		w.faults(ctx)
		wg.Wait()
		for _, fault := range w.check() {
			t.Error(fault)
		}
		t.Logf("%d of %d harmless requests served", served, sent)
		if served < sent-2*harmlessCallers || served < 20 { // the last ones may be unfinished
			t.Errorf("%d of %d harmless requests served", served, sent)
		}
	})
}
