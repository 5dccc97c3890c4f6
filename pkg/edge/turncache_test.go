package edge

import (
	"fmt"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Guards against turns with large inputs that take more memory than the cache may use, and
// against a size that drifts when turns are replaced or removed.
func TestTurnCacheIsBoundedInBytes(t *testing.T) {
	const limit = 1 << 20
	c, err := newTurnCache(limit)
	if err != nil {
		t.Fatal(err)
	}
	add := func(id string, size int) { c.Add(id, &peerv1.TurnRecord{Id: id, Input: make([]byte, size)}) }
	for i := range 100 {
		add(fmt.Sprint("t", i%30), i<<10)
		if n := c.size(); n > limit {
			t.Fatalf("%d bytes after %d turns, the limit is %d", n, i+1, limit)
		}
	}
	if _, ok := c.Get("t9"); !ok {
		t.Error("the last turn is not kept")
	}
	if _, ok := c.Get("t10"); ok {
		t.Error("the oldest turn is kept")
	}
	add("larger than the cache", 2*limit)
	if n := c.size(); n != 0 {
		t.Errorf("%d bytes, want none: the turn does not fit", n)
	}
	for i := range 2 * turnCacheSize {
		add(fmt.Sprint("small ", i), 1)
	}
	c.Purge()
	if n := c.size(); n != 0 {
		t.Errorf("%d bytes after all turns were removed", n)
	}
}
