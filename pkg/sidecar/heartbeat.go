package sidecar

import (
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// peerState is what a peer has been told on its session.
type peerState struct {
	// send is held from building a heartbeat until it is sent, so that the
	// peer reads changes in their order.
	send   sync.Mutex
	stream *transport.Stream // the newest heartbeat stream of the peer

	// Guarded by Sidecar.mu.
	cursor  uint64 // cache events up to this number
	info    uint64 // version of the upstream's description
	crash   uint64 // number of the newest crash report
	pending []*peerv1.CacheEvent
}

// serveHeartbeats answers each heartbeat on the stream with one of this side.
// Urgent changes are sent on the same stream in between.
func (s *Sidecar) serveHeartbeats(p *transport.Session, st *transport.Stream, first *peerv1.Heartbeat) {
	ps := s.peer(p)
	ps.send.Lock()
	ps.stream = st
	ps.send.Unlock()
	defer func() {
		ps.send.Lock()
		defer ps.send.Unlock()
		if ps.stream == st {
			ps.stream = nil
		}
	}()
	for h := first; h != nil; {
		s.met.heartbeats.Inc()
		s.renewPins(p, h)
		if h.ConfigVersion > 0 && s.mayCommand(p) {
			s.catchUp(p, h.ConfigVersion)
		}
		if s.sendHeartbeat(ps, st) != nil {
			return
		}
		m, err := st.Recv()
		if err != nil {
			return
		}
		h = m.GetHeartbeat()
	}
}

func (s *Sidecar) sendHeartbeat(ps *peerState, st *transport.Stream) error {
	ps.send.Lock()
	defer ps.send.Unlock()
	return st.Send(s.heartbeat(ps))
}

// peer returns the record of a session. A new session starts with a listing of
// everything held.
func (s *Sidecar) peer(p *transport.Session) *peerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := s.peers[p]
	if ps == nil {
		for old := range s.peers {
			select {
			case <-old.Done():
				delete(s.peers, old)
			default:
			}
		}
		ps = &peerState{cursor: s.cache.last, pending: s.cache.snapshot()}
		s.peers[p] = ps
	}
	return ps
}

func (s *Sidecar) renewPins(p *transport.Session, h *peerv1.Heartbeat) {
	if len(h.Pins) == 0 {
		return
	}
	if !s.mayCommand(p) {
		s.refusePeer(p, "pins")
		return
	}
	for _, r := range h.Pins {
		s.step(decide.PinRenewed{
			At: now(), Program: r.Program, Slot: core.Slot(r.Slot), Epoch: core.Epoch(r.Epoch),
			Term: time.Duration(r.TermMs) * time.Millisecond,
		})
	}
}

// heartbeat builds the message for a peer: everything that changed since the
// last one on its session.
func (s *Sidecar) heartbeat(ps *peerState) *peerv1.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &peerv1.Heartbeat{
		Incarnation: s.cfg.Incarnation, ConfigVersion: s.configVersion, Leaving: s.state.Draining(),
		Load: s.load, UpstreamReachable: s.reachable,
	}
	if ps.info != s.infoVersion {
		ps.info, h.Upstream = s.infoVersion, s.info
	}
	for _, c := range s.crashes {
		if c.number > ps.crash && time.Since(c.at) < crashReportAge {
			h.Crashes = append(h.Crashes, c.crash)
		}
		ps.crash = max(ps.crash, c.number)
	}
	n := min(len(ps.pending), eventsPerHeartbeat)
	h.CacheEvents, ps.pending = ps.pending[:n:n], ps.pending[n:]
	if len(ps.pending) == 0 {
		ps.pending = nil
		events, next, ok := s.cache.after(ps.cursor, eventsPerHeartbeat-n)
		if !ok {
			ps.pending = s.cache.snapshot()
		}
		h.CacheEvents = append(h.CacheEvents, events...)
		ps.cursor = next
	}
	return &peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: h}}
}

// endHeartbeats ends the heartbeat streams, which peers keep open, so that the
// transport can close.
func (s *Sidecar) endHeartbeats() {
	s.mu.Lock()
	list := make([]*peerState, 0, len(s.peers))
	for _, ps := range s.peers {
		list = append(list, ps)
	}
	s.mu.Unlock()
	for _, ps := range list {
		ps.send.Lock()
		if ps.stream != nil {
			_ = ps.stream.SetDeadline(time.Unix(1, 0))
		}
		ps.send.Unlock()
	}
}

// pushHeartbeats tells every peer that exchanges heartbeats at once what
// changed. The returned channel is closed when all have been told or have
// failed.
func (s *Sidecar) pushHeartbeats() <-chan struct{} {
	s.mu.Lock()
	list := make([]*peerState, 0, len(s.peers))
	for _, ps := range s.peers {
		list = append(list, ps)
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, ps := range list {
		wg.Add(1)
		started := s.background(func() {
			defer wg.Done()
			ps.send.Lock()
			defer ps.send.Unlock()
			if ps.stream != nil {
				_ = ps.stream.Send(s.heartbeat(ps)) // the session ends with its failure
			}
		})
		if !started {
			wg.Done()
		}
	}
	told := make(chan struct{})
	go func() {
		wg.Wait()
		close(told)
	}()
	return told
}
