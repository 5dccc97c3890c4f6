package entry

import (
	"context"
	"sync"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
)

// completionResult ends a pending request.
type completionResult struct {
	result  frontend.Result
	id      core.ProgramID
	refusal *core.Refusal
}

// pendingCall is a request of a caller that the core has not answered yet.
type pendingCall struct {
	req  *frontend.CallRequest // nil for opens and ends; held until the call ends, for repeated attempts
	done chan completionResult // buffered, receives exactly one result

	mu        sync.Mutex
	joined    []core.CallID // resends that get the same answer
	sinks     []frontend.Sink
	delivered []byte // text already sent to the caller
	tokens    int64  // tokens already sent to the caller
	attempt   core.AttemptID
}

// callTable finds pending requests by call.
type callTable struct {
	mu    sync.Mutex
	calls map[core.CallID]*pendingCall
}

func newCallTable() *callTable {
	return &callTable{calls: make(map[core.CallID]*pendingCall)}
}

func (t *callTable) add(id core.CallID, p *pendingCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[id] = p
}

func (t *callTable) get(id core.CallID) *pendingCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[id]
}

func (t *callTable) remove(id core.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, id)
}

func (t *callTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// finish completes a request and the resends that joined it; later results for
// the same call are dropped.
func (t *callTable) finish(id core.CallID, r completionResult) {
	p := t.get(id)
	if p == nil {
		return
	}
	select {
	case p.done <- r:
	default:
	}
	p.mu.Lock()
	joined := p.joined
	p.joined = nil
	p.mu.Unlock()
	for _, other := range joined {
		t.finish(other, r)
	}
}

// join gives the caller of a resend the parts of a running call.
func (t *callTable) join(id, to core.CallID) {
	resend, running := t.get(id), t.get(to)
	if resend == nil || running == nil {
		return
	}
	resend.mu.Lock()
	sinks := resend.sinks
	resend.mu.Unlock()
	running.mu.Lock()
	defer running.mu.Unlock()
	running.joined = append(running.joined, id)
	for _, s := range sinks {
		if len(running.delivered) > 0 && s.Chunk(frontend.TextChunk(string(running.delivered))) != nil {
			continue
		}
		running.sinks = append(running.sinks, s)
	}
}

// partialAnswer is what earlier attempts of a call have delivered.
type partialAnswer struct {
	text   string
	tokens int64
}

// begin makes an attempt the one whose parts reach the caller and returns what
// earlier attempts delivered, which the attempt is to continue.
func (p *pendingCall) begin(id core.AttemptID) partialAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempt = id
	return partialAnswer{string(p.delivered), p.tokens}
}

// chunk passes a part of a streamed answer on. Parts of an attempt that is no
// longer the live one are dropped, so that no answer mixes two attempts.
func (p *pendingCall) chunk(id core.AttemptID, chunk []byte, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.attempt != id {
		return
	}
	text, final := frontend.ChunkText(chunk)
	if final && text == "" {
		return // made from the result once the turn is durable
	}
	p.delivered = append(p.delivered, text...)
	p.tokens += tokens
	kept := p.sinks[:0]
	for _, s := range p.sinks {
		if s.Chunk(chunk) == nil {
			kept = append(kept, s)
		}
	}
	p.sinks = kept
}

// submit registers a request, posts its event and waits for the result. A
// caller that goes away does not end the call itself: the core decides.
func (n *Entry) submit(ctx context.Context, id core.CallID, p *pendingCall, e core.Event) completionResult {
	n.calls.add(id, p)
	defer n.calls.remove(id)
	n.loop.post(e)
	select {
	case r := <-p.done:
		return r
	case <-ctx.Done():
		n.loop.post(core.CallCanceled{At: now(), Call: id})
	case <-n.loop.done:
		return refused(core.Refusal{
			Code: core.CodeShuttingDown, Message: "the entry instance is stopping",
			Step: "run call", Ran: core.RanUnknown,
		})
	}
	// The answer of a cancelled call completes its record; wait for it so that
	// joined resends and the journal see one end.
	select {
	case r := <-p.done:
		return r
	case <-n.loop.done:
		return refused(core.Refusal{Code: core.CodeCanceled, Message: "the caller went away", Step: "run call", Ran: core.RanUnknown})
	}
}

func refused(r core.Refusal) completionResult { return completionResult{refusal: &r} }
