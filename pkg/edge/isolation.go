package edge

import "sync"

// isolation keeps suspected requests apart, so that the next crash tells which of
// them it was.
type isolation struct {
	mu        sync.Mutex
	upstreams map[string]int // suspected requests by upstream
	running   map[uint64]int // attempts by fingerprint
}

func newIsolation() *isolation {
	return &isolation{upstreams: make(map[string]int), running: make(map[uint64]int)}
}

// runs reports whether a request with the fingerprint runs already.
func (i *isolation) runs(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running[fingerprint] > 0
}

// occupied reports whether a suspected request runs at an upstream.
func (i *isolation) occupied(upstream string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.upstreams[upstream] > 0
}

// add counts n more attempts of a request at an upstream.
func (i *isolation) add(upstream string, fingerprint uint64, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.upstreams[upstream] += n; i.upstreams[upstream] == 0 {
		delete(i.upstreams, upstream)
	}
	if i.running[fingerprint] += n; i.running[fingerprint] == 0 {
		delete(i.running, fingerprint)
	}
}

// occupied reports whether a member must not be used because a suspected request
// runs there beside which this one must not run.
func (c *call) occupied(id string) bool { return c.alone && c.e.suspects.isolation.occupied(id) }

// enter notes that an attempt of the request begins at an upstream.
func (c *call) enter(id string) {
	if c.alone {
		c.e.suspects.isolation.add(id, c.fingerprint(), 1)
	}
}

// leave notes that it has ended.
func (c *call) leave(id string) {
	if c.alone {
		c.e.suspects.isolation.add(id, c.fingerprint(), -1)
	}
}
