package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A coordinator whose list of edges is not verified any more, since the store is down,
	// goes on while the part staleQuorum of the edges say that they have the same list. One
	// that begins needs more than the part beginQuorum, of all and of the older half.
	// The sum exceeds 1, so some edge belongs to both. Coordinators of a new list therefore do
	// not grant at the same time as those of an earlier list that are cut off together with the
	// other edges of that list.
	staleQuorum = 0.7
	beginQuorum = 0.4
	// minOlderHalf is the smallest older half of which a quorum is needed. In a smaller one, the
	// loss of one edge would keep the others from beginning.
	minOlderHalf = 3
	// confirmAge is the age of the list from which the other edges are asked for theirs.
	confirmAge = 2 * time.Second
)

// Member is a registered edge.
type Member struct {
	Address string
	Created uint64 // orders the edges by their first registration
}

// members is what a node knows of the registered edges.
type members struct {
	self      string
	list      []string        // sorted
	hashes    []uint64        // of list
	digest    uint64          // of list
	older     map[string]bool // the half of list that was registered first
	listed    bool            // this edge is registered
	adoptedAt Time
	// confirmed has the other edges that replied with the same digest.
	confirmed map[string]confirmation
	// begun is set once no edge with an earlier list can still be a coordinator.
	begun   bool
	begunAt Time
	// lost is set if an edge of the previous list is missing: it cannot confirm that it is
	// no coordinator any more.
	lost       bool
	known      bool // a list was set
	isVerified bool
	verifiedAt Time
	// widestN and widestK are the largest number of edges and coordinators since the
	// last list that had begun.
	widestN, widestK int
}

// confirmation is when an edge was asked that replied with the same digest.
type confirmation struct{ first, last Time }

// set adopts a list and reports whether it is another one.
func (m *members) set(registered []Member, now Time) bool {
	registered = slices.Clone(registered)
	slices.SortFunc(registered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.Address, b.Address))
	})
	list := make([]string, 0, len(registered))
	for _, r := range registered {
		list = append(list, r.Address)
	}
	older := make(map[string]bool)
	for _, address := range list[:len(list)/2] {
		older[address] = true
	}
	slices.Sort(list)
	list = slices.Compact(list)
	_, listed := slices.BinarySearch(list, m.self)
	if m.known && listed == m.listed && slices.Equal(list, m.list) {
		return false
	}
	m.lost = false
	for _, address := range m.list {
		if _, ok := slices.BinarySearch(list, address); !ok && m.known {
			m.lost = true
		}
	}
	m.list, m.older, m.listed, m.known, m.adoptedAt, m.begun = list, older, listed, true, now, false
	m.digest = xxhash.Sum64String(strings.Join(list, "\n"))
	m.hashes = m.hashes[:0]
	for _, address := range list {
		m.hashes = append(m.hashes, xxhash.Sum64String(address))
	}
	m.confirmed = make(map[string]confirmation)
	return true
}

// confirm records the digest in a reply to a request that was sent at a time.
func (m *members) confirm(address string, digest uint64, sentAt Time) {
	if digest != m.digest || sentAt < m.adoptedAt {
		delete(m.confirmed, address)
		return
	}
	c, ok := m.confirmed[address]
	if !ok {
		c.first = sentAt
	}
	c.last = max(c.last, sentAt)
	m.confirmed[address] = c
}

// confirmations returns the number of edges, with this one, that confirmed the list at or
// after a time.
func (m *members) confirmations(since Time) int {
	n := 1
	for _, c := range m.confirmed {
		if c.last >= since {
			n++
		}
	}
	return n
}

// isCurrent reports whether the list is known to be current: nobody can be a coordinator
// by a newer one.
func (m *members) isCurrent(now Time) bool {
	if !m.listed {
		return false
	}
	if m.isVerified && now-m.verifiedAt <= ListAge {
		return true
	}
	return float64(m.confirmations(now-ListAge)) >= staleQuorum*float64(len(m.list))
}

// update sets begun if no coordinator of an earlier list can still grant tokens.
func (m *members) update(now Time) {
	if m.begun || !m.listed {
		return
	}
	all := m.confirmations(m.adoptedAt) == len(m.list) && !m.lost
	if all || m.isVerified && now-m.verifiedAt <= ListAge && m.settled(now-ListAge-maxLife) {
		m.begun, m.begunAt = true, now
		m.widestN, m.widestK = 0, 0
	}
}

// settled reports whether a quorum has had this list since a time. Coordinators of an earlier
// list need an edge of this quorum to go on, and it no longer confirms that list.
func (m *members) settled(since Time) bool {
	if m.adoptedAt > since {
		return false
	}
	all, older := 1, 0
	if m.older[m.self] {
		older++
	}
	for address, c := range m.confirmed {
		if c.first > since {
			continue
		}
		all++
		if m.older[address] {
			older++
		}
	}
	if half := len(m.older); half >= minOlderHalf && float64(older) <= beginQuorum*float64(half) {
		return false
	}
	return float64(all) > beginQuorum*float64(len(m.list))
}

// widen records the numbers of a list that has not begun and returns the numbers to divide
// quotas by.
func (m *members) widen(coordinators int) (n, k int) {
	if m.begun {
		return len(m.list), coordinators
	}
	m.widestN, m.widestK = max(m.widestN, len(m.list)), max(m.widestK, coordinators)
	return m.widestN, m.widestK
}

// unconfirmed returns the other edges that have not confirmed the list at or after a time.
func (m *members) unconfirmed(since Time) []string {
	var list []string
	for _, address := range m.list {
		if c, ok := m.confirmed[address]; address != m.self && (!ok || c.last < since) {
			list = append(list, address)
		}
	}
	return list
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// ranked returns the first n edges for a workspace, by rendezvous hashing, and the position of
// this edge among all, from 0; -1: it is not in the list.
func (m *members) ranked(workspace uint64, n int) (first []string, position int) {
	type scored struct {
		index int
		score uint64
	}
	var top [maxCoordinators]scored
	count, above, found := 0, 0, -1
	if i, ok := slices.BinarySearch(m.list, m.self); ok {
		found = i
	}
	var own scored
	if found >= 0 {
		own = scored{index: found, score: mix(workspace ^ mix(m.hashes[found]))}
	}
	compare := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	}
	n = min(n, len(m.list), maxCoordinators)
	for i, h := range m.hashes {
		s := scored{index: i, score: mix(workspace ^ mix(h))}
		if found >= 0 && compare(s, own) < 0 {
			above++
		}
		at, _ := slices.BinarySearchFunc(top[:count], s, compare)
		if at >= n {
			continue
		}
		count = min(count+1, n)
		copy(top[at+1:count], top[at:count-1])
		top[at] = s
	}
	for _, s := range top[:count] {
		first = append(first, m.list[s.index])
	}
	if found < 0 {
		return first, -1
	}
	return first, above
}
