package objectapi

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// client turns a Backend into a Client: it counts and limits the calls, retries
// reads and resolves lost answers of writes.
type client struct {
	b          Backend
	peer       string
	limiter    *rate.Limiter // nil: unlimited
	timeout    time.Duration // of one call; 0: none
	watchWait  time.Duration // longest wait of one long poll
	staleDelay time.Duration // pause after a watch answered with an old version
	readTries  uint
	writeTries int // writes sent in all while the outcome is open
	firstDelay time.Duration
	maxDelay   time.Duration
	counters   counters
}

// Counts returns the number of calls made so far.
func (c *client) Counts() Counts { return c.counters.counts() }

func (c *client) fail(step, key string, unknown bool, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return &Error{Step: step, Key: key, Peer: c.peer, Unknown: unknown, Err: err}
}

// acquire waits for a permit of the client's own rate limit.
func (c *client) acquire(ctx context.Context) error {
	if c.limiter == nil {
		return ctx.Err()
	}
	if err := c.limiter.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return ErrRateLimited
	}
	return nil
}

func (c *client) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.timeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeoutCause(ctx, c.timeout, ErrUnavailable)
}

// cause maps the error of a call that ran into the client's own timeout to
// ErrUnavailable.
func cause(parent, call context.Context, err error) error {
	if err == nil || parent.Err() != nil || call.Err() == nil {
		return err
	}
	return context.Cause(call)
}

func transient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// read performs a read with retries.
func read[T any](ctx context.Context, c *client, step, key string, count func(), call func(context.Context) (T, error)) (T, error) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = c.firstDelay
	bo.MaxInterval = c.maxDelay
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := once(ctx, c, count, call)
		if err != nil && !transient(err) {
			err = backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(bo), backoff.WithMaxTries(c.readTries))
	if err != nil {
		return v, c.fail(step, key, false, err)
	}
	return v, nil
}

// once performs a single counted and limited call.
func once[T any](ctx context.Context, c *client, count func(), call func(context.Context) (T, error)) (T, error) {
	if err := c.acquire(ctx); err != nil {
		var zero T
		return zero, err
	}
	count()
	cc, cancel := c.callContext(ctx)
	defer cancel()
	v, err := call(cc)
	return v, cause(ctx, cc, err)
}

func (c *client) countGet()  { c.counters.get.Add(1) }
func (c *client) countPut()  { c.counters.put.Add(1) }
func (c *client) countDel()  { c.counters.del.Add(1) }
func (c *client) countList() { c.counters.list.Add(1) }
func (c *client) countInst() { c.counters.instances.Add(1) }

// Get implements Client.
func (c *client) Get(ctx context.Context, key string) (Object, error) {
	o, err := c.getStored(ctx, "get", key)
	if err != nil {
		return Object{}, err
	}
	_, o.Value = open(o.Value)
	return o, nil
}

func (c *client) getStored(ctx context.Context, step, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, c.fail(step, key, false, err)
	}
	return read(ctx, c, step, key, c.countGet, func(ctx context.Context) (Object, error) {
		return c.b.Get(ctx, key)
	})
}

// Create implements Client.
func (c *client) Create(ctx context.Context, key string, value []byte) (Object, error) {
	o, err := c.write(ctx, "create", key, Condition{Absent: true}, value)
	if errors.Is(err, ErrConflict) {
		err = c.fail("create", key, IsUnknown(err), ErrExists)
	}
	return o, err
}

// Update implements Client.
func (c *client) Update(ctx context.Context, key string, version uint64, value []byte) (Object, error) {
	return c.write(ctx, "update", key, Condition{Version: version}, value)
}

// write sends a conditional write. If the answer is lost, it reads the object
// back: the own token proves that the write took effect; the state before the
// write allows the same write to be sent again, because the condition lets at
// most one of the copies take effect; any other state is a conflict.
func (c *client) write(ctx context.Context, step, key string, cond Condition, value []byte) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, c.fail(step, key, false, err)
	}
	t := newToken()
	stored := t.seal(value)
	if len(stored) > MaxValueBytes {
		return Object{}, c.fail(step, key, false,
			errors.Join(ErrInvalid, errors.New("value is larger than 1 MB")))
	}
	done := func(version uint64) (Object, error) {
		return Object{Key: key, Version: version, Value: value}, nil
	}
	unknown := false
	var err error
	for try := range max(c.writeTries, 1) {
		var version uint64
		version, err = once(ctx, c, c.countPut, func(ctx context.Context) (uint64, error) {
			return c.b.Put(ctx, key, cond, stored)
		})
		switch {
		case err == nil:
			return done(version)
		case errors.Is(err, ErrConflict) && !unknown:
			return Object{}, c.fail(step, key, false, ErrConflict)
		case errors.Is(err, ErrRateLimited) && !unknown:
			return Object{}, c.fail(step, key, false, err)
		case errors.Is(err, ErrInvalid):
			return Object{}, c.fail(step, key, unknown, err)
		case ctx.Err() != nil:
			return Object{}, c.fail(step, key, true, err)
		}
		unknown = true
		o, rerr := c.getStored(ctx, step, key)
		switch {
		case rerr == nil:
			if own, _ := open(o.Value); own == t {
				return done(o.Version)
			}
			if cond.Absent || o.Version != cond.Version {
				return Object{}, c.fail(step, key, true, ErrConflict)
			}
		case errors.Is(rerr, ErrNotFound):
			if !cond.Absent {
				return Object{}, c.fail(step, key, true, ErrConflict)
			}
		default:
			return Object{}, c.fail(step, key, true, err)
		}
		if try+1 < c.writeTries {
			if serr := sleep(ctx, c.firstDelay); serr != nil {
				break
			}
		}
	}
	return Object{}, c.fail(step, key, true, err)
}

// Delete implements Client. It may be repeated, so it is retried like a read.
func (c *client) Delete(ctx context.Context, key string) error {
	if err := CheckKey(key); err != nil {
		return c.fail("delete", key, false, err)
	}
	_, err := read(ctx, c, "delete", key, c.countDel, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.b.Delete(ctx, key)
	})
	return err
}

// List implements Client.
func (c *client) List(ctx context.Context, prefix string) ([]Object, error) {
	type page struct {
		objs []Object
		next string
	}
	var all []Object
	after := ""
	for {
		p, err := read(ctx, c, "list", prefix, c.countList, func(ctx context.Context) (page, error) {
			objs, next, err := c.b.List(ctx, prefix, after)
			return page{objs, next}, err
		})
		if err != nil {
			return nil, err
		}
		for _, o := range p.objs {
			_, o.Value = open(o.Value)
			all = append(all, o)
		}
		if p.next == "" || p.next <= after {
			return all, nil
		}
		after = p.next
	}
}

// Watch implements Client. Each long poll counts as one call. An answer that
// is not newer than after is stale and is asked for again.
func (c *client) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, c.fail("watch", key, false, err)
	}
	for {
		if err := c.acquire(ctx); err != nil {
			return Object{}, c.fail("watch", key, false, err)
		}
		c.counters.watch.Add(1)
		o, changed, err := c.poll(ctx, key, after)
		if err != nil {
			return Object{}, c.fail("watch", key, false, err)
		}
		if changed && o.Version > after {
			_, o.Value = open(o.Value)
			return o, nil
		}
		if changed {
			if err := sleep(ctx, c.staleDelay); err != nil {
				return Object{}, c.fail("watch", key, false, err)
			}
		}
	}
}

func (c *client) poll(ctx context.Context, key string, after uint64) (Object, bool, error) {
	if c.timeout <= 0 {
		return c.b.Watch(ctx, key, after, c.watchWait)
	}
	// The store answers within the wait; a poll that is still open one call
	// timeout later is on a silent connection.
	cc, cancel := context.WithTimeoutCause(ctx, c.watchWait+c.timeout, ErrUnavailable)
	defer cancel()
	o, changed, err := c.b.Watch(cc, key, after, c.watchWait)
	return o, changed, cause(ctx, cc, err)
}

// Instances implements Client.
func (c *client) Instances(ctx context.Context) ([]Instance, error) {
	return read(ctx, c, "instances", "", c.countInst, c.b.Instances)
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
