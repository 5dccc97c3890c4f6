package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// powerLoss ends processes at the same moment. Storage processes start again with what
// their disks may have kept, those in wiped with an empty disk.
func (l *lostSoak) powerLoss(seed uint64, wiped []*process, ps ...*process) {
	rng := rand.New(rand.NewPCG(seed, l.seed))
	down, allGone := outage(rng), rng.IntN(2) == 0
	ps = slices.Clone(ps)
	// A fixed order of the locks excludes a deadlock of two power losses.
	slices.SortFunc(ps, func(a, b *process) int { return cmp.Compare(a.ip, b.ip) })
	l.concerning(true, ps, func() {
		for _, p := range ps {
			p.opMu.Lock()
			defer p.opMu.Unlock()
		}
		ps := slices.DeleteFunc(slices.Clone(ps), func(p *process) bool { return p.retired })
		for _, p := range ps {
			l.countStart(p, false)
			p.signal(syscall.SIGKILL)
		}
		for _, p := range ps {
			p.kill(syscall.SIGKILL)
			if p.disk != nil {
				l.loseDisk(p, rng, allGone, slices.Contains(wiped, p))
			}
			p.writeSettings(l.soak, false)
		}
		time.Sleep(down)
		for _, p := range ps {
			p.start(l.bin)
		}
	})
}

// outage draws how long processes stay down after a power loss: mostly not at all, so
// that it meets what is in progress, sometimes longer than callers wait.
func outage(rng *rand.Rand) time.Duration {
	switch rng.IntN(8) {
	case 0:
		return lostDeadline + time.Duration(rng.IntN(1000))*time.Millisecond
	case 1, 2:
		return time.Duration(rng.IntN(1000)) * time.Millisecond
	}
	return 0
}

// loseDisk leaves on a disk what is there after a power loss.
func (l *lostSoak) loseDisk(p *process, rng *rand.Rand, allGone, wiped bool) {
	if wiped {
		l.note("disk of %s is empty", p.ip)
		if err := p.disk.wipe(); err != nil {
			l.t.Error(err)
		}
		return
	}
	lost, err := p.disk.powerLoss(rng, allGone)
	if err != nil {
		l.t.Error(err)
	}
	if len(lost) > 0 {
		l.note("disk of %s lost %s", p.ip, strings.Join(lost, ", "))
	}
}

// caughtUp waits until a process that started with an empty disk has all records and is
// a member. offset is the size of its log before the start.
func (l *lostSoak) caughtUp(p *process, offset int) {
	began := time.Now()
	for time.Since(began) < catchUpTime || !strings.Contains(p.log.String()[offset:], `"caught up"`) {
		if time.Since(began) > recoveryTime+lostServeTime {
			l.note("%s has not caught up for %v", p.ip, time.Since(began))
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.note("%s has caught up", p.ip)
}

// replace adds a storage process and takes another one out: by a retirement, or by its
// end for good.
func (l *lostSoak) replace(old *process, retire bool) {
	l.concerning(true, []*process{old}, func() {
		if !retire {
			l.note("storage %s ends for good", old.ip)
			l.remove(old)
		}
		l.caughtUp(l.join(old.zone), 0)
		if retire {
			l.retire(old)
		}
	})
}

// join starts an empty storage process in a failure domain.
func (l *lostSoak) join(zone string) *process {
	l.mu.Lock()
	l.joined++
	p := l.newProcessIn(zone, "storage", l.address(100+l.joined))
	l.faults[p] = &faultState{}
	l.mu.Unlock()
	p.writeSettings(l.soak, false)
	p.opMu.Lock()
	p.start(l.bin)
	p.opMu.Unlock()
	l.note("storage %s joins", p.ip)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storages = append(l.storages, p)
	return p
}

// retire takes a storage process out with its records.
func (l *lostSoak) retire(p *process) {
	node := "storage-" + p.ip
	l.store.Put(platform.KindRetirements, node, map[string]any{"DeadlineS": 10})
	l.note("storage %s retires", p.ip)
	for began := time.Now(); time.Since(began) < recoveryTime; time.Sleep(50 * time.Millisecond) {
		if _, status, _ := l.store.Get(platform.KindRetirements, node); strings.Contains(string(status), `"completed"`) {
			l.note("storage %s has retired", p.ip)
			l.mu.Lock()
			l.retired++
			l.mu.Unlock()
			l.remove(p)
			return
		}
	}
	l.note("storage %s has not retired in time", p.ip)
}

// remove ends a storage process for good.
func (l *lostSoak) remove(p *process) {
	p.opMu.Lock()
	defer p.opMu.Unlock()
	p.retired = true
	p.kill(syscall.SIGKILL)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storages = slices.DeleteFunc(l.storages, func(o *process) bool { return o == p })
	l.gone = append(l.gone, p)
}

// stop restarts a process.
func (l *lostSoak) stop(p *process, sig syscall.Signal) {
	l.note("%s %s: %v", p.role, p.ip, sig)
	l.concerning(p.role == "storage", []*process{p}, func() {
		l.countStart(p, sig == syscall.SIGTERM)
		l.restart(p, sig, false)
	})
}

// suspend pauses a process.
func (l *lostSoak) suspend(p *process, d time.Duration) {
	l.note("%s %s pauses for %v", p.role, p.ip, d)
	l.concerning(p.role == "storage", []*process{p}, func() { p.pause(d) })
}

// harmDisk makes a disk full, slow or unable to sync for a time.
func (l *lostSoak) harmDisk(p *process, kind, value string, d time.Duration) {
	l.note("disk of %s: %s %s for %v", p.ip, kind, value, d)
	l.concerning(true, []*process{p}, func() {
		if err := p.disk.fault(kind, value); err != nil {
			l.note("%v", err) // the disk is being replaced
		}
		time.Sleep(d)
		p.disk.repair(kind)
	})
}

// cutStore keeps processes from the store, so that their views differ from those of the
// others.
func (l *lostSoak) cutStore(ps []*process, d time.Duration) { l.cutStoreFrom(true, ps, d) }

// cutStoreFrom is cutStore. core is set if other processes count as concerned as well.
func (l *lostSoak) cutStoreFrom(core bool, ps []*process, d time.Duration) {
	l.note("%d processes are cut from the store for %v", len(ps), d)
	l.concerning(core, ps, func() {
		for _, p := range ps {
			p.storeURL.set(func(x *proxy) { x.dropAll = true })
		}
		time.Sleep(d)
		for _, p := range ps {
			p.storeURL.set(func(x *proxy) { x.dropAll = false })
			p.storeURL.reset()
		}
	})
}

// loseOneDisk runs f while it holds the right to lose one disk. It does nothing if as
// many disks are lost as the settings tolerate.
func (l *lostSoak) loseOneDisk(f func()) { l.loseDisks(1, f) }

// loseDisks is loseOneDisk for n disks at once.
func (l *lostSoak) loseDisks(n int, f func()) {
	held := 0
	defer func() {
		for range held {
			<-l.disks
		}
	}()
	for range n {
		select {
		case l.disks <- struct{}{}:
			held++
		default:
			return
		}
	}
	f()
}

// draw returns n different processes of a list, or fewer.
func draw(rng *rand.Rand, list []*process, n int) []*process {
	list = slices.Clone(list)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// injectFaults injects overlapping faults until the context ends, and waits for those
// that have begun.
func (l *lostSoak) injectFaults(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		f := l.drawFault(rng)
		wg.Go(f)
		time.Sleep(time.Duration(50+rng.IntN(800)) * time.Millisecond)
	}
}

// drawnFault is what was drawn by lot for the next fault.
type drawnFault struct {
	edge, storage *process
	upstream      *upstream
	storages      []*process // all
	two           []*process // storage processes
	some          []*process // of any role
	length        time.Duration
	seed          uint64
	share         float64 // of requests that an upstream fails
}

// lostFault is a kind of fault. SOAK_FAULTS selects kinds by their class.
type lostFault struct {
	class  string
	weight int
	begin  func(l *lostSoak, d drawnFault)
}

var lostFaults = []lostFault{
	{"edges", 1, func(l *lostSoak, d drawnFault) { l.stop(d.edge, syscall.SIGKILL) }},
	{"edges", 2, func(l *lostSoak, d drawnFault) { l.stop(d.edge, syscall.SIGTERM) }},
	{"edges", 1, func(l *lostSoak, d drawnFault) { l.suspend(d.edge, d.length) }},
	{"storages", 1, func(l *lostSoak, d drawnFault) { l.stop(d.storage, syscall.SIGKILL) }},
	{"storages", 1, func(l *lostSoak, d drawnFault) { l.stop(d.storage, syscall.SIGTERM) }},
	{"storages", 1, func(l *lostSoak, d drawnFault) { l.suspend(d.storage, d.length) }},
	{"power", 2, func(l *lostSoak, d drawnFault) {
		l.note("storage %s loses power", d.storage.ip)
		l.powerLoss(d.seed, nil, d.storage)
	}},
	{"power", 1, func(l *lostSoak, d drawnFault) {
		l.note("two storage processes lose power")
		l.powerLoss(d.seed, nil, d.two...)
	}},
	{"power", 1, func(l *lostSoak, d drawnFault) {
		l.note("all storage processes lose power")
		l.powerLoss(d.seed, nil, d.storages...)
	}},
	{"power", 1, func(l *lostSoak, d drawnFault) {
		l.note("all storage processes lose power twice")
		l.powerLoss(d.seed, nil, d.storages...)
		time.Sleep(d.length / 3) // they have created new files
		l.powerLoss(d.seed+1, nil, d.storages...)
	}},
	{"power", 1, func(l *lostSoak, d drawnFault) {
		l.note("all processes lose power")
		l.powerLoss(d.seed, nil, append(slices.Clone(l.edges), d.storages...)...)
	}},
	{"disks", 2, func(l *lostSoak, d drawnFault) {
		l.loseOneDisk(func() { l.emptyDisk(d.seed, d.storage, d.storage) })
	}},
	{"disks", 1, func(l *lostSoak, d drawnFault) {
		l.loseOneDisk(func() {
			l.note("a disk is lost, the other storage processes lose power")
			l.emptyDisk(d.seed, d.storage, d.storages...)
		})
	}},
	{"members", 1, func(l *lostSoak, d drawnFault) {
		l.loseOneDisk(func() { l.replace(d.storage, d.seed%2 == 0) })
	}},
	{"full", 1, func(l *lostSoak, d drawnFault) { l.harmDisk(d.storage, "full", "", d.length) }},
	{"full", 1, func(l *lostSoak, d drawnFault) {
		var wg sync.WaitGroup
		for _, p := range d.storages {
			wg.Go(func() { l.harmDisk(p, "full", "", d.length) })
		}
		wg.Wait()
	}},
	{"failsync", 1, func(l *lostSoak, d drawnFault) {
		l.loseOneDisk(func() { l.harmDisk(d.storage, "failsync", "", d.length) })
	}},
	{"slow", 1, func(l *lostSoak, d drawnFault) {
		l.harmDisk(d.storage, "slow", strconv.Itoa(50+int(d.seed%400)), d.length)
	}},
	{"store", 1, func(l *lostSoak, d drawnFault) { l.cutStore(d.some, d.length) }},
	{"store", 1, func(l *lostSoak, d drawnFault) {
		l.note("the store is down for %v", d.length)
		l.concerning(true, nil, func() { l.store.SetDown(true); time.Sleep(d.length); l.store.SetDown(false) })
	}},
	{"store", 1, func(l *lostSoak, d drawnFault) {
		l.note("the store is deaf for %v", d.length)
		l.concerning(true, nil, func() { l.store.SetDeaf(true); time.Sleep(d.length); l.store.Compact(); l.store.SetDeaf(false) })
	}},
	{"config", 2, func(l *lostSoak, d drawnFault) { l.nextVersion() }},
	{"upstreams", 1, func(l *lostSoak, d drawnFault) {
		d.upstream.setFaultRate(d.share)
		if d.seed%2 == 0 {
			l.concerning(true, nil, d.upstream.proxy.reset)
		}
	}},
}

// emptyDisk makes processes lose power, of which one starts with an empty disk, and
// waits until that one has caught up.
func (l *lostSoak) emptyDisk(seed uint64, wiped *process, ps ...*process) {
	offset := len(wiped.log.String())
	l.concerning(true, nil, func() {
		l.powerLoss(seed, []*process{wiped}, ps...)
		l.caughtUp(wiped, offset)
	})
}

// drawClasses returns the classes of faults of a run: those that SOAK_FAULTS lists, or
// about half of them, drawn by lot. Some faults show only if the same kind of fault
// concerns most storage processes before another one repairs their state.
func drawClasses(t *testing.T, rng *rand.Rand) []string {
	var all []string
	for _, f := range allLostFaults() {
		if !slices.Contains(all, f.class) {
			all = append(all, f.class)
		}
	}
	if v := os.Getenv("SOAK_FAULTS"); v != "" {
		list := strings.Split(v, ",")
		for _, class := range list {
			if !slices.Contains(all, class) {
				t.Fatalf("SOAK_FAULTS: unknown class %q, want some of %v", class, all)
			}
		}
		return list
	}
	var drawn []string
	for _, class := range all {
		if rng.IntN(2) == 0 {
			drawn = append(drawn, class)
		}
	}
	if len(drawn) == 0 {
		return all
	}
	return drawn
}

// drawFault draws the next fault. All random numbers are drawn here, so that a seed
// repeats the sequence.
func (l *lostSoak) drawFault(rng *rand.Rand) func() {
	storages := l.storageList()
	all := append(slices.Clone(l.edges), storages...)
	d := drawnFault{
		edge: l.edges[rng.IntN(len(l.edges))], storage: storages[rng.IntN(len(storages))],
		upstream: l.upstreams[rng.IntN(len(l.upstreams))], storages: storages,
		two: draw(rng, storages, 2), some: draw(rng, all, 1+rng.IntN(1+len(all)/3)),
		length: time.Duration(200+rng.IntN(1300)) * time.Millisecond, seed: rng.Uint64(), share: rng.Float64() * 0.3,
	}
	var weighted []lostFault
	for _, f := range allLostFaults() {
		for range f.weight {
			if slices.Contains(l.classes, f.class) {
				weighted = append(weighted, f)
			}
		}
	}
	f := weighted[rng.IntN(len(weighted))]
	return func() { f.begin(l, d) }
}
