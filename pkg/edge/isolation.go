package edge

// isolation keeps suspected requests apart, so that the next crash tells which of
// them it was.
type isolation struct {
	upstreams map[string]int // suspected requests by upstream
	running   map[uint64]int // attempts by fingerprint
}

func newIsolation() isolation {
	return isolation{upstreams: make(map[string]int), running: make(map[uint64]int)}
}

// runs reports whether a request with the fingerprint runs already.
func (i *isolation) runs(fingerprint uint64) bool { return i.running[fingerprint] > 0 }

// occupied reports whether a suspected request runs at an upstream.
func (i *isolation) occupied(upstream string) bool { return i.upstreams[upstream] > 0 }

func (i *isolation) enter(upstream string, fingerprint uint64) {
	i.upstreams[upstream]++
	i.running[fingerprint]++
}

func (i *isolation) leave(upstream string, fingerprint uint64) {
	if i.upstreams[upstream]--; i.upstreams[upstream] <= 0 {
		delete(i.upstreams, upstream)
	}
	if i.running[fingerprint]--; i.running[fingerprint] <= 0 {
		delete(i.running, fingerprint)
	}
}
