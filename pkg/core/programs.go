package core

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// minRetention is the shortest time for which an ended program is kept. A call
// that is resent within it gets the stored answer and does not run again.
const minRetention = 15 * time.Minute

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// programOpened handles a caller's request to open a program.
func (c *Core) programOpened(e ProgramOpened) {
	refuse := func(code, step, message string) {
		c.reject(&call{Call: Call{ID: e.Call, Profile: e.Profile}, ran: RanNo}, code, step, message)
	}
	id := e.ID
	openKey := program.Key{Caller: e.Caller, Key: e.Key}
	if e.Parent != "" {
		id = e.Parent
	} else if first, ok := c.rootsByOpenKey[openKey]; ok && e.Key != "" {
		id = first
	} else if id == "" && e.Key != "" {
		id = ProgramIDForOpen(e.Caller, e.Key)
	} else if id == "" {
		id = c.newProgramID()
	}
	slot := SlotOf(id, c.slotCount())
	owned := c.slots[slot]
	if c.sealed || owned == nil || owned.released {
		refuse(CodeNotOwner, "owner", "this entry does not own the program")
		return
	}
	r := c.roots[RootOf(id)]
	if r != nil && r.Caller != e.Caller {
		refuse(CodeProgramUnknown, "program", "the id cannot be used")
		return
	}
	if e.Parent != "" {
		c.openChild(e, r, refuse)
		return
	}
	if DepthOf(id) > 0 {
		refuse(CodeBadRequest, "program", "a child program is opened by naming its parent")
		return
	}
	if r != nil {
		m := r.Members[r.ID]
		if m == nil || m.Profile != e.Profile || m.OpenKey != e.Key || m.SingleCall {
			refuse(CodeKeyReused, "program", "the program was opened with other settings")
			return
		}
		c.acknowledgeOpen(e.Call, r, m)
		return
	}
	if _, bad := c.damaged[id]; bad {
		refuse(CodeProgramUnknown, "program", "the stored state of the program cannot be read")
		return
	}
	r = &root{Root: program.NewRoot(string(id), e.Caller), slot: slot}
	if ref, ok := c.admitRoot(r, e.Profile); !ok {
		c.emit(Refuse{Call: e.Call, Refusal: ref})
		return
	}
	if e.Key != "" {
		c.rootsByOpenKey[openKey] = id
	}
	c.addRoot(r, Record{Kind: RecordOpened, Program: id, Caller: e.Caller, Profile: e.Profile, Key: e.Key})
	c.acknowledgeOpen(e.Call, r, r.Members[r.ID])
}

// admitRoot asks the policy to admit a new root program. It returns false with
// the refusal if the program may not start.
func (c *Core) admitRoot(r *root, profile string) (Refusal, bool) {
	prof := c.profile(profile)
	if c.draining {
		return Refusal{
			Code: CodeShuttingDown, Step: "admission", Message: "this entry is stopping", Ran: RanNo,
			RetryAfter: minRetryAfter,
		}, false
	}
	id := ProgramID(r.ID)
	a := c.opt.Policy.Admit(c.now, ProgramView{
		ID: id, Root: id, Caller: r.Caller, Profile: prof, Region: c.opt.Region, Opened: c.now,
	})
	if a.OK {
		return Refusal{}, true
	}
	return Refusal{
		Code: CodeOverloaded, Step: "admission", Message: a.Reason, Ran: RanNo,
		RetryAfter: max(a.RetryAfter, prof.RefusalRetry, minRetryAfter),
	}, false
}

// addRoot records the opening of an admitted root program.
func (c *Core) addRoot(r *root, opened Record) {
	c.roots[ProgramID(r.ID)] = r
	c.append(r, opened)
	c.armRootCheck(r)
}

// openChild opens a child program for a sub-agent.
func (c *Core) openChild(e ProgramOpened, r *root, refuse func(code, step, message string)) {
	var parent *program.Member
	if r != nil {
		parent = r.Members[string(e.Parent)]
	}
	if parent == nil {
		refuse(CodeProgramUnknown, "program", "the parent program does not exist or is past its retention")
		return
	}
	profile := e.Profile
	if profile == "" {
		profile = parent.Profile
	}
	if e.Key != "" {
		for _, id := range sortedKeys(r.Members) {
			if m := r.Members[id]; m.Parent == parent.ID && m.OpenKey == e.Key {
				if m.Profile != profile {
					refuse(CodeKeyReused, "program", "the program was opened with other settings")
					return
				}
				c.acknowledgeOpen(e.Call, r, m)
				return
			}
		}
	}
	if !parent.Alive() {
		refuse(CodeProgramEnded, "program", "the parent program has ended")
		return
	}
	b := c.rootProfile(r).Budget
	if b.Depth > 0 && DepthOf(e.Parent)+1 > b.Depth {
		refuse(CodeBudgetExceeded, "budget", "the program has reached its depth of sub-agents")
		return
	}
	if b.Width > 0 && r.Children() >= b.Width {
		refuse(CodeBudgetExceeded, "budget", "the program has reached its number of running sub-agents")
		return
	}
	id := ChildID(e.Parent, parent.NextChild+1)
	c.append(r, Record{
		Kind: RecordOpened, Program: id, Parent: e.Parent, Caller: e.Caller, Profile: profile, Key: e.Key,
	})
	m := r.Members[string(id)]
	r.Touch(m, c.now)
	c.armRootCheck(r)
	c.acknowledgeOpen(e.Call, r, m)
}

func (c *Core) acknowledgeOpen(id CallID, r *root, m *program.Member) {
	c.addDurableWait(journalWait{seq: Seq(m.Seq), call: id, root: r, run: func() {
		c.emit(Opened{Call: id, ID: ProgramID(m.ID)})
	}})
}

// newProgramID returns a new id in one of the owned slots, or without a slot if
// there is none.
func (c *Core) newProgramID() ProgramID {
	var slots []Slot
	for _, s := range sortedKeys(c.slots) {
		if !c.slots[s].released {
			slots = append(slots, s)
		}
	}
	var b [8]byte
	n := c.rng.Uint64()
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	if len(slots) == 0 {
		return ProgramID(hex.EncodeToString(b[:]))
	}
	return NewProgramID(slots[n%uint64(len(slots))], hex.EncodeToString(b[:]))
}

// singleCallProgramID returns the program id for a call that names no program.
func (c *Core) singleCallProgramID(in *Call) ProgramID {
	if in.Key != "" {
		return ProgramIDForCall(in.Caller, in.Key)
	}
	return c.newProgramID()
}

// openSingleCallProgram opens the program of a call that names none. It returns
// false if the call was refused.
func (c *Core) openSingleCallProgram(cl *call) bool {
	r := cl.root
	if r == nil {
		r = &root{Root: program.NewRoot(string(cl.Program), cl.Caller), slot: SlotOf(cl.Program, c.slotCount())}
	}
	profile := cl.Profile
	if profile == "" && cl.Kind == KindService {
		profile = c.cfg.Services[cl.Service].DefaultProfile
	}
	if ref, ok := c.admitRoot(r, profile); !ok {
		c.emit(Refuse{Call: cl.ID, Refusal: ref})
		return false
	}
	cl.root = r
	c.addRoot(r, Record{
		Kind: RecordOpened, Program: cl.Program, Caller: cl.Caller, Profile: profile, State: []byte{singleCallMarker},
	})
	cl.member = r.Members[r.ID]
	return true
}

// programEnded handles a caller's request to end a program.
func (c *Core) programEnded(e ProgramEnded) {
	refuse := func(code, step, message string) {
		c.reject(&call{Call: Call{ID: e.Call}, ran: RanNo}, code, step, message)
	}
	owned := c.slots[SlotOf(e.ID, c.slotCount())]
	if c.sealed || owned == nil || owned.released {
		refuse(CodeNotOwner, "owner", "this entry does not own the program")
		return
	}
	r := c.roots[RootOf(e.ID)]
	var m *program.Member
	if r != nil && r.Caller == e.Caller {
		m = r.Members[string(e.ID)]
	}
	if m == nil {
		refuse(CodeProgramUnknown, "program", "the program does not exist or is past its retention")
		return
	}
	if m.Alive() {
		c.endMember(r, m, CodeProgramEnded, "program", "the program was ended by its caller")
	}
	c.acknowledgeOpen(e.Call, r, m)
}

// endMember ends a program and its children. Their calls are refused, except
// non-idempotent calls at an upstream and calls whose answer is being recorded.
func (c *Core) endMember(r *root, m *program.Member, code, step, message string) {
	members := r.LiveSubtree(m.ID)
	c.append(r, Record{Kind: RecordEnded, Program: ProgramID(m.ID), Caller: r.Caller})
	for _, m := range members {
		if q := r.queues[ProgramID(m.ID)]; q != nil {
			for _, cl := range q.Items() {
				working := cl.state == stateRunning || cl.state == stateResolving
				if cl.state == stateFinishing || working && cl.nonIdempotent {
					continue
				}
				c.refuse(cl, c.newRefusal(cl, code, step, message))
			}
		}
		c.releasePins(r, m)
		c.opt.Policy.ProgramEnded(c.now, ProgramID(m.ID))
	}
	c.armRootCheck(r)
}

// expireMembers ends the members of a root program whose wall time or idle
// timeout has passed and drops ended members after their retention time.
func (c *Core) expireMembers(r *root) {
	top := r.Members[r.ID]
	if wall := c.rootProfile(r).Budget.WallTime; wall > 0 && top.Alive() && !c.now.Before(top.Opened.Add(wall)) {
		c.endMember(r, top, CodeBudgetExceeded, "budget", "the program has used its time")
	}
	for _, id := range slices.Backward(sortedKeys(r.Members)) {
		m := r.Members[id]
		if m == nil {
			continue
		}
		prof := c.profile(m.Profile)
		switch {
		case m.Alive():
			if prof.IdleTimeout > 0 && c.idle(r, m) && !c.now.Before(m.LastActive.Add(prof.IdleTimeout)) {
				c.endMember(r, m, CodeProgramEnded, "program", "the program made no call for its idle time")
			}
		case c.unreferenced(r, m) && !c.now.Before(m.EndedAt.Add(max(prof.HistoryRetention, minRetention))):
			if m.Parent != "" {
				r.RemoveMember(id)
				continue
			}
			c.forgetRoot(r)
			return
		}
	}
	c.armRootCheck(r)
}

// unreferenced reports whether no call refers to an ended member any more. A
// root program is kept until the claims of its children are resolved.
func (c *Core) unreferenced(r *root, m *program.Member) bool {
	if m.Parent == "" {
		return len(r.queues) == 0
	}
	return r.queues[ProgramID(m.ID)] == nil
}

// idle reports whether a program has neither calls nor live children.
func (c *Core) idle(r *root, m *program.Member) bool {
	return r.queues[ProgramID(m.ID)] == nil && len(r.LiveSubtree(m.ID)) == 1
}

// nextCheckTime returns the earliest time at which expireMembers may have an
// effect, zero if there is none.
func (c *Core) nextCheckTime(r *root) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if !t.After(c.now) {
			// Overdue, but kept by an unfinished call or a live child: poll.
			t = c.now.Add(time.Second)
		}
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, m := range r.Members {
		prof := c.profile(m.Profile)
		switch {
		case !m.Alive():
			consider(m.EndedAt.Add(max(prof.HistoryRetention, minRetention)))
		case prof.IdleTimeout > 0:
			consider(m.LastActive.Add(prof.IdleTimeout))
		}
	}
	if top := r.Members[r.ID]; top != nil && top.Alive() {
		if wall := c.rootProfile(r).Budget.WallTime; wall > 0 {
			consider(top.Opened.Add(wall))
		}
	}
	return next
}

// forgetRoot removes a root program and the index entries that refer to it.
func (c *Core) forgetRoot(r *root) {
	delete(c.roots, ProgramID(r.ID))
	if m := r.Members[r.ID]; m != nil && m.OpenKey != "" {
		delete(c.rootsByOpenKey, program.Key{Caller: r.Caller, Key: m.OpenKey})
	}
	for _, rec := range r.Keys {
		delete(c.unknownClaims, AttemptID(rec.Attempt))
	}
}
