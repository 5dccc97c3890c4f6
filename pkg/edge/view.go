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
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// registerPause is the wait before a failed registration is tried again.
	registerPause = 500 * time.Millisecond
	// expireInterval is how often missing upstreams are checked for the end of
	// their grace.
	expireInterval = 200 * time.Millisecond
	// peerStateInterval is how often an entry without the store asks a peer for
	// what that peer knows.
	peerStateInterval = 500 * time.Millisecond
	// peerStartInterval is the same while an entry knows nothing.
	peerStartInterval = 200 * time.Millisecond
	maxRelays         = 3
	// startWait is how long a request waits for a starting entry to learn the
	// deployment: some round trips between regions.
	startWait = 500 * time.Millisecond
	// checkInterval is how often the watches are checked for changes that they
	// did not hear of; a configuration has to be in force within 3 s.
	checkInterval = 900 * time.Millisecond
)

// view is what an entry believes of the deployment: the configuration in
// force, the upstreams, and the processes of the system.
type view struct {
	e     *Edge
	table atomic.Pointer[routing.Table]

	mu        sync.Mutex
	config    []byte // as the store has it
	upstreams map[string][]byte
	nodes     map[string]platform.Node
	// nodesKnown is set once the registrations were read from the store or a
	// peer.
	nodesKnown bool
	nodeSpecs  map[string]platform.Object
	// retirements names the storage instances that are to be emptied.
	retirements []string
	lost        map[string]bool // kinds of which nothing is heard
	feed        feedState
	started     time.Time
	// storeFailed is set once a watch of the store was lost.
	storeFailed bool

	// unsure is closed once the deployment was read anew after a suspension; nil:
	// there is no doubt. refresh begins to read it.
	unsure  chan struct{}
	unread  map[string]bool // kinds that were not listed since
	refresh func()
	// storeAway reports whether the store did not answer in the last time; nil
	// while this entry does not watch it.
	storeAway func(time.Duration) bool

	known     chan struct{} // closed once configuration, upstreams and nodes are known
	knownOnce sync.Once
}

func newView(e *Edge) *view {
	return &view{
		e: e, upstreams: make(map[string][]byte),
		nodes: make(map[string]platform.Node), nodeSpecs: make(map[string]platform.Object),
		known: make(chan struct{}), started: time.Now(), feed: feedState{more: make(chan struct{}), receivers: make(map[*transport.Stream]receiver)},
		lost: map[string]bool{platform.KindConfig: true, platform.KindUpstreams: true, platform.KindNodes: true},
	}
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

// noteKnown ends the wait of requests once the entry can place them and knows
// where the ledger is.
func (v *view) noteKnown() {
	v.mu.Lock()
	nodes := v.nodesKnown
	v.mu.Unlock()
	if nodes && v.ready() {
		v.knownOnce.Do(func() { close(v.known) })
	}
}

// noteNodes notes that the registrations are known, and connects to the storage
// processes before the first request needs them.
func (v *view) noteNodes() {
	v.mu.Lock()
	first := !v.nodesKnown
	v.nodesKnown = true
	v.mu.Unlock()
	v.noteKnown()
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

func (v *view) isKnown() bool {
	select {
	case <-v.known:
		return true
	default:
		return false
	}
}

// waitUntilKnown holds a request back while the entry has just started.
func (v *view) waitUntilKnown(ctx context.Context) {
	if v.isKnown() {
		return
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-v.known:
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (v *view) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { v.follow(ctx) })
	wg.Go(func() { v.register(ctx) })
	wg.Go(func() { v.expire(ctx) })
	wg.Go(func() { v.askPeers(ctx) })
	wg.Wait()
}

func (v *view) setLost(kind string, lost bool) {
	v.mu.Lock()
	v.lost[kind] = lost
	v.storeFailed = v.storeFailed || lost
	v.feed.ready = v.feed.ready || !v.lostAny()
	v.mu.Unlock()
}

// live reports whether changes are heard of, from the store or from an entry
// that watches it.
func (v *view) live() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.lostAny()
}

// lostAny needs the lock.
func (v *view) lostAny() bool {
	for _, lost := range v.lost {
		if lost {
			return true
		}
	}
	return false
}

// register makes this process known to the others.
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
		case <-time.After(registerPause/2 + rand.N(registerPause)):
		}
	}
}

func (v *view) expire(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			v.e.suspended(time.Now())
			var gone []fleet.Upstream
			v.e.withFleet(func(f *fleet.Fleet) { gone = f.Expire(now) })
			for _, u := range gone {
				v.e.logger.Info("upstream gone", "upstream", u.ID, "cause", "not registered again")
			}
			v.e.suspects.ended(crashedRuns(gone)...)
		}
	}
}

// applyConfig puts a configuration in force if it is newer.
func (v *view) applyConfig(spec []byte, source string) {
	cfg, err := platform.DecodeConfig(spec)
	if err != nil {
		v.e.logger.Error("configuration can not be read", "source", source, "err", err)
		return
	}
	defer v.noteKnown()
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.table.Load(); old != nil && cfg.Version <= old.Version() {
		return
	}
	v.config = spec
	v.noteChange(platform.KindConfig, platform.ConfigName)
	v.table.Store(routing.NewTable(cfg))
	v.e.logger.Info("configuration in force", "version", cfg.Version, "routes", len(cfg.Routes), "source", source)
}

// Storage implements ledger.Directory.
func (v *view) Storage() []ledger.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []ledger.Member
	for name, n := range v.nodes {
		if n.Role == platform.RoleStorage && n.Active && !n.Removed {
			local := v.e.settings.RegionOf[n.FailureDomain] == v.e.settings.Region
			list = append(list, ledger.Member{Name: name, Address: n.Address, Local: local})
		}
	}
	return list
}

// Relays implements ledger.Directory: some of the other entries.
func (v *view) Relays() []string {
	all := v.otherEdges()
	return all[:min(len(all), maxRelays)]
}

// otherEdges returns the addresses of the other entries, those of the same
// region first.
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

// entries returns the number of known entries, at least 1.
func (v *view) entries() int {
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

// askPeers keeps the view fresh through other entries while the store does not
// answer this one.
func (v *view) askPeers(ctx context.Context) {
	for {
		pause := peerStateInterval
		if !v.isKnown() {
			pause = peerStartInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if v.live() || v.follows() && v.isKnown() {
			continue
		}
		for _, address := range v.peers() {
			if err := v.askPeer(ctx, address); err == nil {
				break
			} else if ctx.Err() == nil {
				v.e.logger.Debug("peer state not received", "peer", address, "err", err)
			}
		}
	}
}

// peers returns the addresses of entries: known ones, and those of the settings.
func (v *view) peers() []string {
	list := append(v.Relays(), v.seedAddresses()...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (v *view) askPeer(ctx context.Context, address string) error {
	reply, err := peerstate.Fetch(ctx, v.e.transport, address)
	if err != nil {
		return err
	}
	if len(reply.GetConfiguration()) == 0 || !reply.GetLive() && v.table.Load() != nil {
		return errors.Errorf("peer %s knows nothing newer", address)
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
		v.noteNodes()
	}
	return nil
}

// offered takes over what a storage process has kept, if the store does not
// tell this entry anything after its start.
func (v *view) offered(reply *peerv1.StateReply, source string) {
	v.mu.Lock()
	early := !v.storeFailed && time.Since(v.started) < startWait/2
	v.mu.Unlock()
	if early || v.isKnown() || len(reply.GetConfiguration()) == 0 {
		return
	}
	v.e.logger.Info("starting with what a storage process has kept", "source", source, "upstreams", len(reply.GetUpstreams()))
	v.applyConfig(reply.GetConfiguration(), source)
	v.replaceUpstreams(peerstate.Objects(reply.GetUpstreams()), 0)
	for _, o := range peerstate.Objects(reply.GetNodes()) {
		v.putNode(o)
	}
	v.noteNodes()
}

// state returns what this entry knows, for a peer without the store.
func (v *view) state(brief bool) *peerv1.StateReply {
	live := v.live()
	v.mu.Lock()
	defer v.mu.Unlock()
	if brief {
		return &peerv1.StateReply{Configuration: v.config, Live: live}
	}
	return &peerv1.StateReply{
		Configuration: v.config, Upstreams: peerstate.StoredSpecs(v.upstreams), Nodes: peerstate.StoredObjects(v.nodeSpecs), Live: live,
	}
}
