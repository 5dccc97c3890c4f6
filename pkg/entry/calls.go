package entry

import (
	"context"
	"sync"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
)

// callResult is the result of a pending request: of a call, or of opening or
// ending a program. Refusal is set if the request was refused.
type callResult struct {
	result  frontend.Result
	id      core.ProgramID
	refusal *core.Refusal
}

// pendingCall is a request of a caller that the core has not answered yet: a
// call, or the opening or the end of a program. Each has a call ID.
type pendingCall struct {
	req  *frontend.CallRequest // nil when a program is opened or ended; kept until the call ends, for further attempts
	done chan callResult       // has room for one result; only the first one is delivered

	mu             sync.Mutex
	duplicates     []core.CallID // repeated requests that receive the same result
	sinks          []frontend.Sink
	deliveredText  []byte // text already streamed to the caller
	tokens         int64  // tokens already streamed to the caller
	currentAttempt core.AttemptID
}

// callTable holds the pending requests by call ID.
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

// complete delivers the result of a request to its caller and to the callers of
// its duplicates. Later results for the same call are dropped.
func (t *callTable) complete(id core.CallID, r callResult) {
	p := t.get(id)
	if p == nil {
		return
	}
	select {
	case p.done <- r:
	default:
	}
	p.mu.Lock()
	duplicates := p.duplicates
	p.duplicates = nil
	p.mu.Unlock()
	for _, duplicate := range duplicates {
		t.complete(duplicate, r)
	}
}

// join makes the request id a duplicate of the running call to: its caller
// receives the text streamed so far, all further chunks and the result.
func (t *callTable) join(id, to core.CallID) {
	duplicate, original := t.get(id), t.get(to)
	if duplicate == nil || original == nil {
		return
	}
	duplicate.mu.Lock()
	sinks := duplicate.sinks
	duplicate.mu.Unlock()
	original.mu.Lock()
	defer original.mu.Unlock()
	original.duplicates = append(original.duplicates, id)
	for _, s := range sinks {
		if len(original.deliveredText) > 0 && s.Chunk(frontend.TextChunk(string(original.deliveredText))) != nil {
			continue
		}
		original.sinks = append(original.sinks, s)
	}
}

// partialAnswer is the output that previous attempts of a call have already
// streamed to the caller.
type partialAnswer struct {
	text   string
	tokens int64
}

// beginAttempt makes id the attempt whose chunks are streamed to the caller. It
// returns the output of previous attempts, which the new attempt continues.
func (p *pendingCall) beginAttempt(id core.AttemptID) partialAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentAttempt = id
	return partialAnswer{string(p.deliveredText), p.tokens}
}

// chunk streams a chunk of the answer to all callers of the request. Chunks of
// a superseded attempt are dropped, so that its output does not mix with that of
// the current attempt.
func (p *pendingCall) chunk(id core.AttemptID, chunk []byte, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentAttempt != id {
		return
	}
	text, final := frontend.ChunkText(chunk)
	if final && text == "" {
		return // the final chunk is built from the result once the turn is durable
	}
	p.deliveredText = append(p.deliveredText, text...)
	p.tokens += tokens
	kept := p.sinks[:0]
	for _, s := range p.sinks {
		if s.Chunk(chunk) == nil {
			kept = append(kept, s)
		}
	}
	p.sinks = kept
}

// submit registers a request, posts its event to the core and waits for the
// result. If the caller disconnects, the core is informed and decides whether the
// call continues.
func (n *Entry) submit(ctx context.Context, id core.CallID, p *pendingCall, e core.Event) callResult {
	n.calls.add(id, p)
	defer n.calls.remove(id)
	n.loop.post(e)
	select {
	case r := <-p.done:
		return r
	case <-ctx.Done():
		n.loop.post(core.CallCanceled{At: now(), Call: id})
	case <-n.loop.done:
		return refusedResult(core.Refusal{
			Code: core.CodeShuttingDown, Message: "the entry instance is stopping",
			Step: "run call", Ran: core.RanUnknown,
		})
	}
	// Wait for the core to end the cancelled call, so that duplicates of it and
	// the journal see the same result.
	select {
	case r := <-p.done:
		return r
	case <-n.loop.done:
		return refusedResult(core.Refusal{Code: core.CodeCanceled, Message: "the caller went away", Step: "run call", Ran: core.RanUnknown})
	}
}

func refusedResult(r core.Refusal) callResult { return callResult{refusal: &r} }
