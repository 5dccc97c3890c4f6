package transport

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// readBuffer lets a small envelope with its length be read in one step.
const readBuffer = 256

// Stream carries the envelopes of one request. Send is safe for concurrent use;
// Recv is for one goroutine at a time.
type Stream struct {
	ys      *yamux.Stream
	session *Session
	r       *bufio.Reader
	class   linkClass // by the first message
	once    sync.Once
}

func newStream(s *Session, ys *yamux.Stream) *Stream {
	return &Stream{ys: ys, session: s, r: bufio.NewReaderSize(ys, readBuffer)}
}

// Send writes one envelope.
func (st *Stream) Send(m *peerv1.Envelope) error {
	if err := st.pace(m); err != nil {
		return &Error{Step: "wait for the link", Peer: st.session.addr, Err: err}
	}
	if sent, err := WriteEnvelope(st.ys, m); err != nil {
		return &Error{Step: "send", Peer: st.session.addr, Sent: sent, Err: err}
	}
	return nil
}

// Recv reads one envelope. It returns io.EOF after the peer has closed the
// stream, and an Error when the stream was reset or the session ended, which
// must not be taken for the end of an answer. An end of the stream that is
// read after the end of the session is reported as such an Error too.
func (st *Stream) Recv() (*peerv1.Envelope, error) {
	m, err := ReadEnvelope(st.r)
	if err == nil {
		return m, nil
	}
	// yamux reports io.EOF on every stream of a session that ended.
	if st.session.ys.IsClosed() {
		err = ErrSessionClosed
	}
	if err == io.EOF {
		return nil, io.EOF
	}
	return nil, &Error{Step: "receive", Peer: st.session.addr, Sent: true, Err: err}
}

// SetDeadline bounds pending and future Send and Recv calls.
func (st *Stream) SetDeadline(t time.Time) error { return st.ys.SetDeadline(t) }

// Close ends the stream. The peer's Recv returns io.EOF after it has read
// everything that was sent.
func (st *Stream) Close() error {
	err := st.ys.Close()
	st.once.Do(func() { st.session.t.streamEnded() })
	return err
}

// Session returns the session that carries the stream.
func (st *Stream) Session() *Session { return st.session }
