package waitline

import (
	"math"
	"time"
)

const (
	// usualHalfLife is the time after which requests count half in the usual traffic of a
	// workspace. It is long against a burst of some seconds: a workspace that sends seven
	// times its usual traffic for 6.5 s raises its weight by a quarter.
	usualHalfLife = 2 * time.Minute
	// unknownWeight is the number of recent requests that a workspace counts with in
	// addition, so that one without any gets a share, too.
	unknownWeight = 10.0
	// learningTime is how long traffic is measured before it counts: until then all
	// workspaces weigh the same, since a burst is all that a new process has seen.
	learningTime = 30 * time.Second
	// maxUsual bounds the workspaces whose traffic is kept.
	maxUsual = 4096
)

// Usual measures the usual traffic of workspaces, which gives their shares.
type Usual struct {
	recent  map[string]*recent
	began   time.Time
	learned bool // learningTime has passed since began
}

// recent counts the requests of one workspace, with a weight that halves in usualHalfLife.
type recent struct {
	count float64
	at    time.Time
}

// NewUsual returns a Usual without traffic.
func NewUsual() *Usual { return &Usual{recent: make(map[string]*recent)} }

// Add records a request of a workspace.
func (u *Usual) Add(workspace string, now time.Time) {
	if u.began.IsZero() {
		u.began = now
	}
	u.learned = u.learned || now.Sub(u.began) >= learningTime
	r := u.recent[workspace]
	if r == nil {
		if len(u.recent) >= maxUsual {
			u.forgetLeast(now)
		}
		r = &recent{at: now}
		u.recent[workspace] = r
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

// decayed returns the count as of now.
func (r *recent) decayed(now time.Time) float64 {
	return r.count * math.Exp2(-now.Sub(r.at).Seconds()/usualHalfLife.Seconds())
}

// weight returns the weight of a workspace. Its traffic counts as of its last request.
func (u *Usual) weight(workspace string) float64 {
	if r := u.recent[workspace]; r != nil && u.learned {
		return r.count + unknownWeight
	}
	return unknownWeight
}

// forgetLeast removes the workspaces whose traffic is not above the mean.
func (u *Usual) forgetLeast(now time.Time) {
	total := 0.0
	for _, r := range u.recent {
		total += r.decayed(now)
	}
	mean := total / float64(len(u.recent))
	for name, r := range u.recent {
		if r.decayed(now) <= mean {
			delete(u.recent, name)
		}
	}
}
