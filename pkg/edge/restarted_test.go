package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
)

const (
	// restartRetries is how often the request that crashes upstreams is sent, each time to
	// another edge, restartPause apart.
	restartRetries = 18
	restartPause   = 500 * time.Millisecond
	// harmlessTimeout is when a harmless caller leaves.
	harmlessTimeout = 500 * time.Millisecond
	// contactTime is how long after its third crash a request may reach any number of
	// upstreams.
	contactTime = 4 * time.Second
)

// TestCrashesBehindRestartedUpstreams guards against crashes that are not counted because
// the upstream answers harmless requests again before it registers its new run, or because
// the caller left before the crash (issue 35).
func TestCrashesBehindRestartedUpstreams(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		configure func(*crashers)
		leave     time.Duration // when the caller of the crashing request leaves
	}{
		"silent for a second": {func(f *crashers) {
			f.silent, f.crashDelay, f.restartAfter, f.registerAfter = true, 80*time.Millisecond, 900*time.Millisecond, 500*time.Millisecond
		}, 500 * time.Millisecond},
		"the caller leaves before the crash": {func(f *crashers) {
			f.crashDelay, f.restartAfter, f.registerAfter = 300*time.Millisecond, time.Millisecond, 700*time.Millisecond
		}, 150 * time.Millisecond},
		"the caller leaves before a silent crash": {func(f *crashers) {
			f.silent, f.crashDelay, f.restartAfter, f.registerAfter = true, 300*time.Millisecond, time.Millisecond, 700*time.Millisecond
		}, 150 * time.Millisecond},
		"silent until it registers": {func(f *crashers) {
			f.silent, f.crashDelay, f.restartAfter = true, 80*time.Millisecond, 2500*time.Millisecond
		}, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			f := newCrashers(d)
			f.renewBorn, f.serviceTime = true, 10*time.Millisecond
			c.configure(f)
			playBesideTraffic(t, d, f, c.leave)
		})
	}
}

// playBesideTraffic retries a request that crashes upstreams beside harmless callers with
// other bodies. Its caller leaves after a while.
func playBesideTraffic(t *testing.T, d *deployment, f *crashers, leave time.Duration) {
	const upstreams, edgeCount = 12, 3
	f.start(upstreams)
	var edges []*process
	for i := range edgeCount {
		edges = append(edges, d.edge(fmt.Sprintf("127.0.0.%d", i+1)))
	}
	for _, p := range edges {
		p.ready(t, upstreams, 0)
		eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == edgeCount-1 })
	}
	send := func(edge int, leave time.Duration, program, body string) response {
		ctx, cancel := context.WithTimeout(context.Background(), leave)
		defer cancel()
		header := map[string]string{"Attempt-Id": fmt.Sprintf("%x", time.Now().UnixNano()), "Program-Id": program}
		return edges[edge%edgeCount].callContext(t, ctx, "POST", "/unsafe/1", body, header)
	}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var sent, refused atomic.Int64
	for caller := range 4 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := send(caller+n, harmlessTimeout, fmt.Sprint("sound", caller), fmt.Sprint("sound ", caller, " ", n))
				if a.status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
				sent.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for i := range restartRetries {
		next := time.After(restartPause)
		send(i, leave, "poison", "poison")
		<-next
	}
	stop()
	callers.Wait()
	f.mu.Lock()
	crashes := len(f.times)
	f.mu.Unlock()
	late := f.lateCrashes(contactTime)
	t.Logf("%d crashes, %d late; %d of %d harmless requests refused", crashes, late, refused.Load(), sent.Load())
	if late > maxLateCrashes {
		t.Errorf("%d upstreams ended later than %v after the third, want at most %d", late, contactTime, maxLateCrashes)
	}
	if limit := sent.Load() / 50; refused.Load() > limit {
		t.Errorf("%d of %d harmless requests were refused, want at most %d", refused.Load(), sent.Load(), limit)
	}
}

// TestCrashBehindUnregisteredRestart guards against a crash that is not counted because the
// new run at the upstream's address serves a harmless request before it registers, and
// against suspecting a request because its upstream served others on and restarted later
// (issue 35).
func TestCrashBehindUnregisteredRestart(t *testing.T) {
	t.Parallel()
	for name, crashes := range map[string]int{"crash": 1, "later restart": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			block := make(chan struct{})
			srv := faultnet.New(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if body, _ := io.ReadAll(req.Body); string(body) == "first" {
					<-block
				}
				time.Sleep(20 * time.Millisecond)
				sign(w, req)
			}))
			t.Cleanup(func() { close(block); _ = srv.Close() })
			if err := srv.Listen("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			d.register("u1", "app", srv.Addr(), "ready")
			p := d.edge("127.0.0.1")
			p.ready(t, 1, 0)
			var callers sync.WaitGroup
			for range 2 { // two connections are kept
				callers.Go(func() { p.send(t, "other") })
			}
			callers.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			p.callContext(t, ctx, "POST", "/unsafe/1", "first", map[string]string{"Attempt-Id": "first"})
			if crashes > 0 {
				srv.Drop()
				if err := srv.Listen(""); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(700 * time.Millisecond) // the first request would have ended by now
			if a := p.send(t, "other"); a.status != http.StatusOK {
				t.Errorf("harmless request: %+v", a)
			}
			d.registerRun("u1", "app", srv.Addr(), "ready", 2)
			eventually(t, "the new run is unknown", func() bool { return p.run("u1") == 2 })
			list := p.edge.Status().Suspects
			if len(list) != crashes {
				t.Errorf("suspects %+v, want %d", list, crashes)
			}
		})
	}
}

// run returns the start of the run of an upstream that an edge knows; 0: none.
func (p *process) run(id string) (startedUnixMs int64) {
	p.edge.withFleet(func(f *fleet.Fleet) {
		if m := f.Member(id); m != nil {
			startedUnixMs = m.StartedUnixMs
		}
	})
	return startedUnixMs
}
