package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// The roles of a process.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// peerConnection is the connection to one peer process. It is dialed again when it
// breaks.
type peerConnection struct {
	address string
	role    string
	cancel  context.CancelFunc

	mu       sync.Mutex
	session  *transport.Session
	upstream core.UpstreamID
	info     core.UpstreamInfo
	instance string
}

func (c *peerConnection) currentSession() *transport.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

func (c *peerConnection) setSession(s *transport.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = s
}

// peerSet maintains a connection to every entry and sidecar of the instance list.
type peerSet struct {
	n *Entry

	mu          sync.Mutex
	connections map[string]*peerConnection // by address
	upstreams   map[core.UpstreamID]*peerConnection
	entries     map[string]*peerConnection // connections to entries, by instance
}

func newPeerSet(n *Entry) *peerSet {
	return &peerSet{
		n:           n,
		connections: make(map[string]*peerConnection),
		upstreams:   make(map[core.UpstreamID]*peerConnection),
		entries:     make(map[string]*peerConnection),
	}
}

// sidecarSession returns a session with the sidecar of an upstream. It dials one if
// the connection is down.
func (ps *peerSet) sidecarSession(ctx context.Context, id core.UpstreamID) (*transport.Session, error) {
	ps.mu.Lock()
	c := ps.upstreams[id]
	ps.mu.Unlock()
	if c == nil {
		return nil, errors.Errorf("upstream %s is not known", id)
	}
	if s := c.currentSession(); s != nil {
		return s, nil
	}
	return ps.n.transport.Dial(ctx, c.address)
}

// entrySession returns a session with another entry. It dials one if the connection
// is down.
func (ps *peerSet) entrySession(ctx context.Context, instance string) (*transport.Session, error) {
	ps.mu.Lock()
	c := ps.entries[instance]
	ps.mu.Unlock()
	if c == nil {
		return nil, errors.Errorf("entry %s is not known", instance)
	}
	if s := c.currentSession(); s != nil {
		return s, nil
	}
	return ps.n.transport.Dial(ctx, c.address)
}

// entrySessions returns the sessions with all connected entries, by instance.
func (ps *peerSet) entrySessions() map[string]*transport.Session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := make(map[string]*transport.Session)
	for name, c := range ps.entries {
		if s := c.currentSession(); s != nil {
			out[name] = s
		}
	}
	return out
}

// allSessions returns the sessions with all connected peers.
func (ps *peerSet) allSessions() []*transport.Session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []*transport.Session
	for _, c := range ps.connections {
		if s := c.currentSession(); s != nil {
			out = append(out, s)
		}
	}
	return out
}

// update applies the instance list: it dials new processes, and drops processes
// that are no longer listed once they are disconnected as well.
func (ps *peerSet) update(list []objectapi.Instance) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, in := range list {
		if in.ID == ps.n.cfg.Instance || in.Address == "" {
			continue
		}
		if in.Role != roleEntry && in.Role != roleSidecar {
			continue
		}
		listed[in.Address] = true
		if ps.connections[in.Address] == nil {
			ps.connect(in)
		}
	}
	for addr, c := range ps.connections {
		if !listed[addr] && c.currentSession() == nil {
			ps.drop(addr, c)
		}
	}
}

// dialSeeds connects to the configured seeds. It allows an entry to start while the
// instance list cannot be read.
func (ps *peerSet) dialSeeds(addresses []string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, addr := range addresses {
		if ps.connections[addr] == nil && addr != ps.n.PeerAddr() {
			ps.connect(objectapi.Instance{Role: roleEntry, Address: addr})
		}
	}
}

// connect adds a connection and starts to maintain it. ps.mu must be held.
func (ps *peerSet) connect(in objectapi.Instance) {
	ctx, cancel := context.WithCancel(ps.n.ctx)
	c := &peerConnection{address: in.Address, role: in.Role, cancel: cancel, instance: in.ID}
	ps.connections[in.Address] = c
	if in.Role == roleEntry && in.ID != "" {
		ps.entries[in.ID] = c
	}
	go ps.maintain(ctx, c)
}

// drop closes and removes a connection. ps.mu must be held.
func (ps *peerSet) drop(addr string, c *peerConnection) {
	c.cancel()
	delete(ps.connections, addr)
	if ps.entries[c.instance] == c {
		delete(ps.entries, c.instance)
	}
	if c.upstream != "" && ps.upstreams[c.upstream] == c {
		delete(ps.upstreams, c.upstream)
		ps.n.loop.post(core.UpstreamGone{At: now(), Upstream: c.upstream})
	}
}

// maintain keeps a connection open until the context is cancelled or this entry is
// fenced.
func (ps *peerSet) maintain(ctx context.Context, c *peerConnection) {
	for ctx.Err() == nil && !ps.n.isFenced() {
		if err := ps.runConnection(ctx, c); err != nil && ctx.Err() == nil {
			ps.n.log.Info("connection to peer ended", "peer", c.address, "peer_role", c.role, "error", err)
		}
		c.setSession(nil)
		ps.mu.Lock()
		id := c.upstream
		ps.mu.Unlock()
		if id != "" {
			ps.n.loop.post(core.UpstreamState{At: now(), Upstream: id, Reachable: false})
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// runConnection dials a peer and exchanges heartbeats until the connection fails.
func (ps *peerSet) runConnection(ctx context.Context, c *peerConnection) error {
	dialCtx, cancel := context.WithTimeout(ctx, redialInterval*4)
	defer cancel()
	s, err := ps.n.transport.Dial(dialCtx, c.address)
	if err != nil {
		return err
	}
	hello := s.Peer()
	if hello.GetRole() == roleSidecar {
		ps.addUpstream(c, hello)
	}
	if hello.GetRole() == roleEntry {
		ps.addEntry(c, hello.GetInstance())
	}
	c.setSession(s)
	if hello.GetRole() == roleEntry {
		// This must follow setSession: quarantines added from then on are sent by
		// shareQuarantine.
		go ps.n.sendAllQuarantines(s)
	}
	st, err := s.Open(ctx, ps.n.heartbeatMessage(c))
	if err != nil {
		return err
	}
	defer st.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, func() { _ = st.Close() })()
	go ps.sendHeartbeats(ctx, c, st)
	for {
		if err := st.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return err
		}
		m, err := st.Recv()
		if err != nil {
			_ = s.Close()
			return err
		}
		if hb := m.GetHeartbeat(); hb != nil {
			ps.n.onHeartbeat(c.address, hello, hb)
		}
	}
}

// heartbeatTimeout is the longest time without a heartbeat from a peer before the
// connection to it counts as broken.
const heartbeatTimeout = 3 * time.Second

// sendHeartbeats sends heartbeats until the context is cancelled, this entry is
// fenced or the stream fails.
func (ps *peerSet) sendHeartbeats(ctx context.Context, c *peerConnection, st *transport.Stream) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ps.n.fenced:
			_ = st.Close()
			return
		case <-t.C:
		}
		if st.Send(ps.n.heartbeatMessage(c)) != nil {
			return
		}
	}
}

// addEntry records the instance of a connected entry, which is not known before if
// the entry was dialed as a seed.
func (ps *peerSet) addEntry(c *peerConnection, instance string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	c.instance = instance
	if ps.entries[instance] == nil {
		ps.entries[instance] = c
	}
}

// addUpstream records the upstream of a connected sidecar and reports it to the
// core.
func (ps *peerSet) addUpstream(c *peerConnection, h *peerv1.Hello) {
	info := upstreamInfoFromProto(h.GetUpstream(), h, c.address)
	ps.mu.Lock()
	c.upstream, c.info = info.ID, info
	ps.upstreams[info.ID] = c
	ps.mu.Unlock()
	ps.n.loop.post(core.UpstreamChanged{At: now(), Info: info})
	ps.n.loop.post(core.UpstreamState{At: now(), Upstream: info.ID, Reachable: true})
}

func upstreamInfoFromProto(u *peerv1.UpstreamInfo, h *peerv1.Hello, address string) core.UpstreamInfo {
	return core.UpstreamInfo{
		ID:            core.UpstreamID(u.GetId()),
		Kind:          core.CallKind(u.GetKind()),
		Service:       u.GetService(),
		Models:        u.GetModels(),
		Adapters:      u.GetAdapters(),
		Region:        h.GetRegion(),
		FailureDomain: h.GetFailureDomain(),
		Sidecar:       address,

		SidecarIncarnation: core.Incarnation(h.GetIncarnation()),

		Incarnation:   u.GetIncarnation(),
		Slots:         int(u.GetSlots()),
		CacheTokens:   u.GetCacheTokens(),
		PrefillRate:   u.GetPrefillRate(),
		DecodeRate:    u.GetDecodeRate(),
		ChecksOrders:  u.GetChecksOrders(),
		ChecksFencing: u.GetChecksFencing(),
	}
}

// onHeartbeat handles the heartbeat of a peer. The contents of a sidecar's heartbeat
// are posted to the core as events.
func (n *Entry) onHeartbeat(address string, h *peerv1.Hello, hb *peerv1.Heartbeat) {
	if h.GetRole() == roleEntry {
		n.recordContact(h, hb)
		return
	}
	id := core.UpstreamID(h.GetUpstream().GetId())
	if u := hb.GetUpstream(); u != nil {
		info := upstreamInfoFromProto(u, h, address)
		n.peers.updateUpstreamInfo(info)
		n.loop.post(core.UpstreamChanged{At: now(), Info: info})
	}
	n.loop.post(core.UpstreamState{At: now(), Upstream: id, Reachable: hb.GetUpstreamReachable(), Leaving: hb.GetLeaving()})
	if l := hb.GetLoad(); l != nil {
		n.loop.post(core.LoadReported{At: now(), Load: loadFromProto(id, l)})
	}
	for _, e := range hb.GetCacheEvents() {
		n.loop.post(core.CacheReported{At: now(), Event: core.CacheEvent{
			Upstream: id, Number: e.GetNumber(), Prefix: e.GetPrefix(), Tokens: e.GetTokens(),
		}})
	}
	for _, c := range hb.GetCrashes() {
		n.loop.post(core.UpstreamCrashed{At: now(), Upstream: id, Incarnation: c.GetIncarnation(), Fingerprints: c.GetFingerprints()})
	}
	n.config.onPeerVersion(address, hb.GetConfigVersion())
}

func loadFromProto(id core.UpstreamID, l *peerv1.Load) core.Load {
	return core.Load{
		Upstream:     id,
		Measured:     time.UnixMilli(l.GetMeasuredUnixMs()),
		Running:      int(l.GetRunning()),
		Waiting:      int(l.GetWaiting()),
		QueuedTokens: l.GetQueuedTokens(),
		CacheUsed:    l.GetCacheUsed(),
		CachePinned:  l.GetCachePinned(),
	}
}

// recordContact handles the heartbeat of another entry: it records the contact and
// the versions that the entry knows.
func (n *Entry) recordContact(h *peerv1.Hello, hb *peerv1.Heartbeat) {
	n.owner.recordContact(ownership.Peer{
		Instance:      h.GetInstance(),
		Incarnation:   core.Incarnation(hb.GetIncarnation()),
		Region:        h.GetRegion(),
		FailureDomain: h.GetFailureDomain(),
		Address:       h.GetAddress(),
		Leaving:       hb.GetLeaving(),
	}, hb.GetSlotsVersion())
	n.config.onPeerVersion(h.GetAddress(), hb.GetConfigVersion())
}

// heartbeatMessage returns the heartbeat to send, which is the same for all peers.
func (n *Entry) heartbeatMessage(*peerConnection) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		Incarnation:   string(n.cfg.Incarnation),
		ConfigVersion: n.config.version(),
		SlotsVersion:  n.owner.mapVersion(),
		Leaving:       n.draining.Load(),
	}}}
}

// sessionByAddress returns the session with the peer at an address, or nil if there
// is none.
func (ps *peerSet) sessionByAddress(addr string) *transport.Session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	c := ps.connections[addr]
	if c == nil {
		return nil
	}
	return c.currentSession()
}

// connectedUpstreams returns the number of upstreams with a connected sidecar.
func (ps *peerSet) connectedUpstreams() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	count := 0
	for _, c := range ps.upstreams {
		if c.currentSession() != nil {
			count++
		}
	}
	return count
}

// upstreamInfos returns the descriptions of all known upstreams, sorted by ID.
func (ps *peerSet) upstreamInfos() []core.UpstreamInfo {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []core.UpstreamInfo
	for _, c := range ps.upstreams {
		out = append(out, c.info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// updateUpstreamInfo replaces the description of an upstream.
func (ps *peerSet) updateUpstreamInfo(info core.UpstreamInfo) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if c := ps.upstreams[info.ID]; c != nil {
		c.info = info
	}
}
