package objectapi

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults is what goes wrong with the calls of one client of a Memory.
type Faults struct {
	Outage      bool          `json:"outage"`       // calls fail and have no effect
	Delay       time.Duration `json:"delay"`        // added before each call takes effect
	LoseAnswers int           `json:"lose_answers"` // the next writes take effect and their answer is lost
	LoseWrites  int           `json:"lose_writes"`  // the next writes are lost before they take effect
	LoseWatch   bool          `json:"lose_watch"`   // watches never see a change
	StaleWatch  bool          `json:"stale_watch"`  // watches answer with the value before the latest
	Rate        float64       `json:"rate"`         // calls per second that are accepted; 0: no limit
}

// pageBytes is the size at which a page of a list ends. A page and one value
// more cross the 30 Mbit/s link between regions in 0.7 s, within the 2 s that a
// client waits; pages of 4 MB took up to 1.8 s of it.
const pageBytes = 1_000_000

// MemoryOptions configures a Memory. Zero fields take the real clock.
type MemoryOptions struct {
	Now         func() time.Time
	Sleep       func(ctx context.Context, d time.Duration) error
	InstanceLag time.Duration // age of the instance list that clients see
}

// Memory is an in-process store with faults, for tests, replay and the
// stand-in. Its own Client methods act as the client named "".
type Memory struct {
	*client
	o MemoryOptions

	mu        sync.Mutex
	version   uint64
	objects   map[string]memoryObject
	changed   chan struct{} // closed at each write
	faults    map[string]*faultState
	instances []instanceList
	writes    map[string]int // writes that took effect, by key
}

type memoryObject struct {
	Object
	previous *Object
}

type faultState struct {
	Faults
	limiter *rate.Limiter
}

type instanceList struct {
	since time.Time
	list  []Instance
}

var _ Client = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory(o MemoryOptions) *Memory {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	m := &Memory{
		o:       o,
		objects: map[string]memoryObject{},
		changed: make(chan struct{}),
		faults:  map[string]*faultState{},
		writes:  map[string]int{},
	}
	m.client = m.newClient("")
	return m
}

// MemoryClient is one client of a Memory, with its own faults and counts.
type MemoryClient struct{ *client }

// Client returns a client with the given name. Faults of the name "" concern
// every client, other faults only the client of that name.
func (m *Memory) Client(name string) *MemoryClient {
	return &MemoryClient{m.newClient(name)}
}

func (m *Memory) newClient(name string) *client {
	return &client{
		b: m.Backend(name), peer: "memory", watchWait: time.Hour, staleDelay: time.Second,
		readTries: 1, writeTries: 1, firstDelay: time.Millisecond, maxDelay: time.Millisecond,
	}
}

// Backend returns the single calls of the named client, with its faults.
func (m *Memory) Backend(name string) Backend { return &memoryBackend{m: m, name: name} }

// SetFaults replaces the faults of the named client.
func (m *Memory) SetFaults(name string, f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := &faultState{Faults: f}
	if f.Rate > 0 {
		st.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
	m.faults[name] = st
	m.wake()
}

// Faults returns the faults of the named client that are still in force.
func (m *Memory) Faults(name string) Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	if st := m.faults[name]; st != nil {
		return st.Faults
	}
	return Faults{}
}

// SetInstances replaces the instance list. Clients see it after the lag.
func (m *Memory) SetInstances(list []Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = append(m.instances, instanceList{m.o.Now(), append([]Instance(nil), list...)})
}

// SetInstanceLag changes the age of the instance list that clients see.
func (m *Memory) SetInstanceLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.o.InstanceLag = d
}

// Writes returns how many writes of a key took effect.
func (m *Memory) Writes(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes[key]
}

// Keys returns the keys with a prefix, sorted.
func (m *Memory) Keys(prefix string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys(prefix, "")
}

func (m *Memory) keys(prefix, after string) []string {
	var keys []string
	for k := range m.objects {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// wake tells every waiting watch to look again. The caller holds the lock.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

type memoryBackend struct {
	m    *Memory
	name string
}

// states returns the fault states that concern the client.
func (b *memoryBackend) states() []*faultState {
	var out []*faultState
	if st := b.m.faults[""]; st != nil {
		out = append(out, st)
	}
	if st := b.m.faults[b.name]; st != nil && b.name != "" {
		out = append(out, st)
	}
	return out
}

// before applies the faults that act before a call takes effect.
func (b *memoryBackend) before(ctx context.Context) error {
	b.m.mu.Lock()
	var delay time.Duration
	limited := false
	for _, st := range b.states() {
		delay = max(delay, st.Delay)
		if st.limiter != nil && !st.limiter.AllowN(b.m.o.Now(), 1) {
			limited = true
		}
	}
	b.m.mu.Unlock()
	if limited {
		return ErrRateLimited
	}
	if delay > 0 {
		if err := b.m.o.Sleep(ctx, delay); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	return b.outage()
}

func (b *memoryBackend) outage() error {
	for _, st := range b.states() {
		if st.Outage {
			return fmt.Errorf("%w: outage", ErrUnavailable)
		}
	}
	return nil
}

// take uses up one planted loss, if there is any.
func (b *memoryBackend) take(field func(*faultState) *int) bool {
	for _, st := range b.states() {
		if n := field(st); *n > 0 {
			*n--
			return true
		}
	}
	return false
}

func (b *memoryBackend) Get(ctx context.Context, key string) (Object, error) {
	if err := b.before(ctx); err != nil {
		return Object{}, err
	}
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	o, ok := b.m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o.Object, nil
}

func (b *memoryBackend) Put(ctx context.Context, key string, cond Condition, value []byte) (uint64, error) {
	if err := CheckKey(key); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: value of %d bytes", ErrInvalid, len(value))
	}
	if err := b.before(ctx); err != nil {
		return 0, err
	}
	m := b.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.take(func(f *faultState) *int { return &f.LoseWrites }) {
		return 0, fmt.Errorf("%w: request lost", ErrUnavailable)
	}
	old, exists := m.objects[key]
	if exists == cond.Absent || !cond.Absent && old.Version != cond.Version {
		return 0, ErrConflict
	}
	m.version++
	o := memoryObject{Object: Object{Key: key, Version: m.version, Value: append([]byte(nil), value...)}}
	if exists {
		prev := old.Object
		o.previous = &prev
	}
	m.objects[key] = o
	m.writes[key]++
	m.wake()
	if b.take(func(f *faultState) *int { return &f.LoseAnswers }) {
		return 0, fmt.Errorf("%w: answer lost", ErrUnavailable)
	}
	return o.Version, nil
}

func (b *memoryBackend) Delete(ctx context.Context, key string) error {
	if err := b.before(ctx); err != nil {
		return err
	}
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	delete(b.m.objects, key)
	return nil
}

func (b *memoryBackend) List(ctx context.Context, prefix, after string) ([]Object, string, error) {
	if err := b.before(ctx); err != nil {
		return nil, "", err
	}
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	var objs []Object
	size := 0
	for _, k := range b.m.keys(prefix, after) {
		if size >= pageBytes {
			return objs, objs[len(objs)-1].Key, nil
		}
		o := b.m.objects[k].Object
		objs = append(objs, o)
		size += len(o.Value)
	}
	return objs, "", nil
}

func (b *memoryBackend) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, bool, error) {
	if err := b.before(ctx); err != nil {
		return Object{}, false, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b.m.mu.Lock()
		o, ok := b.m.objects[key]
		changed := b.m.changed
		err := b.outage()
		stale, blind := false, false
		for _, st := range b.states() {
			stale = stale || st.StaleWatch
			blind = blind || st.LoseWatch
		}
		b.m.mu.Unlock()
		switch {
		case err != nil:
			return Object{}, false, err
		case ok && stale && o.previous != nil:
			return *o.previous, true, nil
		case ok && !blind && !stale && o.Version > after:
			return o.Object, true, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return Object{}, false, nil
		case <-ctx.Done():
			return Object{}, false, ctx.Err()
		}
	}
}

func (b *memoryBackend) Instances(ctx context.Context) ([]Instance, error) {
	if err := b.before(ctx); err != nil {
		return nil, err
	}
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	seen := b.m.o.Now().Add(-b.m.o.InstanceLag)
	var list []Instance
	for _, l := range b.m.instances {
		if l.since.After(seen) {
			break
		}
		list = l.list
	}
	return append([]Instance(nil), list...), nil
}
