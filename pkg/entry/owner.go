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
	ownerTick     = 100 * time.Millisecond
	actionTimeout = 30 * time.Second
)

// ownerRuntime carries out the ownership decisions and answers who owns what.
type ownerRuntime struct {
	n     *Entry
	store slotStore

	mu       sync.Mutex
	mgr      *ownership.Manager
	serving  map[core.Slot]core.Epoch // loaded in the core and confirmed by the slot map
	released map[core.Slot]bool       // being handed over
	wake     chan struct{}
	sealed   bool // another incarnation has taken over: this one owns nothing more
	// removable are succeeded incarnations whose logs are deleted once their
	// process is known to be gone.
	removable map[core.Incarnation]bool
	// fencedOwners are incarnations whose retained batches this entry keeps
	// until their process is known to be gone.
	fencedOwners map[core.Incarnation]bool
}

func newOwnerRuntime(n *Entry, self ownership.Peer, store objectapi.Client) *ownerRuntime {
	return &ownerRuntime{
		n:        n,
		store:    slotStore{store},
		mgr:      ownership.New(self, time.Now()),
		serving:  make(map[core.Slot]core.Epoch),
		released: make(map[core.Slot]bool),

		removable:    make(map[core.Incarnation]bool),
		fencedOwners: make(map[core.Incarnation]bool),
		wake:         make(chan struct{}, 1),
	}
}

// heard records direct contact with an entry. A newer slot map at the peer
// triggers a read.
func (o *ownerRuntime) heard(p ownership.Peer, slotsVersion uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mgr.OnContact(time.Now(), p)
	if slotsVersion > o.mgr.Slots().Version {
		o.requestRead()
	}
}

func (o *ownerRuntime) requestRead() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *ownerRuntime) onList(list []objectapi.Instance) {
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
	o.mgr.OnInstanceList(time.Now(), peers)
}

// ownerOf returns the instance that owns a program by the slot map.
func (o *ownerRuntime) ownerOf(id core.ProgramID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slots := o.mgr.Slots().Slots
	if len(slots) == 0 {
		return "", false
	}
	owner := slots[core.SlotOf(id, len(slots))].Incarnation
	return ownership.Instance(owner), owner != ""
}

// serves reports whether this entry runs the calls of a program now.
func (o *ownerRuntime) serves(id core.ProgramID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.mgr.Slots().Slots)
	if n == 0 || o.sealed {
		return false
	}
	s := core.SlotOf(id, n)
	_, ok := o.serving[s]
	return ok && !o.released[s]
}

func (o *ownerRuntime) mapped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.mgr.Slots().Slots) > 0
}

func (o *ownerRuntime) slotCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.mgr.Slots().Slots)
}

func (o *ownerRuntime) mapVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mgr.Slots().Version
}

func (o *ownerRuntime) ownedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.serving)
}

// slotForNew returns a slot for a new program: one that this entry serves, or
// any of its region.
func (o *ownerRuntime) slotForNew() core.Slot {
	regions := o.n.config.regions() // its lock is taken before o.mu elsewhere
	o.mu.Lock()
	defer o.mu.Unlock()
	for s := range o.serving {
		if !o.released[s] {
			return s
		}
	}
	slots := o.mgr.Slots().Slots
	for s, owner := range slots {
		if owner.Incarnation != "" && core.RegionOf(core.Slot(s), len(slots), regions) == o.n.cfg.Region {
			return core.Slot(s)
		}
	}
	return 0
}

// setRegions passes the configured order of regions on.
func (o *ownerRuntime) setRegions(regions []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mgr.SetRegions(regions)
}

// drain starts the hand-over of every slot.
func (o *ownerRuntime) drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mgr.Drain()
}

// stepDown gives up every slot after another incarnation has sealed the journal.
func (o *ownerRuntime) stepDown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sealed = true
	o.serving = make(map[core.Slot]core.Epoch)
}

// run reads the slot map and carries out decisions until the context ends.
func (o *ownerRuntime) run(ctx context.Context) {
	go o.followMap(ctx)
	t := time.NewTicker(ownerTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		o.mu.Lock()
		var action ownership.Action
		if !o.sealed {
			action = o.mgr.Tick(time.Now())
		}
		o.mu.Unlock()
		if action != nil {
			o.perform(ctx, action)
		}
	}
}

// followMap reads the slot map at start, when a peer knows a newer one, and at
// intervals as a backstop.
func (o *ownerRuntime) followMap(ctx context.Context) {
	t := time.NewTicker(slotMapInterval)
	defer t.Stop()
	o.readMap(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-t.C:
			if o.mapped() {
				continue // peers announce newer versions in their heartbeats
			}
		}
		o.readMap(ctx)
	}
}

// readMap reads the slot map from the store, or from a peer while the store
// cannot be reached.
func (o *ownerRuntime) readMap(ctx context.Context) {
	count := o.n.config.slotCount()
	if count == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slotMapInterval)
	defer cancel()
	m, err := o.store.read(ctx, count)
	if err != nil {
		o.n.log.Warn("slot map not read from store", "error", err)
		if m, err = o.readMapFromPeers(); err != nil {
			return
		}
	}
	o.setMap(m)
}

func (o *ownerRuntime) setMap(m ownership.Map) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mgr.OnSlotMap(time.Now(), m) {
		return
	}
	// Slots that the map gives to others are no longer served here.
	mine := o.mgr.OwnedSlots()
	for s := range o.serving {
		if _, ok := mine[s]; !ok {
			delete(o.serving, s)
			delete(o.released, s)
		}
	}
}

func (o *ownerRuntime) readMapFromPeers() (ownership.Map, error) {
	ask := &peerv1.Envelope{Body: &peerv1.Envelope_SlotMapRequest{SlotMapRequest: &peerv1.SlotMapRequest{}}}
	best := ownership.Map{}
	for name, s := range o.n.peers.entries() {
		ctx, cancel := context.WithTimeout(o.n.ctx, slotMapInterval)
		m, err := roundTrip(ctx, s, ask)
		cancel()
		if err != nil || m.GetSlotMap().GetVersion() <= best.Version {
			continue
		}
		decoded, err := decodeSlotMap(m.GetSlotMap().GetVersion(), m.GetSlotMap().GetValue())
		if err != nil {
			o.n.log.Warn("slot map of peer not decoded", "peer", name, "error", err)
			continue
		}
		best = decoded
	}
	if best.Version == 0 {
		return best, errors.New("no peer knows the slot map")
	}
	return best, nil
}

// slotMapMessage returns the slot map for a peer.
func (o *ownerRuntime) slotMapMessage() *peerv1.Envelope {
	o.mu.Lock()
	m := o.mgr.Slots()
	o.mu.Unlock()
	value, err := encodeSlotMap(m)
	if err != nil {
		o.n.log.Error("slot map not encoded", "error", err)
	}
	return &peerv1.Envelope{Body: &peerv1.Envelope_SlotMap{SlotMap: &peerv1.SlotMap{Version: m.Version, Value: value}}}
}

// perform carries out one action and reports its end to the manager.
func (o *ownerRuntime) perform(ctx context.Context, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
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
		o.requestRead()
	}
	o.mu.Lock()
	o.mgr.OnActionDone(time.Now(), err == nil)
	o.mu.Unlock()
}

// hasReceiver reports whether a live entry could take this one's slots.
func (o *ownerRuntime) hasReceiver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.mgr.LivePeers() {
		if !p.Leaving {
			return true
		}
	}
	return false
}

// adopt lets this entry succeed owners of another region.
func (o *ownerRuntime) adopt(region string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mgr.AllowTakeOver(region)
}

// domainPeers returns the live entries of the own failure domain.
func (o *ownerRuntime) domainPeers() []ownership.Peer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ownership.Peer
	for _, p := range o.mgr.LivePeers() {
		if p.FailureDomain == o.n.cfg.FailureDomain {
			out = append(out, p)
		}
	}
	return out
}
