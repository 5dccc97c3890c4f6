// Package fdlimit divides the descriptors that a process may have open among its connections.
package fdlimit

const (
	// reserved is kept for files, listeners, the runtime and connections to the store.
	reserved = 200
	// Divisors of the rest on an edge. Callers get what remains, three quarters: they keep most
	// of their connections open. An edge needs one upstream connection for each request under
	// way, and one peer connection for each edge and storage process that contacts it.
	upstreamDivisor = 6
	peerDivisor     = 12
	// fewest is the smallest share of each kind, for a limit below what a process needs.
	fewest = 16
)

// Shares is how many connections of each kind may be open; 0: any number.
type Shares struct {
	Callers   int // accepted
	Upstreams int // dialed
	Peers     int // accepted
}

// ForEdge divides the descriptors of an edge process; 0: unknown.
func ForEdge(descriptors int) Shares {
	if descriptors <= 0 {
		return Shares{}
	}
	n := max(descriptors-reserved, 0)
	s := Shares{Upstreams: max(n/upstreamDivisor, fewest), Peers: max(n/peerDivisor, fewest)}
	s.Callers = max(n-s.Upstreams-s.Peers, fewest)
	return s
}

// ForStorage divides the descriptors of a storage process, which accepts peers only; 0:
// unknown.
func ForStorage(descriptors int) Shares {
	if descriptors <= 0 {
		return Shares{}
	}
	return Shares{Peers: max(descriptors-reserved, fewest)}
}
