package ratelimit

import "time"

// Span is a part of the interval [0, 1), which stands for a whole limit. It contains
// From but not To.
type Span struct{ From, To float64 }

// contains reports whether the span contains a position.
func (s Span) contains(x float64) bool { return s.From <= x && x < s.To }

// width returns the fraction of a limit that the span stands for.
func (s Span) width() float64 { return max(s.To-s.From, 0) }

// Shares is the part of each limit that one entry may use. The shares of all entries are
// disjoint if they come from one coordinator.
type Shares struct {
	Base Span // of every upstream
	// Grants holds a further part of the upstreams of a region, by region.
	Grants map[string]Span
}

// EqualShares returns the shares of the entry at an index among count entries that have
// no coordinator.
func EqualShares(index, count int) Shares {
	n := float64(max(count, 1))
	return Shares{Base: Span{float64(index) / n, float64(index+1) / n}}
}

// Width returns the fraction of a limit in a region.
func (s Shares) Width(region string) float64 { return s.Base.width() + s.Grants[region].width() }

func (s Shares) contains(region string, x float64) bool {
	return s.Base.contains(x) || s.Grants[region].contains(x)
}

const (
	// permitTTL is how long a permit can be used at a high rate.
	permitTTL = time.Second
	// maxPermitTTL limits the time to live of a permit. It grows with the time between two
	// permits, so that a low limit can be used by entries with few requests.
	maxPermitTTL = 4 * time.Second
	// minRate is the rate in requests a second at which an upstream with a lower limit
	// is still used: only a response tells that the limit has ended.
	minRate = 0.05
	// maxRate bounds the rate in requests a second that is enforced, and with it the
	// work for one upstream.
	maxRate = 100_000
	// maxPermits limits the unused permits of one upstream.
	maxPermits = 1024
)

// golden is 2^64 divided by the golden ratio. Its multiples, modulo 2^64, are spread
// evenly over any span, in any stretch of consecutive slots.
const golden = 0x9E3779B97F4A7C15

// slotPosition returns the position in [0, 1) of one slot of a limit: the slot belongs
// to the entry whose shares contain it.
func slotPosition(slot int64, phase uint64) float64 {
	const bits = 53 // of a float64
	return float64((uint64(slot)*golden+phase)>>(64-bits)) / (1 << bits)
}

// rate returns the enforced rate in requests a second.
func (l *Limit) rate() float64 { return min(max(l.reading.PerSecond, minRate), maxRate) }

// ttl returns how long a permit can be used, in seconds.
func (l *Limit) ttl() float64 {
	return min(permitTTL.Seconds()+1/l.rate(), maxPermitTTL.Seconds())
}
