package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

const (
	ownershipTickInterval  = 100 * time.Millisecond
	ownershipActionTimeout = 30 * time.Second
)

// ownershipRuntime executes the decisions of the ownership manager and knows which
// entry owns which slot.
type ownershipRuntime struct {
	n     *Entry
	store slotStore

	mu              sync.Mutex
	manager         *ownership.Manager
	serving         map[core.Slot]core.Epoch // loaded in the core and assigned to this entry by the slot map
	paused          map[core.Slot]bool       // accept no new calls because they are being handed over
	mapReadRequests chan struct{}
	journalSealed   bool // by another entry; this incarnation serves no more slots
	// removableLogs are incarnations whose slots have been taken over. Their
	// logs are deleted once their process is known to have ended.
	removableLogs map[core.Incarnation]bool
	// fencedOwners are incarnations that this entry has fenced as a member of
	// their retention set. Their retained batches are kept until their process
	// is known to have ended.
	fencedOwners map[core.Incarnation]bool
}

func newOwnershipRuntime(n *Entry, self ownership.Peer, store objectapi.Client) *ownershipRuntime {
	return &ownershipRuntime{
		n:       n,
		store:   slotStore{store},
		manager: ownership.New(self, time.Now()),
		serving: make(map[core.Slot]core.Epoch),
		paused:  make(map[core.Slot]bool),

		removableLogs:   make(map[core.Incarnation]bool),
		fencedOwners:    make(map[core.Incarnation]bool),
		mapReadRequests: make(chan struct{}, 1),
	}
}

// recordContact records that a peer was in direct contact. If the peer knows a newer
// slot map, a read of the map is requested.
func (o *ownershipRuntime) recordContact(p ownership.Peer, slotsVersion uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manager.OnContact(time.Now(), p)
	if slotsVersion > o.manager.Slots().Version {
		o.requestMapRead()
	}
}

// requestMapRead makes keepMapCurrent read the slot map. It does not block.
func (o *ownershipRuntime) requestMapRead() {
	select {
	case o.mapReadRequests <- struct{}{}:
	default:
	}
}

// onInstanceList passes the entries of the instance list to the manager.
func (o *ownershipRuntime) onInstanceList(list []objectapi.Instance) {
	var peers []ownership.Peer
	for _, in := range list {
		if in.Role != roleEntry {
			continue
		}
		peers = append(peers, ownership.Peer{
			Instance: in.ID, Region: in.Region, FailureDomain: in.FailureDomain,
			Address: in.Address, Leaving: in.State == "leaving",
		})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manager.OnInstanceList(time.Now(), peers)
}

// ownerOf returns the instance that owns a program according to the slot map.
func (o *ownershipRuntime) ownerOf(id core.ProgramID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slots := o.manager.Slots().Slots
	if len(slots) == 0 {
		return "", false
	}
	owner := slots[core.SlotOf(id, len(slots))].Incarnation
	return ownership.Instance(owner), owner != ""
}

// serves reports whether this entry currently accepts calls of a program.
func (o *ownershipRuntime) serves(id core.ProgramID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.manager.Slots().Slots)
	if n == 0 || o.journalSealed {
		return false
	}
	s := core.SlotOf(id, n)
	_, ok := o.serving[s]
	return ok && !o.paused[s]
}

// hasMap reports whether a slot map is known.
func (o *ownershipRuntime) hasMap() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.manager.Slots().Slots) > 0
}

func (o *ownershipRuntime) slotCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.manager.Slots().Slots)
}

func (o *ownershipRuntime) mapVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manager.Slots().Version
}

// ownedCount returns the number of slots that this entry serves.
func (o *ownershipRuntime) ownedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.serving)
}

// slotForNewProgram returns the slot for a new program: one that this entry serves,
// otherwise one with an owner in the region of this entry, otherwise slot 0.
func (o *ownershipRuntime) slotForNewProgram() core.Slot {
	regions := o.n.config.regions() // before o.mu.Lock: the configuration lock always comes first
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.serving {
		if !o.paused[s] {
			return s
		}
	}
	slots := o.manager.Slots().Slots
	for s, owner := range slots {
		if owner.Incarnation != "" && core.RegionOf(core.Slot(s), len(slots), regions) == o.n.cfg.Region {
			return core.Slot(s)
		}
	}
	return 0
}

// setRegions passes the configured order of the regions to the manager.
func (o *ownershipRuntime) setRegions(regions []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manager.SetRegions(regions)
}

// drain starts the handover of all slots.
func (o *ownershipRuntime) drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manager.Drain()
}

// stepDown gives up all slots after another entry has sealed the journal.
func (o *ownershipRuntime) stepDown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.journalSealed = true
	o.serving = make(map[core.Slot]core.Epoch)
}

// run keeps the slot map up to date and executes the actions that the manager
// proposes, until the context is cancelled.
func (o *ownershipRuntime) run(ctx context.Context) {
	go o.keepMapCurrent(ctx)
	t := time.NewTicker(ownershipTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		o.mu.Lock()
		var action ownership.Action
		if !o.journalSealed {
			action = o.manager.Tick(time.Now())
		}
		o.mu.Unlock()
		if action != nil {
			o.performAction(ctx, action)
		}
	}
}

// keepMapCurrent reads the slot map at the start and whenever a read is requested.
// While no map is known, it also reads at intervals.
func (o *ownershipRuntime) keepMapCurrent(ctx context.Context) {
	t := time.NewTicker(slotMapPollInterval)
	defer t.Stop()
	o.readMap(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.mapReadRequests:
		case <-t.C:
			if o.hasMap() {
				continue // peers announce newer versions in their heartbeats
			}
		}
		o.readMap(ctx)
	}
}

// readMap reads the slot map from the store. If that fails, it takes the newest map
// that a connected entry knows.
func (o *ownershipRuntime) readMap(ctx context.Context) {
	count := o.n.config.slotCount()
	if count == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slotMapPollInterval)
	defer cancel()
	m, err := o.store.load(ctx, count)
	if err != nil {
		o.n.log.Warn("slot map not read from the store", "error", err)
		if m, err = o.readMapFromPeers(); err != nil {
			return
		}
	}
	o.setMap(m)
}

// setMap passes a slot map to the manager and stops serving the slots that a newer
// map assigns to other entries.
func (o *ownershipRuntime) setMap(m ownership.Map) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.manager.OnSlotMap(time.Now(), m) {
		return
	}
	mine := o.manager.OwnedSlots()
	for s := range o.serving {
		if _, ok := mine[s]; !ok {
			delete(o.serving, s)
			delete(o.paused, s)
		}
	}
}

// readMapFromPeers returns the newest slot map that a connected entry knows.
func (o *ownershipRuntime) readMapFromPeers() (ownership.Map, error) {
	request := &peerv1.Envelope{Body: &peerv1.Envelope_SlotMapRequest{SlotMapRequest: &peerv1.SlotMapRequest{}}}
	newest := ownership.Map{}
	for name, s := range o.n.peers.entrySessions() {
		ctx, cancel := context.WithTimeout(o.n.ctx, slotMapPollInterval)
		m, err := roundTrip(ctx, s, request)
		cancel()
		if err != nil || m.GetSlotMap().GetVersion() <= newest.Version {
			continue
		}
		decoded, err := decodeSlotMap(m.GetSlotMap().GetVersion(), m.GetSlotMap().GetValue())
		if err != nil {
			o.n.log.Warn("slot map from peer not decoded", "peer", name, "error", err)
			continue
		}
		newest = decoded
	}
	if newest.Version == 0 {
		return newest, errors.New("no connected entry knows the slot map")
	}
	return newest, nil
}

// slotMapMessage returns the known slot map as a message to a peer.
func (o *ownershipRuntime) slotMapMessage() *peerv1.Envelope {
	o.mu.Lock()
	m := o.manager.Slots()
	o.mu.Unlock()
	value, err := encodeSlotMap(m)
	if err != nil {
		o.n.log.Error("slot map not encoded", "error", err)
	}
	return &peerv1.Envelope{Body: &peerv1.Envelope_SlotMap{SlotMap: &peerv1.SlotMap{Version: m.Version, Value: value}}}
}

// performAction executes an action and reports its result to the manager.
func (o *ownershipRuntime) performAction(ctx context.Context, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, ownershipActionTimeout)
	defer cancel()
	var err error
	var step string
	switch a := a.(type) {
	case ownership.ClaimFree:
		step = "claim free slots"
		err = o.claimFree(ctx, a.Slots)
	case ownership.TakeOver:
		step = "take over"
		err = o.takeOver(ctx, a)
	case ownership.HandOver:
		step = "hand over"
		err = o.handOver(ctx, a)
	}
	if err != nil {
		o.n.log.Warn("ownership action failed", "step", step, "error", err)
		o.requestMapRead()
	}
	o.mu.Lock()
	o.manager.OnActionDone(time.Now(), err == nil)
	o.mu.Unlock()
}

// hasHandoverTarget reports whether a live entry could receive the slots of this
// one.
func (o *ownershipRuntime) hasHandoverTarget() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.manager.LivePeers() {
		if !p.Leaving {
			return true
		}
	}
	return false
}

// adopt allows this entry to take over the slots of lost owners of another region.
func (o *ownershipRuntime) adopt(region string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manager.AllowTakeOver(region)
}

// liveDomainPeers returns the other live entries in the failure domain of this one.
func (o *ownershipRuntime) liveDomainPeers() []ownership.Peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ownership.Peer
	for _, p := range o.manager.LivePeers() {
		if p.FailureDomain == o.n.cfg.FailureDomain {
			out = append(out, p)
		}
	}
	return out
}
