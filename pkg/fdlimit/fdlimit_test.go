package fdlimit

import "testing"

// Guards against shares that together exceed the descriptors, and against a share of callers
// below what the smallest edge of the users serves.
func TestShares(t *testing.T) {
	for _, n := range []int{0, 1, 300, 1000, 3075, 10250} {
		for role, s := range map[string]Shares{"edge": ForEdge(n), "storage": ForStorage(n)} {
			if sum := s.Callers + s.Upstreams + s.Peers; n == 0 && sum != 0 || n >= 300 && sum > n-reserved {
				t.Errorf("%s with %d descriptors: %+v", role, n, s)
			}
		}
	}
	if s := ForEdge(3075); s.Callers < 2000 {
		t.Errorf("smallest edge: %+v", s)
	}
}
