package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// leastShare is the share of what it is owed that the users ask for the worst-served
	// failure domain on a day with trouble.
	leastShare = 0.46
	// ioTime and byteTime are the processor time that a small edge needs to read from or write
	// to a peer once, and for each byte of that: messages that share a write cost less, but are
	// not free.
	ioTime      = 800 * time.Microsecond
	byteTime    = 11 * time.Microsecond
	requestTime = 2 * time.Millisecond // to read a request and answer it
	farDelay    = 15 * time.Millisecond
	turnTime    = 60 * time.Millisecond // at the upstream
	turnLimit   = 3 * time.Second       // the time of a caller for a turn, over all tries
	maxTries    = 3
	// Time between the beginnings of programs in a failure domain, and how many times as many
	// begin in the burst.
	programPause = time.Second / 14
	burstFactor  = 2.1
	// Each loopEvery-th program sends loopWidth turns at once, of which its budget holds two.
	loopEvery, loopWidth = 5, 12
	turnsPerProgram      = 3
)

// processor is the processor time of a small machine: what uses it is done in turn.
type processor struct {
	mu   sync.Mutex
	free time.Time
}

// use takes processor time and returns once it was had; nil takes none.
func (p *processor) use(d time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(d)
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// machine is where an edge runs: its processor, its distance from the storage processes and
// whether it is cut off from them.
type machine struct {
	processor *processor // nil: as fast as this one
	delay     time.Duration
	cut       atomic.Bool
	storage   func(address string) bool
}

func (m *machine) dial(ctx context.Context, address string) (net.Conn, error) {
	m.processor.use(3 * ioTime)
	for m.cut.Load() && m.storage(address) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &machineConn{Conn: c, machine: m, toStorage: m.storage(address)}, nil
}

// machineConn is a connection of a machine to a peer. It is silent while the machine is cut off.
type machineConn struct {
	net.Conn
	machine   *machine
	toStorage bool
	closed    atomic.Bool
}

func (c *machineConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *machineConn) awaitLink() {
	for c.toStorage && c.machine.cut.Load() && !c.closed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *machineConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.awaitLink()
	time.Sleep(c.machine.delay)
	c.machine.processor.use(ioTime + time.Duration(n)*byteTime)
	return n, err
}

func (c *machineConn) Write(b []byte) (int, error) {
	c.awaitLink()
	time.Sleep(c.machine.delay)
	c.machine.processor.use(ioTime + time.Duration(len(b))*byteTime)
	return c.Conn.Write(b)
}

// domain is a failure domain with its callers, who come to its edges.
type domain struct {
	t        *testing.T
	name     string
	edges    []*process
	machines []*machine
	owed     atomic.Int64 // programs that their budgets hold
	served   atomic.Int64
	statuses sync.Map // status to *atomic.Int64
}

// turn sends a turn until it is served, refused for good or its time is over, each time at
// another edge of the domain than before.
func (d *domain) turn(id, program string, budget int) (status int) {
	deadline, edge := time.Now().Add(turnLimit), rand.IntN(len(d.edges))
	for try := range maxTries {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		edge = (edge + 1) % len(d.edges)
		d.machines[edge].processor.use(requestTime)
		ctx, cancel := context.WithDeadline(d.t.Context(), deadline)
		a := d.edges[edge].callContext(d.t, ctx, "POST", "/history/1", "A", map[string]string{
			"Attempt-Id": fmt.Sprint(id, "-", try), "Program-Id": program, "Token-Budget": strconv.Itoa(budget), "Token-Count": "10,70",
			"Deadline-Ms": strconv.FormatInt(time.Until(deadline).Milliseconds(), 10),
		})
		cancel()
		status = a.status
		n, _ := d.statuses.LoadOrStore(status, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		if a.whole() || status == http.StatusPaymentRequired {
			return status
		}
		wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), left/3))
	}
	return status
}

// program runs a program and counts it if its budget holds all of its turns.
func (d *domain) program(n int) {
	name := fmt.Sprint(d.name, "-", n)
	if n%loopEvery == 0 {
		var wg sync.WaitGroup
		for i := range loopWidth {
			wg.Go(func() { d.turn(fmt.Sprint(name, "-", i), name, 2*70) })
		}
		wg.Wait()
		return
	}
	d.owed.Add(1)
	for i := range turnsPerProgram {
		if d.turn(fmt.Sprint(name, "-", i), name, 1000) != http.StatusOK {
			return
		}
	}
	d.served.Add(1)
}

// play begins programs at the rate that burst tells of until stop.
func (d *domain) play(stop context.Context, burst *atomic.Bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 1; stop.Err() == nil; n++ {
		wg.Go(func() { d.program(n) })
		pause := programPause
		if burst.Load() {
			pause = time.Duration(float64(pause) / burstFactor)
		}
		time.Sleep(pause/2 + rand.N(pause))
	}
}

func (d *domain) share() float64 { return float64(d.served.Load()) / float64(d.owed.Load()) }

// startMachine starts an edge on a machine.
func (d *deployment) startMachine(ip, domain string, m *machine) *process {
	d.t.Helper()
	s := d.settings(ip)
	s.FailureDomain, s.Region, s.DisksToLose = domain, domain[:1], 2
	s.RegionOf = map[string]string{"a1": "a", "b1": "b"}
	e, err := newEdge(s, d.logger(), m.dial)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.run(s, e, e.Run)
}

// TestSmallEdgesFarFromStorageAreStarved guards against a failure domain whose edges have
// little processor time and earn less than half of what they are owed, since each turn costs
// them too much and nothing that they begin ends in time (issue 44): members of the ledger
// are added, retired and wiped while a third of the edges is cut off from it, in a burst.
func TestSmallEdgesFarFromStorageAreStarved(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		events(w, req, 1, 2)
		time.Sleep(turnTime)
		fmt.Fprint(w, "id: 3\ndata: word3\n\n")
	})
	toStorage := func(address string) bool {
		host, _, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(strings.TrimPrefix(host, "127.0.0."))
		return n >= 11
	}
	near, far := &domain{t: t, name: "near"}, &domain{t: t, name: "far"}
	for i := range 4 {
		m := &machine{storage: toStorage}
		near.machines = append(near.machines, m)
		near.edges = append(near.edges, d.startMachine(fmt.Sprintf("127.0.0.%d", 1+i), "a1", m))
	}
	for i := range 2 {
		m := &machine{storage: toStorage, processor: &processor{}, delay: farDelay}
		far.machines = append(far.machines, m)
		far.edges = append(far.edges, d.startMachine(fmt.Sprintf("127.0.0.%d", 5+i), "b1", m))
	}
	stores := d.spreadStorages(t, near.edges[0], 2, "a1", "a1", "a1", "a1", "a1")
	for _, e := range append(near.edges, far.edges...) {
		e.ready(t, 1, len(stores))
	}

	stop, end := context.WithTimeout(t.Context(), 16*time.Second)
	defer end()
	burst := &atomic.Bool{}
	var wg sync.WaitGroup
	for _, dom := range []*domain{near, far} {
		wg.Go(func() { dom.play(stop, burst) })
	}
	at := func(after time.Duration, f func()) { time.AfterFunc(after, f) }
	at(2*time.Second, func() {
		for _, m := range near.machines[:2] {
			m.cut.Store(true)
		}
	})
	at(10*time.Second, func() {
		for _, m := range near.machines[:2] {
			m.cut.Store(false)
		}
	})
	at(3*time.Second, func() { burst.Store(true) })
	at(8*time.Second, func() { burst.Store(false) })
	for i := range 2 {
		s := d.settings(fmt.Sprintf("127.0.0.%d", 18+i))
		s.DataDir, s.FailureDomain, s.DisksToLose, s.FirstStart = t.TempDir(), "a1", 2, false
		time.Sleep(time.Second / 2)
		d.storageWith(s)
	}
	time.Sleep(4 * time.Second)
	d.store.Put(platform.KindRetirements, stores[0].settings.Node, map[string]any{"DeadlineS": retirementTime.Seconds()})
	stores[1].stop()
	wiped := *stores[1].settings
	wiped.DataDir, wiped.FirstStart = t.TempDir(), false
	time.Sleep(time.Second / 2)
	d.storageWith(&wiped)
	wg.Wait()
	for _, dom := range []*domain{near, far} {
		counts := make(map[any]int64)
		dom.statuses.Range(func(status, n any) bool { counts[status] = n.(*atomic.Int64).Load(); return true })
		t.Logf("%s: %d of %d programs served, tries by status %v", dom.name, dom.served.Load(), dom.owed.Load(), counts)
		if dom.share() < leastShare {
			t.Errorf("the programs of domain %s are served to %.2f, want at least %.2f", dom.name, dom.share(), leastShare)
		}
	}
}
