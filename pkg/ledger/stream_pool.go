package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// sendQueueSize is the number of requests that may wait to be sent on a stream.
const sendQueueSize = 256

var (
	errStreamEnded = errors.New("stream to the storage process ended")
	errUnreachable = errors.New("cannot connect to the storage process")
)

// streamPool holds one open stream to each storage process. Requests that are
// queued while a batch is being written are sent together in the next batch, so
// that the cost of sending does not grow with the number of requests.
type streamPool struct {
	transport *transport.Transport

	mu     sync.Mutex
	byAddr map[string]*batchStream
}

func newStreamPool(t *transport.Transport) *streamPool {
	return &streamPool{transport: t, byAddr: make(map[string]*batchStream)}
}

// batchStream is a stream of request batches to one storage process. It may still
// be connecting.
type batchStream struct {
	queue  chan *peerv1.LedgerRequest
	done   chan struct{} // closed when the stream has ended
	cancel context.CancelFunc

	mu      sync.Mutex
	session *transport.Session // nil until the stream is open
	probing bool
	nextID  uint64
	pending map[uint64]chan *peerv1.LedgerReply
}

// call sends a request to an address and returns the reply. If none arrives
// within probeAfter, the session is probed. The error wraps errUnreachable if the
// connection could not be opened.
func (p *streamPool) call(ctx context.Context, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	if tooLarge(req) {
		return nil, errors.Wrapf(errRequestTooLarge, "to %s, %d bytes", address, proto.Size(req))
	}
	b := p.get(address)
	reply := make(chan *peerv1.LedgerReply, 1)
	id := b.register(reply)
	defer b.unregister(id)
	fail := func(err error) (*peerv1.LedgerReply, error) {
		return nil, errors.Wrapf(err, "ledger request to %s", address)
	}
	select {
	case b.queue <- &peerv1.LedgerRequest{Op: req.GetOp(), Id: id}:
	case <-b.done:
		return fail(b.endReason())
	case <-ctx.Done():
		return fail(ctx.Err())
	}
	probeTimer := time.NewTimer(probeAfter)
	defer probeTimer.Stop()
	for {
		select {
		case r := <-reply:
			return r, nil
		case <-b.done:
			return fail(b.endReason())
		case <-ctx.Done():
			return fail(ctx.Err())
		case <-probeTimer.C:
			b.probe()
		}
	}
}

// endReason returns why the stream has ended.
func (b *batchStream) endReason() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.session == nil {
		return errUnreachable
	}
	return errStreamEnded
}

// get returns the stream to an address and starts opening one if there is none.
func (p *streamPool) get(address string) *batchStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.byAddr[address]; b != nil {
		return b
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &batchStream{
		queue: make(chan *peerv1.LedgerRequest, sendQueueSize), done: make(chan struct{}), cancel: cancel,
		pending: make(map[uint64]chan *peerv1.LedgerReply),
	}
	p.byAddr[address] = b
	go func() {
		b.run(ctx, p.transport, address)
		p.mu.Lock()
		delete(p.byAddr, address)
		p.mu.Unlock()
		cancel()
		close(b.done)
	}()
	return b
}

const (
	// probeAfter is the time without a reply after which a session is probed. It
	// covers some round trips between regions and a sync on a slow disk.
	probeAfter = 250 * time.Millisecond
	// openTimeout limits the opening of a connection. It covers three round trips
	// between regions and one lost packet.
	openTimeout = 600 * time.Millisecond
)

// probe checks in the background whether the peer still responds, and closes the
// session if it does not.
func (b *batchStream) probe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.session == nil || b.probing {
		return
	}
	b.probing = true
	go func() {
		b.session.Probe(transport.ProbeTimeout)
		b.mu.Lock()
		b.probing = false
		b.mu.Unlock()
	}()
}

// register assigns an id to a request; its reply is sent to the channel.
func (b *batchStream) register(reply chan *peerv1.LedgerReply) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	b.pending[b.nextID] = reply
	return b.nextID
}

func (b *batchStream) unregister(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, id)
}

// run opens the stream and transfers requests and replies until it ends.
func (b *batchStream) run(ctx context.Context, t *transport.Transport, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, openTimeout)
	s, err := t.Dial(dialCtx, address)
	cancel()
	if err != nil {
		return
	}
	var next *peerv1.LedgerRequest
	select {
	case next = <-b.queue:
	case <-ctx.Done():
		return
	case <-s.Done():
		return
	}
	batch, next := b.nextBatch(next)
	st, err := s.Open(ctx, batch)
	if err != nil {
		return
	}
	defer st.Close()
	b.mu.Lock()
	b.session = s
	b.mu.Unlock()
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		defer end()
		b.receive(st)
	}()
	for {
		if next == nil {
			select {
			case next = <-b.queue:
			case <-ctx.Done():
				return
			}
		}
		batch, next = b.nextBatch(next)
		if st.Send(batch) != nil {
			return
		}
	}
}

// nextBatch returns a message with the first request and the queued ones up to batchBytes, and
// the request that begins the next message; nil: none has to wait.
func (b *batchStream) nextBatch(first *peerv1.LedgerRequest) (batch *peerv1.Envelope, next *peerv1.LedgerRequest) {
	requests := &peerv1.LedgerBatch{Requests: []*peerv1.LedgerRequest{first}}
	batch = &peerv1.Envelope{Body: &peerv1.Envelope_LedgerBatch{LedgerBatch: requests}}
	for size := proto.Size(first); ; {
		select {
		case next = <-b.queue:
		default:
			return batch, nil
		}
		if size += proto.Size(next); size > batchBytes {
			return batch, next
		}
		requests.Requests = append(requests.Requests, next)
	}
}

// receive passes replies to the callers until the stream ends.
func (b *batchStream) receive(st *transport.Stream) {
	for {
		m, err := st.Recv()
		if err != nil {
			return
		}
		for _, r := range m.GetLedgerReplies().GetReplies() {
			b.mu.Lock()
			ch := b.pending[r.GetId()]
			delete(b.pending, r.GetId())
			b.mu.Unlock()
			if ch != nil {
				ch <- r
			}
		}
	}
}
