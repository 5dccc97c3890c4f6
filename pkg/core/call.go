package core

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// callState is the position of a call in its life cycle.
type callState uint8

const (
	stateQueued    callState = iota // behind an earlier call of its program, or a slot that is not ready
	stateBudget                     // waits for budget
	stateRecording                  // the reservation becomes durable
	stateWaiting                    // in the policy's queue
	stateBackoff                    // waits for a retry
	stateHeld                       // waits for the report of a crash
	stateClaiming                   // the claim becomes durable
	stateRunning                    // at an upstream
	stateResolving                  // the outcome of its claim is being asked for
	stateFinishing                  // the answer becomes durable
	stateDone
)

// call is a call under way. After a takeover it may stand for a claim whose
// caller has not come back; it then has no call id.
type call struct {
	Call
	number    uint64 // order of arrival
	root      *root
	member    *program.Member
	state     callState
	attempt   AttemptID
	upstream  UpstreamID
	sidecar   Incarnation // of the upstream when it was chosen
	priority  int
	suspect   bool   // when it was given to the policy
	sent      uint64 // step in which it was dispatched
	granted   int64  // tokens it may generate
	spend     int64  // spend reserved for an attempt
	tries     int
	bounces   int // attempts refused by draining sidecars
	avoid     []UpstreamID
	ran       Ran       // what is known of the attempts that ended
	resolveBy time.Time // when the search for its outcome ends
	timer     uint64    // the timer that moves the call on, if any

	nonIdempotent bool
	claimed       bool // the journal has a claim of the attempt
	reserved      bool // the journal has a reservation of the attempt
	replied       bool // the caller has its final answer, the work goes on
}

// key is the idempotency key under which the call is known.
func (cl *call) key() program.Key { return program.Key{Caller: cl.Caller, Key: cl.Key} }

// outcome returns what is known about the execution of the call now.
func (cl *call) outcome() Ran {
	switch {
	case cl.state == stateFinishing || cl.ran == RanYes:
		return RanYes
	case cl.state == stateRunning || cl.state == stateResolving || cl.ran == RanUnknown:
		return RanUnknown
	}
	return RanNo
}

// ended adds the outcome of an attempt to that of the call.
func (cl *call) ended(ran Ran) {
	if ran == RanYes || ran == RanUnknown && cl.ran != RanYes {
		cl.ran = ran
	}
}

// maxCallTokens is far above any context; without a bound, sums of stated
// numbers could overflow and pass a budget.
const maxCallTokens = 1 << 40

// tokens bounds a number of tokens that a caller or an upstream stated.
func tokens(n int64) int64 { return min(max(n, 0), maxCallTokens) }

// bounded bounds the numbers in an answer.
func bounded(a Answer) Answer {
	a.PromptTokens, a.OutputTokens = tokens(a.PromptTokens), tokens(a.OutputTokens)
	a.CachedTokens = min(tokens(a.CachedTokens), a.PromptTokens)
	return a
}

// arrive takes in a new call or a resend.
func (c *Core) arrive(in Call) {
	if _, ok := c.calls[in.ID]; ok {
		return
	}
	cl := &call{Call: in, ran: RanNo}
	cl.PromptTokens, cl.MaxTokens = tokens(in.PromptTokens), tokens(in.MaxTokens)
	single := in.Program == ""
	if single {
		cl.Program = c.singleProgram(&in)
	}
	slot := SlotOf(cl.Program, c.slotCount())
	owned := c.slots[slot]
	if c.sealed || owned == nil || owned.released {
		c.reject(cl, CodeNotOwner, "owner", "this entry does not own the program")
		return
	}
	r := c.roots[RootOf(cl.Program)]
	if r != nil {
		cl.root, cl.member = r, r.Members[string(cl.Program)]
		if r.Caller != cl.Caller {
			cl.member = nil // the program of another caller is not disclosed
		} else if cl.Key != "" && c.known(cl) {
			return
		}
	}
	if _, bad := c.damaged[RootOf(cl.Program)]; bad {
		c.reject(cl, CodeProgramUnknown, "program", "the stored state of the program cannot be read")
		return
	}
	if cl.member == nil && (r != nil || !single) {
		c.reject(cl, CodeProgramUnknown, "program", "the program does not exist or is past its retention")
		return
	}
	reopen := cl.member != nil && cl.member.SingleCall && single && len(cl.member.History) == 0
	if cl.member != nil && !cl.member.Alive() && !reopen {
		c.reject(cl, CodeProgramEnded, "program", "the program has ended")
		return
	}
	prof := c.profile(cl.Profile)
	if cl.member != nil {
		prof = c.profile(cl.member.Profile)
	}
	if cl.Arrived.IsZero() {
		cl.Arrived = c.now
	}
	if cl.Deadline.IsZero() && prof.CallTimeout > 0 {
		cl.Deadline = cl.Arrived.Add(prof.CallTimeout)
	}
	if !cl.Deadline.IsZero() && !c.now.Before(cl.Deadline) {
		c.reject(cl, CodeDeadline, "arrive", "the deadline had passed when the call arrived")
		return
	}
	if until, ok := c.quarant.Quarantined(cl.Fingerprint); ok {
		c.rejectQuarantined(cl, until)
		return
	}
	// A program that was opened by a call ends with it, also when the call was
	// refused as not run. A resend then opens it again.
	if (cl.member == nil || !cl.member.Alive()) && !c.openSingle(cl) {
		return
	}
	c.enqueue(cl)
}

// known handles a call whose key is in use or has an answer.
func (c *Core) known(cl *call) bool {
	k := cl.key()
	if prev := cl.root.keyed[k]; prev != nil {
		switch {
		case prev.Digest != cl.Digest:
			c.reject(cl, CodeKeyReused, "key", "the key belongs to a running call with another content")
		case prev.ID == "" || prev.replied:
			c.adopt(prev, cl)
		default:
			c.emit(JoinCall{Call: cl.ID, To: prev.ID})
		}
		return true
	}
	rec, ok := cl.root.Record(k)
	if !ok {
		return false
	}
	switch {
	case rec.Digest != cl.Digest:
		c.reject(cl, CodeKeyReused, "key", "the key belongs to a call with another content")
	case rec.State == program.KeyAnswered:
		m := cl.root.Members[rec.Member]
		if m == nil || rec.Turn < 1 || rec.Turn > len(m.History) {
			return false
		}
		t := &m.History[rec.Turn-1]
		answer, seq := answerOf(t), Seq(rec.Seq)
		c.acknowledge(wait{seq: seq, call: cl.ID, root: cl.root, run: func() {
			c.emit(Reply{
				Call: cl.ID, Answer: answer, Stored: true,
				Pending: seq > c.committed, Attempt: AttemptID(t.Attempt),
			})
		}})
	default:
		cl.ran = RanUnknown
		c.reject(cl, CodeOutcomeUnknown, "key", "the outcome of the call with this key cannot be known")
	}
	return true
}

// adopt lets a resend take the place of a caller that is gone or has been
// answered while the work goes on.
func (c *Core) adopt(prev, cl *call) {
	if prev.ID != "" {
		delete(c.calls, prev.ID)
	}
	prev.ID, prev.replied = cl.ID, false
	prev.Deadline = cl.Deadline
	if cl.Deadline.IsZero() {
		if t := c.profile(prev.member.Profile).CallTimeout; t > 0 {
			prev.Deadline = c.now.Add(t)
		}
	}
	c.calls[prev.ID] = prev
	c.watchDeadline(prev)
}

// enqueue appends a call to those of its program.
func (c *Core) enqueue(cl *call) {
	c.nextCall++
	cl.number = c.nextCall
	cl.nonIdempotent = c.nonIdempotent(&cl.Call)
	c.calls[cl.ID] = cl
	c.queue(cl).Push(cl)
	if cl.Key != "" {
		cl.root.setKeyed(cl.key(), cl)
	}
	cl.root.Touch(cl.member, c.now)
	c.watchDeadline(cl)
	c.advance(cl.root, cl.member)
}

func (r *root) setKeyed(k program.Key, cl *call) {
	if r.keyed == nil {
		r.keyed = make(map[program.Key]*call)
	}
	r.keyed[k] = cl
}

// queue returns the order queue of a call's program.
func (c *Core) queue(cl *call) *program.Queue[*call] {
	r := cl.root
	q := r.queues[ProgramID(cl.member.ID)]
	if q == nil {
		if r.queues == nil {
			r.queues = make(map[ProgramID]*program.Queue[*call], 1)
		}
		q = &program.Queue[*call]{}
		r.queues[ProgramID(cl.member.ID)] = q
	}
	return q
}

// advance starts the first call of a program if none is under way.
func (c *Core) advance(r *root, m *program.Member) {
	q := r.queues[ProgramID(m.ID)]
	if q == nil || !m.Alive() {
		return
	}
	cl, ok := q.Head()
	if !ok || cl.state != stateQueued {
		return
	}
	s := c.slots[r.slot]
	if s == nil {
		return
	}
	if s.ready > c.durable() {
		// Work that the state of a takeover does not cover yet would be
		// unknown to the next owner.
		cl.state = stateRecording
		c.whenCovered(s.ready, func() {
			if cl.state == stateRecording {
				c.prepare(cl)
			}
		})
		return
	}
	c.prepare(cl)
}

// limits returns the budget of the root program of a call.
func (c *Core) limits(r *root) program.Amount {
	b := c.rootProfile(r).Budget
	return program.Amount{Tokens: b.Tokens, Calls: b.Calls, Spend: b.SpendMicro}
}

// rootProfile returns the profile in force for a root program.
func (c *Core) rootProfile(r *root) Profile {
	if m := r.Members[r.ID]; m != nil {
		return c.profile(m.Profile)
	}
	return c.profile("")
}

// defaultMaxTokens is reserved for a model call that states no limit while its
// program has a token budget; without it one call would reserve everything and
// block the program's children.
const defaultMaxTokens = 4096

// prepare reserves budget for the next attempt of a call and hands it to the
// policy.
func (c *Core) prepare(cl *call) {
	if until, ok := c.quarant.Quarantined(cl.Fingerprint); ok {
		// The decision may have come while the call was at an upstream.
		c.refuse(cl, c.quarantineRefusal(cl, until))
		return
	}
	limits := c.limits(cl.root)
	if cl.Kind == KindService {
		cl.spend = c.cfg.Services[cl.Service].SpendMicroCall
		cl.granted = 0
	} else {
		cl.spend = 0
		cl.granted = cl.MaxTokens
		if cl.granted == 0 && limits.Tokens > 0 {
			cl.granted = defaultMaxTokens
		}
	}
	granted, verdict := cl.root.Ledger.Fit(limits, cl.PromptTokens, cl.granted, cl.spend)
	switch verdict {
	case program.BudgetExceeded:
		c.refuse(cl, c.refusal(cl, CodeBudget, "budget", "the budget of the program does not cover the call"))
		return
	case program.BudgetPending:
		cl.state = stateBudget
		cl.root.budget = append(cl.root.budget, cl)
		return
	}
	cl.granted = granted
	cl.attempt = c.newAttempt()
	cl.claimed, cl.reserved = false, false
	c.attempts[cl.attempt] = cl
	if cl.nonIdempotent || limits == (program.Amount{}) {
		cl.root.Ledger.Reserve(string(cl.attempt), c.want(cl), cl.nonIdempotent)
		c.wait(cl)
		return
	}
	needs := cl.root.Ledger.NeedsDurableRecord(limits, c.want(cl))
	attempt := cl.attempt
	seq := c.append(cl.root, Record{
		Kind: RecordReserved, Program: cl.Program, Attempt: attempt,
		Reserved: c.want(cl).Tokens, SpendMicro: cl.spend,
	})
	cl.reserved = true
	cl.state = stateRecording
	c.whenCovered(seq, func() {
		cl.root.Ledger.MarkDurable(string(attempt))
		if needs && cl.state == stateRecording && cl.attempt == attempt {
			c.wait(cl)
		}
	})
	if !needs {
		c.wait(cl)
	}
}

// want is what an attempt of the call may use.
func (c *Core) want(cl *call) program.Amount {
	return program.Amount{Tokens: cl.PromptTokens + cl.granted, Calls: 1, Spend: cl.spend}
}

// wait puts a call into the policy's queue.
func (c *Core) wait(cl *call) {
	cl.state = stateWaiting
	cl.suspect = c.quarant.Suspect(cl.Fingerprint)
	c.opt.Policy.Enqueue(c.now, c.request(cl))
}

func (c *Core) request(cl *call) Request {
	return Request{
		Call: cl.Call, Program: c.view(cl.root, cl.member), Attempt: cl.attempt, Tries: cl.tries,
		Suspect: cl.suspect, Avoid: slices.Clone(cl.avoid),
	}
}

func (c *Core) view(r *root, m *program.Member) ProgramView {
	return ProgramView{
		ID: ProgramID(m.ID), Root: ProgramID(r.ID), Caller: r.Caller, Profile: c.profile(m.Profile),
		Region: c.opt.Region, Opened: m.Opened, Attained: r.Attained, Calls: r.Calls,
	}
}

// remaining reports whether a call can still start after a delay.
func (cl *call) remaining(now time.Time, delay time.Duration) bool {
	return cl.Deadline.IsZero() || now.Add(delay).Before(cl.Deadline)
}
