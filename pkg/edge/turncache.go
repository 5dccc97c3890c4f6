package edge

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

const (
	// turnCacheSize limits the number of turns that are kept in memory as history for later
	// turns.
	turnCacheSize = 2048
	// turnCacheShare is the share of the process's memory for these turns.
	turnCacheShare = 0.15
	// defaultTurnCacheBytes is their limit if the process has no memory limit.
	defaultTurnCacheBytes = 192 << 20
	// turnCacheOverhead is the memory that a turn takes besides its input and output, in
	// bytes.
	turnCacheOverhead = 512
)

// turnCache keeps the turns that were used last. It is safe for concurrent use.
type turnCache struct {
	limit int64 // bytes

	mu    sync.Mutex
	turns *simplelru.LRU[string, *peerv1.TurnRecord] // by turn id
	bytes int64
}

// turnCacheLimit returns the limit in bytes, given the process's memory limit.
func turnCacheLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultTurnCacheBytes
	}
	return int64(turnCacheShare * float64(memoryMB) * bytesPerMB)
}

func newTurnCache(limit int64) (*turnCache, error) {
	c := &turnCache{limit: limit}
	var err error
	c.turns, err = simplelru.NewLRU(turnCacheSize, func(_ string, r *peerv1.TurnRecord) { c.bytes -= cachedSize(r) })
	return c, err
}

// cachedSize returns the memory that a turn takes in the cache, in bytes.
func cachedSize(r *peerv1.TurnRecord) int64 {
	return int64(len(r.GetInput()) + len(r.GetOutput()) + turnCacheOverhead)
}

// Get returns a turn by its id.
func (c *turnCache) Get(id string) (*peerv1.TurnRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.turns.Get(id)
}

// Add keeps a turn and removes those that were used longest ago until the rest is within the
// limits.
func (c *turnCache) Add(id string, r *peerv1.TurnRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns.Remove(id) // Add would replace it without a word
	c.turns.Add(id, r)
	c.bytes += cachedSize(r)
	for c.bytes > c.limit {
		c.turns.RemoveOldest()
	}
}

// Purge removes all turns.
func (c *turnCache) Purge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns.Purge()
}

// size returns the memory of all turns in bytes.
func (c *turnCache) size() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}
