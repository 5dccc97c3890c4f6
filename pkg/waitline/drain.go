package waitline

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the waiting time after which what was served counts half. Bursts
	// last a few seconds.
	drainHalfLife = time.Second
	// firstServed and firstTime are what is assumed before anything was served: 20
	// requests a second. Two requests weigh little against the first measurements.
	firstServed = 2.0
	firstTime   = 100 * time.Millisecond
)

// drain measures how many requests a line serves in a second while requests wait.
type drain struct {
	count   float64 // requests served, of decreasing weight
	seconds float64 // in which requests waited, of the same weight
	at      time.Time
}

// advance moves the measurement to now. waited is set if requests waited since.
func (d *drain) advance(now time.Time, waited bool) {
	dt := now.Sub(d.at).Seconds()
	first := d.at.IsZero()
	if !first && dt <= 0 {
		return
	}
	d.at = now
	if first || !waited {
		return
	}
	rest := math.Exp2(-dt / drainHalfLife.Seconds())
	d.count *= rest
	d.seconds = d.seconds*rest + (1-rest)*drainHalfLife.Seconds()/math.Ln2
}

// served counts requests that were served; a negative number takes some back.
func (d *drain) served(n float64) { d.count = max(d.count+n, 0) }

// perSecond returns the requests that are served in a second.
func (d *drain) perSecond() float64 {
	return (d.count + firstServed) / (d.seconds + firstTime.Seconds())
}

// shareOf returns the part of the service that the class of a request gets among the classes of
// its priority that have waiting requests.
func (l *Line) shareOf(r Request) float64 {
	own, total, classes := 0.0, 0.0, 1
	for _, w := range l.workspaces {
		if w.name == r.Workspace {
			own = l.weight(w)
			for _, c := range w.classes {
				if len(c.tickets) > 0 && c.name != r.Class {
					classes++
				}
			}
		} else if w.waiting > 0 && w.hasPriority(r.priority()) {
			total += l.weight(w)
		}
	}
	if own == 0 {
		own = l.weight(&workspace{name: r.Workspace})
	}
	return own / (own + total) / float64(classes)
}

// wait returns how long a request would wait if it joined.
func (l *Line) wait(r Request) time.Duration {
	before, equal, own := 0, 0, 0
	for _, w := range l.workspaces {
		for _, c := range w.classes {
			for _, t := range c.tickets {
				switch {
				case t.Request.priority() < r.priority():
					before++
				case t.Request.priority() == r.priority():
					equal++
				}
				if w.name == r.Workspace && c.name == r.Class && t.before(r) {
					own++
				}
			}
		}
	}
	if before+equal == 0 {
		return 0
	}
	ahead := float64(before) + min(float64(equal), float64(own)/l.shareOf(r))
	return time.Duration(ahead / l.drain.perSecond() * float64(time.Second))
}

// before reports whether a waiting request is served before another one of its class.
func (t *Ticket) before(r Request) bool {
	if a, b := t.rank(), r.rank(); a != b {
		return a < b
	}
	return !t.Due.After(r.Due)
}
