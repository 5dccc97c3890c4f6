package core

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/quarantine"
)

// Faults switches protections off, so that tests can show that a checker
// notices their absence. Products leave it zero.
type Faults struct {
	NoFenceCheck        bool `json:"no_fence_check,omitempty"`        // a seal and a higher epoch are ignored
	DispatchBeforeClaim bool `json:"dispatch_before_claim,omitempty"` // a claim need not be durable
	AcceptOlderConfig   bool `json:"accept_older_config,omitempty"`
	AckBeforeDurable    bool `json:"ack_before_durable,omitempty"`
}

// Options configures a Core.
type Options struct {
	Self   Incarnation
	Region string
	Seed   uint64 // must be random in products: attempt ids derive from it
	Policy Policy
	Faults Faults
}

// Core is the reducer. It is used by one goroutine at a time.
type Core struct {
	opt Options
	cfg Config
	now time.Time
	rng *rand.ChaCha8

	slots     map[Slot]*slotState
	roots     map[ProgramID]*root
	calls     map[CallID]*call
	attempts  map[AttemptID]*call
	opens     map[program.Key]ProgramID // opens of root programs by caller and key
	late      map[AttemptID]lateClaim
	upstreams map[UpstreamID]*upstream
	quarant   quarantine.List
	timers    timerHeap
	nextTimer uint64
	nextCall  uint64
	sealed    bool
	draining  bool
	steps     uint64                // number of events, to order what happens at one time
	crashes   map[UpstreamID]uint64 // step of the last crash report
	damaged   map[ProgramID]damaged

	seq       Seq // of the last record
	committed Seq
	retained  Seq
	covered   []wait // wait for JournalCommitted or JournalRetained
	claims    []wait // wait for JournalCommitted
	pending   []Record
	out       []Effect
}

// slotState is a slot that this process owns.
type slotState struct {
	epoch    Epoch
	ready    Seq  // calls run once this record is durable
	released bool // in a planned hand-over
}

// root is a root program with its calls under way.
type root struct {
	*program.Root
	slot   Slot
	queues map[ProgramID]*program.Queue[*call]
	keyed  map[program.Key]*call // calls under way that have a key
	budget []*call               // calls that wait for budget

	check   time.Time // when the next check is armed
	pinning bool      // a renewal of pins is armed
}

// lateClaim finds the claim of an attempt whose outcome was given up.
type lateClaim struct {
	root ProgramID
	key  program.Key
}

// damaged is a program whose stored state could not be decoded. Its records are
// passed on to the next owner and its calls are refused, so that nothing is
// lost or written over before the cause is found.
type damaged struct {
	slot    Slot
	records []Record
}

type upstream struct {
	info      UpstreamInfo
	reachable bool
	leaving   bool
}

// wait runs a step once the journal is durable up to seq.
type wait struct {
	seq  Seq
	run  func()
	call CallID // request that the step completes, if it is not a call under way
	root *root
}

// New returns a core that owns no slot.
func New(o Options) *Core {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], o.Seed)
	binary.LittleEndian.PutUint64(seed[8:], xxhash.Sum64String(string(o.Self)))
	return &Core{
		opt:       o,
		rng:       rand.NewChaCha8(seed),
		slots:     make(map[Slot]*slotState),
		roots:     make(map[ProgramID]*root),
		calls:     make(map[CallID]*call),
		attempts:  make(map[AttemptID]*call),
		opens:     make(map[program.Key]ProgramID),
		late:      make(map[AttemptID]lateClaim),
		upstreams: make(map[UpstreamID]*upstream),
		crashes:   make(map[UpstreamID]uint64),
		damaged:   make(map[ProgramID]damaged),
	}
}

// Step applies an event and returns the effects in the order in which they
// must be carried out.
func (c *Core) Step(e Event) []Effect {
	if t := e.When(); t.After(c.now) {
		c.now = t
	}
	c.out = nil
	c.steps++
	if _, sealed := e.(JournalSealed); !sealed {
		c.fire() // after a seal nothing that is due may happen any more
	}
	c.handle(e)
	c.pump(e)
	if len(c.pending) > 0 {
		// Records come first: no effect of this step may overtake them.
		c.out = append([]Effect{AppendJournal{Seq: c.seq, Records: c.pending}}, c.out...)
		c.pending = nil
	}
	return c.out
}

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Tick:
		c.quarant.Expire(c.now) // peers let it expire by themselves
	case ConfigApplied:
		c.configure(e.Config)
	case ProgramOpened:
		c.open(e)
	case ProgramEnded:
		c.endRequested(e)
	case CallArrived:
		c.arrive(e.Call)
	case CallCanceled:
		c.canceled(e.Call)
	case JournalCommitted:
		c.journalCommitted(e.Seq)
	case JournalRetained:
		c.journalRetained(e.Seq)
	case JournalSealed:
		c.seal(e.By)
	case AttemptStarted:
		if cl := c.attempts[e.Attempt]; cl != nil && cl.state == stateRunning {
			c.opt.Policy.OnStarted(c.now, e.Attempt)
		}
	case FirstToken:
		if cl := c.attempts[e.Attempt]; cl != nil && cl.state == stateRunning {
			c.opt.Policy.OnFirstToken(c.now, e.Attempt, e.CachedTokens)
		}
	case AttemptDone:
		c.attemptDone(e.Attempt, bounded(e.Answer))
	case AttemptFailed:
		c.attemptFailed(e)
	case OutcomeResolved:
		e.Answer = bounded(e.Answer)
		c.resolved(e)
	case UpstreamChanged:
		c.upstreamChanged(e.Info)
	case UpstreamState:
		if u := c.upstreams[e.Upstream]; u != nil {
			u.reachable, u.leaving = e.Reachable, e.Leaving
		}
		c.opt.Policy.SetUpstreamState(c.now, e.Upstream, e.Reachable, e.Leaving)
	case UpstreamGone:
		delete(c.upstreams, e.Upstream)
		c.dropPins(e.Upstream)
		c.opt.Policy.RemoveUpstream(c.now, e.Upstream)
	case LoadReported:
		c.opt.Policy.OnLoad(c.now, e.Load)
	case CacheReported:
		c.opt.Policy.OnCache(c.now, e.Event)
	case UpstreamCrashed:
		c.crashed(e)
	case QuarantineChanged:
		c.quarant.Merge(quarantine.Entry{
			Fingerprint: e.Fingerprint, Count: e.Count, Until: e.Until, Released: e.Released,
			Upstream: string(e.Upstream), Incarnation: e.Incarnation,
		}, c.now)
		c.refuseQuarantined()
	case SlotsAcquired:
		c.acquire(e)
	case SlotsReleased:
		c.release(e)
	case DrainStarted:
		c.draining = true
	}
}

// pump hands work to upstreams and carries out due orders.
func (c *Core) pump(e Event) {
	if c.sealed {
		return
	}
	for {
		a, ok := c.opt.Policy.Next(c.now)
		if ok {
			c.assign(a)
			continue
		}
		reqs := c.opt.Policy.Unroutable(c.now)
		if len(reqs) == 0 {
			break
		}
		for _, r := range reqs {
			if cl := c.calls[r.Call.ID]; cl != nil && cl.state == stateWaiting {
				cl.state = stateQueued // the policy holds it no longer
				c.refuse(cl, c.refusal(cl, CodeNoUpstream, "route", "no upstream can serve the call"))
			}
		}
	}
	if _, ok := e.(Tick); ok {
		c.orders()
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// slotCount returns the number of slots. Before the first configuration it is
// the default.
func (c *Core) slotCount() int {
	if c.cfg.SlotCount > 0 {
		return c.cfg.SlotCount
	}
	const defaultSlotCount = 256
	return defaultSlotCount
}

func (c *Core) configure(cfg Config) {
	if cfg.Version <= c.cfg.Version && !c.opt.Faults.AcceptOlderConfig {
		return
	}
	c.cfg = cfg
	c.opt.Policy.Configure(cfg)
	// Shorter terms apply to running programs as well, so every program is
	// looked at again.
	for _, id := range sortedKeys(c.roots) {
		c.watchRoot(c.roots[id])
	}
}

// profile returns the named profile in force, or the default one.
func (c *Core) profile(name string) Profile {
	if p, ok := c.cfg.Profiles[name]; ok {
		return p
	}
	return c.cfg.Profiles[c.cfg.DefaultProfileName]
}

// nonIdempotent reports whether an operation must run at most once. That holds
// for every operation of a service that the configuration does not know.
func (c *Core) nonIdempotent(cl *Call) bool {
	if cl.Kind != KindService {
		return false
	}
	s, ok := c.cfg.Services[cl.Service]
	if !ok {
		return true
	}
	for _, op := range s.NonIdempotent {
		if op == cl.Operation {
			return true
		}
	}
	return false
}

func (c *Core) newAttempt() AttemptID {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.rng.Uint64())
	binary.LittleEndian.PutUint64(b[8:], c.rng.Uint64())
	return AttemptID(hex.EncodeToString(b[:]))
}

func (c *Core) upstreamChanged(info UpstreamInfo) {
	u := c.upstreams[info.ID]
	if u == nil || u.info.Incarnation != info.Incarnation || u.info.SidecarIncarnation != info.SidecarIncarnation {
		// Pins are kept: after a restart of the sidecar alone the engine still
		// holds them, and a pin of a prefix that is not held has no effect.
		u = &upstream{reachable: true}
		c.upstreams[info.ID] = u
	}
	u.info = info
	c.opt.Policy.SetUpstream(c.now, info)
}

// accepts reports whether new work may be sent to an upstream.
func (c *Core) accepts(id UpstreamID) bool {
	u := c.upstreams[id]
	return u != nil && u.reachable && !u.leaving
}
