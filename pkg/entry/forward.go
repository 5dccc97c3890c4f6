package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// ownerSearchTimeout limits the search for the owner of a program if the
	// request has no deadline. A takeover takes about 4 s.
	ownerSearchTimeout = 60 * time.Second
	// ownerDeadlineGrace is added to the caller's deadline when a request is
	// forwarded, so that the owner can report itself that the deadline passed.
	ownerDeadlineGrace = time.Second
)

// forwardedHeaders are the request headers that are sent to the owner.
var forwardedHeaders = []string{
	frontend.HeaderProgram, frontend.HeaderParent, frontend.HeaderProfile, frontend.HeaderDeadline,
	frontend.HeaderHistory, frontend.HeaderKey, "Yucca-Assigned", "Yucca-Implicit", "Yucca-Single", "Content-Type",
}

// Forward implements frontend.Backend. Until the response has started, a failed
// request is sent again to the current owner of the program. This is safe because
// every request has an idempotency key, set by the caller or assigned here.
// ownerSearchTimeout does not limit a call that an owner is running; such a call
// is limited by its own deadline.
func (n *Entry) Forward(ctx context.Context, t frontend.Target, r *http.Request, body []byte, w http.ResponseWriter) error {
	id := t.Program
	if id == "" {
		id = t.Parent
	}
	limit := time.Now().Add(ownerSearchTimeout)
	deadline, hasDeadline := callerDeadline(r)
	if hasDeadline {
		limit = deadline
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(ownerDeadlineGrace))
		defer cancel()
	}
	n.metrics.forwards.Inc()
	mayHaveRun := false
	for {
		if hasDeadline {
			r.Header.Set(frontend.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
		}
		progress, err := n.forwardOnce(ctx, id, forwardMessage(n.cfg.Instance, t, r, body), r, body, w)
		if err == nil {
			return nil
		}
		if progress.responseStarted {
			return errors.Wrap(err, "owner lost during the answer")
		}
		// An owner that received the request in any attempt may have run it, even
		// if a later attempt did not reach an owner.
		mayHaveRun = mayHaveRun || progress.mayHaveRun
		n.log.Info("forward repeated", "program", id, "peer", progress.peer, "error", err)
		sleep(ctx, forwardRetryInterval)
		if ctx.Err() != nil || n.ctx.Err() != nil || time.Now().After(limit) {
			return noOwnerRefusal(id, progress.peer, mayHaveRun, err)
		}
	}
}

// callerDeadline returns the deadline from the request header, if there is one.
func callerDeadline(r *http.Request) (time.Time, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(frontend.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, false
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), true
}

// forwardProgress describes how far forwarding a request got.
type forwardProgress struct {
	peer            string
	mayHaveRun      bool // the owner may have received the request
	responseStarted bool // the response to the caller has started
}

// noOwnerRefusal returns the refusal of a request for which no owner was found.
func noOwnerRefusal(id core.ProgramID, peer string, mayHaveRun bool, err error) error {
	refusal := frontend.Refuse(core.CodeNotOwner, "find owner", "no owner of program %s answered: %v", id, err)
	refusal.Peer = peer
	refusal.RetryAfter = time.Second
	if mayHaveRun {
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

// forwardOnce sends the request to the current owner, or runs it locally if this
// entry has become the owner.
func (n *Entry) forwardOnce(ctx context.Context, id core.ProgramID, m *peerv1.Forward, r *http.Request, body []byte, w http.ResponseWriter) (forwardProgress, error) {
	owner, ok := n.owner.ownerOf(id)
	if !ok {
		return forwardProgress{}, errors.Errorf("slot of program %s has no owner", id)
	}
	if owner == n.cfg.Instance {
		if !n.Owns(id) {
			return forwardProgress{peer: owner}, errors.New("slots are being recovered")
		}
		n.http.ServeHTTP(w, localRequest(ctx, m, body, r.RemoteAddr))
		return forwardProgress{}, nil
	}
	progress := forwardProgress{peer: owner}
	session, err := n.peers.entrySession(ctx, owner)
	if err != nil {
		return progress, err
	}
	st, err := session.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_Forward{Forward: m}})
	if err != nil {
		progress.mayHaveRun = ranFromError(err) != core.RanNo
		return progress, err
	}
	defer st.Close()
	progress.mayHaveRun = true
	stop := context.AfterFunc(ctx, func() { _ = st.Close() })
	defer stop()
	return copyResponse(st, w, progress)
}

// receiver is the receiving side of a stream.
type receiver interface {
	Recv() (*peerv1.Envelope, error)
}

// copyResponse copies the owner's response to the caller. It copies an event stream, whose end
// its last event marks, as it comes, and any other response once it is complete.
func copyResponse(st receiver, w http.ResponseWriter, progress forwardProgress) (forwardProgress, error) {
	var held heldResponse
	for {
		env, err := st.Recv()
		if err != nil {
			return progress, err
		}
		switch b := env.GetBody().(type) {
		case *peerv1.Envelope_Head:
			if hasNotOwnerHeader(b.Head) {
				progress.mayHaveRun = false // the peer declined the request without running it
				return progress, errors.New("the peer no longer owns the slot")
			}
			if status := int(b.Head.GetStatus()); !httpcheck.ValidFinalStatus(status) {
				return progress, errors.Wrapf(httpcheck.ErrStatus, "%d", status)
			}
			if !isEventStream(b.Head) {
				held.head = b.Head
				continue
			}
			progress.responseStarted = true
			writeHead(w, b.Head)
		case *peerv1.Envelope_Data:
			if !progress.responseStarted {
				held.body = append(held.body, b.Data.GetChunk()...)
				continue
			}
			if _, err := w.Write(b.Data.GetChunk()); err != nil {
				return progress, nil // the caller has disconnected
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
		case *peerv1.Envelope_End:
			if progress.responseStarted {
				return progress, nil
			}
			if held.head == nil {
				return progress, errors.New("the peer sent no response")
			}
			progress.responseStarted = true
			held.send(w)
			return progress, nil
		}
	}
}

// heldResponse is a response that is not complete yet.
type heldResponse struct {
	head *peerv1.ResponseHead
	body []byte
}

func (h *heldResponse) send(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(len(h.body))) // any break shows, also to HTTP/1.0
	writeHead(w, h.head)
	_, _ = w.Write(h.body) // fails if the caller has disconnected
}

func writeHead(w http.ResponseWriter, head *peerv1.ResponseHead) {
	for _, h := range head.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.WriteHeader(int(head.GetStatus()))
}

func isEventStream(head *peerv1.ResponseHead) bool {
	for _, h := range head.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == "Content-Type" && strings.HasPrefix(h.GetValue(), "text/event-stream") {
			return true
		}
	}
	return false
}

// hasNotOwnerHeader reports whether a response declines a request because the peer
// does not own the program.
func hasNotOwnerHeader(h *peerv1.ResponseHead) bool {
	for _, x := range h.GetHeaders() {
		if x.GetName() == frontend.HeaderNotOwner {
			return true
		}
	}
	return false
}

// localRequest builds an HTTP request from a forwarded request.
func localRequest(ctx context.Context, m *peerv1.Forward, body []byte, remote string) *http.Request {
	ctx = frontend.WithForwardedCaller(ctx, m.GetCaller())
	r, err := http.NewRequestWithContext(ctx, m.GetMethod(), m.GetPath(), bytes.NewReader(body))
	if err != nil {
		// Method and path come from a request that a peer has parsed. If they
		// are malformed nevertheless, the request gets a "not found" response.
		r, _ = http.NewRequestWithContext(ctx, http.MethodGet, "/", http.NoBody)
	}
	for _, h := range m.GetHeaders() {
		r.Header.Set(h.GetName(), h.GetValue())
	}
	r.RemoteAddr = remote
	return r
}

// streamWriter is the http.ResponseWriter of a forwarded request. It sends the
// response over the stream to the entry that received the request.
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

// Flush implements http.Flusher. It does nothing, since every write is sent at
// once.
func (w *streamWriter) Flush() {}

// serveForward handles a request that another entry has forwarded.
func (n *Entry) serveForward(ctx context.Context, st *transport.Stream, m *peerv1.Forward) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The other entry sends no further messages. An error other than io.EOF
		// means that the entry or the caller has disconnected.
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
