package edge

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/quarantine"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

const (
	// settleCrashes collects the attempts that broke in one crash, and what the
	// other entries are told of it.
	settleCrashes = 100 * time.Millisecond
	// tellTimeout bounds the message to one entry: some round trips between
	// regions.
	tellTimeout = time.Second
)

// suspects keeps requests that crash upstreams from running again and again,
// and agrees on them with the other entries.
type suspects struct {
	e    *Edge
	wake chan struct{}
	some atomic.Bool // the tracker suspects something

	mu      sync.Mutex
	tracker poison.Tracker
	news    []quarantine.Entry // not told to the other entries yet
}

func newSuspects(e *Edge) *suspects { return &suspects{e: e, wake: make(chan struct{}, 1)} }

// update changes the tracker and returns what it found, which the other
// entries will be told.
func (s *suspects) update(f func(*poison.Tracker) []quarantine.Entry) {
	s.mu.Lock()
	found := f(&s.tracker)
	s.news = append(s.news, found...)
	s.some.Store(!s.tracker.Clean())
	work := len(s.news) > 0 || s.tracker.Pending()
	s.mu.Unlock()
	for _, e := range found {
		s.log(e, "this entry")
	}
	if !work {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *suspects) log(e quarantine.Entry, source string) {
	msg := "request suspected of a crash"
	switch {
	case e.Released:
		msg = "request cleared of a crash"
	case e.Count >= quarantine.CountQuarantined:
		msg = "request quarantined"
	}
	s.e.logger.Info(msg, "fingerprint", e.Fingerprint, "upstream", e.Upstream, "crashes", e.Count, "until", e.Until, "source", source)
	s.e.metrics.suspect(msg)
}

// run judges crashes and tells the other entries.
func (s *suspects) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(settleCrashes):
		}
		s.update(s.settle)
		s.mu.Lock()
		news := s.news
		s.news = nil
		s.mu.Unlock()
		if len(news) > 0 {
			s.tell(ctx, news)
		}
	}
}

// settle judges the crashes that were noted.
func (s *suspects) settle(t *poison.Tracker) []quarantine.Entry {
	found, judged := t.Settle(time.Now())
	for _, j := range judged {
		s.e.logger.Info("crash judged", "upstream", j.Run.ID, "born", j.Run.Born, "on_board", j.OnBoard, "changed", j.Changed)
	}
	return found
}

// tell sends what was found to all other entries.
func (s *suspects) tell(ctx context.Context, news []quarantine.Entry) {
	for _, address := range s.e.view.otherEdges() {
		go func() {
			if err := s.tellOne(ctx, address, news); err != nil {
				s.e.logger.Info("crash not told to an entry", "peer", address, "findings", len(news), "err", err)
				s.e.metrics.untold()
			}
		}()
	}
}

func (s *suspects) tellOne(ctx context.Context, address string, news []quarantine.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	list := make([]*peerv1.Envelope, 0, len(news))
	for _, e := range news {
		list = append(list, quarantineMessage(e))
	}
	return s.e.transport.Tell(ctx, address, list[0], list[1:]...)
}

// heard takes over what another entry found. It reads the stream to its end.
func (s *suspects) heard(st *transport.Stream, peer string, first *peerv1.Quarantine) {
	for q := first; q != nil; {
		e := quarantine.Entry{
			Fingerprint: q.GetFingerprint(), Count: int(q.GetCount()), Until: time.UnixMilli(q.GetUntilUnixMs()),
			Released: q.GetReleased(), Upstream: q.GetUpstream(), Incarnation: q.GetIncarnation(),
		}
		s.update(func(t *poison.Tracker) []quarantine.Entry { t.Merge(e, time.Now()); return nil })
		s.log(e, peer)
		m, err := st.Recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.e.logger.Debug("rest of a peer's suspects not received", "peer", peer, "err", err)
			}
			return
		}
		q = m.GetQuarantine()
	}
}

func quarantineMessage(e quarantine.Entry) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: &peerv1.Quarantine{
		Fingerprint: e.Fingerprint, Count: int64(e.Count), UntilUnixMs: e.Until.UnixMilli(),
		Released: e.Released, Upstream: e.Upstream, Incarnation: e.Incarnation,
	}}}
}

// fingerprint is the same for requests that make upstreams do the same. The
// caller is part of it where there is no body.
func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.r.Host, c.r.Method, c.r.RequestURI, c.req.ParentTurn} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if len(c.body) == 0 {
		_, _ = h.WriteString(c.req.Program)
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// quarantined refuses a request that has crashed upstreams before.
func (c *call) quarantined() bool {
	s := c.e.suspects
	if !s.some.Load() {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	until, refused := s.tracker.Refused(c.fingerprint(), now)
	s.mu.Unlock()
	if !refused {
		return false
	}
	if c.tracker.Ran() || c.answered {
		c.finish(c.tracker.Unplaced(), "request crashes upstreams")
		return true
	}
	c.refuse(http.StatusServiceUnavailable, until.Sub(now), "request crashes upstreams")
	return true
}

// noteCrash tells the tracker how an attempt ended.
func (c *call) noteCrash(m *fleet.Member, err error, complete bool) {
	s := c.e.suspects
	run := poison.Run{ID: m.ID, Born: m.Born}
	var ue *upstream.Error
	if !complete && errors.As(err, &ue) && ue.Sent {
		c.e.metrics.lostAttempt(ue.Timeout())
	}
	switch {
	case complete && s.some.Load():
		s.update(func(t *poison.Tracker) []quarantine.Entry {
			if e, ok := t.Succeeded(c.fingerprint()); ok {
				return []quarantine.Entry{e}
			}
			return nil
		})
	case complete || !errors.As(err, &ue) || ue.Timeout():
	case ue.Sent:
		s.update(func(t *poison.Tracker) []quarantine.Entry {
			t.Broke(run, c.fingerprint(), time.Now())
			return nil
		})
	case errors.Is(err, syscall.ECONNREFUSED):
		s.ended(run)
	}
}

// ended notes that runs of upstreams are over.
func (s *suspects) ended(runs ...poison.Run) {
	if len(runs) == 0 {
		return
	}
	s.update(func(t *poison.Tracker) []quarantine.Entry {
		for _, r := range runs {
			t.Crashed(r)
		}
		return nil
	})
}
