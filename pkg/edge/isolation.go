package edge

import (
	"sync"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// isolation keeps suspected requests on separate upstreams, so that the next crash
// shows which of them caused it.
type isolation struct {
	mu        sync.Mutex
	upstreams map[string]int           // suspected requests by upstream
	running   map[identity.Request]int // attempts
}

func newIsolation() *isolation {
	return &isolation{upstreams: make(map[string]int), running: make(map[identity.Request]int)}
}

// isRunning reports whether a copy of the request is already running.
func (i *isolation) isRunning(q identity.Request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running[q] > 0
}

// occupied reports whether a suspected request is running at an upstream.
func (i *isolation) occupied(upstream string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.upstreams[upstream] > 0
}

// add changes the number of attempts of a request at an upstream by n.
func (i *isolation) add(upstream string, q identity.Request, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.occupyLocked(upstream, n)
	if i.running[q] += n; i.running[q] == 0 {
		delete(i.running, q)
	}
}

// occupyLocked changes the number of suspected requests at an upstream by n. The caller
// holds the lock.
func (i *isolation) occupyLocked(upstream string, n int) {
	if i.upstreams[upstream] += n; i.upstreams[upstream] == 0 {
		delete(i.upstreams, upstream)
	}
}

// hold keeps suspected requests from an upstream until release is called.
func (i *isolation) hold(upstream string) (release func()) {
	occupy := func(n int) {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.occupyLocked(upstream, n)
	}
	occupy(1)
	return func() { occupy(-1) }
}

// occupied reports whether this request must not use a member because it and a
// request running there are both suspected.
func (c *call) occupied(id string) bool { return c.isolated && c.e.suspects.isolation.occupied(id) }

// addIsolated records the start of an attempt at an upstream if the request is
// suspected.
func (c *call) addIsolated(id string) {
	if c.isolated {
		c.e.suspects.isolation.add(id, c.identity(), 1)
	}
}

// removeIsolated records the end of such an attempt.
func (c *call) removeIsolated(id string) {
	if c.isolated {
		c.e.suspects.isolation.add(id, c.identity(), -1)
	}
}
