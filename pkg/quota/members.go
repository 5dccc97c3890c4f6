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
	// that begins needs more than the part beginQuorum. Together they exceed 1, so that
	// coordinators of two lists that differ in up to a tenth of the edges never grant at
	// the same time.
	staleQuorum = 0.7
	beginQuorum = 0.4
	// confirmAge is the age of the list from which the other edges are asked for theirs.
	confirmAge = 2 * time.Second
)

// members is what a node knows of the registered edges.
type members struct {
	self      string
	list      []string // sorted
	hashes    []uint64 // of list
	digest    uint64   // of list
	listed    bool     // this edge is registered
	adoptedAt Time
	// confirmed is when each other edge was asked that replied with the same digest.
	confirmed map[string]Time
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

// set adopts a list and reports whether it is another one.
func (m *members) set(list []string, listed bool, now Time) bool {
	list = slices.Clone(list)
	slices.Sort(list)
	list = slices.Compact(list)
	if m.known && listed == m.listed && slices.Equal(list, m.list) {
		return false
	}
	m.lost = false
	for _, address := range m.list {
		if _, ok := slices.BinarySearch(list, address); !ok && m.known {
			m.lost = true
		}
	}
	m.list, m.listed, m.known, m.adoptedAt, m.begun = list, listed, true, now, false
	m.digest = xxhash.Sum64String(strings.Join(list, "\n"))
	m.hashes = m.hashes[:0]
	for _, address := range list {
		m.hashes = append(m.hashes, xxhash.Sum64String(address))
	}
	m.confirmed = make(map[string]Time)
	return true
}

// confirm records the digest in a reply to a request that was sent at a time.
func (m *members) confirm(address string, digest uint64, sentAt Time) {
	if digest != m.digest || sentAt < m.adoptedAt {
		delete(m.confirmed, address)
		return
	}
	m.confirmed[address] = max(m.confirmed[address], sentAt)
}

// confirmations returns the number of edges, with this one, that confirmed the list at or
// after a time.
func (m *members) confirmations(since Time) int {
	n := 1
	for _, at := range m.confirmed {
		if at >= since {
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

// update sets begun if it is time.
func (m *members) update(now Time) {
	if m.begun || !m.listed {
		return
	}
	n := m.confirmations(m.adoptedAt)
	waited := now-m.adoptedAt >= ListAge+maxLife
	recent := float64(m.confirmations(max(m.adoptedAt, now-ListAge))) > beginQuorum*float64(len(m.list))
	if n == len(m.list) && !m.lost || waited && recent && m.isVerified && now-m.verifiedAt <= ListAge {
		m.begun, m.begunAt = true, now
		m.widestN, m.widestK = 0, 0
	}
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
		if at, ok := m.confirmed[address]; address != m.self && (!ok || at < since) {
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
		own = scored{found, mix(workspace ^ mix(m.hashes[found]))}
	}
	compare := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	}
	n = min(n, len(m.list), maxCoordinators)
	for i, h := range m.hashes {
		s := scored{i, mix(workspace ^ mix(h))}
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
