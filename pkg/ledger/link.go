package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// linkQueue is the number of requests that wait for a link's writer.
const linkQueue = 256

var (
	errLinkClosed  = errors.New("the stream to the storage process ended")
	errUnreachable = errors.New("no connection to the storage process")
)

// links holds one open stream for each storage process. Requests that come
// while one is written go out together, so their cost does not grow with
// their number.
type links struct {
	transport *transport.Transport

	mu     sync.Mutex
	byAddr map[string]*link
}

func newLinks(t *transport.Transport) *links {
	return &links{transport: t, byAddr: make(map[string]*link)}
}

// link is a stream to one storage process, or an attempt to open it.
type link struct {
	queue  chan *peerv1.LedgerRequest
	done   chan struct{} // closed when the link has ended
	cancel context.CancelFunc

	mu      sync.Mutex
	session *transport.Session // nil until the stream is open
	probing bool
	nextID  uint64
	pending map[uint64]chan *peerv1.LedgerReply
}

// call sends a request to an address and returns the reply. The session of a
// link that does not reply in probeAfter is probed. The error wraps
// errUnreachable if no connection was made.
func (l *links) call(ctx context.Context, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	k := l.get(address)
	reply := make(chan *peerv1.LedgerReply, 1)
	id := k.register(reply)
	defer k.forget(id)
	fail := func(err error) (*peerv1.LedgerReply, error) {
		return nil, errors.Wrapf(err, "ledger request to %s", address)
	}
	select {
	case k.queue <- &peerv1.LedgerRequest{Op: req.GetOp(), Id: id}:
	case <-k.done:
		return fail(k.ended())
	case <-ctx.Done():
		return fail(ctx.Err())
	}
	late := time.NewTimer(probeAfter)
	defer late.Stop()
	for {
		select {
		case r := <-reply:
			return r, nil
		case <-k.done:
			return fail(k.ended())
		case <-ctx.Done():
			return fail(ctx.Err())
		case <-late.C:
			k.probe()
		}
	}
}

// ended returns why a link has ended.
func (k *link) ended() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session == nil {
		return errUnreachable
	}
	return errLinkClosed
}

// get returns the link to an address and opens one if there is none.
func (l *links) get(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byAddr[address]; k != nil {
		return k
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &link{
		queue: make(chan *peerv1.LedgerRequest, linkQueue), done: make(chan struct{}), cancel: cancel,
		pending: make(map[uint64]chan *peerv1.LedgerReply),
	}
	l.byAddr[address] = k
	go func() {
		k.run(ctx, l.transport, address)
		l.mu.Lock()
		delete(l.byAddr, address)
		l.mu.Unlock()
		cancel()
		close(k.done)
	}()
	return k
}

const (
	// probeAfter is the time without a reply after which a session is probed:
	// some round trips between regions and a sync of a slow disk.
	probeAfter = 250 * time.Millisecond
	// openTimeout bounds the making of a connection: three round trips between
	// regions and a lost packet.
	openTimeout = 600 * time.Millisecond
)

// probe closes a session that became silent, in the background.
func (k *link) probe() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session == nil || k.probing {
		return
	}
	k.probing = true
	go func() {
		k.session.Probe(transport.ProbeTimeout)
		k.mu.Lock()
		k.probing = false
		k.mu.Unlock()
	}()
}

func (k *link) register(reply chan *peerv1.LedgerReply) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	k.pending[k.nextID] = reply
	return k.nextID
}

func (k *link) forget(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}

// run opens the stream and carries requests and replies until it ends.
func (k *link) run(ctx context.Context, t *transport.Transport, address string) {
	dctx, cancel := context.WithTimeout(ctx, openTimeout)
	s, err := t.Dial(dctx, address)
	cancel()
	if err != nil {
		return
	}
	var first *peerv1.LedgerRequest
	select {
	case first = <-k.queue:
	case <-ctx.Done():
		return
	case <-s.Done():
		return
	}
	st, err := s.Open(ctx, k.batch(first))
	if err != nil {
		return
	}
	defer st.Close()
	k.mu.Lock()
	k.session = s
	k.mu.Unlock()
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		defer end()
		k.receive(st)
	}()
	for {
		select {
		case req := <-k.queue:
			if st.Send(k.batch(req)) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// batch returns a request with all others that wait.
func (k *link) batch(first *peerv1.LedgerRequest) *peerv1.Envelope {
	list := []*peerv1.LedgerRequest{first}
	for {
		select {
		case req := <-k.queue:
			list = append(list, req)
			continue
		default:
		}
		return &peerv1.Envelope{Body: &peerv1.Envelope_LedgerBatch{LedgerBatch: &peerv1.LedgerBatch{Requests: list}}}
	}
}

func (k *link) receive(st *transport.Stream) {
	for {
		m, err := st.Recv()
		if err != nil {
			return
		}
		for _, r := range m.GetLedgerReplies().GetReplies() {
			k.mu.Lock()
			ch := k.pending[r.GetId()]
			delete(k.pending, r.GetId())
			k.mu.Unlock()
			if ch != nil {
				ch <- r
			}
		}
	}
}
