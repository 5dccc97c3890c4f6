package quota

import (
	"slices"
	"testing"
	"time"
)

// span is a time in which a limit was in force at some edge.
type span struct {
	from, to Time
	limit    float64
}

// excess returns the largest number of requests above the limit in any window of the given
// length, which may be negative, and the start of that window. The limit of a window is the
// largest one in force at any time in it.
func excess(times []Time, window time.Duration, limits []span) (worst float64, at Time) {
	times = slices.Sorted(slices.Values(times))
	worst = -1e9
	first := 0
	for i, t := range times {
		for t-times[first] >= window {
			first++
		}
		// All windows from times[first] to t at least; the latest of them starts at
		// times[first], the earliest ends at t.
		limit := 0.0
		for _, s := range limits {
			if s.from <= t && s.to > times[first] {
				limit = max(limit, s.limit)
			}
		}
		if d := float64(i-first+1) - limit; d > worst {
			worst, at = d, times[first]
		}
	}
	return worst, at
}

// TestExcess guards against a checker that misses a window: one that does not start at a
// multiple of anything, one over a change of the limit, and one request too many.
func TestExcess(t *testing.T) {
	t.Parallel()
	always := []span{{0, time.Hour, 3}}
	ms := func(list ...int) (out []Time) {
		for _, v := range list {
			out = append(out, time.Duration(v)*time.Millisecond)
		}
		return out
	}
	for _, c := range []struct {
		name   string
		times  []Time
		limits []span
		want   float64
	}{
		{"at the limit", ms(0, 100, 200, 1000), always, 0},
		{"one too many across whole seconds", ms(900, 950, 1800, 1899), always, 1},
		{"a window does not contain its end", ms(900, 950, 1800, 1900), always, 0},
		{"unsorted", ms(1899, 900, 1800, 950), always, 1},
		{"after a reduction", ms(0, 2000, 2100, 2200), []span{{0, 1900 * time.Millisecond, 3}, {time.Second, time.Hour, 2}}, 1},
		{"across a reduction", ms(1800, 2000, 2100), []span{{0, 1900 * time.Millisecond, 3}, {time.Second, time.Hour, 2}}, 0},
	} {
		if got, _ := excess(c.times, time.Second, c.limits); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}
