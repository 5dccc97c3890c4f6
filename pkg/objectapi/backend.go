package objectapi

import (
	"context"
	"sync/atomic"
	"time"
)

// Condition is the precondition of a write.
type Condition struct {
	Absent  bool   // the key must not exist
	Version uint64 // if not Absent, the key must have this version
}

// Backend performs single calls without retries. Values are in stored form.
type Backend interface {
	Get(ctx context.Context, key string) (Object, error)
	// Put fails with ErrConflict if the condition does not hold.
	Put(ctx context.Context, key string, cond Condition, value []byte) (version uint64, err error)
	Delete(ctx context.Context, key string) error
	// List returns a page of the objects whose key is above after, and the
	// key from which to go on, if any.
	List(ctx context.Context, prefix, after string) (objs []Object, next string, err error)
	// Watch waits for a version above after. It returns false when the wait
	// ended without a change.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, bool, error)
	Instances(ctx context.Context) ([]Instance, error)
}

// Counts is the number of calls made, by kind. Retries, read-backs and pages of
// a list count as calls of their own.
type Counts struct {
	Get, Put, Delete, List, Watch, Instances uint64
}

// Total returns the number of all calls.
func (c Counts) Total() uint64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.Instances
}

type counters struct {
	get, put, del, list, watch, instances atomic.Uint64
}

func (c *counters) counts() Counts {
	return Counts{
		Get: c.get.Load(), Put: c.put.Load(), Delete: c.del.Load(),
		List: c.list.Load(), Watch: c.watch.Load(), Instances: c.instances.Load(),
	}
}
