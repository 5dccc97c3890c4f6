package quota

import (
	"math"
	"testing"
	"time"
)

// Sizes on the wire, in bytes, of protocol buffers with a typical address, each with the frame
// and stream headers of a request or reply; without the headers of TCP.
const (
	requestBytes = 24 + 21 + 3 + 9 + 24
	demandBytes  = 2 + 9 + 2 + 2 + 2
	replyBytes   = 24 + 3 + 9
	tokensBytes  = 2 + 9 + 2 + 3 + 3
)

// TestMessages guards against an exchange of several messages for each request, and prints
// what it costs. Traffic of the workspaces falls as 1/i.
func TestMessages(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name              string
		edges, workspaces int
		rate              float64 // requests a second of all
	}{
		{"26 edges, 85 workspaces", 26, 85, 1900},
		// A tenth of 410 edges and 41,000 workspaces: as many workspaces for each edge.
		{"41 edges, 4,100 workspaces", 41, 4100, 41 * 73},
	} {
		s := newSim(1, c.edges, Quota{})
		sum := 0.0
		var cumulated []float64
		for i := range c.workspaces {
			sum += 1 / float64(i+1)
			cumulated = append(cumulated, sum)
		}
		s.others = make(map[uint64]Quota)
		for i := range c.workspaces {
			rate := 1.6 * c.rate / float64(i+1) / sum
			s.others[mix(uint64(i+100))] = Quota{Rate: rate, Burst: math.Ceil(5 + rate)}
		}
		s.pick = func() uint64 {
			x := s.rng.Float64() * sum
			lo, hi := 0, len(cumulated)-1
			for lo < hi {
				if mid := (lo + hi) / 2; cumulated[mid] < x {
					lo = mid + 1
				} else {
					hi = mid
				}
			}
			return mix(uint64(lo + 100))
		}
		s.advance(time.Minute) // buckets of small quotas start empty and fill slowly
		s.setDemand(c.rate, 0)
		s.advance(5 * time.Second)
		s.totals()
		s.messages, s.demands, s.delays = 0, 0, nil
		const seconds = 5
		s.advance(seconds * time.Second)
		used, refused := s.totals()
		waited := 0
		for _, d := range s.delays {
			if d > 0 {
				waited++
			}
		}
		perEdge := func(n int) float64 { return float64(n) / seconds / float64(c.edges) }
		bytes := float64(s.messages)*(requestBytes+replyBytes) + float64(s.demands)*(demandBytes+tokensBytes)
		t.Logf("%s: for each edge and second %.0f requests served, %.2f refused, %.0f waited; %.0f messages sent with %.1f demands each, %.1f KB sent and received",
			c.name, perEdge(used), perEdge(refused), perEdge(waited), perEdge(s.messages),
			float64(s.demands)/float64(s.messages), bytes/seconds/float64(c.edges)/1000)
		if float64(s.messages) > 1.5*float64(used) {
			t.Errorf("%s: %d messages for %d requests", c.name, s.messages, used)
		}
	}
}
