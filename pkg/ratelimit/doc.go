// Package ratelimit keeps the rate limits that upstreams name and decides when a
// request may be sent to a limited upstream. A limit applies to all entries of a
// deployment together. The package has no clock and no I/O; the time is passed in.
package ratelimit
