package fleet

import "testing"

// Guards against counting parts as cached that an upstream has evicted, that follow one
// that is missing, or that another run of it had.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(100)
	x, y := c.newOwner(), c.newOwner()
	prompt := []Part{{1, 512}, {2, 1000}}
	c.add(&x, prompt, 1512, 75)
	longer := []Part{{1, 512}, {2, 1300}}
	if got := c.cached(&x, longer, 50_000); got != 512+1075 {
		t.Errorf("%d tokens cached, want 1587", got)
	}
	if got := c.cached(&x, []Part{{3, 10}, {2, 1000}}, 50_000); got != 0 {
		t.Errorf("%d tokens cached behind a part that is not", got)
	}
	if got := c.cached(&y, prompt, 50_000); got != 0 {
		t.Errorf("%d tokens cached at another upstream", got)
	}
	c.add(&x, []Part{{4, 6000}}, 6000, 0)
	if got := c.cached(&x, prompt, 5000); got != 0 {
		t.Errorf("%d tokens cached although more than the cache holds was read since", got)
	}
}

// Guards against memory that grows with the upstreams and conversations.
func TestPrefixCacheIsBounded(t *testing.T) {
	c := newPrefixCache(maxCachedParts)
	owners := make([]cacheOwner, 3000)
	for i := range owners {
		owners[i] = c.newOwner()
	}
	for i := range 4 * maxCachedParts {
		c.add(&owners[i%len(owners)], []Part{{uint64(i), 1000}}, 1000, 0)
	}
	if n := c.parts.Len(); n != maxCachedParts {
		t.Errorf("%d parts, want %d", n, maxCachedParts)
	}
}
