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
	Folder       string        // data folder; if empty, batches are held in memory only
	MaxBytes     int           // limit of the payloads held for all owners (64 MiB)
	RelayTimeout time.Duration // time limit of one append on an owner's behalf (250 ms)
	RelayPause   time.Duration // pause of all relays after a failed one (1 s)
	Logger       *slog.Logger
}

// Keeper is the receiving side of retention. It holds batches of other owners
// and relays them: it appends them to the store on the owners' behalf as soon as
// it can reach the store.
type Keeper struct {
	c    objectapi.Client
	o    KeeperOptions
	disk *folder // nil without a data folder

	mu        sync.Mutex
	logs      map[core.Incarnation]*retainedLog
	bytes     int
	nextRelay time.Time // earliest time of the next relay, after one failed
}

// retainedLog is the retention state of one owner's journal.
type retainedLog struct {
	fenced    bool
	sealed    bool   // a relay found the seal in the store
	committed uint64 // every object up to this one is in the store
	held      []*peerv1.Retain
	relaying  bool
}

func (l *retainedLog) lastObject() uint64 { return l.committed + uint64(len(l.held)) }

// NewKeeper returns a keeper. With a data folder, it loads the batches and
// fences that earlier processes saved there.
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
	k := &Keeper{c: c, o: o, logs: map[core.Incarnation]*retainedLog{}}
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

func refuse(format string, args ...any) *peerv1.RetainResult {
	return &peerv1.RetainResult{Error: fmt.Sprintf(format, args...)}
}

// Retain accepts a batch of another owner and tries to relay it. Batches of a
// journal are accepted only in order, so a keeper that holds one also holds every
// earlier one that is not in the store. A message without an object only reports
// the highest committed object.
func (k *Keeper) Retain(ctx context.Context, m *peerv1.Retain) (*peerv1.RetainResult, error) {
	inc := core.Incarnation(m.Incarnation)
	if err := objectapi.CheckKey(ObjectKey(inc, 1)); err != nil {
		return refuse("incarnation: %v", err), nil
	}
	k.mu.Lock()
	l := k.logs[inc]
	if l == nil {
		if m.Object == 0 {
			k.mu.Unlock()
			return &peerv1.RetainResult{}, nil
		}
		l = &retainedLog{}
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

// accept validates a batch and adds it to the held ones. It returns the response
// if there is nothing to relay, and nil otherwise. The caller holds the lock.
func (k *Keeper) accept(inc core.Incarnation, l *retainedLog, m *peerv1.Retain) *peerv1.RetainResult {
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
	case m.Object <= l.lastObject():
		if string(l.held[m.Object-l.committed-1].Payload) != string(m.Payload) {
			return refuse("object %d differs from the batch that is held", m.Object)
		}
		return nil
	case m.Object > l.lastObject()+1:
		return refuse("holds objects up to %d, object %d leaves a gap", l.lastObject(), m.Object)
	case len(m.Payload) > MaxObjectBytes:
		return refuse("payload of %d bytes", len(m.Payload))
	case k.bytes+len(m.Payload) > k.o.MaxBytes:
		return refuse("holds %d bytes, the limit is %d", k.bytes, k.o.MaxBytes)
	}
	if o, err := Decode(m.Payload); err != nil || o.Object != m.Object || o.Incarnation != m.Incarnation {
		return refuse("payload is not object %d of %s", m.Object, m.Incarnation)
	}
	if k.disk != nil {
		if err := k.disk.save(m); err != nil {
			return refuse("%v", err)
		}
	}
	l.held = append(l.held, &peerv1.Retain{Incarnation: m.Incarnation, Object: m.Object, Payload: m.Payload})
	k.bytes += len(m.Payload)
	return nil
}

// commitTo marks every object up to n as committed and releases their batches.
// The caller holds the lock.
func (k *Keeper) commitTo(inc core.Incarnation, l *retainedLog, n uint64) {
	if n <= l.committed {
		return
	}
	dropped := int(min(n-l.committed, uint64(len(l.held))))
	for _, m := range l.held[:dropped] {
		k.bytes -= len(m.Payload)
		if k.disk != nil {
			k.disk.remove(inc, m.Object)
		}
	}
	l.held = append([]*peerv1.Retain(nil), l.held[dropped:]...)
	l.committed = n
}

// relay appends the held batches to the store in order, until one append fails.
// It sends an object only after all earlier ones are known to be in the journal,
// so that no seal can be written between them.
func (k *Keeper) relay(ctx context.Context, inc core.Incarnation, l *retainedLog) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.relaying || time.Now().Before(k.nextRelay) {
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
			k.nextRelay = time.Now().Add(k.o.RelayPause)
			return
		}
		k.commitTo(inc, l, m.Object)
	}
}

// Fence returns the batches held for a lost incarnation and refuses all further
// ones. With a data folder, the fence also holds after a restart of this
// process. A repeated fence returns the same batches.
func (k *Keeper) Fence(lost core.Incarnation) (*peerv1.FenceResult, error) {
	if err := objectapi.CheckKey(ObjectKey(lost, 1)); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.logs[lost]
	if l == nil {
		l = &retainedLog{}
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

// Forget removes the batches and the fence of an incarnation. Call it only when
// the incarnation owns no slot and its process has ended.
func (k *Keeper) Forget(lost core.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.logs[lost]; l != nil {
		k.bytes -= payloadBytes(l.held)
		l.held = nil
		delete(k.logs, lost)
	}
	if k.disk != nil {
		k.disk.removeLog(lost)
	}
}

// Held returns the number of held batches and the sum of their payload bytes.
func (k *Keeper) Held() (batches, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.logs {
		batches += len(l.held)
	}
	return batches, k.bytes
}
