// Package ownership decides which entry owns which slots: who claims free slots,
// who succeeds a lost owner, and who hands slots over to whom. It is pure: it
// consumes events that carry their time and returns actions as data. Ownership
// itself changes only by the conditional writes that the daemon performs for an
// action, so a wrong decision here costs a pause and never correctness.
package ownership

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// contactTimeout is how long a peer may stay silent before it counts as
	// lost: six heartbeats.
	contactTimeout = 3 * time.Second
	// settleTime is how long a new process waits for its peers' heartbeats
	// before it claims free slots, so that processes that start together
	// divide them.
	settleTime = 1500 * time.Millisecond
	// regionLossTime is how long the instance list must report every entry of
	// a region gone before another region takes over.
	regionLossTime = 60 * time.Second
	// emptyRegionTime is how long the list must show no entry of a region
	// before entries of other regions claim its free slots.
	emptyRegionTime = 10 * time.Second
	// retryTime is the pause before a failed action is proposed again.
	retryTime = time.Second
	// levelDelay is how long the slot map must be unchanged before slots are
	// handed over to level their number, so that entries that join together
	// have claimed theirs.
	levelDelay = 3 * time.Second
	// maxHandOver bounds the slots of one levelling hand-over, so that few
	// programs pause at the same time.
	maxHandOver = 8
)

// Owner is the entry of one slot in the slot map.
type Owner struct {
	Incarnation core.Incarnation `json:"owner,omitempty"`
	Epoch       core.Epoch       `json:"epoch"`
}

// Map is the slot map of the store. Index is the slot.
type Map struct {
	Version uint64
	Slots   []Owner
}

// Peer is what is known about another entry.
type Peer struct {
	Instance      string
	Incarnation   core.Incarnation
	Region        string
	FailureDomain string
	Address       string
	Leaving       bool
}

// Actions, to be carried out by the daemon.
type (
	// Action is a decision as data.
	Action interface{ action() }

	// ClaimFree asks to become the owner of slots that have none.
	ClaimFree struct{ Slots []core.Slot }
	// TakeOver asks to seal the log of a lost incarnation and to take its slots.
	TakeOver struct {
		Lost  core.Incarnation
		Slots []core.Slot
	}
	// HandOver asks to pass own slots to a peer.
	HandOver struct {
		To    Peer
		Slots []core.Slot
	}
)

func (ClaimFree) action() {}
func (TakeOver) action()  {}
func (HandOver) action()  {}

type peerState struct {
	Peer
	heard  time.Time
	inList bool
}

// Manager holds the view of one entry.
type Manager struct {
	self    Peer
	regions []string
	started time.Time
	now     time.Time

	slots      Map
	changed    time.Time             // when slots changed last
	peers      map[string]*peerState // by instance
	gone       map[string]time.Time  // instance to the time since which the list lacks it
	listRead   bool
	draining   bool
	adopted    map[string]bool // regions taken over by an operator's order
	notBefore  time.Time       // earliest time of the next proposal
	inProgress bool
}

// New returns a Manager for the entry self.
func New(self Peer, started time.Time) *Manager {
	return &Manager{
		self:    self,
		started: started,
		now:     started,
		peers:   make(map[string]*peerState),
		gone:    make(map[string]time.Time),
		adopted: make(map[string]bool),
	}
}

// Instance returns the instance of an incarnation "<instance>.<start number>".
func Instance(inc core.Incarnation) string {
	i := strings.LastIndexByte(string(inc), '.')
	if i < 0 {
		return string(inc)
	}
	return string(inc)[:i]
}

// SetRegions takes the order in which regions divide the slots.
func (m *Manager) SetRegions(regions []string) { m.regions = regions }

// Drain makes the manager hand over every slot.
func (m *Manager) Drain() { m.draining = true }

// AllowTakeOver lets this entry succeed owners of another region, on an operator's order.
func (m *Manager) AllowTakeOver(region string) { m.adopted[region] = true }

// OnSlotMap takes the slot map. An older version than the known one is ignored.
func (m *Manager) OnSlotMap(now time.Time, sm Map) bool {
	if sm.Version < m.slots.Version {
		return false
	}
	if sm.Version > m.slots.Version {
		m.changed = now
	}
	m.slots = sm
	return true
}

// Slots returns the slot map as known.
func (m *Manager) Slots() Map { return m.slots }

// OwnedSlots returns the slots that the map assigns to this incarnation.
func (m *Manager) OwnedSlots() map[core.Slot]core.Epoch {
	mine := make(map[core.Slot]core.Epoch)
	for s, o := range m.slots.Slots {
		if o.Incarnation == m.self.Incarnation {
			mine[core.Slot(s)] = o.Epoch
		}
	}
	return mine
}

// OnContact records direct contact with a peer.
func (m *Manager) OnContact(now time.Time, p Peer) {
	if p.Instance == m.self.Instance {
		return
	}
	st := m.peers[p.Instance]
	if st == nil {
		st = &peerState{}
		m.peers[p.Instance] = st
	}
	if older(p.Incarnation, st.Incarnation) {
		return
	}
	st.Peer = p
	st.heard = now
}

// older reports whether a is an earlier start of the same instance than b.
func older(a, b core.Incarnation) bool {
	return startNumber(a) < startNumber(b)
}

func startNumber(inc core.Incarnation) uint64 {
	text := string(inc)[strings.LastIndexByte(string(inc), '.')+1:]
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// OnInstanceList takes the platform's lagging list of entries.
func (m *Manager) OnInstanceList(now time.Time, listed []Peer) {
	m.listRead = true
	present := make(map[string]bool, len(listed))
	for _, p := range listed {
		present[p.Instance] = true
		delete(m.gone, p.Instance)
		if p.Instance == m.self.Instance {
			continue
		}
		st := m.peers[p.Instance]
		if st == nil {
			st = &peerState{Peer: p}
			m.peers[p.Instance] = st
		}
		st.inList = true
		st.Leaving = st.Leaving || p.Leaving
	}
	for name, st := range m.peers {
		if present[name] || !st.inList {
			continue
		}
		st.inList = false
		m.gone[name] = now
	}
}

// OnActionDone tells that a proposed action ended; after a failure the next
// proposal waits.
func (m *Manager) OnActionDone(now time.Time, ok bool) {
	m.inProgress = false
	if !ok {
		m.notBefore = now.Add(retryTime)
	}
}

// live reports whether a peer has been heard of lately.
func (m *Manager) live(st *peerState) bool {
	return !st.heard.IsZero() && m.now.Sub(st.heard) < contactTimeout
}

// liveIn returns the live entries of a region that are not leaving, this one
// included.
func (m *Manager) liveIn(region string) []Peer {
	var out []Peer
	if m.self.Region == region && !m.draining {
		out = append(out, m.self)
	}
	for _, st := range m.peers {
		if st.Region == region && !st.Leaving && m.live(st) {
			out = append(out, st.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// LivePeers returns the peers heard of lately, in order of their names.
func (m *Manager) LivePeers() []Peer {
	var out []Peer
	for _, st := range m.peers {
		if m.live(st) {
			out = append(out, st.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Delisted reports whether the instance list has reported an instance gone.
func (m *Manager) Delisted(instance string) bool {
	_, ok := m.gone[instance]
	return ok
}

// ProcessEnded reports whether the process of an incarnation has ended, by the
// instance list or by contact with a newer start of its instance. Loss of
// contact alone does not show it.
func (m *Manager) ProcessEnded(inc core.Incarnation) bool {
	name := Instance(inc)
	if name == m.self.Instance {
		return inc != m.self.Incarnation
	}
	if m.Delisted(name) {
		return true
	}
	st := m.peers[name]
	return st != nil && !st.heard.IsZero() && older(inc, st.Incarnation)
}

// HighestRanked returns the highest-ranked peer for a key by rendezvous hashing.
func HighestRanked(peers []Peer, key string) (Peer, bool) {
	var best Peer
	var bestHash uint64
	for _, p := range peers {
		h := xxhash.Sum64String(p.Instance + "\x00" + key)
		if best.Instance == "" || h > bestHash {
			best, bestHash = p, h
		}
	}
	return best, best.Instance != ""
}

// Tick returns the action that is due, or nil. At most one action is in
// progress at a time.
func (m *Manager) Tick(now time.Time) Action {
	m.now = now
	if m.inProgress || now.Before(m.notBefore) || len(m.slots.Slots) == 0 {
		return nil
	}
	action := m.propose()
	m.inProgress = action != nil
	return action
}

func (m *Manager) propose() Action {
	if m.draining {
		return m.handOver()
	}
	if a := m.takeOver(); a != nil {
		return a
	}
	if m.now.Sub(m.started) < settleTime {
		return nil
	}
	if a := m.claimFree(); a != nil {
		return a
	}
	if m.now.Sub(m.changed) < levelDelay {
		return nil
	}
	return m.handOver()
}

// takeOver proposes the succession of the first lost owner in slot order.
func (m *Manager) takeOver() Action {
	checked := make(map[core.Incarnation]bool)
	for s, o := range m.slots.Slots {
		if o.Incarnation == "" || o.Incarnation == m.self.Incarnation || checked[o.Incarnation] {
			continue
		}
		checked[o.Incarnation] = true
		if m.lost(o.Incarnation) && m.successor(o.Incarnation, m.regionOf(core.Slot(s))) {
			return TakeOver{Lost: o.Incarnation, Slots: m.slotsOf(o.Incarnation)}
		}
	}
	return nil
}

// lost reports whether an owner is to be succeeded.
func (m *Manager) lost(inc core.Incarnation) bool {
	name := Instance(inc)
	if name == m.self.Instance {
		return true // an earlier start of this process
	}
	st := m.peers[name]
	if st != nil && st.Incarnation != "" && st.Incarnation != inc && m.live(st) {
		return true // replaced by a newer start
	}
	if st != nil && m.live(st) {
		return false
	}
	if m.Delisted(name) {
		return true
	}
	if m.now.Sub(m.started) < contactTimeout {
		return false
	}
	return st == nil || m.now.Sub(st.heard) >= contactTimeout
}

// successor reports whether this entry is the one to succeed an owner of a
// region.
func (m *Manager) successor(inc core.Incarnation, region string) bool {
	candidates := m.liveIn(region)
	if len(candidates) == 0 && region != m.self.Region {
		if !m.adopted[region] && !m.regionGone(region) {
			return false
		}
		candidates = m.liveElsewhere(region)
	}
	best, ok := HighestRanked(candidates, string(inc))
	return ok && best.Instance == m.self.Instance
}

// liveElsewhere returns the live entries of all other regions.
func (m *Manager) liveElsewhere(region string) []Peer {
	out := []Peer{m.self}
	for _, p := range m.LivePeers() {
		if p.Region != region && !p.Leaving {
			out = append(out, p)
		}
	}
	return out
}

// regionGone reports whether the instance list has reported every entry of a
// region gone for regionLossTime. Loss of contact alone is not enough: during a
// split both regions go on with their own slots.
func (m *Manager) regionGone(region string) bool {
	if !m.listRead {
		return false
	}
	for name, st := range m.peers {
		if st.Region != region {
			continue
		}
		since, gone := m.gone[name]
		if !gone || m.now.Sub(since) < regionLossTime {
			return false
		}
	}
	return m.now.Sub(m.started) >= regionLossTime
}

func (m *Manager) regionOf(s core.Slot) string {
	return core.RegionOf(s, len(m.slots.Slots), m.regions)
}

func (m *Manager) slotsOf(inc core.Incarnation) []core.Slot {
	var out []core.Slot
	for s, o := range m.slots.Slots {
		if o.Incarnation == inc {
			out = append(out, core.Slot(s))
		}
	}
	return out
}

// claimFree proposes the free slots for which this entry is ranked highest: those
// of its region, and those of regions that have no entry.
func (m *Manager) claimFree() Action {
	candidates := make(map[string][]Peer)
	var free []core.Slot
	for s, o := range m.slots.Slots {
		if o.Incarnation != "" {
			continue
		}
		region := m.regionOf(core.Slot(s))
		if _, ok := candidates[region]; !ok {
			candidates[region] = m.claimants(region)
		}
		best, _ := HighestRanked(candidates[region], slotKey(core.Slot(s)))
		if best.Instance == m.self.Instance {
			free = append(free, core.Slot(s))
		}
	}
	if len(free) == 0 {
		return nil
	}
	return ClaimFree{Slots: free}
}

// claimants returns the entries that may claim the free slots of a region.
func (m *Manager) claimants(region string) []Peer {
	if live := m.liveIn(region); len(live) > 0 || region == m.self.Region {
		return live
	}
	if m.now.Sub(m.started) < emptyRegionTime || !m.listRead || m.known(region) {
		return nil
	}
	return m.liveElsewhere(region)
}

// known reports whether any entry of a region is listed or has been heard of.
func (m *Manager) known(region string) bool {
	for _, st := range m.peers {
		if st.Region == region && (st.inList || !st.heard.IsZero()) {
			return true
		}
	}
	return false
}

func slotKey(s core.Slot) string {
	return "slot\x00" + string([]byte{byte(s >> 8), byte(s)})
}
