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

// The roles of processes.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// link is the connection to one process of the instance list.
type link struct {
	address string
	role    string
	cancel  context.CancelFunc

	mu       sync.Mutex
	session  *transport.Session
	upstream core.UpstreamID
	info     core.UpstreamInfo
	instance string
}

func (k *link) current() *transport.Session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}

func (k *link) set(s *transport.Session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = s
}

// peerSet keeps a connection to every process of the instance list.
type peerSet struct {
	n *Entry

	mu        sync.Mutex
	links     map[string]*link // by address
	upstreams map[core.UpstreamID]*link
	instances map[string]*link // entries by instance
}

func newPeerSet(n *Entry) *peerSet {
	return &peerSet{
		n:         n,
		links:     make(map[string]*link),
		upstreams: make(map[core.UpstreamID]*link),
		instances: make(map[string]*link),
	}
}

// sidecar returns the session with the sidecar of an upstream.
func (ps *peerSet) sidecar(ctx context.Context, id core.UpstreamID) (*transport.Session, error) {
	ps.mu.Lock()
	k := ps.upstreams[id]
	ps.mu.Unlock()
	if k == nil {
		return nil, errors.Errorf("upstream %s is not known", id)
	}
	if s := k.current(); s != nil {
		return s, nil
	}
	return ps.n.transport.Dial(ctx, k.address)
}

// entry returns the session with another entry.
func (ps *peerSet) entry(ctx context.Context, instance string) (*transport.Session, error) {
	ps.mu.Lock()
	k := ps.instances[instance]
	ps.mu.Unlock()
	if k == nil {
		return nil, errors.Errorf("entry %s is not known", instance)
	}
	if s := k.current(); s != nil {
		return s, nil
	}
	return ps.n.transport.Dial(ctx, k.address)
}

// entries returns the sessions with all connected entries, by instance.
func (ps *peerSet) entries() map[string]*transport.Session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := make(map[string]*transport.Session)
	for name, k := range ps.instances {
		if s := k.current(); s != nil {
			out[name] = s
		}
	}
	return out
}

// all returns the sessions with all connected processes.
func (ps *peerSet) all() []*transport.Session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []*transport.Session
	for _, k := range ps.links {
		if s := k.current(); s != nil {
			out = append(out, s)
		}
	}
	return out
}

// update follows the instance list: new processes are dialed, those that left
// the list are dropped once their connection is gone too.
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
		if ps.links[in.Address] == nil {
			ps.connect(in)
		}
	}
	for addr, k := range ps.links {
		if !listed[addr] && k.current() == nil {
			ps.drop(addr, k)
		}
	}
}

// dialSeeds connects to the entries that the settings name. It serves a start
// while the instance list cannot be read.
func (ps *peerSet) dialSeeds(addresses []string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, addr := range addresses {
		if ps.links[addr] == nil && addr != ps.n.PeerAddr() {
			ps.connect(objectapi.Instance{Role: roleEntry, Address: addr})
		}
	}
}

func (ps *peerSet) connect(in objectapi.Instance) {
	ctx, cancel := context.WithCancel(ps.n.ctx)
	k := &link{address: in.Address, role: in.Role, cancel: cancel, instance: in.ID}
	ps.links[in.Address] = k
	if in.Role == roleEntry && in.ID != "" {
		ps.instances[in.ID] = k
	}
	go ps.maintain(ctx, k)
}

func (ps *peerSet) drop(addr string, k *link) {
	k.cancel()
	delete(ps.links, addr)
	if ps.instances[k.instance] == k {
		delete(ps.instances, k.instance)
	}
	if k.upstream != "" && ps.upstreams[k.upstream] == k {
		delete(ps.upstreams, k.upstream)
		ps.n.loop.post(core.UpstreamGone{At: now(), Upstream: k.upstream})
	}
}

// maintain keeps one connection up until the context ends.
func (ps *peerSet) maintain(ctx context.Context, k *link) {
	for ctx.Err() == nil && !ps.n.isFenced() {
		if err := ps.serve(ctx, k); err != nil && ctx.Err() == nil {
			ps.n.log.Info("connection to peer ended", "peer", k.address, "peer_role", k.role, "error", err)
		}
		k.set(nil)
		ps.mu.Lock()
		id := k.upstream
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

// serve dials a peer and exchanges heartbeats until the connection ends.
func (ps *peerSet) serve(ctx context.Context, k *link) error {
	dialCtx, cancel := context.WithTimeout(ctx, redialInterval*4)
	defer cancel()
	s, err := ps.n.transport.Dial(dialCtx, k.address)
	if err != nil {
		return err
	}
	hello := s.Peer()
	if hello.GetRole() == roleSidecar {
		ps.addUpstream(k, hello)
	}
	if hello.GetRole() == roleEntry {
		ps.addEntry(k, hello.GetInstance())
	}
	k.set(s)
	if hello.GetRole() == roleEntry {
		// After set: what is found from now on is sent by shareQuarantine.
		go ps.n.sendQuarantines(s)
	}
	st, err := s.Open(ctx, ps.n.heartbeatFor(k))
	if err != nil {
		return err
	}
	defer st.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, func() { _ = st.Close() })()
	go ps.sendHeartbeats(ctx, k, st)
	for {
		if err := st.SetDeadline(time.Now().Add(heartbeatSilence)); err != nil {
			return err
		}
		m, err := st.Recv()
		if err != nil {
			_ = s.Close()
			return err
		}
		if hb := m.GetHeartbeat(); hb != nil {
			ps.n.onHeartbeat(k.address, hello, hb)
		}
	}
}

// heartbeatSilence is how long a peer's heartbeats may be missing before the
// connection is closed as silent.
const heartbeatSilence = 3 * time.Second

func (ps *peerSet) sendHeartbeats(ctx context.Context, k *link, st *transport.Stream) {
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
		if st.Send(ps.n.heartbeatFor(k)) != nil {
			return
		}
	}
}

// addEntry names the entry behind a link that was dialed by its address only.
func (ps *peerSet) addEntry(k *link, instance string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	k.instance = instance
	if ps.instances[instance] == nil {
		ps.instances[instance] = k
	}
}

func (ps *peerSet) addUpstream(k *link, h *peerv1.Hello) {
	info := upstreamInfo(h.GetUpstream(), h, k.address)
	ps.mu.Lock()
	k.upstream, k.info = info.ID, info
	ps.upstreams[info.ID] = k
	ps.mu.Unlock()
	ps.n.loop.post(core.UpstreamChanged{At: now(), Info: info})
	ps.n.loop.post(core.UpstreamState{At: now(), Upstream: info.ID, Reachable: true})
}

func upstreamInfo(u *peerv1.UpstreamInfo, h *peerv1.Hello, address string) core.UpstreamInfo {
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

// onHeartbeat turns a peer's heartbeat into events.
func (n *Entry) onHeartbeat(address string, h *peerv1.Hello, hb *peerv1.Heartbeat) {
	if h.GetRole() == roleEntry {
		n.heard(h, hb)
		return
	}
	id := core.UpstreamID(h.GetUpstream().GetId())
	if u := hb.GetUpstream(); u != nil {
		info := upstreamInfo(u, h, address)
		n.peers.describe(info)
		n.loop.post(core.UpstreamChanged{At: now(), Info: info})
	}
	n.loop.post(core.UpstreamState{At: now(), Upstream: id, Reachable: hb.GetUpstreamReachable(), Leaving: hb.GetLeaving()})
	if l := hb.GetLoad(); l != nil {
		n.loop.post(core.LoadReported{At: now(), Load: loadOf(id, l)})
	}
	for _, e := range hb.GetCacheEvents() {
		n.loop.post(core.CacheReported{At: now(), Event: core.CacheEvent{
			Upstream: id, Number: e.GetNumber(), Prefix: e.GetPrefix(), Tokens: e.GetTokens(),
		}})
	}
	for _, c := range hb.GetCrashes() {
		n.loop.post(core.UpstreamCrashed{At: now(), Upstream: id, Incarnation: c.GetIncarnation(), Fingerprints: c.GetFingerprints()})
	}
	n.config.peerVersion(address, hb.GetConfigVersion())
}

func loadOf(id core.UpstreamID, l *peerv1.Load) core.Load {
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

// heard records direct contact with another entry.
func (n *Entry) heard(h *peerv1.Hello, hb *peerv1.Heartbeat) {
	n.owner.heard(ownership.Peer{
		Instance:      h.GetInstance(),
		Incarnation:   core.Incarnation(hb.GetIncarnation()),
		Region:        h.GetRegion(),
		FailureDomain: h.GetFailureDomain(),
		Address:       h.GetAddress(),
		Leaving:       hb.GetLeaving(),
	}, hb.GetSlotsVersion())
	n.config.peerVersion(h.GetAddress(), hb.GetConfigVersion())
}

// heartbeatFor returns the heartbeat for one peer.
func (n *Entry) heartbeatFor(*link) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{
		Incarnation:   string(n.cfg.Incarnation),
		ConfigVersion: n.config.version(),
		SlotsVersion:  n.owner.mapVersion(),
		Leaving:       n.draining.Load(),
	}}}
}

// byAddress returns the session with the process at an address, or nil.
func (ps *peerSet) byAddress(addr string) *transport.Session {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	k := ps.links[addr]
	if k == nil {
		return nil
	}
	return k.current()
}

func (ps *peerSet) connectedUpstreams() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	count := 0
	for _, k := range ps.upstreams {
		if k.current() != nil {
			count++
		}
	}
	return count
}

// upstreamInfos returns the descriptions of the known upstreams, sorted by id.
func (ps *peerSet) upstreamInfos() []core.UpstreamInfo {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []core.UpstreamInfo
	for _, k := range ps.upstreams {
		out = append(out, k.info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// describe replaces the description of an upstream.
func (ps *peerSet) describe(info core.UpstreamInfo) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if k := ps.upstreams[info.ID]; k != nil {
		k.info = info
	}
}
