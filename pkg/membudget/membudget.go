// Package membudget decides how much of a process's memory data in transit may
// hold: bodies of requests and answers that are read but not yet passed on. It
// has no clock and no I/O.
package membudget

import (
	"sync"

	"github.com/pkg/errors"
)

// Errors of a reservation.
var (
	// ErrExhausted means that all owners together hold the whole budget.
	ErrExhausted = errors.New("the memory for data in transit is in use")
	// ErrShareExceeded means that one owner holds its whole share; others still have room.
	ErrShareExceeded = errors.New("the owner's share of the memory for data in transit is in use")
)

// Shares of one owner in a budget, so that an upstream or a caller that sends
// without end leaves most of the memory to the others.
const (
	CallerShare   = 1.0 / 4
	UpstreamShare = 1.0 / 12
	// pressedShare of a budget in use leaves no room for further requests.
	pressedShare = 3.0 / 4
)

// Budget bounds the bytes in transit. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	byOwner map[string]int64
	refused uint64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, byOwner: make(map[string]int64)}
}

// Usage is the state of a budget.
type Usage struct {
	Limit   int64  `json:"limit_bytes"`
	Used    int64  `json:"used_bytes"`
	Refused uint64 `json:"refused"` // reservations, since the start
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Used: b.used, Refused: b.refused}
}

// UnderPressure reports whether so much is in use that no further request should
// begin: its answer would find no room.
func (b *Budget) UnderPressure() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used) > pressedShare*float64(b.limit)
}

func (b *Budget) reserve(owner string, n int64, share float64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case float64(b.byOwner[owner]+n) > share*float64(b.limit):
		b.refused++
		return ErrShareExceeded
	case b.used+n > b.limit:
		b.refused++
		return ErrExhausted
	}
	b.used += n
	b.byOwner[owner] += n
	return nil
}

func (b *Budget) release(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.byOwner[owner] -= n; b.byOwner[owner] <= 0 {
		delete(b.byOwner, owner)
	}
}

// Reservation is what one request holds on behalf of an owner. It is not safe for
// concurrent use.
type Reservation struct {
	budget  *Budget
	owner   string
	share   float64
	bytes   int64
	recycle bool
	pieces  []*[maxChunk]byte // to be used again after Release
}

// Reservation returns an empty hold of an owner, such as an upstream or a connection of
// a caller, that may have a share of the budget.
func (b *Budget) Reservation(owner string, share float64) *Reservation {
	return &Reservation{budget: b, owner: owner, share: share}
}

// ReuseBuffers lets memory that ReadAll has filled be used again after Release. Nobody
// may look at the data then.
func (h *Reservation) ReuseBuffers() *Reservation {
	h.recycle = true
	return h
}

// Grow reserves n more bytes. The error is ErrExhausted or ErrShareExceeded; the hold
// keeps what it had.
func (h *Reservation) Grow(n int) error {
	if err := h.budget.reserve(h.owner, int64(n), h.share); err != nil {
		return err
	}
	h.bytes += int64(n)
	return nil
}

// Release gives everything back. A hold may be released more than once.
func (h *Reservation) Release() {
	for _, p := range h.pieces {
		chunks.Put(p)
	}
	h.pieces = nil
	if h.bytes > 0 {
		h.budget.release(h.owner, h.bytes)
		h.bytes = 0
	}
}

// chunks are pieces of the largest size that wait to be used again.
var chunks = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// piece reserves and returns memory for n bytes, at most maxChunk.
func (h *Reservation) piece(n int) ([]byte, error) {
	if err := h.Grow(n); err != nil {
		return nil, err
	}
	if !h.recycle || n < maxChunk {
		return make([]byte, n), nil
	}
	p := chunks.Get().(*[maxChunk]byte)
	h.pieces = append(h.pieces, p)
	return p[:], nil
}
