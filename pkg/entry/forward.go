package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// searchTime bounds the search for an owner when the caller names no
	// deadline. It covers a takeover of about 4 s with margin.
	searchTime = 60 * time.Second
	// deadlineGrace is the time that the owner gets beyond the caller's
	// deadline to say itself that it has passed.
	deadlineGrace = time.Second
)

// forwardedHeaders are the request headers that the owner reads.
var forwardedHeaders = []string{
	frontend.HeaderProgram, frontend.HeaderParent, frontend.HeaderProfile, frontend.HeaderDeadline,
	frontend.HeaderHistory, frontend.HeaderKey, "Yucca-Assigned", "Yucca-Implicit", "Yucca-Single", "Content-Type",
}

// Forward implements frontend.Backend. While no byte of the answer has reached
// the caller the request is sent again after a change of owner: the idempotency
// key, given or assigned, makes the resend harmless. A call that an owner runs
// is not bounded here but by its own deadline.
func (n *Entry) Forward(ctx context.Context, t frontend.Target, r *http.Request, body []byte, w http.ResponseWriter) error {
	located := t.Program
	if located == "" {
		located = t.Parent
	}
	limit := time.Now().Add(searchTime)
	deadline, hasDeadline := callerDeadline(r)
	if hasDeadline {
		limit = deadline
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(deadlineGrace))
		defer cancel()
	}
	n.metrics.forwards.Inc()
	reached := false
	for {
		if hasDeadline {
			r.Header.Set(frontend.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
		}
		sent, err := n.forwardOnce(ctx, located, forwardMessage(n.cfg.Instance, t, r, body), r, body, w)
		if err == nil {
			return nil
		}
		if sent.written {
			return errors.Wrap(err, "owner lost during the answer")
		}
		// An owner that had the request may have run it, whatever came after.
		reached = reached || sent.reached
		n.log.Info("forward repeated", "program", located, "peer", sent.peer, "error", err)
		sleep(ctx, forwardRetry)
		if ctx.Err() != nil || n.ctx.Err() != nil || time.Now().After(limit) {
			return noOwner(located, sent.peer, reached, err)
		}
	}
}

// callerDeadline returns the deadline that the caller named.
func callerDeadline(r *http.Request) (time.Time, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(frontend.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, false
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), true
}

// forwardState tells how far a forward came.
type forwardState struct {
	peer    string
	reached bool // the owner may have the request
	written bool // bytes of the answer reached the caller
}

func noOwner(id core.ProgramID, peer string, reached bool, err error) error {
	refusal := frontend.Refuse(core.CodeNotOwner, "find owner", "no owner of program %s answered: %v", id, err)
	refusal.Peer = peer
	refusal.RetryAfter = time.Second
	if reached {
		refusal.Ran = core.RanUnknown
	}
	return refusal
}

func forwardMessage(receiver string, t frontend.Target, r *http.Request, body []byte) *peerv1.Forward {
	m := &peerv1.Forward{
		Method:   r.Method,
		Path:     r.URL.Path,
		Body:     body,
		Caller:   t.Caller,
		Receiver: receiver,
	}
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			m.Headers = append(m.Headers, &peerv1.Header{Name: name, Value: v})
		}
	}
	return m
}

// forwardOnce sends the request to the present owner, or runs it here if
// ownership has moved to this entry.
func (n *Entry) forwardOnce(ctx context.Context, id core.ProgramID, m *peerv1.Forward, r *http.Request, body []byte, w http.ResponseWriter) (forwardState, error) {
	owner, ok := n.owner.ownerOf(id)
	if !ok {
		return forwardState{}, errors.Errorf("slot of program %s has no owner", id)
	}
	if owner == n.cfg.Instance {
		if !n.Owns(id) {
			return forwardState{peer: owner}, errors.New("slots are being recovered")
		}
		n.http.ServeHTTP(w, localRequest(ctx, m, body, r.RemoteAddr))
		return forwardState{}, nil
	}
	state := forwardState{peer: owner}
	session, err := n.peers.entry(ctx, owner)
	if err != nil {
		return state, err
	}
	st, err := session.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_Forward{Forward: m}})
	if err != nil {
		state.reached = ranOf(err) != core.RanNo
		return state, err
	}
	defer st.Close()
	state.reached = true
	stop := context.AfterFunc(ctx, func() { _ = st.Close() })
	defer stop()
	return copyResponse(st, w, state)
}

// copyResponse passes the owner's response on to the caller.
func copyResponse(st *transport.Stream, w http.ResponseWriter, state forwardState) (forwardState, error) {
	for {
		env, err := st.Recv()
		if err != nil {
			return state, err
		}
		switch b := env.GetBody().(type) {
		case *peerv1.Envelope_Head:
			if isNotOwner(b.Head) {
				state.reached = false // declined without running it
				return state, errors.New("the peer no longer owns the slot")
			}
			for _, h := range b.Head.GetHeaders() {
				w.Header().Add(h.GetName(), h.GetValue())
			}
			state.written = true
			w.WriteHeader(int(b.Head.GetStatus()))
		case *peerv1.Envelope_Data:
			if _, err := w.Write(b.Data.GetChunk()); err != nil {
				return state, nil // the caller went away
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
		case *peerv1.Envelope_End:
			return state, nil
		}
	}
}

func isNotOwner(h *peerv1.ResponseHead) bool {
	for _, x := range h.GetHeaders() {
		if x.GetName() == frontend.HeaderNotOwner {
			return true
		}
	}
	return false
}

// localRequest rebuilds the caller's request from a forward.
func localRequest(ctx context.Context, m *peerv1.Forward, body []byte, remote string) *http.Request {
	ctx = frontend.WithForwardedCaller(ctx, m.GetCaller())
	r, err := http.NewRequestWithContext(ctx, m.GetMethod(), m.GetPath(), bytes.NewReader(body))
	if err != nil {
		// Method and path come from a parsed request of a peer; a malformed
		// one is routed to the not-found answer.
		r, _ = http.NewRequestWithContext(ctx, http.MethodGet, "/", http.NoBody)
	}
	for _, h := range m.GetHeaders() {
		r.Header.Set(h.GetName(), h.GetValue())
	}
	r.RemoteAddr = remote
	return r
}

// streamWriter is the http.ResponseWriter of a forwarded request: it sends the
// response to the entry that received the request.
type streamWriter struct {
	st     *transport.Stream
	header http.Header
	sent   bool
	err    error
}

// Header implements http.ResponseWriter.
func (w *streamWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *streamWriter) WriteHeader(status int) {
	if w.sent {
		return
	}
	w.sent = true
	head := &peerv1.ResponseHead{Status: int32(status)}
	for name, values := range w.header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerv1.Header{Name: name, Value: v})
		}
	}
	w.err = w.st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Head{Head: head}})
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	w.err = w.st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Data{Data: &peerv1.Data{Chunk: b}}})
	if w.err != nil {
		return 0, w.err
	}
	return len(b), nil
}

// Flush implements http.Flusher; every write is sent at once.
func (w *streamWriter) Flush() {}

// serveForward runs a request that another entry received.
func (n *Entry) serveForward(ctx context.Context, st *transport.Stream, m *peerv1.Forward) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The receiving entry sends nothing more: an error means that it or
		// the caller is gone.
		for {
			if _, err := st.Recv(); err != nil {
				if !errors.Is(err, io.EOF) {
					cancel()
				}
				return
			}
		}
	}()
	w := &streamWriter{st: st, header: make(http.Header)}
	n.http.ServeHTTP(w, localRequest(ctx, m, m.GetBody(), "127.0.0.1:0"))
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_End{End: &peerv1.End{}}})
	}
}
