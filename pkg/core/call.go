package core

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// callState is the stage of a call's life cycle.
type callState uint8

const (
	stateQueued         callState = iota // not started, or between two attempts
	stateAwaitingBudget                  // waiting for budget
	stateAwaitingRecord                  // waiting for its reservation, or the restored state of its slot, to become durable
	stateSubmitted                       // in the policy's queue
	stateBackoff                         // waiting for the next attempt
	stateHeld                            // waiting for the report of a crash
	stateClaiming                        // waiting for its claim to be committed
	stateRunning                         // dispatched to an upstream
	stateResolving                       // waiting for the outcome of its claim
	stateFinishing                       // waiting for its answer to become durable
	stateDone
)

// call is an unfinished call. After a takeover it may represent a claim of the
// earlier owner whose caller has not returned; its ID is then empty.
type call struct {
	Call
	arrivalOrder    uint64 // increases with each call
	root            *root
	member          *program.Member
	state           callState
	attempt         AttemptID
	upstream        UpstreamID
	sidecar         Incarnation // incarnation of the upstream's sidecar at the assignment
	priority        int
	suspect         bool   // a crash suspect when it was submitted to the policy
	dispatchStep    uint64 // value of Core.stepCount at its dispatch
	granted         int64  // number of tokens that it may generate
	spend           int64  // spend reserved for an attempt
	tries           int
	reroutes        int // attempts withdrawn or rejected because the upstream accepts no new work
	avoid           []UpstreamID
	ran             Ran       // combined from the attempts that ended
	resolveDeadline time.Time // after it, the outcome is recorded as unknown
	timer           uint64    // id of the armed timer for its present state

	nonIdempotent bool
	claimed       bool // the journal has a claim for the attempt
	reserved      bool // the journal has a reservation for the attempt
	replied       bool // the caller has its final reply; the attempt continues
}

// key returns the idempotency key with its caller, for which the key is unique.
func (cl *call) key() program.Key { return program.Key{Caller: cl.Caller, Key: cl.Key} }

// outcome returns what is known at present about the execution of the call.
func (cl *call) outcome() Ran {
	switch {
	case cl.state == stateFinishing || cl.ran == RanYes:
		return RanYes
	case cl.state == stateRunning || cl.state == stateResolving || cl.ran == RanUnknown:
		return RanUnknown
	}
	return RanNo
}

// mergeRan combines the outcome of an ended attempt with that of earlier ones.
func (cl *call) mergeRan(ran Ran) {
	if ran == RanYes || ran == RanUnknown && cl.ran != RanYes {
		cl.ran = ran
	}
}

// maxCallTokens is far above any context length. It bounds stated token counts,
// whose sums could otherwise overflow and pass a budget check.
const maxCallTokens = 1 << 40

// clampTokens bounds a token count stated by a caller or an upstream.
func clampTokens(n int64) int64 { return min(max(n, 0), maxCallTokens) }

// clampAnswer bounds the token counts of an answer.
func clampAnswer(a Answer) Answer {
	a.PromptTokens, a.OutputTokens = clampTokens(a.PromptTokens), clampTokens(a.OutputTokens)
	a.CachedTokens = min(clampTokens(a.CachedTokens), a.PromptTokens)
	return a
}

// callArrived handles a new call or a resend.
func (c *Core) callArrived(in Call) {
	if _, ok := c.calls[in.ID]; ok {
		return
	}
	cl := &call{Call: in, ran: RanNo}
	cl.PromptTokens, cl.MaxTokens = clampTokens(in.PromptTokens), clampTokens(in.MaxTokens)
	single := in.Program == ""
	if single {
		cl.Program = c.singleCallProgramID(&in)
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
			cl.member = nil // the existence of another caller's program is not disclosed
		} else if cl.Key != "" && c.handleKnownKey(cl) {
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
		c.reject(cl, CodeDeadlineExceeded, "arrive", "the deadline had passed when the call arrived")
		return
	}
	if until, ok := c.crashSuspects.QuarantinedUntil(cl.Fingerprint); ok {
		c.rejectQuarantined(cl, until)
		return
	}
	// A single-call program ends with its call, even if the call was refused as
	// not run. A resend then opens the program again.
	if (cl.member == nil || !cl.member.Alive()) && !c.openSingleCallProgram(cl) {
		return
	}
	c.enqueue(cl)
}

// handleKnownKey handles a call whose key belongs to a running call or to a
// recorded outcome. It returns false if the key is new.
func (c *Core) handleKnownKey(cl *call) bool {
	k := cl.key()
	if prev := cl.root.callsByKey[k]; prev != nil {
		switch {
		case prev.Digest != cl.Digest:
			c.reject(cl, CodeKeyReused, "key", "the key belongs to a running call with another content")
		case prev.ID == "" || prev.replied:
			c.reattach(prev, cl)
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
		c.addDurableWait(journalWait{seq: seq, call: cl.ID, root: cl.root, run: func() {
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

// reattach makes a resend the caller of a running call whose earlier caller is
// gone or has had its reply.
func (c *Core) reattach(prev, cl *call) {
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
	c.armDeadline(prev)
}

// enqueue adds a call to the queue of its program.
func (c *Core) enqueue(cl *call) {
	c.nextCall++
	cl.arrivalOrder = c.nextCall
	cl.nonIdempotent = c.nonIdempotent(&cl.Call)
	c.calls[cl.ID] = cl
	c.queueOf(cl).Push(cl)
	if cl.Key != "" {
		cl.root.setCallByKey(cl.key(), cl)
	}
	cl.root.Touch(cl.member, c.now)
	c.armDeadline(cl)
	c.startNext(cl.root, cl.member)
}

func (r *root) setCallByKey(k program.Key, cl *call) {
	if r.callsByKey == nil {
		r.callsByKey = make(map[program.Key]*call)
	}
	r.callsByKey[k] = cl
}

// queueOf returns the queue of a call's program and creates it if necessary.
func (c *Core) queueOf(cl *call) *program.Queue[*call] {
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

// startNext starts the first call in a program's queue if it is not started
// yet. Calls of a program run one at a time.
func (c *Core) startNext(r *root, m *program.Member) {
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
	if s.readySeq > c.durableSeq() {
		// Until the restored state is durable, the next owner would not know
		// of this call.
		cl.state = stateAwaitingRecord
		c.whenDurable(s.readySeq, func() {
			if cl.state == stateAwaitingRecord {
				c.startAttempt(cl)
			}
		})
		return
	}
	c.startAttempt(cl)
}

// limits returns the budget limits of a root program.
func (c *Core) limits(r *root) program.Amount {
	b := c.rootProfile(r).Budget
	return program.Amount{Tokens: b.Tokens, Calls: b.Calls, Spend: b.SpendMicro}
}

// rootProfile returns the current profile of a root program.
func (c *Core) rootProfile(r *root) Profile {
	if m := r.Members[r.ID]; m != nil {
		return c.profile(m.Profile)
	}
	return c.profile("")
}

// defaultMaxTokens is reserved for a model call without a limit if its program
// has a token budget. Otherwise such a call would reserve the whole budget and
// block the program's children.
const defaultMaxTokens = 4096

// startAttempt reserves budget for the next attempt of a call and submits it to
// the policy.
func (c *Core) startAttempt(cl *call) {
	if until, ok := c.crashSuspects.QuarantinedUntil(cl.Fingerprint); ok {
		// The request may have been quarantined during its last attempt.
		c.refuse(cl, c.quarantineRefusal(cl, until))
		return
	}
	limits := c.limits(cl.root)
	if cl.Kind == KindService {
		cl.spend = c.cfg.Services[cl.Service].SpendMicroPerCall
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
		c.refuse(cl, c.newRefusal(cl, CodeBudgetExceeded, "budget", "the budget of the program does not cover the call"))
		return
	case program.BudgetPending:
		cl.state = stateAwaitingBudget
		cl.root.budgetWaiters = append(cl.root.budgetWaiters, cl)
		return
	}
	cl.granted = granted
	cl.attempt = c.newAttemptID()
	cl.claimed, cl.reserved = false, false
	c.attempts[cl.attempt] = cl
	if cl.nonIdempotent || limits == (program.Amount{}) {
		cl.root.Ledger.Reserve(string(cl.attempt), c.reservation(cl), cl.nonIdempotent)
		c.submit(cl)
		return
	}
	needs := cl.root.Ledger.NeedsDurableRecord(limits, c.reservation(cl))
	attempt := cl.attempt
	seq := c.append(cl.root, Record{
		Kind: RecordReserved, Program: cl.Program, Attempt: attempt,
		Reserved: c.reservation(cl).Tokens, SpendMicro: cl.spend,
	})
	cl.reserved = true
	cl.state = stateAwaitingRecord
	c.whenDurable(seq, func() {
		cl.root.Ledger.MarkDurable(string(attempt))
		if needs && cl.state == stateAwaitingRecord && cl.attempt == attempt {
			c.submit(cl)
		}
	})
	if !needs {
		c.submit(cl)
	}
}

// reservation returns the most that the current attempt of a call may use.
func (c *Core) reservation(cl *call) program.Amount {
	return program.Amount{Tokens: cl.PromptTokens + cl.granted, Calls: 1, Spend: cl.spend}
}

// submit adds a call to the policy's queue.
func (c *Core) submit(cl *call) {
	cl.state = stateSubmitted
	cl.suspect = c.crashSuspects.IsSuspect(cl.Fingerprint)
	c.opt.Policy.Enqueue(c.now, c.policyRequest(cl))
}

func (c *Core) policyRequest(cl *call) Request {
	return Request{
		Call: cl.Call, Program: c.programView(cl.root, cl.member), Attempt: cl.attempt, Tries: cl.tries,
		Suspect: cl.suspect, Avoid: slices.Clone(cl.avoid),
	}
}

func (c *Core) programView(r *root, m *program.Member) ProgramView {
	return ProgramView{
		ID: ProgramID(m.ID), Root: ProgramID(r.ID), Caller: r.Caller, Profile: c.profile(m.Profile),
		Region: c.opt.Region, Opened: m.Opened, Attained: r.Attained, Calls: r.Calls,
	}
}

// hasTimeFor reports whether the deadline leaves time to start the call after a
// delay.
func (cl *call) hasTimeFor(now time.Time, delay time.Duration) bool {
	return cl.Deadline.IsZero() || now.Add(delay).Before(cl.Deadline)
}
