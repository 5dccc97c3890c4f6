// Package membudget limits the memory that a process uses for data in transit: heads of
// requests, and request and response bodies that have been read but not yet forwarded.
package membudget

import (
	"sync"

	"github.com/pkg/errors"
)

// Errors returned when a reservation cannot grow.
var (
	// ErrExhausted means that the reservations of all owners together would
	// exceed the budget.
	ErrExhausted = errors.New("memory budget for data in transit is exhausted")
	// ErrShareExceeded means that the owner would exceed its share of the budget.
	// Other owners may still reserve memory.
	ErrShareExceeded = errors.New("owner exceeds its share of the memory budget for data in transit")
)

// Largest fractions of a budget that one owner may reserve. They leave most of
// the memory to the others if an upstream or a caller never stops sending.
const (
	CallerShare   = 1.0 / 4
	UpstreamShare = 1.0 / 12
	// HeadShare is for the heads of requests that are still arriving, of all callers together.
	// On the smallest edge of 112 MB it holds 220 heads of 16 KB, and some thousand ordinary
	// ones.
	HeadShare = 1.0 / 3
	// pressureThreshold is the used fraction of a budget above which no further
	// request should start.
	pressureThreshold = 3.0 / 4
)

// Budget limits the bytes reserved for data in transit. It is safe for
// concurrent use.
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

// Usage is a snapshot of a budget's counters.
type Usage struct {
	Limit   int64  `json:"limit_bytes"`
	Used    int64  `json:"used_bytes"`
	Refused uint64 `json:"refused"` // refused reservations since the process started
}

// Usage returns the current counters of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Used: b.used, Refused: b.refused}
}

// UnderPressure reports whether so much of the budget is in use that no further
// request should start, because its response might not fit.
func (b *Budget) UnderPressure() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used) > pressureThreshold*float64(b.limit)
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

// transfer moves reserved bytes from one owner to another.
func (b *Budget) transfer(from, to string, n int64) {
	if n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byOwner[from] -= n; b.byOwner[from] <= 0 {
		delete(b.byOwner, from)
	}
	b.byOwner[to] += n
}

// Reservation is the part of a budget that one request uses on behalf of an
// owner. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	owner  string
	share  float64
	bytes  int64
	reuse  bool
	pooled []*[maxChunkBytes]byte // taken from chunkPool, returned by Release
}

// Reservation returns an empty reservation for an owner, such as an upstream
// or a caller's connection. All reservations of the owner together may use the
// fraction share of the budget.
func (b *Budget) Reservation(owner string, share float64) *Reservation {
	return &Reservation{budget: b, owner: owner, share: share}
}

// ReuseBuffers allows buffers filled by ReadAll to be reused after Release. The
// data must not be accessed after that.
func (res *Reservation) ReuseBuffers() *Reservation {
	res.reuse = true
	return res
}

// Grow reserves n more bytes. It fails with ErrExhausted or ErrShareExceeded and
// then leaves the reservation unchanged.
func (res *Reservation) Grow(n int) error {
	if err := res.budget.reserve(res.owner, int64(n), res.share); err != nil {
		return err
	}
	res.bytes += int64(n)
	return nil
}

// GrowTo reserves what is missing up to n bytes, like Grow.
func (res *Reservation) GrowTo(n int) error {
	if lacking := n - int(res.bytes); lacking > 0 {
		return res.Grow(lacking)
	}
	return nil
}

// Transfer moves all reserved bytes to another owner, whose share is not checked.
func (res *Reservation) Transfer(owner string) {
	res.budget.transfer(res.owner, owner, res.bytes)
	res.owner = owner
}

// Release returns all reserved bytes to the budget. It may be called more than
// once.
func (res *Reservation) Release() {
	for _, p := range res.pooled {
		chunkPool.Put(p)
	}
	res.pooled = nil
	if res.bytes > 0 {
		res.budget.release(res.owner, res.bytes)
		res.bytes = 0
	}
}

// chunkPool holds unused chunks of maxChunkBytes.
var chunkPool = sync.Pool{New: func() any { return new([maxChunkBytes]byte) }}

// chunk reserves and returns n bytes of memory, at most maxChunkBytes.
func (res *Reservation) chunk(n int) ([]byte, error) {
	if err := res.Grow(n); err != nil {
		return nil, err
	}
	if !res.reuse || n < maxChunkBytes {
		return make([]byte, n), nil
	}
	p := chunkPool.Get().(*[maxChunkBytes]byte)
	res.pooled = append(res.pooled, p)
	return p[:], nil
}
