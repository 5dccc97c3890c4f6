package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// idleWaitLimit is how long a drain waits for slots to become idle before it
	// also pauses busy slots.
	idleWaitLimit = 20 * time.Second
	// maxPause is the longest time for which a busy slot is paused, and so the
	// longest delay of its new calls. A slot with a longer running call is tried
	// again later.
	maxPause         = time.Second
	idlePollInterval = 20 * time.Millisecond
)

// reassign makes this incarnation the owner of slots of the incarnation from, by a
// conditional update of the slot map. It returns the new epochs of the changed slots.
// Slots that now have another owner or epoch are skipped.
func (o *ownershipRuntime) reassign(ctx context.Context, expected map[core.Slot]core.Epoch, from core.Incarnation) (map[core.Slot]core.Epoch, error) {
	m, changed, err := o.store.reassign(ctx, o.n.config.slotCount(), expected, from, o.n.cfg.Incarnation)
	if err != nil {
		return nil, err
	}
	o.setMap(m)
	return changed, nil
}

// serve starts to accept calls of slots.
func (o *ownershipRuntime) serve(slots map[core.Slot]core.Epoch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.journalSealed {
		return
	}
	for s, e := range slots {
		o.serving[s] = e
		delete(o.paused, s)
	}
}

// claimFree makes this entry the owner of slots that have no owner.
func (o *ownershipRuntime) claimFree(ctx context.Context, slots []core.Slot) error {
	claimed, err := o.reassign(ctx, o.epochsOwnedBy(slots, ""), "")
	if err != nil || len(claimed) == 0 {
		return err
	}
	o.n.loop.post(core.SlotsAcquired{At: now(), Slots: claimed, Planned: true})
	o.n.loop.withCore(func(*core.Core) {})
	o.serve(claimed)
	o.n.log.Info("slots claimed", "count", len(claimed))
	return nil
}

// takeOver takes over the slots of a lost owner. It seals the owner's log, fences the
// owner at the members of its retention set, collects the batches that they hold and
// recovers the state. The state is written to the journal of this entry before the
// slot map is changed.
func (o *ownershipRuntime) takeOver(ctx context.Context, a ownership.TakeOver) error {
	start := time.Now()
	log, err := journal.SealAndOpen(ctx, o.n.cfg.Store, a.Lost, o.n.cfg.Incarnation)
	if err != nil {
		return errors.Wrapf(err, "seal journal of %s", a.Lost)
	}
	retained, err := o.fenceMembers(ctx, a.Lost, log.Members())
	if err != nil {
		return err
	}
	records, err := log.Recover(ctx, retained)
	var gap *journal.GapError
	if errors.As(err, &gap) {
		// More members were lost than the retention set tolerates. The takeover
		// continues with the remaining records, since no other process holds more.
		o.n.log.Error("retained batches are incomplete", "lost", a.Lost, "error", err)
	} else if err != nil {
		return errors.Wrapf(err, "recover journal of %s", a.Lost)
	}
	if err := o.acquire(ctx, o.epochsOwnedBy(a.Slots, a.Lost), a.Lost, records, false); err != nil {
		return err
	}
	o.n.metrics.takeovers.Inc()
	o.markRemovable(a.Lost)
	o.n.log.Info("owner succeeded", "lost", a.Lost, "slots", len(a.Slots), "records", len(records), "duration", time.Since(start))
	return nil
}

// acquire loads the state of slots into the core, waits until it is durable in the
// journal of this entry, changes the slot map and starts to serve the slots.
func (o *ownershipRuntime) acquire(ctx context.Context, current map[core.Slot]core.Epoch, from core.Incarnation, records []core.Record, planned bool) error {
	if len(current) == 0 {
		return nil
	}
	var slots []core.Slot
	for s := range current {
		slots = append(slots, s)
	}
	slices.Sort(slots)
	var wanted []core.Record
	for _, r := range records {
		if _, ok := current[r.Slot]; ok {
			wanted = append(wanted, r)
		}
	}
	next := make(map[core.Slot]core.Epoch, len(current))
	for s, e := range current {
		next[s] = e + 1
	}
	o.n.loop.post(core.SlotsAcquired{At: now(), Slots: next, Records: wanted, Planned: planned})
	o.n.loop.withCore(func(*core.Core) {})
	if err := o.n.journal.Flush(ctx); err != nil {
		o.unloadSlots(slots)
		return errors.Wrap(err, "write recovered state")
	}
	assigned, err := o.reassignAndConfirm(ctx, current, from)
	if err != nil {
		o.unloadSlots(slots)
		return err
	}
	var notAssigned []core.Slot
	for s := range next {
		if assigned[s] != next[s] {
			notAssigned = append(notAssigned, s)
			delete(assigned, s)
		}
	}
	if len(notAssigned) > 0 {
		o.unloadSlots(notAssigned)
	}
	o.serve(assigned)
	return nil
}

// reassignAndConfirm is like reassign. If the result of the update is unknown, it
// reads the slot map until the result is clear, because the loaded state must not be
// dropped while the map may name this entry as the owner.
func (o *ownershipRuntime) reassignAndConfirm(ctx context.Context, expected map[core.Slot]core.Epoch, from core.Incarnation) (map[core.Slot]core.Epoch, error) {
	changed, err := o.reassign(ctx, expected, from)
	if err == nil {
		return changed, nil
	}
	o.n.log.Warn("result of slot map update unknown", "error", err)
	for o.n.ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(o.n.ctx, slotMapPollInterval)
		m, readErr := o.store.load(readCtx, o.n.config.slotCount())
		cancel()
		if readErr == nil {
			o.setMap(m)
			return o.assignedAtNextEpoch(expected), nil
		}
		sleep(o.n.ctx, forwardRetryInterval)
	}
	return nil, err
}

// assignedAtNextEpoch returns the slots that the slot map assigns to this entry with
// the epoch that follows the expected one.
func (o *ownershipRuntime) assignedAtNextEpoch(expected map[core.Slot]core.Epoch) map[core.Slot]core.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[core.Slot]core.Epoch)
	for s, epoch := range o.manager.OwnedSlots() {
		if before, ok := expected[s]; ok && epoch == before+1 {
			out[s] = epoch
		}
	}
	return out
}

// unloadSlots drops the state of slots that this entry does not own from the core.
func (o *ownershipRuntime) unloadSlots(slots []core.Slot) {
	o.n.loop.post(core.SlotsReleased{At: now(), Slots: slots, Done: true})
}

// epochsOwnedBy returns the epochs of those slots that the slot map assigns to the
// incarnation from.
func (o *ownershipRuntime) epochsOwnedBy(slots []core.Slot, from core.Incarnation) map[core.Slot]core.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.manager.Slots().Slots
	out := make(map[core.Slot]core.Epoch)
	for _, s := range slots {
		if int(s) < len(known) && known[s].Incarnation == from {
			out[s] = known[s].Epoch
		}
	}
	return out
}

// handOver transfers slots of this entry to a peer, one at a time, each while none of
// its calls is running. Slots that stay busy are skipped; the manager proposes them
// again.
func (o *ownershipRuntime) handOver(ctx context.Context, a ownership.HandOver) error {
	session, err := o.n.peers.entrySession(ctx, a.To.Instance)
	if err != nil {
		return err
	}
	moved := 0
	for _, s := range a.Slots {
		ok, err := o.prepareHandover(ctx, s)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if err := o.sendSlot(ctx, session, s); err != nil {
			o.reclaimSlot(s)
			return errors.Wrapf(err, "hand over slot %d to %s", s, a.To.Instance)
		}
		moved++
	}
	if moved > 0 {
		o.n.log.Info("slots handed over", "count", moved, "peer", a.To.Instance)
		o.n.metrics.handovers.Add(moved)
	}
	return nil
}

// prepareHandover pauses a slot, informs the core and flushes the journal. It returns
// false if the slot is busy; the slot is then still served.
func (o *ownershipRuntime) prepareHandover(ctx context.Context, s core.Slot) (bool, error) {
	idle := o.pauseIfIdle(s)
	if !idle && o.mayPauseBusySlots() {
		idle = o.pauseUntilIdle(ctx, s)
	}
	if !idle {
		return false, nil
	}
	o.n.loop.post(core.SlotsReleased{At: now(), Slots: []core.Slot{s}})
	o.n.loop.withCore(func(*core.Core) {})
	if err := o.n.journal.Flush(ctx); err != nil {
		o.reclaimSlot(s)
		return false, err
	}
	return true, nil
}

// pauseIfIdle pauses a slot if none of its calls is running, and reports whether it
// did.
func (o *ownershipRuntime) pauseIfIdle(s core.Slot) bool {
	idle := false
	o.n.loop.withCore(func(c *core.Core) {
		if idle = c.InFlight([]core.Slot{s}) == 0; idle {
			o.pause(s)
		}
	})
	return idle
}

// mayPauseBusySlots reports whether a drain has been running for longer than
// idleWaitLimit.
func (o *ownershipRuntime) mayPauseBusySlots() bool {
	started := o.n.drainStarted.Load()
	return started != 0 && time.Since(time.Unix(0, started)) > idleWaitLimit
}

// pauseUntilIdle pauses a busy slot until its calls have ended, for at most maxPause,
// and reports whether they have. Without it, a slot that always has a running call
// could never be handed over. New calls wait at the entries that received them.
func (o *ownershipRuntime) pauseUntilIdle(ctx context.Context, s core.Slot) bool {
	o.pause(s)
	deadline := time.Now().Add(maxPause)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if o.pauseIfIdle(s) {
			return true
		}
		sleep(ctx, idlePollInterval)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.paused, s)
	return false
}

func (o *ownershipRuntime) isDraining() bool { return o.n.draining.Load() }

// pause stops accepting new calls of a slot.
func (o *ownershipRuntime) pause(s core.Slot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paused[s] = true
}

// reclaimSlot serves a slot again after a failed handover. It first increments the
// epoch: the peer may have received the handover, and its later update of the slot
// map must fail. The slot is not served before the store has confirmed the new epoch,
// because the peer may already own it.
func (o *ownershipRuntime) reclaimSlot(s core.Slot) {
	expected := o.epochsOwnedBy([]core.Slot{s}, o.n.cfg.Incarnation)
	var changed map[core.Slot]core.Epoch
	for o.n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.n.ctx, slotMapPollInterval)
		var err error
		changed, err = o.reassignAndConfirm(ctx, expected, o.n.cfg.Incarnation)
		cancel()
		if err == nil {
			break
		}
	}
	if len(changed) == 0 {
		o.unloadSlots([]core.Slot{s})
		return
	}
	var records []core.Record
	o.n.loop.withCore(func(c *core.Core) { records = c.Snapshot([]core.Slot{s}) })
	o.n.loop.post(core.SlotsAcquired{At: now(), Slots: changed, Records: records, Planned: true})
	o.n.loop.withCore(func(*core.Core) {})
	o.serve(changed)
}

// sendSlot sends the state of a slot to its new owner. It waits until the new owner
// has written the state to its journal and changed the slot map.
func (o *ownershipRuntime) sendSlot(ctx context.Context, session *transport.Session, s core.Slot) error {
	var records []core.Record
	o.n.loop.withCore(func(c *core.Core) { records = c.Snapshot([]core.Slot{s}) })
	epoch := o.epochsOwnedBy([]core.Slot{s}, o.n.cfg.Incarnation)[s]
	m := &peerv1.Handover{From: string(o.n.cfg.Incarnation), Slots: []uint32{uint32(s)}, Epochs: []uint64{uint64(epoch)}}
	for i := range records {
		m.Records = append(m.Records, journal.ToProto(&records[i]))
	}
	response, err := roundTrip(ctx, session, &peerv1.Envelope{Body: &peerv1.Envelope_Handover{Handover: m}})
	if err != nil {
		return err
	}
	if text := response.GetAck().GetError(); text != "" {
		return errors.New(text)
	}
	o.unloadSlots([]core.Slot{s})
	o.mu.Lock()
	delete(o.serving, s)
	o.mu.Unlock()
	o.requestMapRead()
	return nil
}

// serveHandover handles a request by which a peer hands over slots to this entry.
func (n *Entry) serveHandover(ctx context.Context, st *transport.Stream, m *peerv1.Handover) {
	err := n.owner.receiveSlots(ctx, m)
	if err != nil {
		n.log.Warn("handover failed", "peer", m.GetFrom(), "error", err)
	}
	sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{Error: errorText(err)}}})
}

// receiveSlots acquires the slots of a handover. It fails unless all of them are
// assigned to this entry.
func (o *ownershipRuntime) receiveSlots(ctx context.Context, m *peerv1.Handover) error {
	if o.isDraining() {
		return errors.New("this entry is draining")
	}
	if len(m.GetEpochs()) != len(m.GetSlots()) {
		return errors.Errorf("hand-over names %d slots and %d epochs", len(m.GetSlots()), len(m.GetEpochs()))
	}
	current := make(map[core.Slot]core.Epoch)
	for i, s := range m.GetSlots() {
		current[core.Slot(s)] = core.Epoch(m.GetEpochs()[i])
	}
	var records []core.Record
	for _, p := range m.GetRecords() {
		r, err := journal.FromProto(p)
		if err != nil {
			return errors.Wrap(err, "decode hand-over record")
		}
		records = append(records, r)
	}
	if err := o.acquire(ctx, current, core.Incarnation(m.GetFrom()), records, true); err != nil {
		return err
	}
	if assigned := o.assignedAtNextEpoch(current); len(assigned) < len(current) {
		return errors.Errorf("%d of %d slots have another owner or epoch by now", len(current)-len(assigned), len(current))
	}
	return nil
}
