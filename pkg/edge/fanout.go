package edge

import (
	"cmp"
	"slices"
)

const (
	// maxFeeds limits the feeds that one edge sends. Together with maxHops this
	// supports several hundred edges and as many storage processes.
	maxFeeds = 16
	// maxRemoteFeeds limits the feeds to one other region. The other processes of
	// that region follow these followers, so that a change crosses the link between
	// the regions only a few times.
	maxRemoteFeeds = 2
	// maxHops limits the edges between the store and an edge that still sends feeds
	// itself.
	maxHops = 1
	// maxAlternatives limits the edges proposed to a process that is not admitted.
	maxAlternatives = 4
)

// follower is a process that receives a feed from this edge, or asks for one.
type follower struct {
	address       string
	failureDomain string
	region        string
	relays        bool // it is an edge that sends feeds itself
}

// admit decides whether an edge of the given region sends one more feed. If not, it
// returns which of its followers to follow instead, the nearest first.
func admit(region string, feeds []follower, candidate follower) (ok bool, alternatives []string) {
	var others []follower
	for _, r := range feeds {
		if r.address == candidate.address {
			return true, nil // it reconnects before its old feed was found broken
		}
		if r.relays && r.region == candidate.region {
			others = append(others, r)
		}
	}
	remote := candidate.region != region
	switch {
	case len(feeds) >= maxFeeds:
	case remote && candidate.relays:
		ok = len(others) < maxRemoteFeeds
	case remote:
		ok = len(others) == 0
	case !candidate.relays: // half of the feeds are reserved for edges that relay
		ok = len(feeds) < maxFeeds/2 || len(others) == 0
	default:
		ok = true
	}
	if ok {
		return true, nil
	}
	slices.SortStableFunc(others, func(a, b follower) int {
		return cmp.Compare(domainDistance(a, candidate), domainDistance(b, candidate))
	})
	for _, r := range others[:min(len(others), maxAlternatives)] {
		alternatives = append(alternatives, r.address)
	}
	return false, alternatives
}

// domainDistance returns 0 for processes in the same failure domain and 1 for others.
func domainDistance(a, b follower) int {
	if a.failureDomain == b.failureDomain {
		return 0
	}
	return 1
}
