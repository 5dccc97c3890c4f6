package transport

import (
	"context"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Link is this process's share of the link to other regions. History and control
// messages never wait, but use the share up; calls wait while it is used up; bulk
// transfers get at most a part of it and wait behind both.
type Link struct {
	all  *rate.Limiter
	bulk *rate.Limiter
}

const (
	// linkBurst is how long the share may be used up ahead. It lets the answer
	// of one call pass without a wait.
	linkBurst = time.Second
	// bulkShare is the part of the share that bulk transfers may use.
	bulkShare = 0.5
	// maxLinkWait bounds the wait of one message, so that a share that is set
	// too low slows calls down and does not hang them.
	maxLinkWait = 10 * time.Second
)

// NewLink returns a share of bytesPerSecond.
func NewLink(bytesPerSecond float64) *Link {
	burst := int(bytesPerSecond * linkBurst.Seconds())
	return &Link{
		all:  rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		bulk: rate.NewLimiter(rate.Limit(bytesPerSecond*bulkShare), int(float64(burst)*bulkShare)),
	}
}

// linkClass tells how a message uses the link.
type linkClass int

const (
	linkControl linkClass = iota // heartbeats, configuration, ownership, retained history
	linkCall                     // callers' requests and answers
	linkBulk                     // KV cache
)

// classOf returns the class of a stream by its first message.
func classOf(first *peerv1.Envelope) linkClass {
	switch m := first.GetBody().(type) {
	case *peerv1.Envelope_Forward, *peerv1.Envelope_Dispatch:
		return linkCall
	case *peerv1.Envelope_Order:
		if m.Order.GetOrder() == orderExportKV {
			return linkBulk
		}
	}
	return linkControl
}

// orderExportKV is core.OrderExportKV; the transport does not depend on the core.
const orderExportKV = "export_kv"

// wait delays a message of n bytes according to its class.
func (l *Link) wait(ctx context.Context, class linkClass, n int) error {
	n = min(n, l.all.Burst())
	if class == linkControl {
		l.all.ReserveN(time.Now(), n)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxLinkWait)
	defer cancel()
	if class == linkBulk {
		// A bulk transfer that can not proceed is given up: it only saves
		// computing the cache again.
		if err := l.bulk.WaitN(ctx, min(n, l.bulk.Burst())); err != nil {
			return err
		}
		return l.all.WaitN(ctx, n)
	}
	if err := l.all.WaitN(ctx, n); err != nil && ctx.Err() == nil {
		// The wait would exceed the bound: the message goes out after it.
		<-ctx.Done()
	}
	return nil
}

// crosses reports whether a session leads to another region.
func (s *Session) crosses() bool {
	own, peer := s.t.cfg.Hello().GetRegion(), s.peer.GetRegion()
	return own != "" && peer != "" && own != peer
}

// pace delays a message on a session to another region.
func (st *Stream) pace(m *peerv1.Envelope) error {
	link := st.session.t.cfg.Link
	if link == nil || !st.session.remote {
		return nil
	}
	return link.wait(st.session.t.ctx, st.class, proto.Size(m))
}
