package waitline

import (
	"cmp"
	"slices"
	"time"
)

// maxIdle bounds the workspaces without waiting requests whose past use of the service is
// remembered.
const maxIdle = 1024

// minCharge is the smallest service time that a served request counts with.
const minCharge = time.Millisecond

// workspace is the part of a line that one workspace uses.
type workspace struct {
	name    string
	classes []*class
	waiting int
	// used is the service time of the served requests divided by the weight. The
	// workspace with the smallest one is served next.
	used float64
}

// class holds the waiting requests of one class of a workspace, in the order in which they
// are served.
type class struct {
	name    string
	owner   *workspace
	tickets []*Ticket
	used    float64 // service time of the served requests
}

// charge adds the service time of a request; a negative one takes an earlier charge back.
func (c *class) charge(work time.Duration, weight float64) {
	s := work.Seconds()
	if work >= 0 {
		s = max(s, minCharge.Seconds())
	} else {
		s = min(s, -minCharge.Seconds())
	}
	c.used += s
	c.owner.used += s / weight
}

// priority returns the priority of the first waiting request.
func (c *class) priority() int { return c.tickets[0].Request.priority() }

func (l *Line) workspace(name string) *workspace {
	w := l.workspaces[name]
	if w == nil {
		w = &workspace{name: name}
		l.workspaces[name] = w
	}
	return w
}

func (w *workspace) class(name string) *class {
	i := slices.IndexFunc(w.classes, func(c *class) bool { return c.name == name })
	if i < 0 {
		w.classes = append(w.classes, &class{name: name, owner: w})
		i = len(w.classes) - 1
	}
	return w.classes[i]
}

// weight returns the weight of a workspace among the others.
func (l *Line) weight(w *workspace) float64 {
	if l.cfg.Usual == nil {
		return 1
	}
	return l.cfg.Usual.weight(w.name)
}

// activate prepares a class for its first waiting request. A workspace or class that had no
// waiting requests gets no credit for the service that it did not use in the meantime.
func (l *Line) activate(c *class, priority int) {
	first := true
	least := 0.0
	for _, w := range l.workspaces {
		if w.waiting > 0 && w != c.owner && w.hasPriority(priority) && (first || w.used < least) {
			least, first = w.used, false
		}
	}
	if c.owner.waiting == 0 && !first {
		c.owner.used = max(c.owner.used, least)
	}
	first = true
	for _, other := range c.owner.classes {
		if other != c && len(other.tickets) > 0 && (first || other.used < least) {
			least, first = other.used, false
		}
	}
	if !first {
		c.used = max(c.used, least)
	}
}

func (w *workspace) hasPriority(p int) bool {
	return slices.ContainsFunc(w.classes, func(c *class) bool { return len(c.tickets) > 0 && c.priority() == p })
}

// order returns the classes with waiting requests in the order in which they are served.
func (l *Line) order() []*class {
	var list []*class
	for _, w := range l.workspaces {
		for _, c := range w.classes {
			if len(c.tickets) > 0 {
				list = append(list, c)
			}
		}
	}
	slices.SortFunc(list, func(a, b *class) int {
		return cmp.Or(
			cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.owner.used, b.owner.used), cmp.Compare(a.owner.name, b.owner.name),
			cmp.Compare(a.used, b.used), cmp.Compare(a.name, b.name),
		)
	})
	return list
}

// countOf and bytesOf return what a request uses of the limits on the number and on the memory of
// waiting requests.
func countOf(*Ticket) float64   { return 1 }
func bytesOf(t *Ticket) float64 { return float64(t.Bytes) }

// evict removes and returns the request that is refused first while the line is full: the
// last one of the class that uses most compared with its share of limit. If no class uses
// more than its share, it is the new request.
func (l *Line) evict(use func(*Ticket) float64, limit float64, added *Ticket) *Ticket {
	total, active := 0.0, l.order()
	classes := make(map[*workspace]int)
	for _, c := range active {
		if classes[c.owner]++; classes[c.owner] == 1 {
			total += l.weight(c.owner)
		}
	}
	victim, most := added, 1.0
	for _, c := range active {
		held := 0.0
		for _, t := range c.tickets {
			held += use(t)
		}
		share := limit * l.weight(c.owner) / total / float64(classes[c.owner])
		if over := held / share; over > most {
			victim, most = c.tickets[len(c.tickets)-1], over
		}
	}
	l.remove(victim)
	return victim
}

// prune forgets the past use of workspaces once nobody waits, or if there are too many.
func (l *Line) prune() {
	if l.waiting > 0 && len(l.workspaces) <= l.cfg.MaxWaiting+maxIdle {
		return
	}
	for name, w := range l.workspaces {
		if w.waiting == 0 {
			delete(l.workspaces, name)
		}
	}
}
