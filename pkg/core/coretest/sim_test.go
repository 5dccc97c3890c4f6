package coretest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/quarantine"
)

const simSlots = 4

// sim runs several cores against a simulated store, simulated sidecars and
// callers. All random choices come from pick, so that a run depends only on
// them.
type sim struct {
	pick   func(n int) int // in [0, n)
	policy func(seed uint64) core.Policy
	faults core.Faults
	now    time.Time
	clock  int64 // logical time, incremented at every event and register operation

	poison   bool // some requests crash every upstream; there are no other crashes
	crashes  int  // caused by such requests
	storeUp  bool
	nodes    []*node // all incarnations, including dead ones
	starts   int
	owner    map[core.Slot]*node
	epoch    map[core.Slot]core.Epoch
	journals []*journal
	sidecars []*sidecar
	configs  []core.Config

	requests []*request
	calls    map[core.CallID]*sentCall
	attempts map[core.AttemptID]*attempt
	programs []*simProgram
	lastCall int

	registers  registers
	violations []violation
}

// violation is a failed check.
type violation struct{ check, text string }

// node is one incarnation of an entry.
type node struct {
	core    *core.Core
	policy  *recordingPolicy
	inc     core.Incarnation
	seed    uint64
	paused  bool
	dead    bool
	sealed  bool // JournalSealed was delivered
	inbox   map[string][]core.Event
	events  []core.Event    // all events in order, for replay
	effects [][]core.Effect // effects of each event
	log     *journal

	quarantined   bool // it knows of the quarantine of the poisonous requests
	configVersion uint64
	configOps     []porcupine.Operation
	releasing     []core.Slot // slots of a planned hand-over in progress
	releaseTo     *node
}

// journal is the journal of one incarnation in the simulated store, with the
// batches that a peer in the retention set holds.
type journal struct {
	inc      core.Incarnation
	batches  []core.AppendJournal
	stored   int // batches in the store
	retained int // batches that the peer holds
	sealed   bool
	extra    []core.Record // hand-over records
}

// durable returns the records that a successor can read.
func (j *journal) durable() []core.Record {
	var out []core.Record
	for i, b := range j.batches[:max(j.stored, j.retained)] {
		for _, r := range b.Records {
			r.Retained = i >= j.stored
			out = append(out, r)
		}
	}
	return append(out, j.extra...)
}

type simProgram struct {
	id      core.ProgramID // empty for a child until its open is acknowledged
	name    string
	root    *simProgram
	parent  *simProgram
	caller  string
	opened  bool // acknowledged
	ended   bool // an end was requested
	next    int
	tokens  int64 // prompt and output tokens used at upstreams
	runs    int64
	profile string
}

// request is an operation that a caller wants to run once. Each time it is sent
// is a sentCall.
type request struct {
	program       *simProgram
	call          core.Call
	nonIdempotent bool
	runs          int
	answers       []string
	sent          int
}

// sentCall is one transmission of a request to a node.
type sentCall struct {
	req    *request // nil for opens and ends
	node   *node
	prog   *simProgram
	number int
	final  bool
	notRun bool
	opens  bool
}

// recordingPolicy records the version of the configuration that the core
// applies.
type recordingPolicy struct {
	core.Policy
	version uint64
}

func (p *recordingPolicy) Configure(cfg core.Config) {
	p.version = cfg.Version
	p.Policy.Configure(cfg)
}

func (s *sim) newPolicy(seed uint64) *recordingPolicy {
	return &recordingPolicy{Policy: s.policy(seed)}
}

// pinningPolicy returns a fifoPolicy that pins the cache of each program.
func pinningPolicy(uint64) core.Policy {
	p := newPolicy()
	p.pin = 20 * time.Second
	return p
}

func newSim(pick func(int) int, policy func(uint64) core.Policy, faults core.Faults) *sim {
	s := &sim{
		pick: pick, policy: policy, faults: faults, now: startTime, storeUp: true, lastCall: 0,
		owner: map[core.Slot]*node{}, epoch: map[core.Slot]core.Epoch{},
		calls: map[core.CallID]*sentCall{}, attempts: map[core.AttemptID]*attempt{},
	}
	cfg := baseConfig()
	cfg.SlotCount = simSlots
	std := cfg.Profiles["std"]
	std.IdleTimeout = 2 * time.Minute
	std.ClaimWait = 10 * time.Second
	tight := std
	tight.Name = "tight"
	tight.Budget = core.Budget{Tokens: 600, Calls: 10, WallTime: 3 * time.Minute, Width: 2, Depth: 1}
	wide := std
	wide.Name = "wide"
	wide.Budget = core.Budget{Tokens: 2560} // calls of up to 2560/64 = 40 tokens need no durable reservation
	cfg.Profiles = map[string]core.Profile{"std": std, "tight": tight, "wide": wide}
	booking := cfg.Services["booking"]
	booking.OutcomeByKey = true
	cfg.Services = map[string]core.ServiceSpec{"booking": booking}
	for v := range 4 {
		cfg.Version = uint64(v + 1)
		s.configs = append(s.configs, cfg)
	}
	for _, id := range []core.UpstreamID{"m1", "m2", "m3", "b1", "b2"} {
		s.sidecars = append(s.sidecars, newSidecar(id))
	}
	for range 3 {
		s.start()
	}
	for slot := range core.Slot(simSlots) {
		s.transferSlots(s.nodes[int(slot)%2], []core.Slot{slot}, nil, false)
	}
	return s
}

func (s *sim) fail(check, format string, args ...any) {
	s.violations = append(s.violations, violation{check, fmt.Sprintf(format, args...)})
}

func (s *sim) at() core.At { return core.At{Time: s.now} }

// start adds a new incarnation of an entry.
func (s *sim) start() *node {
	s.starts++
	n := &node{
		policy: s.newPolicy(uint64(s.starts)), inc: core.Incarnation(fmt.Sprintf("e%d.1", s.starts)), seed: uint64(s.starts),
		inbox: map[string][]core.Event{},
	}
	n.core = core.New(core.Options{Self: n.inc, Seed: n.seed, Policy: n.policy, Faults: s.faults})
	n.log = &journal{inc: n.inc}
	s.journals = append(s.journals, n.log)
	s.nodes = append(s.nodes, n)
	s.step(n, core.ConfigApplied{At: s.at(), Config: s.configs[s.pick(len(s.configs))]})
	for _, sc := range s.sidecars {
		s.step(n, core.UpstreamChanged{At: s.at(), Info: sc.info()})
	}
	return n
}

// live returns the nodes that are neither dead, paused nor sealed.
func (s *sim) live() []*node {
	var out []*node
	for _, n := range s.nodes {
		if !n.dead && !n.paused && !n.sealed {
			out = append(out, n)
		}
	}
	return out
}

func (s *sim) send(n *node, lane string, e core.Event) {
	if !n.dead {
		n.inbox[lane] = append(n.inbox[lane], e)
	}
}

// deliver gives a node the oldest event of one of its lanes. A lane is a queue
// of events from one source, which arrive in order.
func (s *sim) deliver(n *node) bool {
	lanes := sortedKeys(n.inbox)
	if len(lanes) == 0 || n.paused || n.dead {
		return false
	}
	lane := lanes[s.pick(len(lanes))]
	e := n.inbox[lane][0]
	if n.inbox[lane] = n.inbox[lane][1:]; len(n.inbox[lane]) == 0 {
		delete(n.inbox, lane)
	}
	s.step(n, e)
	return true
}

// step gives a node an event and carries out the effects.
func (s *sim) step(n *node, e core.Event) {
	s.clock++
	n.events = append(n.events, e)
	out := n.core.Step(e)
	n.effects = append(n.effects, out)
	if q, ok := e.(core.QuarantineChanged); ok && q.Count == quarantine.CountQuarantined {
		n.quarantined = true
	}
	if _, ok := e.(core.JournalSealed); ok {
		n.sealed = true
	}
	if v := n.policy.version; v < n.configVersion {
		s.fail("config", "%s went from configuration %d to %d", n.inc, n.configVersion, v)
	} else {
		n.configVersion = v
	}
	if cfg, ok := e.(core.ConfigApplied); ok {
		n.configOps = append(n.configOps, porcupine.Operation{
			Input: cfg.Config.Version, Call: s.clock, Output: n.policy.version, Return: s.clock,
		})
	}
	for _, f := range out {
		s.applyEffect(n, e, f)
	}
}

func (s *sim) applyEffect(n *node, cause core.Event, f core.Effect) {
	if _, refusal := f.(core.Refuse); n.sealed && !refusal {
		switch f.(type) {
		case core.Dispatch, core.Reply, core.Opened, core.AppendJournal, core.JoinCall, core.EngineOrder:
			s.fail("sealed", "%s: %T after its journal was sealed", n.inc, f)
		}
	}
	switch f := f.(type) {
	case core.AppendJournal:
		n.log.batches = append(n.log.batches, f)
	case core.Dispatch:
		s.dispatch(n, f)
	case core.CancelAttempt:
		s.sidecar(f.Upstream).cancel(f.Attempt)
	case core.ResolveClaim:
		sc := s.sidecar(f.Upstream)
		sc.queries = append(sc.queries, query{n, f})
	case core.EngineOrder:
		s.sidecar(f.Upstream).order(s.now, f)
	case core.Reply:
		s.checkReply(n, f)
	case core.Refuse:
		s.checkRefusal(n, f)
	case core.JoinCall:
		s.complete(n, f.Call)
		if to := s.calls[f.To]; to == nil || to.final || to.node != n {
			s.fail("join", "call %s joins %s, which is not running", f.Call, f.To)
		}
	case core.Opened:
		s.complete(n, f.Call)
		if c := s.calls[f.Call]; !c.opens {
			s.checkPinsReleased(n, c.prog)
		} else {
			c.prog.opened = true
			if c.prog.id == "" {
				c.prog.id = f.ID // of a child
			}
			if f.ID != c.prog.id {
				s.fail("open", "open of %s returned %s", c.prog.id, f.ID)
			}
		}
	case core.ShareQuarantine:
		n.quarantined = n.quarantined || f.Count == quarantine.CountQuarantined
		for _, other := range s.nodes {
			if other != n {
				s.send(other, "peer "+string(n.inc), core.QuarantineChanged{
					At: s.at(), Fingerprint: f.Fingerprint, Count: f.Count, Until: f.Until, Released: f.Released,
					Upstream: f.Upstream, Incarnation: f.Incarnation,
				})
			}
		}
	}
}

// advanceJournal moves the journal of a node on by one batch. It returns false
// if there is nothing to do.
func (s *sim) advanceJournal(n *node) bool {
	j := n.log
	if n.dead || n.sealed {
		return false
	}
	if s.storeUp {
		if j.sealed {
			if len(j.batches) == j.stored {
				return false // the node learns of the seal at its next append
			}
			s.send(n, "journal", core.JournalSealed{At: s.at(), By: "successor"})
			return true
		}
		if j.stored == len(j.batches) {
			return false
		}
		j.stored++
		s.send(n, "journal", core.JournalCommitted{At: s.at(), Seq: j.batches[j.stored-1].Seq})
		return true
	}
	if next := max(j.stored, j.retained); next < len(j.batches) && !j.sealed {
		j.retained = next + 1
		s.send(n, "journal", core.JournalRetained{At: s.at(), Seq: j.batches[next].Seq})
		return true
	}
	return false
}

// randomStep makes one random step of the simulation.
func (s *sim) randomStep() {
	n := s.nodes[s.pick(len(s.nodes))]
	if live := s.live(); len(live) > 0 && s.pick(8) > 0 {
		n = live[s.pick(len(live))]
	}
	switch k := s.pick(200); {
	case k < 64:
		s.deliver(n)
	case k < 96:
		s.advanceJournal(n)
	case k < 140:
		s.sidecars[s.pick(len(s.sidecars))].randomStep(s)
	case k < 172:
		s.callerStep()
	case k < 184:
		s.advanceClock(time.Duration(s.pick(800)) * time.Millisecond)
	case k < 186:
		s.storeUp = !s.storeUp || s.pick(4) == 0
	case k < 188:
		s.send(n, "config", core.ConfigApplied{At: s.at(), Config: s.configs[s.pick(len(s.configs))]})
	case k < 190:
		if !n.dead && !n.sealed && len(s.live()) > 1 {
			n.paused = !n.paused
		}
	case k < 191:
		if len(s.live()) > 1 {
			s.kill(n)
		}
	case k < 196:
		for _, lost := range s.nodes {
			if lost.paused || lost.dead {
				s.takeover(lost)
			}
		}
	case k < 198:
		if !n.paused && !n.dead && !n.sealed {
			s.advanceHandOver(n)
		}
	default:
		s.sidecars[s.pick(len(s.sidecars))].injectFault(s)
	}
}

func (s *sim) kill(n *node) {
	n.dead, n.paused = true, false
	clear(n.inbox)
	for _, sc := range s.sidecars {
		sc.queries = slices.DeleteFunc(sc.queries, func(q query) bool { return q.node == n })
	}
}

func (s *sim) advanceClock(d time.Duration) {
	s.now = s.now.Add(d)
	for _, n := range s.nodes {
		if !n.dead && !n.paused {
			s.step(n, core.Tick{At: s.at()})
		}
	}
}

// settle ends all faults and runs the simulation until nothing happens.
func (s *sim) settle() {
	s.storeUp = true
	for _, n := range s.nodes {
		n.paused = false
	}
	for range 6 {
		for _, n := range s.nodes {
			if n.dead && !n.log.sealed {
				s.takeover(n)
			}
		}
		s.drain()
		for range 20 {
			s.advanceClock(5 * time.Second)
			s.drain()
		}
	}
	for _, n := range s.nodes {
		if n.releasing != nil && !n.dead && !n.sealed {
			s.advanceHandOver(n)
			s.drain()
		}
	}
}

func (s *sim) drain() {
	for again := true; again; {
		again = false
		for _, n := range s.nodes {
			for s.deliver(n) || s.advanceJournal(n) {
				again = true
			}
		}
		for _, sc := range s.sidecars {
			for sc.finishOne(s) {
				again = true
			}
		}
	}
}

func (s *sim) sidecar(id core.UpstreamID) *sidecar {
	i := slices.IndexFunc(s.sidecars, func(sc *sidecar) bool { return sc.id == id })
	return s.sidecars[i]
}

func (s *sim) report() string {
	var b strings.Builder
	for _, v := range s.violations {
		fmt.Fprintf(&b, "%s: %s\n", v.check, v.text)
	}
	return b.String()
}
