package replay

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// Sizes on the cross-region link. A prompt crosses as text of about four bytes
// a token; each generated token crosses in a stream chunk of its own with its
// framing.
const (
	bytesPerPromptToken = 4
	bytesPerOutputToken = 200
	bytesPerMessage     = 1000 // headers and envelope of a request or an answer
)

// network computes delays between places and the load of the cross-region link.
type network struct {
	clock *clock
	d     *trace.Deployment
	free  map[[2]string]time.Time // when the link is free, per direction
	split bool
	bytes int64
}

// delay returns the time of a message from one place to another and accounts
// for its bytes if it crosses regions.
func (n *network) delay(from, to place, bytes int64) time.Duration {
	switch {
	case from.region != to.region:
		n.bytes += bytes
		dir := [2]string{from.region, to.region}
		start := n.clock.now
		if f := n.free[dir]; f.After(start) {
			start = f
		}
		if n.d.Link.BitsPerS > 0 {
			start = start.Add(time.Duration(float64(bytes) * 8 / n.d.Link.BitsPerS * float64(time.Second)))
		}
		n.free[dir] = start
		return start.Sub(n.clock.now) + trace.Ms(n.d.Link.OneWayMs)
	case from.domain != to.domain:
		return trace.Ms(n.d.DomainMs)
	}
	return 0
}

// stream accounts for the bytes of an answer that is streamed while it is
// generated, without adding to the delay of its last token.
func (n *network) stream(from, to place, bytes int64) time.Duration {
	switch {
	case from.region != to.region:
		n.bytes += bytes
		return trace.Ms(n.d.Link.OneWayMs)
	case from.domain != to.domain:
		return trace.Ms(n.d.DomainMs)
	}
	return 0
}

// cut reports whether two places cannot reach each other.
func (n *network) cut(a, b place) bool { return n.split && a.region != b.region }

// place is where a process runs.
type place struct{ region, domain string }
