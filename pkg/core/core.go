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

// Faults disables individual protections, so that tests can show that their
// checkers detect the absence of each. It is the zero value in production.
type Faults struct {
	NoFenceCheck        bool `json:"no_fence_check,omitempty"`        // a sealed journal and a higher epoch are ignored
	DispatchBeforeClaim bool `json:"dispatch_before_claim,omitempty"` // a claimed call is dispatched before its claim is durable
	AcceptOlderConfig   bool `json:"accept_older_config,omitempty"`
	AckBeforeDurable    bool `json:"ack_before_durable,omitempty"`
}

// Options configures a Core.
type Options struct {
	Self   Incarnation
	Region string
	Seed   uint64 // must be random in production: attempt ids derive from it
	Policy Policy
	Faults Faults
}

// Core is the scheduling state machine. It is not safe for concurrent use.
type Core struct {
	opt Options
	cfg Config
	now time.Time
	rng *rand.ChaCha8

	slots          map[Slot]*slotState
	roots          map[ProgramID]*root
	calls          map[CallID]*call
	attempts       map[AttemptID]*call
	rootsByOpenKey map[program.Key]ProgramID // root programs by the caller and key of their open
	unknownClaims  map[AttemptID]claimRef
	upstreams      map[UpstreamID]*upstream
	crashSuspects  quarantine.List
	timers         timerHeap
	nextTimer      uint64
	nextCall       uint64
	sealed         bool
	draining       bool
	stepCount      uint64                // number of events so far; orders events of the same time
	lastCrashStep  map[UpstreamID]uint64 // value of stepCount at the last crash report
	damaged        map[ProgramID]damaged

	seq            Seq // of the last appended record
	committed      Seq
	retained       Seq
	durableWaits   []journalWait // run after JournalCommitted or JournalRetained
	commitWaits    []journalWait // run after JournalCommitted
	pendingRecords []Record
	effects        []Effect
}

// slotState is the state of a slot that this process owns.
type slotState struct {
	epoch    Epoch
	readySeq Seq  // no call starts before this record is durable
	released bool // a planned hand-over is in progress
}

// root is a root program with its unfinished calls.
type root struct {
	*program.Root
	slot          Slot
	queues        map[ProgramID]*program.Queue[*call]
	callsByKey    map[program.Key]*call // unfinished calls that have a key
	budgetWaiters []*call               // calls waiting for budget

	checkAt      time.Time // time of the armed root check, zero if none is armed
	renewalArmed bool      // a pin renewal is armed
}

// claimRef locates the claim of an attempt whose outcome was recorded as
// unknown.
type claimRef struct {
	root ProgramID
	key  program.Key
}

// damaged holds the records of a program whose stored state could not be
// decoded. The records are passed on to the next owner and calls of the program
// are refused, so that no data is lost or overwritten before the cause is
// found.
type damaged struct {
	slot    Slot
	records []Record
}

type upstream struct {
	info      UpstreamInfo
	reachable bool
	leaving   bool
}

// journalWait is a step that runs once the journal is durable up to seq.
type journalWait struct {
	seq  Seq
	run  func()
	call CallID // request that the step answers, if it is not an unfinished call
	root *root
}

// New returns a Core that owns no slot.
func New(o Options) *Core {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], o.Seed)
	binary.LittleEndian.PutUint64(seed[8:], xxhash.Sum64String(string(o.Self)))
	return &Core{
		opt:            o,
		rng:            rand.NewChaCha8(seed),
		slots:          make(map[Slot]*slotState),
		roots:          make(map[ProgramID]*root),
		calls:          make(map[CallID]*call),
		attempts:       make(map[AttemptID]*call),
		rootsByOpenKey: make(map[program.Key]ProgramID),
		unknownClaims:  make(map[AttemptID]claimRef),
		upstreams:      make(map[UpstreamID]*upstream),
		lastCrashStep:  make(map[UpstreamID]uint64),
		damaged:        make(map[ProgramID]damaged),
	}
}

// Step applies an event and returns the resulting effects in the order in which
// they must be carried out.
func (c *Core) Step(e Event) []Effect {
	if t := e.When(); t.After(c.now) {
		c.now = t
	}
	c.effects = nil
	c.stepCount++
	if _, sealed := e.(JournalSealed); !sealed {
		c.fireTimers() // no timer may have an effect after the journal is sealed
	}
	c.handle(e)
	c.runPolicy(e)
	if len(c.pendingRecords) > 0 {
		// Records come first: no other effect of this step may be carried out
		// before they are given to the journal.
		c.effects = append([]Effect{AppendJournal{Seq: c.seq, Records: c.pendingRecords}}, c.effects...)
		c.pendingRecords = nil
	}
	return c.effects
}

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Tick:
		c.crashSuspects.Expire(c.now) // peers expire their entries themselves
	case ConfigApplied:
		c.configApplied(e.Config)
	case ProgramOpened:
		c.programOpened(e)
	case ProgramEnded:
		c.programEnded(e)
	case CallArrived:
		c.callArrived(e.Call)
	case CallCanceled:
		c.callCanceled(e.Call)
	case JournalCommitted:
		c.journalCommitted(e.Seq)
	case JournalRetained:
		c.journalRetained(e.Seq)
	case JournalSealed:
		c.journalSealed(e.By)
	case AttemptStarted:
		if cl := c.attempts[e.Attempt]; cl != nil && cl.state == stateRunning {
			c.opt.Policy.OnStarted(c.now, e.Attempt)
		}
	case FirstToken:
		if cl := c.attempts[e.Attempt]; cl != nil && cl.state == stateRunning {
			c.opt.Policy.OnFirstToken(c.now, e.Attempt, e.CachedTokens)
		}
	case AttemptDone:
		c.attemptDone(e.Attempt, clampAnswer(e.Answer))
	case AttemptFailed:
		c.attemptFailed(e)
	case OutcomeResolved:
		e.Answer = clampAnswer(e.Answer)
		c.outcomeResolved(e)
	case UpstreamChanged:
		c.upstreamChanged(e.Info)
	case UpstreamState:
		if u := c.upstreams[e.Upstream]; u != nil {
			u.reachable, u.leaving = e.Reachable, e.Leaving
		}
		c.opt.Policy.SetUpstreamState(c.now, e.Upstream, e.Reachable, e.Leaving)
	case UpstreamGone:
		delete(c.upstreams, e.Upstream)
		c.forgetPins(e.Upstream)
		c.opt.Policy.RemoveUpstream(c.now, e.Upstream)
	case LoadReported:
		c.opt.Policy.OnLoad(c.now, e.Load)
	case CacheReported:
		c.opt.Policy.OnCache(c.now, e.Event)
	case UpstreamCrashed:
		c.upstreamCrashed(e)
	case QuarantineChanged:
		c.crashSuspects.Merge(quarantine.Entry{
			Fingerprint: e.Fingerprint, Count: e.Count, Until: e.Until, Released: e.Released,
			Upstream: string(e.Upstream), Incarnation: e.Incarnation,
		}, c.now)
		c.refuseQuarantined()
	case SlotsAcquired:
		c.slotsAcquired(e)
	case SlotsReleased:
		c.slotsReleased(e)
	case DrainStarted:
		c.draining = true
	}
}

// runPolicy assigns waiting requests to upstreams, refuses those that no
// upstream can serve and, on a Tick, issues the policy's due engine orders.
func (c *Core) runPolicy(e Event) {
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
			if cl := c.calls[r.Call.ID]; cl != nil && cl.state == stateSubmitted {
				cl.state = stateQueued // the policy has removed it from its queue
				c.refuse(cl, c.newRefusal(cl, CodeNoUpstream, "route", "no upstream can serve the call"))
			}
		}
	}
	if _, ok := e.(Tick); ok {
		c.emitOrders()
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// slotCount returns the configured number of slots, or the default before the
// first configuration.
func (c *Core) slotCount() int {
	if c.cfg.SlotCount > 0 {
		return c.cfg.SlotCount
	}
	const defaultSlotCount = 256
	return defaultSlotCount
}

func (c *Core) configApplied(cfg Config) {
	if cfg.Version <= c.cfg.Version && !c.opt.Faults.AcceptOlderConfig {
		return
	}
	c.cfg = cfg
	c.opt.Policy.Configure(cfg)
	// Shorter timeouts apply to running programs as well, so the next check of
	// every program is computed again.
	for _, id := range sortedKeys(c.roots) {
		c.armRootCheck(c.roots[id])
	}
}

// profile returns the named profile of the current configuration, or the
// default profile if the name is unknown.
func (c *Core) profile(name string) Profile {
	if p, ok := c.cfg.Profiles[name]; ok {
		return p
	}
	return c.cfg.Profiles[c.cfg.DefaultProfileName]
}

// nonIdempotent reports whether an operation must run at most once. Every
// operation of a service that is not in the configuration counts as such.
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

func (c *Core) newAttemptID() AttemptID {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.rng.Uint64())
	binary.LittleEndian.PutUint64(b[8:], c.rng.Uint64())
	return AttemptID(hex.EncodeToString(b[:]))
}

func (c *Core) upstreamChanged(info UpstreamInfo) {
	u := c.upstreams[info.ID]
	if u == nil || u.info.Incarnation != info.Incarnation || u.info.SidecarIncarnation != info.SidecarIncarnation {
		// Pins are kept: the engine still holds them if only the sidecar
		// restarted, and pinning a prefix that is not cached has no effect.
		u = &upstream{reachable: true}
		c.upstreams[info.ID] = u
	}
	u.info = info
	c.opt.Policy.SetUpstream(c.now, info)
}

// acceptsWork reports whether new attempts may be sent to an upstream.
func (c *Core) acceptsWork(id UpstreamID) bool {
	u := c.upstreams[id]
	return u != nil && u.reachable && !u.leaving
}
