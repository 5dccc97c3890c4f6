package transport

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// ProbeTimeout bounds the answer to a ping on a session that is suspected; a
// process that is short of processor time answers late.
const ProbeTimeout = 400 * time.Millisecond

// Ask sends one message to an address, on a stream of its own, and returns the
// first one that comes back. A session on which none comes in time is probed.
func (t *Transport) Ask(ctx context.Context, addr string, m *peerv1.Envelope) (*peerv1.Envelope, error) {
	s, err := t.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	st, err := s.Open(ctx, m)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if d, ok := ctx.Deadline(); ok {
		if err := st.SetDeadline(d); err != nil {
			return nil, errors.Wrap(err, "set deadline")
		}
	}
	defer context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })()
	reply, err := st.Recv()
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		go s.Probe(ProbeTimeout)
	}
	return reply, err
}

// Tell sends messages to an address, on a stream of their own, and waits for no
// answer.
func (t *Transport) Tell(ctx context.Context, addr string, first *peerv1.Envelope, more ...*peerv1.Envelope) error {
	s, err := t.Dial(ctx, addr)
	if err != nil {
		return err
	}
	st, err := s.Open(ctx, first)
	if err != nil {
		return err
	}
	defer st.Close()
	if d, ok := ctx.Deadline(); ok {
		if err := st.SetDeadline(d); err != nil {
			return errors.Wrap(err, "set deadline")
		}
	}
	for _, m := range more {
		if err := st.Send(m); err != nil {
			return err
		}
	}
	return nil
}
