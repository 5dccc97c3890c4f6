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
	// softDrain is how long a drain waits for moments without running calls
	// before it holds back new calls of busy slots.
	softDrain = 20 * time.Second
	// maxHold bounds the delay that a hold adds to a call. A long stream
	// outlasts it; its slot is tried again until the stream has ended.
	maxHold  = time.Second
	busyPoll = 20 * time.Millisecond
)

// reassign changes the owner of slots from one incarnation to this one by a
// conditional update, and returns the new epochs. Slots that have another owner
// by now are left out.
func (o *ownerRuntime) reassign(ctx context.Context, expected map[core.Slot]core.Epoch, from core.Incarnation) (map[core.Slot]core.Epoch, error) {
	m, taken, err := o.store.reassign(ctx, o.n.config.slotCount(), expected, from, o.n.cfg.Incarnation)
	if err != nil {
		return nil, err
	}
	o.setMap(m)
	return taken, nil
}

// serve starts to run the calls of slots.
func (o *ownerRuntime) serve(slots map[core.Slot]core.Epoch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sealed {
		return
	}
	for s, e := range slots {
		o.serving[s] = e
		delete(o.released, s)
	}
}

func (o *ownerRuntime) claimFree(ctx context.Context, slots []core.Slot) error {
	taken, err := o.reassign(ctx, o.epochsOf(slots, ""), "")
	if err != nil || len(taken) == 0 {
		return err
	}
	o.n.loop.post(core.SlotsAcquired{At: now(), Slots: taken, Planned: true})
	o.n.loop.do(func(*core.Core) {})
	o.serve(taken)
	o.n.log.Info("slots claimed", "count", len(taken))
	return nil
}

// takeOver succeeds a lost owner: seal its log, fence and collect the batches
// that its retention set holds, read its state, write the state to the own
// journal, and only then change the slot map.
func (o *ownerRuntime) takeOver(ctx context.Context, a ownership.TakeOver) error {
	start := time.Now()
	log, err := journal.SealAndOpen(ctx, o.n.cfg.Store, a.Lost, o.n.cfg.Incarnation)
	if err != nil {
		return errors.Wrapf(err, "seal journal of %s", a.Lost)
	}
	retained, err := o.collectRetained(ctx, a.Lost, log.Members())
	if err != nil {
		return err
	}
	records, err := log.Recover(ctx, retained)
	var gap *journal.GapError
	if errors.As(err, &gap) {
		// More members were lost than the retention set tolerates. What is
		// left is taken over, since nobody else holds more.
		o.n.log.Error("retained batches are incomplete", "lost", a.Lost, "error", err)
	} else if err != nil {
		return errors.Wrapf(err, "recover journal of %s", a.Lost)
	}
	if err := o.acquire(ctx, o.epochsOf(a.Slots, a.Lost), a.Lost, records, false); err != nil {
		return err
	}
	o.n.metrics.takeovers.Inc()
	o.markRemovable(a.Lost)
	o.n.log.Info("owner succeeded", "lost", a.Lost, "slots", len(a.Slots), "records", len(records), "duration", time.Since(start))
	return nil
}

// acquire loads the state of slots into the core, waits until it is in the own
// journal, changes the slot map and starts to serve.
func (o *ownerRuntime) acquire(ctx context.Context, current map[core.Slot]core.Epoch, from core.Incarnation, records []core.Record, planned bool) error {
	if len(current) == 0 {
		return nil
	}
	var slots []core.Slot
	for s := range current {
		slots = append(slots, s)
	}
	slices.Sort(slots)
	var own []core.Record
	for _, r := range records {
		if _, wanted := current[r.Slot]; wanted {
			own = append(own, r)
		}
	}
	next := make(map[core.Slot]core.Epoch, len(current))
	for s, e := range current {
		next[s] = e + 1
	}
	o.n.loop.post(core.SlotsAcquired{At: now(), Slots: next, Records: own, Planned: planned})
	o.n.loop.do(func(*core.Core) {})
	if err := o.n.journal.Flush(ctx); err != nil {
		o.forget(slots)
		return errors.Wrap(err, "write recovered state")
	}
	taken, err := o.reassignForSure(ctx, current, from)
	if err != nil {
		o.forget(slots)
		return err
	}
	var lost []core.Slot
	for s := range next {
		if taken[s] != next[s] {
			lost = append(lost, s)
			delete(taken, s)
		}
	}
	if len(lost) > 0 {
		o.forget(lost)
	}
	o.serve(taken)
	return nil
}

// reassignForSure changes the slot map and, when the outcome of the write is
// not known, reads the map until it tells. State that was loaded must not be
// dropped while the map may name this entry.
func (o *ownerRuntime) reassignForSure(ctx context.Context, expected map[core.Slot]core.Epoch, from core.Incarnation) (map[core.Slot]core.Epoch, error) {
	taken, err := o.reassign(ctx, expected, from)
	if err == nil {
		return taken, nil
	}
	o.n.log.Warn("outcome of the slot map's change is not known", "error", err)
	for o.n.ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(o.n.ctx, slotMapInterval)
		m, readErr := o.store.read(readCtx, o.n.config.slotCount())
		cancel()
		if readErr == nil {
			o.setMap(m)
			return o.raised(expected), nil
		}
		sleep(o.n.ctx, forwardRetry)
	}
	return nil, err
}

// raised returns the slots that the map gives to this entry at the epoch after
// the expected one.
func (o *ownerRuntime) raised(expected map[core.Slot]core.Epoch) map[core.Slot]core.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[core.Slot]core.Epoch)
	for s, epoch := range o.mgr.OwnedSlots() {
		if before, ok := expected[s]; ok && epoch == before+1 {
			out[s] = epoch
		}
	}
	return out
}

// forget drops state that was loaded for slots which went to another owner.
func (o *ownerRuntime) forget(slots []core.Slot) {
	o.n.loop.post(core.SlotsReleased{At: now(), Slots: slots, Done: true})
}

func (o *ownerRuntime) epochsOf(slots []core.Slot, from core.Incarnation) map[core.Slot]core.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.mgr.Slots().Slots
	out := make(map[core.Slot]core.Epoch)
	for _, s := range slots {
		if int(s) < len(known) && known[s].Incarnation == from {
			out[s] = known[s].Epoch
		}
	}
	return out
}

// handOver passes own slots to a peer, one by one, each at a moment without
// running calls. A slot that stays busy is left for the next time.
func (o *ownerRuntime) handOver(ctx context.Context, a ownership.HandOver) error {
	session, err := o.n.peers.entry(ctx, a.To.Instance)
	if err != nil {
		return err
	}
	moved := 0
	for _, s := range a.Slots {
		ok, err := o.release(ctx, s)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if err := o.sendSlot(ctx, session, s); err != nil {
			o.takeBack(s)
			return errors.Wrapf(err, "hand slot %d to %s", s, a.To.Instance)
		}
		moved++
	}
	if moved > 0 {
		o.n.log.Info("slots handed over", "count", moved, "peer", a.To.Instance)
		o.n.metrics.handovers.Add(moved)
	}
	return nil
}

// release stops new calls of a slot if no call of it runs. It returns false if
// the slot is busy: its owner goes on serving it.
func (o *ownerRuntime) release(ctx context.Context, s core.Slot) (bool, error) {
	idle := o.holdIfIdle(s)
	if !idle && o.drainingLong() {
		idle = o.holdUntilIdle(ctx, s)
	}
	if !idle {
		return false, nil
	}
	o.n.loop.post(core.SlotsReleased{At: now(), Slots: []core.Slot{s}})
	o.n.loop.do(func(*core.Core) {})
	if err := o.n.journal.Flush(ctx); err != nil {
		o.takeBack(s)
		return false, err
	}
	return true, nil
}

// holdIfIdle holds back new calls of a slot if none runs.
func (o *ownerRuntime) holdIfIdle(s core.Slot) bool {
	idle := false
	o.n.loop.do(func(c *core.Core) {
		if idle = c.InFlight([]core.Slot{s}) == 0; idle {
			o.hold(s)
		}
	})
	return idle
}

// drainingLong reports whether the drain has waited long enough for moments
// without running calls.
func (o *ownerRuntime) drainingLong() bool {
	started := o.n.drainStarted.Load()
	return started != 0 && time.Since(time.Unix(0, started)) > softDrain
}

// holdUntilIdle holds back new calls of a busy slot for a short time, so that a
// slot in which some call always runs can be handed over. Calls that arrive
// meanwhile wait at the entries that received them.
func (o *ownerRuntime) holdUntilIdle(ctx context.Context, s core.Slot) bool {
	o.hold(s)
	deadline := time.Now().Add(maxHold)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if o.holdIfIdle(s) {
			return true
		}
		sleep(ctx, busyPoll)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.released, s)
	return false
}

func (o *ownerRuntime) isDraining() bool { return o.n.draining.Load() }

func (o *ownerRuntime) hold(s core.Slot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released[s] = true
}

// takeBack serves a slot again after a failed hand-over. It raises the epoch
// first: the peer may have the hand-over and change the slot map later, which
// then no longer succeeds. Until the store has answered, the slot is not served,
// since the peer may own it.
func (o *ownerRuntime) takeBack(s core.Slot) {
	expected := o.epochsOf([]core.Slot{s}, o.n.cfg.Incarnation)
	var taken map[core.Slot]core.Epoch
	for o.n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.n.ctx, slotMapInterval)
		var err error
		taken, err = o.reassignForSure(ctx, expected, o.n.cfg.Incarnation)
		cancel()
		if err == nil {
			break
		}
	}
	if len(taken) == 0 {
		o.forget([]core.Slot{s})
		return
	}
	var records []core.Record
	o.n.loop.do(func(c *core.Core) { records = c.Snapshot([]core.Slot{s}) })
	o.n.loop.post(core.SlotsAcquired{At: now(), Slots: taken, Records: records, Planned: true})
	o.n.loop.do(func(*core.Core) {})
	o.serve(taken)
}

// sendSlot gives the state of a slot to its new owner and waits until that has
// it in its journal and in the slot map.
func (o *ownerRuntime) sendSlot(ctx context.Context, session *transport.Session, s core.Slot) error {
	var records []core.Record
	o.n.loop.do(func(c *core.Core) { records = c.Snapshot([]core.Slot{s}) })
	epoch := o.epochsOf([]core.Slot{s}, o.n.cfg.Incarnation)[s]
	m := &peerv1.Handover{From: string(o.n.cfg.Incarnation), Slots: []uint32{uint32(s)}, Epochs: []uint64{uint64(epoch)}}
	for i := range records {
		m.Records = append(m.Records, journal.ToProto(&records[i]))
	}
	answer, err := roundTrip(ctx, session, &peerv1.Envelope{Body: &peerv1.Envelope_Handover{Handover: m}})
	if err != nil {
		return err
	}
	if text := answer.GetAck().GetError(); text != "" {
		return errors.New(text)
	}
	o.forget([]core.Slot{s})
	o.mu.Lock()
	delete(o.serving, s)
	o.mu.Unlock()
	o.requestRead()
	return nil
}

// serveHandover takes slots that a peer hands over.
func (n *Entry) serveHandover(ctx context.Context, st *transport.Stream, m *peerv1.Handover) {
	err := n.owner.receiveSlots(ctx, m)
	if err != nil {
		n.log.Warn("hand-over not taken", "peer", m.GetFrom(), "error", err)
	}
	reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{Error: errorText(err)}}})
}

func (o *ownerRuntime) receiveSlots(ctx context.Context, m *peerv1.Handover) error {
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
	if taken := o.raised(current); len(taken) < len(current) {
		return errors.Errorf("%d of %d slots have another owner or epoch by now", len(current)-len(taken), len(current))
	}
	return nil
}
