package journal

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// KeeperOptions configures a Keeper. Zero fields take the defaults in
// parentheses.
type KeeperOptions struct {
	Folder       string        // data folder; empty: batches are kept in memory only
	MaxBytes     int           // payloads held for all owners (64 MB)
	RelayTimeout time.Duration // of one append on an owner's behalf (250 ms)
	RelayPause   time.Duration // time without relay after one failed (1 s)
	Logger       *slog.Logger
}

// Keeper is the receiving side of retention: it appends batches of other owners
// on their behalf or keeps them while it cannot reach the store either.
type Keeper struct {
	c    objectapi.Client
	o    KeeperOptions
	disk *folder // nil without a data folder

	mu      sync.Mutex
	logs    map[core.Incarnation]*kept
	bytes   int
	relayAt time.Time // no relay before, because the store did not answer
}

// kept is the state of one owner's log.
type kept struct {
	fenced    bool
	sealed    bool   // the seal was seen in the store
	committed uint64 // every object up to this one is in the store
	held      []*peerv1.Retain
	relaying  bool
}

func (l *kept) last() uint64 { return l.committed + uint64(len(l.held)) }

// NewKeeper returns a keeper. With a data folder it loads the batches and
// fences of earlier starts.
func NewKeeper(c objectapi.Client, o KeeperOptions) (*Keeper, error) {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 64 << 20
	}
	if o.RelayTimeout <= 0 {
		o.RelayTimeout = 250 * time.Millisecond
	}
	if o.RelayPause <= 0 {
		o.RelayPause = time.Second
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	k := &Keeper{c: c, o: o, logs: map[core.Incarnation]*kept{}}
	if o.Folder != "" {
		var err error
		if k.disk, err = openFolder(o.Folder); err != nil {
			return nil, err
		}
		if k.logs, err = k.disk.load(o.Logger); err != nil {
			return nil, err
		}
		for _, l := range k.logs {
			k.bytes += payloadBytes(l.held)
		}
	}
	return k, nil
}

func payloadBytes(ms []*peerv1.Retain) (n int) {
	for _, m := range ms {
		n += len(m.Payload)
	}
	return n
}

func refused(format string, args ...any) *peerv1.RetainResult {
	return &peerv1.RetainResult{Error: fmt.Sprintf(format, args...)}
}

// Retain takes a batch of another owner. It accepts the batches of a log in
// order only, so that holding one means holding every earlier one that is not
// in the store. A message without an object tells what is committed.
func (k *Keeper) Retain(ctx context.Context, m *peerv1.Retain) (*peerv1.RetainResult, error) {
	inc := core.Incarnation(m.Incarnation)
	if err := objectapi.CheckKey(ObjectKey(inc, 1)); err != nil {
		return refused("incarnation: %v", err), nil
	}
	k.mu.Lock()
	l := k.logs[inc]
	if l == nil {
		if m.Object == 0 {
			k.mu.Unlock()
			return &peerv1.RetainResult{}, nil
		}
		l = &kept{}
		k.logs[inc] = l
	}
	res := k.accept(inc, l, m)
	k.mu.Unlock()
	if res != nil {
		return res, nil
	}
	k.relay(ctx, inc, l)

	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case m.Object <= l.committed:
		return &peerv1.RetainResult{Appended: true}, nil
	case l.fenced || l.sealed:
		return &peerv1.RetainResult{Sealed: true}, nil
	}
	return &peerv1.RetainResult{Retained: true}, nil
}

// accept stores the batch. It returns the answer if there is nothing to relay.
// The caller holds the lock.
func (k *Keeper) accept(inc core.Incarnation, l *kept, m *peerv1.Retain) *peerv1.RetainResult {
	if l.fenced || l.sealed {
		return &peerv1.RetainResult{Sealed: true}
	}
	k.commitTo(inc, l, m.Committed)
	switch {
	case m.Object == 0:
		if len(l.held) == 0 {
			delete(k.logs, inc)
		}
		return &peerv1.RetainResult{}
	case m.Object <= l.committed:
		return &peerv1.RetainResult{Appended: true}
	case m.Object <= l.last():
		if string(l.held[m.Object-l.committed-1].Payload) != string(m.Payload) {
			return refused("object %d differs from the batch that is held", m.Object)
		}
		return nil
	case m.Object > l.last()+1:
		return refused("holds objects up to %d, object %d leaves a gap", l.last(), m.Object)
	case len(m.Payload) > MaxObjectBytes:
		return refused("payload of %d bytes", len(m.Payload))
	case k.bytes+len(m.Payload) > k.o.MaxBytes:
		return refused("holds %d bytes, the limit is %d", k.bytes, k.o.MaxBytes)
	}
	if o, err := Decode(m.Payload); err != nil || o.Object != m.Object || o.Incarnation != m.Incarnation {
		return refused("payload is not object %d of %s", m.Object, m.Incarnation)
	}
	if k.disk != nil {
		if err := k.disk.save(m); err != nil {
			return refused("%v", err)
		}
	}
	l.held = append(l.held, &peerv1.Retain{Incarnation: m.Incarnation, Object: m.Object, Payload: m.Payload})
	k.bytes += len(m.Payload)
	return nil
}

// commitTo drops the batches that are in the store. The caller holds the lock.
func (k *Keeper) commitTo(inc core.Incarnation, l *kept, n uint64) {
	if n <= l.committed {
		return
	}
	drop := int(min(n-l.committed, uint64(len(l.held))))
	for _, m := range l.held[:drop] {
		k.bytes -= len(m.Payload)
		if k.disk != nil {
			k.disk.remove(inc, m.Object)
		}
	}
	l.held = append([]*peerv1.Retain(nil), l.held[drop:]...)
	l.committed = n
}

// relay appends the batches that are held, in order, until one append fails.
// A later object is never sent before the earlier ones are known to be in the
// log, so that a seal cannot land between them.
func (k *Keeper) relay(ctx context.Context, inc core.Incarnation, l *kept) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.relaying || time.Now().Before(k.relayAt) {
		return
	}
	l.relaying = true
	defer func() { l.relaying = false }()
	for len(l.held) > 0 && !l.fenced && !l.sealed {
		m := l.held[0]
		k.mu.Unlock()
		cc, cancel := context.WithTimeout(ctx, k.o.RelayTimeout)
		err := appendObject(cc, k.c, inc, m.Object, m.Payload)
		cancel()
		k.mu.Lock()
		if _, ok := err.(*SealedError); ok {
			l.sealed = true
			return
		}
		if err != nil {
			k.relayAt = time.Now().Add(k.o.RelayPause)
			return
		}
		k.commitTo(inc, l, m.Object)
	}
}

// Fence returns the batches held for a lost incarnation. From then on its
// batches are refused, also after a restart of this process with its data
// folder. A repeated fence returns the same batches.
func (k *Keeper) Fence(lost core.Incarnation) (*peerv1.FenceResult, error) {
	if err := objectapi.CheckKey(ObjectKey(lost, 1)); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.logs[lost]
	if l == nil {
		l = &kept{}
		k.logs[lost] = l
	}
	if k.disk != nil && !l.fenced {
		if err := k.disk.fence(lost); err != nil {
			return nil, err
		}
	}
	l.fenced = true
	k.o.Logger.Info("retention fenced", "journal", lost, "retained", len(l.held))
	return &peerv1.FenceResult{Retained: append([]*peerv1.Retain(nil), l.held...)}, nil
}

// Forget drops what is kept for an incarnation. Call it when no slot is owned
// by the incarnation any more and its process is gone.
func (k *Keeper) Forget(lost core.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.logs[lost]; l != nil {
		k.bytes -= payloadBytes(l.held)
		l.held = nil
		delete(k.logs, lost)
	}
	if k.disk != nil {
		k.disk.forget(lost)
	}
}

// Held returns the number of batches and payload bytes that are held.
func (k *Keeper) Held() (batches, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.logs {
		batches += len(l.held)
	}
	return batches, k.bytes
}
