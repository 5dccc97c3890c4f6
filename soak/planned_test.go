package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// plannedBound is the time within which a change of the configuration or of an
	// upstream's state must take effect after the store acknowledged it.
	plannedBound = 3 * time.Second
	// plannedTime is longer than plannedBound, to check requests sent after it.
	plannedTime = 5 * time.Second
	// plannedPause is the time between the restarts of two edges.
	plannedPause = 300 * time.Millisecond
)

// checkPlannedStops restarts the edges one after the other, while the configuration
// changes, an upstream drains and callers use persistent connections. No request may be
// cut, and none that is sent after plannedBound may reach the draining upstream or the
// previous service.
func (s *soak) checkPlannedStops(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	s.configure(s.version + 1)
	leaving := s.upstreams[0]
	for _, u := range s.upstreams {
		if _, service := u.identity(); service == movedService(s.version) {
			leaving = u
		}
	}
	drained, _ := leaving.identity()
	s.register(leaving, "draining")
	inForce := time.Now().Add(plannedBound)
	for n := range callers {
		wg.Go(func() {
			s.persistentCaller(ctx, fmt.Sprintf("%d-%d", seed, n), s.edges[n%len(s.edges)], drained, inForce)
		})
	}
	for _, e := range s.edges[:min(len(s.edges), plannedStops)] {
		s.restart(e, syscall.SIGTERM, false)
		s.waitReady()
		time.Sleep(plannedPause)
	}
	time.Sleep(time.Until(inForce.Add(plannedTime - plannedBound)))
	cancel()
	wg.Wait()
	s.register(leaving, "ready")
}

// persistentCaller sends requests to an edge on a persistent connection until the context
// ends.
func (s *soak) persistentCaller(ctx context.Context, name string, e *process, leaving string, inForce time.Time) {
	kept := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 4 * time.Second}
	defer kept.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("kept-%s-%d", name, i)
		s.runs.expect(id, "x")
		sent := time.Now()
		connected, err := s.sendPersistent(kept, e, id)
		if !connected {
			time.Sleep(10 * time.Millisecond) // the edge is restarting
			continue
		}
		for _, r := range s.runs.runsOf(id) {
			if err != nil {
				s.runs.addViolation("%s was cut in a planned stop: %v", id, err)
			}
			if sent.After(inForce) && r.upstream == leaving {
				s.runs.addViolation("%s ran at %s, which drains", id, leaving)
			}
			if want := movedService(s.version); sent.After(inForce) && r.service != want {
				s.runs.addViolation("%s ran at service %s, want %s", id, r.service, want)
			}
		}
	}
}

// sendPersistent sends a request on a persistent connection. connected is false if the
// edge accepted no connection.
func (s *soak) sendPersistent(kept *http.Client, e *process, id string) (connected bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller+"/moved/x", strings.NewReader("x"))
	if err != nil {
		return false, err
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := kept.Do(req)
	if err != nil {
		return connected, err
	}
	defer resp.Body.Close()
	if _, err = io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusServiceUnavailable {
		s.runs.recordRefusal(id, resp.Status)
	}
	return connected, err
}
