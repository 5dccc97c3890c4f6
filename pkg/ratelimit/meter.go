package ratelimit

import "time"

// Window is the time over which requests to a limited upstream are counted.
const Window = 4 * time.Second

// Cause says why a request was sent to an upstream.
type Cause int

// Causes of requests.
const (
	First  Cause = iota // first attempt of a caller's request, placed by load
	Cached              // first attempt, placed where the prompt is cached
	Retry               // a later attempt of the same request
	causes
)

// String implements fmt.Stringer.
func (c Cause) String() string { return [...]string{"first", "cached", "retry"}[c] }

// meterStep is the resolution of a Meter.
const meterStep = Window / 8

// Counts holds numbers of requests by cause.
type Counts [causes]int

// Total returns the number of requests of all causes.
func (c Counts) Total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Meter counts the requests of the last Window by cause. The zero value is empty.
type Meter struct {
	steps [Window / meterStep]Counts
	// newest is the number of the newest step since the zero time of the callers.
	newest int64
}

// Add counts a request. at is the time since any fixed point.
func (m *Meter) Add(c Cause, at time.Duration) {
	m.advance(at)
	m.steps[m.newest%int64(len(m.steps))][c]++
}

// Counts returns the requests of the last Window.
func (m *Meter) Counts(at time.Duration) Counts {
	m.advance(at)
	var sum Counts
	for _, step := range m.steps {
		for c, n := range step {
			sum[c] += n
		}
	}
	return sum
}

// advance discards the steps that have left the window.
func (m *Meter) advance(at time.Duration) {
	now := int64(at / meterStep)
	n := int64(len(m.steps))
	for step := max(m.newest+1, now-n+1); step <= now; step++ {
		m.steps[step%n] = Counts{}
	}
	m.newest = max(m.newest, now)
}
