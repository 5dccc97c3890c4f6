package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/freshness"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// registerRetryInterval is the mean time between two attempts to register.
	registerRetryInterval = 500 * time.Millisecond
	// expireInterval is how often upstreams that are missing from the store are
	// checked for the end of their grace period.
	expireInterval = 200 * time.Millisecond
	// peerPollInterval is how often an edge that cannot reach the store asks another
	// edge for its state.
	peerPollInterval = 500 * time.Millisecond
	// startPeerPollInterval applies until the deployment is known.
	startPeerPollInterval = 200 * time.Millisecond
	maxRelays             = 3
	// maxStartWait is how long a request waits for a starting edge to learn the
	// deployment: a few round trips between regions.
	maxStartWait = 500 * time.Millisecond
	// checkInterval is how often the store is checked for changes that the watches
	// missed. A configuration must be in force within 3 s.
	checkInterval = 900 * time.Millisecond
)

// view is an edge's view of the deployment: the configuration in force, the
// upstreams, and the other processes.
type view struct {
	e     *Edge
	table atomic.Pointer[routing.Table]

	memberReader *memberReader
	configFreshness

	mu        sync.Mutex
	config    []byte // as stored
	upstreams map[string][]byte
	nodes     map[string]platform.Node
	// nodesLoaded is set once the registrations were read from the store or from a
	// peer.
	nodesLoaded bool
	nodeSpecs   map[string]platform.Object
	// retirements names the storage instances that are being retired.
	retirements []string
	lost        map[string]bool // kinds of objects whose changes are not received
	feed        feedState
	started     time.Time
	// storeFailed is set once a watch of the store was lost.
	storeFailed bool

	// refreshed is closed once the deployment was read again after a suspension; nil:
	// no refresh is needed. refresh starts it.
	refreshed chan struct{}
	unlisted  map[string]bool // kinds that were not listed since the suspension
	refresh   func()
	// storeUnreachable reports whether the store did not answer within the given
	// time; nil while this edge does not watch it.
	storeUnreachable func(time.Duration) bool

	loaded     chan struct{} // closed once configuration, upstreams and nodes are known
	loadedOnce sync.Once
}

func newView(e *Edge) *view {
	v := &view{
		e: e, upstreams: make(map[string][]byte),
		nodes: make(map[string]platform.Node), nodeSpecs: make(map[string]platform.Object),
		loaded: make(chan struct{}), started: time.Now(), feed: feedState{changed: make(chan struct{}), followers: make(map[*transport.Stream]follower)},
		lost: map[string]bool{platform.KindConfig: true, platform.KindUpstreams: true, platform.KindNodes: true},
	}
	v.memberReader = newMemberReader(v.listStorage)
	v.configFreshness = configFreshness{keyLimit: freshness.Limit(e.settings.RevocationTime), sinceBoot: suspend.Now}
	return v
}

// ready reports whether requests can be placed.
func (v *view) ready() bool {
	if v.table.Load() == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.upstreams) > 0
}

// checkLoaded ends the wait of requests once the edge can place them and knows the
// storage processes.
func (v *view) checkLoaded() {
	v.mu.Lock()
	nodes := v.nodesLoaded
	v.mu.Unlock()
	if nodes && v.ready() {
		v.loadedOnce.Do(func() {
			close(v.loaded)
			v.e.startup.end(stepDeployment)
		})
	}
}

// markNodesLoaded records that the registrations are known. The first time it
// connects to the storage processes, so that the first requests do not have to.
func (v *view) markNodesLoaded() {
	v.mu.Lock()
	first := !v.nodesLoaded
	v.nodesLoaded = true
	v.mu.Unlock()
	v.checkLoaded()
	if !first {
		return
	}
	for _, m := range v.Storage() {
		go func() {
			if _, err := v.e.transport.Dial(context.Background(), m.Address); err != nil {
				v.e.logger.Debug("storage process not reached", "member", m.Name, "err", err)
			}
		}()
	}
}

func (v *view) isLoaded() bool {
	select {
	case <-v.loaded:
		return true
	default:
		return false
	}
}

// waitUntilLoaded delays a request while the edge is starting.
func (v *view) waitUntilLoaded(ctx context.Context) {
	if v.isLoaded() {
		return
	}
	timer := time.NewTimer(maxStartWait)
	defer timer.Stop()
	select {
	case <-v.loaded:
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (v *view) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { v.followOrWatch(ctx) })
	wg.Go(func() { v.register(ctx) })
	wg.Go(func() { v.expireUpstreams(ctx) })
	wg.Go(func() { v.pollPeers(ctx) })
	if v.keyLimit > 0 {
		wg.Go(func() { v.dateByPeers(ctx) })
	}
	wg.Wait()
}

func (v *view) setLost(kind string, lost bool) {
	v.mu.Lock()
	v.lost[kind] = lost
	v.storeFailed = v.storeFailed || lost
	v.feed.allListed = v.feed.allListed || !v.anyLostLocked()
	v.mu.Unlock()
}

// live reports whether changes are received, from the store or from an edge that
// watches it.
func (v *view) live() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.anyLostLocked()
}

// anyLostLocked requires the view's lock.
func (v *view) anyLostLocked() bool {
	for _, lost := range v.lost {
		if lost {
			return true
		}
	}
	return false
}

// register writes this process's registration to the store.
func (v *view) register(ctx context.Context) {
	s := v.e.settings
	node := platform.Node{
		Role: platform.RoleEdge, Address: s.PeerAddress(), FailureDomain: s.FailureDomain, Started: time.Now(),
	}
	for ctx.Err() == nil {
		err := platform.Register(ctx, v.e.store.Load(), s.Node, node)
		if err == nil {
			v.e.logger.Info("registered", "node", s.Node, "address", node.Address)
			return
		}
		v.e.logger.Debug("registration failed", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval/2 + rand.N(registerRetryInterval)):
		}
	}
}

// expireUpstreams removes missing upstreams whose grace period has ended.
func (v *view) expireUpstreams(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			v.e.checkSuspension(time.Now())
			var gone []fleet.Upstream
			v.e.withFleet(func(f *fleet.Fleet) { gone = f.Expire(now) })
			for _, u := range gone {
				v.e.logger.Info("upstream gone", "upstream", u.ID, "cause", "not registered again")
			}
			v.e.suspects.runsEnded(endedRuns(poison.Removed, gone...)...)
		}
	}
}

// applyConfig puts a configuration in force if it is newer.
func (v *view) applyConfig(spec []byte, source string) {
	cfg, err := platform.DecodeConfig(spec)
	if err != nil {
		v.e.logger.Error("invalid configuration", "source", source, "err", err)
		return
	}
	defer v.checkLoaded()
	defer v.e.lines.recheck() // the route or key of a waiting request may be gone
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.table.Load(); old != nil && cfg.Version <= old.Version() {
		return
	}
	v.config = spec
	v.recordChange(platform.KindConfig, platform.ConfigName)
	v.table.Store(routing.NewTable(cfg))
	v.e.startup.end(stepConfiguration)
	v.e.logger.Info("configuration in force", "version", cfg.Version, "routes", len(cfg.Routes), "source", source)
}

// Storage implements ledger.Directory.
func (v *view) Storage() []ledger.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []ledger.Member
	for name, n := range v.nodes {
		if isMember(n) {
			list = append(list, v.e.member(name, n))
		}
	}
	return list
}

// source returns where the view's changes come from, and the time since this source was
// known to be up to date.
func (v *view) source(now time.Time) (from string, age time.Duration) {
	var s Status
	v.feedStatus(&s, now)
	switch {
	case s.WatchesStore:
		return "store", s.CheckedAgo
	case s.Follows != "":
		return "peer " + s.Follows, s.CheckedAgo
	}
	return "none", now.Sub(v.started)
}

// Relays implements ledger.Directory. It returns some of the other edges.
func (v *view) Relays() []string {
	all := v.otherEdges()
	return all[:min(len(all), maxRelays)]
}

// otherEdges returns the addresses of the other edges, those of the same region
// first.
func (v *view) otherEdges() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var near, far []string
	for name, n := range v.nodes {
		if n.Role != platform.RoleEdge || name == v.e.settings.Node {
			continue
		}
		if v.e.settings.RegionOf[n.FailureDomain] == v.e.settings.Region {
			near = append(near, n.Address)
			continue
		}
		far = append(far, n.Address)
	}
	return append(near, far...)
}

// edgeCount returns the number of known edges, at least 1.
func (v *view) edgeCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, node := range v.nodes {
		if node.Role == platform.RoleEdge {
			n++
		}
	}
	return max(n, 1)
}

// pollPeers updates the view from other edges while the store does not answer this
// one.
func (v *view) pollPeers(ctx context.Context) {
	for {
		pause := peerPollInterval
		if !v.isLoaded() {
			pause = startPeerPollInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if v.live() || v.isFollower() && v.isLoaded() {
			continue
		}
		for _, address := range v.peers() {
			if err := v.fetchState(ctx, address); err == nil {
				break
			} else if ctx.Err() == nil {
				v.e.logger.Debug("peer state not received", "peer", address, "err", err)
			}
		}
	}
}

// peers returns addresses of edges, known ones and seeds, in random order.
func (v *view) peers() []string {
	list := append(v.Relays(), v.seedAddresses()...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (v *view) fetchState(ctx context.Context, address string) error {
	reply, err := peerstate.Fetch(ctx, v.e.transport, address)
	if err != nil {
		return err
	}
	if len(reply.GetConfiguration()) == 0 || !reply.GetLive() && v.table.Load() != nil {
		return errors.Errorf("peer %s has no newer state", address)
	}
	v.applyConfig(reply.GetConfiguration(), "peer "+address)
	v.mu.Lock()
	upstreamsLost := v.lost[platform.KindUpstreams]
	v.mu.Unlock()
	if upstreamsLost {
		v.replaceUpstreams(peerstate.Objects(reply.GetUpstreams()), 0)
	}
	for _, o := range peerstate.Objects(reply.GetNodes()) {
		v.putNode(o)
	}
	if len(reply.GetNodes()) > 0 {
		v.markNodesLoaded()
	}
	return nil
}

// acceptOffer applies the state kept by a storage process if this edge has received
// nothing from the store since its start.
func (v *view) acceptOffer(reply *peerv1.StateReply, source string) {
	v.mu.Lock()
	early := !v.storeFailed && time.Since(v.started) < maxStartWait/2
	v.mu.Unlock()
	if early || v.isLoaded() || len(reply.GetConfiguration()) == 0 {
		return
	}
	v.e.logger.Info("starting with what a storage process has kept", "source", source, "upstreams", len(reply.GetUpstreams()))
	v.applyConfig(reply.GetConfiguration(), source)
	v.replaceUpstreams(peerstate.Objects(reply.GetUpstreams()), 0)
	for _, o := range peerstate.Objects(reply.GetNodes()) {
		v.putNode(o)
	}
	v.markNodesLoaded()
}

// stateReply returns this edge's state for a peer that cannot reach the store.
func (v *view) stateReply(req *peerv1.StateRequest) *peerv1.StateReply {
	live := v.live()
	v.mu.Lock()
	defer v.mu.Unlock()
	if req.GetBrief() {
		reply := &peerv1.StateReply{Configuration: v.config, Live: live, CheckedAgo: v.encodedAge()}
		if t := v.table.Load(); t != nil && t.Version() == req.GetKnownVersion() {
			reply.Configuration = nil
		}
		return reply
	}
	return &peerv1.StateReply{
		Configuration: v.config, Upstreams: peerstate.StoredSpecs(v.upstreams), Nodes: peerstate.StoredObjects(v.nodeSpecs), Live: live,
	}
}
