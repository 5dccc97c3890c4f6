package soak

import (
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// pairClass is the class of faults in which two processes leave or join at the same moment.
const pairClass = "pairs"

const (
	pairEdges     = 5
	pairStorages  = 8 // two of the failure domains have two
	pairTolerated = 2
	// awayTime is how long edges that leave stay away: longer than reservations without an
	// edge count.
	awayTime = 4 * time.Second
)

// allLostFaults returns the faults that TestLostSoak draws from.
func allLostFaults() []lostFault { return append(slices.Clone(lostFaults), pairFaults...) }

// pairFaults are two changes of the same moment. On deployments that may lose one disk only,
// those that need two do nothing.
var pairFaults = []lostFault{
	{pairClass, 2, func(l *lostSoak, d drawnFault) {
		l.loseDisks(2, func() { l.replaceBoth(d.two) })
	}},
	{pairClass, 2, func(l *lostSoak, d drawnFault) {
		l.loseDisks(1, func() { l.retireBoth(d.two) })
	}},
	{pairClass, 1, func(l *lostSoak, d drawnFault) {
		l.loseDisks(2, func() { l.replaceAndRetire(d.two) })
	}},
	{pairClass, 2, func(l *lostSoak, d drawnFault) { l.leaveEdges(l.twoEdges(d), syscall.SIGTERM, d.length/2) }},
	{pairClass, 2, func(l *lostSoak, d drawnFault) { l.leaveEdges(l.twoEdges(d), syscall.SIGKILL, 0) }},
}

// joinAll starts an empty storage process in the failure domain of each given one and waits
// until all have caught up.
func (l *lostSoak) joinAll(in []*process) {
	var wg sync.WaitGroup
	for _, p := range in {
		joined := l.join(p.zone)
		wg.Go(func() { l.caughtUp(joined, 0) })
	}
	wg.Wait()
}

// replaceBoth removes two storage processes for good at the same moment. Empty ones come in
// their failure domains.
func (l *lostSoak) replaceBoth(two []*process) {
	l.concerning(true, two, func() {
		for _, p := range two {
			l.note("storage %s ends for good", p.ip)
			l.remove(p)
		}
		l.joinAll(two)
	})
}

// retireBoth retires two storage processes at the same moment, after two others have joined.
func (l *lostSoak) retireBoth(two []*process) {
	l.concerning(true, two, func() {
		l.joinAll(two)
		var wg sync.WaitGroup
		for _, p := range two {
			wg.Go(func() { l.retire(p) })
		}
		wg.Wait()
	})
}

// replaceAndRetire removes one storage process for good while another one retires.
func (l *lostSoak) replaceAndRetire(two []*process) {
	if len(two) < 2 {
		return
	}
	l.concerning(true, two, func() {
		l.joinAll(two[:1])
		var wg sync.WaitGroup
		wg.Go(func() { l.retire(two[0]) })
		l.note("storage %s ends for good", two[1].ip)
		l.remove(two[1])
		l.joinAll(two[1:])
		wg.Wait()
	})
}

// twoEdges returns the drawn edge and the next one.
func (l *lostSoak) twoEdges(d drawnFault) []*process {
	next := (slices.Index(l.edges, d.edge) + 1) % len(l.edges)
	return []*process{d.edge, l.edges[next]}
}

// leaveEdges ends edges at the same moment, with a signal and then, after grace, for good.
// Later others come at their addresses.
func (l *lostSoak) leaveEdges(edges []*process, sig syscall.Signal, grace time.Duration) {
	l.concerning(false, edges, func() {
		var wg sync.WaitGroup
		for _, p := range edges {
			wg.Go(func() {
				p.opMu.Lock()
				defer p.opMu.Unlock()
				l.note("edge %s leaves: %v, gone after %v", p.ip, sig, grace)
				p.signal(sig)
				time.Sleep(grace)
				l.countStart(p, false)
				p.kill(syscall.SIGKILL)
				time.Sleep(awayTime)
				p.start(l.bin)
			})
		}
		wg.Wait()
	})
}

// Guards against members of the ledger that wait for each other, and against reservations of
// edges that are gone (issue 41): two removals, retirements or edges that leave at the same
// moment, and then lost disks while all other processes lose power.
func TestPairsSoak(t *testing.T) {
	playLostSeeds(t, func(t *testing.T, bin string, seed uint64) *lostSoak {
		size := deployment{
			edges: envInt(t, "SOAK_EDGES", pairEdges), storages: envInt(t, "SOAK_STORAGES", pairStorages),
			tolerated: pairTolerated, tracedDisks: true, ownStores: true, config: lostConfig,
		}
		l := newFaultySoak(t, bin, seed, size)
		l.classes = []string{pairClass}
		if seed%2 == 0 {
			l.classes = append(l.classes, "edges", "power")
		}
		final := finalDisksAndPower
		l.final = &final
		return l
	})
}
