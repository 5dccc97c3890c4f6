// Package identity says what identifies a request to those who look for requests that
// crash upstreams. Both request paths and their tools use it, so that one decision holds
// everywhere: docs/design.md, section 18.
package identity

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Content identifies what a request asks for. Requests with the same content make an
// upstream do the same work. 0 means that it is not known.
type Content uint64

// NewContent returns the content with the given parts, such as the method, the path and the
// body. The query of a URL is no part of it, since it may differ between the retries of a
// request.
func NewContent(parts ...[]byte) Content { return Content(hash(parts)) }

// NewContentOf returns the content with the given parts, of which the last one is given in
// pieces.
func NewContentOf(pieces [][]byte, parts ...[]byte) Content {
	d := xxhash.New()
	for _, p := range parts {
		hashPart(d, p)
	}
	hashPart(d, pieces...)
	return Content(max(d.Sum64(), 1))
}

// String returns the content as in logs and in the status.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// ParseContent parses the result of String.
func ParseContent(s string) (Content, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return Content(v), errors.Wrapf(err, "parse the fingerprint %q", s)
}

// Caller identifies who sends a request, as far as the request tells. 0 means that nothing
// is known.
type Caller uint64

// singleCaller is the bit of a Caller that is set if no other caller has the same.
const singleCaller = 1

// SingleCaller returns the identity of a caller that has a name of its own.
func SingleCaller(parts ...[]byte) Caller { return Caller(hash(parts) | singleCaller) }

// SharedCaller returns the identity of the callers behind an address: they may be several,
// of which one sends a request that crashes upstreams.
func SharedCaller(address string) Caller {
	return Caller(max(hash([][]byte{[]byte(address)})&^singleCaller, 2))
}

// Single reports whether no other caller has the same identity.
func (c Caller) Single() bool { return c&singleCaller != 0 }

// String returns the caller as in logs.
func (c Caller) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// Request identifies a request over its retries.
type Request struct {
	Content Content
	Caller  Caller
}

// Known reports whether the content is known.
func (r Request) Known() bool { return r.Content != 0 }

// Fingerprint returns a number that stands for the request; 0 if it is not known.
func (r Request) Fingerprint() uint64 {
	if !r.Known() {
		return 0
	}
	d := xxhash.New()
	_, _ = fmt.Fprint(d, uint64(r.Content), " ", uint64(r.Caller))
	return max(d.Sum64(), 1)
}

// hash returns a hash of the parts that is not 0. Each part is preceded by its length, so
// that the borders between parts count.
func hash(parts [][]byte) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		hashPart(d, p)
	}
	return max(d.Sum64(), 1)
}

// hashPart adds a part, which may be given in pieces, to a hash.
func hashPart(d *xxhash.Digest, pieces ...[]byte) {
	size := 0
	for _, p := range pieces {
		size += len(p)
	}
	_, _ = d.WriteString(strconv.Itoa(size))
	_, _ = d.Write([]byte{0})
	for _, p := range pieces {
		_, _ = d.Write(p)
	}
}
