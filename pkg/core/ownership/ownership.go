// Package ownership decides which entry process owns which slots: who claims free
// slots, who takes over from a lost owner, and who hands slots over to whom.
// Programs are partitioned into slots.
//
// The package reads no clock and performs no I/O: every event carries its time,
// and decisions are returned as values. Ownership changes only by the conditional
// writes to the store that the daemon makes to carry out an action, so a wrong
// decision can delay calls but cannot violate correctness.
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
	// contactTimeout is how long a peer may stay silent before it is considered
	// lost: six heartbeats.
	contactTimeout = 3 * time.Second
	// claimDelay is how long a new process waits for its peers' heartbeats
	// before it claims free slots, so that processes that start at the same
	// time share them.
	claimDelay = 1500 * time.Millisecond
	// regionLossTimeout is how long every entry of a region must be missing from
	// the instance list before another region takes over its slots.
	regionLossTimeout = 60 * time.Second
	// emptyRegionDelay is how long after its start an entry waits for entries of
	// another region before it claims free slots of that region.
	emptyRegionDelay = 10 * time.Second
	// retryDelay is the time between a failed action and the next proposal.
	retryDelay = time.Second
	// rebalanceDelay is how long the slot map must be unchanged before slots are
	// rebalanced, so that entries that join at the same time have claimed their
	// share.
	rebalanceDelay = 3 * time.Second
	// maxHandOverSlots limits the slots that one hand-over moves to rebalance a
	// region or to return slots to theirs, so that few programs pause at the
	// same time.
	maxHandOverSlots = 8
)

// Owner is the owner of one slot. The incarnation is empty if the slot is free.
type Owner struct {
	Incarnation core.Incarnation `json:"owner,omitempty"`
	Epoch       core.Epoch       `json:"epoch"`
}

// Map is a version of the slot map: the owner of each slot, indexed by slot.
type Map struct {
	Version uint64
	Slots   []Owner
}

// Peer describes an entry.
type Peer struct {
	Instance      string
	Incarnation   core.Incarnation
	Region        string
	FailureDomain string
	Address       string
	Leaving       bool
}

// The actions that the daemon carries out.
type (
	// Action is a change of ownership that Manager proposes.
	Action interface{ action() }

	// ClaimFree takes ownership of slots that have no owner.
	ClaimFree struct{ Slots []core.Slot }
	// TakeOver seals the journal of a lost incarnation and takes its slots.
	TakeOver struct {
		Lost  core.Incarnation
		Slots []core.Slot
	}
	// HandOver transfers slots of this entry to a peer.
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
	lastContact time.Time
	listed      bool
}

// Manager decides for one entry, from the slot map, the contact with its peers and
// the platform's instance list. It is not safe for concurrent use.
type Manager struct {
	self    Peer
	regions []string
	started time.Time
	now     time.Time

	slotMap          Map
	slotMapChanged   time.Time             // when a new version of slotMap arrived last
	peers            map[string]*peerState // by instance name
	delisted         map[string]time.Time  // instances missing from the list, and since when
	listReceived     bool
	draining         bool
	takeOverAllowed  map[string]bool // regions whose slots an operator released for takeover
	notBefore        time.Time       // earliest time of the next action
	actionInProgress bool
}

// New returns a Manager for the entry self.
func New(self Peer, started time.Time) *Manager {
	return &Manager{
		self:            self,
		started:         started,
		now:             started,
		peers:           make(map[string]*peerState),
		delisted:        make(map[string]time.Time),
		takeOverAllowed: make(map[string]bool),
	}
}

// Instance returns the instance name of an incarnation, which has the form
// "<instance>.<start number>".
func Instance(inc core.Incarnation) string {
	i := strings.LastIndexByte(string(inc), '.')
	if i < 0 {
		return string(inc)
	}
	return string(inc)[:i]
}

// SetRegions sets the regions that divide the slots, in this order.
func (m *Manager) SetRegions(regions []string) { m.regions = regions }

// Drain makes the manager hand over every slot. It cannot be undone.
func (m *Manager) Drain() { m.draining = true }

// AllowTakeOver lets this entry take over from lost owners of another region that
// has no live entry, without waiting for regionLossTimeout. Only an operator's
// request leads to it.
func (m *Manager) AllowTakeOver(region string) { m.takeOverAllowed[region] = true }

// OnSlotMap sets the slot map and reports whether it did. A version older than the
// current one is ignored.
func (m *Manager) OnSlotMap(now time.Time, sm Map) bool {
	if sm.Version < m.slotMap.Version {
		return false
	}
	if sm.Version > m.slotMap.Version {
		m.slotMapChanged = now
	}
	m.slotMap = sm
	return true
}

// Slots returns the newest known slot map.
func (m *Manager) Slots() Map { return m.slotMap }

// OwnedSlots returns the slots that the slot map assigns to this incarnation, with
// their epochs.
func (m *Manager) OwnedSlots() map[core.Slot]core.Epoch {
	mine := make(map[core.Slot]core.Epoch)
	for s, o := range m.slotMap.Slots {
		if o.Incarnation == m.self.Incarnation {
			mine[core.Slot(s)] = o.Epoch
		}
	}
	return mine
}

// OnContact records a message received from a peer. One from an earlier start of
// the peer's instance than the newest known is ignored.
func (m *Manager) OnContact(now time.Time, p Peer) {
	if p.Instance == m.self.Instance {
		return
	}
	st := m.peers[p.Instance]
	if st == nil {
		st = &peerState{}
		m.peers[p.Instance] = st
	}
	if startedEarlier(p.Incarnation, st.Incarnation) {
		return
	}
	st.Peer = p
	st.lastContact = now
}

// startedEarlier reports whether a is an earlier start than b. Both must be
// incarnations of the same instance.
func startedEarlier(a, b core.Incarnation) bool {
	return startNumber(a) < startNumber(b)
}

// startNumber returns the start number of an incarnation, or 0 if it has none.
func startNumber(inc core.Incarnation) uint64 {
	text := string(inc)[strings.LastIndexByte(string(inc), '.')+1:]
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// OnInstanceList updates the peers from the platform's instance list, which lags
// behind reality.
func (m *Manager) OnInstanceList(now time.Time, instances []Peer) {
	m.listReceived = true
	present := make(map[string]bool, len(instances))
	for _, p := range instances {
		present[p.Instance] = true
		delete(m.delisted, p.Instance)
		if p.Instance == m.self.Instance {
			continue
		}
		st := m.peers[p.Instance]
		if st == nil {
			st = &peerState{Peer: p}
			m.peers[p.Instance] = st
		}
		st.listed = true
		st.Leaving = st.Leaving || p.Leaving
	}
	for name, st := range m.peers {
		if present[name] || !st.listed {
			continue
		}
		st.listed = false
		m.delisted[name] = now
	}
}

// OnActionDone records that the action in progress has ended. After a failure the
// next one is proposed after retryDelay.
func (m *Manager) OnActionDone(now time.Time, ok bool) {
	m.actionInProgress = false
	if !ok {
		m.notBefore = now.Add(retryDelay)
	}
}

// isLive reports whether a peer was in contact within contactTimeout.
func (m *Manager) isLive(st *peerState) bool {
	return !st.lastContact.IsZero() && m.now.Sub(st.lastContact) < contactTimeout
}

// liveEntriesIn returns the live entries of a region that are not leaving, sorted
// by instance. They include this one unless it is draining.
func (m *Manager) liveEntriesIn(region string) []Peer {
	var out []Peer
	if m.self.Region == region && !m.draining {
		out = append(out, m.self)
	}
	for _, st := range m.peers {
		if st.Region == region && !st.Leaving && m.isLive(st) {
			out = append(out, st.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// LivePeers returns the live peers, also those that are leaving, sorted by instance.
func (m *Manager) LivePeers() []Peer {
	var out []Peer
	for _, st := range m.peers {
		if m.isLive(st) {
			out = append(out, st.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Delisted reports whether an instance that was on the instance list is missing
// from the newest list.
func (m *Manager) Delisted(instance string) bool {
	_, ok := m.delisted[instance]
	return ok
}

// ProcessEnded reports whether the process of an incarnation is known to have
// ended, because its instance is missing from the instance list or a newer start
// of the instance was in contact. Loss of contact alone proves nothing.
func (m *Manager) ProcessEnded(inc core.Incarnation) bool {
	name := Instance(inc)
	if name == m.self.Instance {
		return inc != m.self.Incarnation
	}
	if m.Delisted(name) {
		return true
	}
	st := m.peers[name]
	return st != nil && !st.lastContact.IsZero() && startedEarlier(inc, st.Incarnation)
}

// HighestRanked returns the peer that rendezvous hashing ranks highest for a key.
// It reports false if there are no peers.
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

// Tick returns the action that is due, or nil. It returns no further action until
// OnActionDone is called.
func (m *Manager) Tick(now time.Time) Action {
	m.now = now
	if m.actionInProgress || now.Before(m.notBefore) || len(m.slotMap.Slots) == 0 {
		return nil
	}
	action := m.nextAction()
	m.actionInProgress = action != nil
	return action
}

// nextAction returns the action that is due: takeovers first, then claims of free
// slots, then hand-overs.
func (m *Manager) nextAction() Action {
	if m.draining {
		return m.proposeHandOver()
	}
	if a := m.proposeTakeOver(); a != nil {
		return a
	}
	if m.now.Sub(m.started) < claimDelay {
		return nil
	}
	if a := m.proposeClaim(); a != nil {
		return a
	}
	if m.now.Sub(m.slotMapChanged) < rebalanceDelay {
		return nil
	}
	return m.proposeHandOver()
}

// proposeTakeOver returns the takeover from the first lost owner, in slot order,
// whose successor this entry is, or nil if there is none.
func (m *Manager) proposeTakeOver() Action {
	checked := make(map[core.Incarnation]bool)
	for s, o := range m.slotMap.Slots {
		if o.Incarnation == "" || o.Incarnation == m.self.Incarnation || checked[o.Incarnation] {
			continue
		}
		checked[o.Incarnation] = true
		if m.needsSuccessor(o.Incarnation) && m.isSuccessor(o.Incarnation, m.regionOf(core.Slot(s))) {
			return TakeOver{Lost: o.Incarnation, Slots: m.slotsOf(o.Incarnation)}
		}
	}
	return nil
}

// needsSuccessor reports whether an owner is lost, so that its slots must be taken
// over.
func (m *Manager) needsSuccessor(inc core.Incarnation) bool {
	name := Instance(inc)
	if name == m.self.Instance {
		return true // an earlier start of this entry
	}
	st := m.peers[name]
	if st != nil && st.Incarnation != "" && st.Incarnation != inc && m.isLive(st) {
		return true // a newer start of the instance is live
	}
	if st != nil && m.isLive(st) {
		return false
	}
	if m.Delisted(name) {
		return true
	}
	if m.now.Sub(m.started) < contactTimeout {
		return false
	}
	return st == nil || m.now.Sub(st.lastContact) >= contactTimeout
}

// isSuccessor reports whether this entry is the one that takes over from a lost
// owner of a region.
func (m *Manager) isSuccessor(inc core.Incarnation, region string) bool {
	candidates := m.liveEntriesIn(region)
	if len(candidates) == 0 && region != m.self.Region {
		if !m.takeOverAllowed[region] && !m.regionDelisted(region) {
			return false
		}
		candidates = m.liveEntriesOutside(region)
	}
	best, ok := HighestRanked(candidates, string(inc))
	return ok && best.Instance == m.self.Instance
}

// liveEntriesOutside returns this entry and its live peers outside a region that
// are not leaving.
func (m *Manager) liveEntriesOutside(region string) []Peer {
	out := []Peer{m.self}
	for _, p := range m.LivePeers() {
		if p.Region != region && !p.Leaving {
			out = append(out, p)
		}
	}
	return out
}

// regionDelisted reports whether every known entry of a region has been missing from
// the instance list for regionLossTimeout. Loss of contact alone is not enough: in
// a network partition each region keeps serving its own slots.
func (m *Manager) regionDelisted(region string) bool {
	if !m.listReceived {
		return false
	}
	for name, st := range m.peers {
		if st.Region != region {
			continue
		}
		since, delisted := m.delisted[name]
		if !delisted || m.now.Sub(since) < regionLossTimeout {
			return false
		}
	}
	return m.now.Sub(m.started) >= regionLossTimeout
}

func (m *Manager) regionOf(s core.Slot) string {
	return core.RegionOf(s, len(m.slotMap.Slots), m.regions)
}

func (m *Manager) slotsOf(inc core.Incarnation) []core.Slot {
	var out []core.Slot
	for s, o := range m.slotMap.Slots {
		if o.Incarnation == inc {
			out = append(out, core.Slot(s))
		}
	}
	return out
}

// proposeClaim returns a claim of the free slots for which this entry ranks highest
// among the claimants, or nil if there are none.
func (m *Manager) proposeClaim() Action {
	candidates := make(map[string][]Peer)
	var free []core.Slot
	for s, o := range m.slotMap.Slots {
		if o.Incarnation != "" {
			continue
		}
		region := m.regionOf(core.Slot(s))
		if _, ok := candidates[region]; !ok {
			candidates[region] = m.claimants(region)
		}
		best, _ := HighestRanked(candidates[region], slotRankKey(core.Slot(s)))
		if best.Instance == m.self.Instance {
			free = append(free, core.Slot(s))
		}
	}
	if len(free) == 0 {
		return nil
	}
	return ClaimFree{Slots: free}
}

// claimants returns the entries that may claim the free slots of a region: its live
// entries or, if no entry of the region is known, the live entries elsewhere.
func (m *Manager) claimants(region string) []Peer {
	if live := m.liveEntriesIn(region); len(live) > 0 || region == m.self.Region {
		return live
	}
	if m.now.Sub(m.started) < emptyRegionDelay || !m.listReceived || m.regionKnown(region) {
		return nil
	}
	return m.liveEntriesOutside(region)
}

// regionKnown reports whether any peer of a region is on the instance list or has
// ever been in contact.
func (m *Manager) regionKnown(region string) bool {
	for _, st := range m.peers {
		if st.Region == region && (st.listed || !st.lastContact.IsZero()) {
			return true
		}
	}
	return false
}

func slotRankKey(s core.Slot) string {
	return "slot\x00" + string([]byte{byte(s >> 8), byte(s)})
}
