package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// watchersPerDomain entries of each failure domain watch the
	// configuration; all others hear from peers, since the store counts a
	// waiting watch as a call.
	watchersPerDomain = 2
	watchTime         = 30 * time.Second
	configPoll        = 500 * time.Millisecond
)

// configSync holds the shared configuration in force and levels it with peers.
// Versions only grow.
type configSync struct {
	n     *Entry
	store *config.Store
	dist  *config.Distributor

	mu     sync.Mutex
	peers  map[string]uint64 // configuration version by peer address
	asking map[string]bool   // peers with a push or request under way
}

func newConfigSync(n *Entry) *configSync {
	c := &configSync{
		n:      n,
		store:  config.NewStore(n.cfg.Store),
		peers:  make(map[string]uint64),
		asking: make(map[string]bool),
	}
	c.dist = config.NewDistributor(config.DistributorOptions{
		Folder: n.cfg.DataFolder, Applied: c.applied, Logger: n.log,
	})
	return c
}

// applied puts a configuration in force in this process. An entry that watches
// the store passes it on at once; if all entries did, each process would get
// every change from each of them. Processes that the watchers do not reach are
// levelled by the next heartbeat of any entry. The distributor calls applied once
// for each version, in order.
func (c *configSync) applied(cfg core.Config) {
	c.n.owner.setRegions(cfg.Regions)
	c.n.loop.post(core.ConfigApplied{At: now(), Config: cfg})
	for _, addr := range c.pushTargets(cfg.Version) {
		c.mu.Lock()
		c.syncLocked(addr)
		c.mu.Unlock()
	}
}

// pushTargets returns the peers to which this entry passes a version on at once.
func (c *configSync) pushTargets(version uint64) []string {
	if !c.watches() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for addr, v := range c.peers {
		if v < version {
			out = append(out, addr)
		}
	}
	return out
}

func (c *configSync) version() uint64 {
	v, _ := c.dist.Current()
	return v
}

func (c *configSync) inForce() (uint64, []byte) { return c.dist.Current() }

func (c *configSync) slotCount() int {
	cfg, _ := c.dist.Config()
	return cfg.SlotCount
}

func (c *configSync) regions() []string {
	cfg, _ := c.dist.Config()
	return cfg.Regions
}

func (c *configSync) service(name string) (core.ServiceSpec, bool) {
	cfg, _ := c.dist.Config()
	s, ok := cfg.Services[name]
	return s, ok
}

// accept offers a version that a peer sent.
func (c *configSync) accept(version uint64, text []byte, source string) error {
	_, err := c.dist.Offer(version, text)
	return errors.Wrapf(err, "configuration version %d from %s", version, source)
}

func (c *configSync) peerVersions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.peers))
	for a, v := range c.peers {
		out[a] = v
	}
	return out
}

// peerVersion records the version of a peer and levels the two.
func (c *configSync) peerVersion(addr string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = version
	if version != c.version() {
		c.syncLocked(addr)
	}
}

// syncLocked starts one exchange with a peer unless one is under way.
func (c *configSync) syncLocked(addr string) {
	if c.asking[addr] {
		return
	}
	c.asking[addr] = true
	go func() {
		err := c.exchange(addr)
		if err != nil && c.n.ctx.Err() == nil {
			c.n.log.Debug("configuration not exchanged", "peer", addr, "error", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.exchangedLocked(addr, err)
	}()
}

// exchangedLocked ends an exchange with a peer. A change that came into force
// meanwhile is passed on now and not after the next heartbeat.
func (c *configSync) exchangedLocked(addr string, err error) {
	delete(c.asking, addr)
	if err == nil && c.peers[addr] < c.version() {
		c.syncLocked(addr)
	}
}

// exchange pushes the newer configuration or fetches it.
func (c *configSync) exchange(addr string) error {
	s := c.n.peers.byAddress(addr)
	if s == nil {
		return errors.New("not connected")
	}
	ctx, cancel := context.WithTimeout(c.n.ctx, resolveTimeout)
	defer cancel()
	version, text := c.inForce()
	c.mu.Lock()
	theirs := c.peers[addr]
	c.mu.Unlock()
	if theirs > version {
		return c.fetch(ctx, s)
	}
	answer, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{
		ConfigPush: &peerv1.ConfigPush{Version: version, Text: text},
	}})
	if err != nil {
		return err
	}
	if text := answer.GetAck().GetError(); text != "" {
		return errors.New(text)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = max(c.peers[addr], version)
	return nil
}

// fetch takes the configuration of a peer.
func (c *configSync) fetch(ctx context.Context, s *transport.Session) error {
	answer, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}}})
	if err != nil {
		return err
	}
	push := answer.GetConfigPush()
	return c.accept(push.GetVersion(), push.GetText(), "peer "+s.Peer().GetInstance())
}

// run takes the highest version that the data folder, the store and the peers
// offer, and follows the store if this entry is one of those that watch it.
func (c *configSync) run(ctx context.Context) {
	for c.version() == 0 && ctx.Err() == nil {
		startCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		err := c.dist.Start(startCtx, c.sources()...)
		cancel()
		if err != nil && ctx.Err() == nil {
			c.n.log.Warn("no configuration yet", "error", err)
			sleep(ctx, configPoll)
		}
	}
	for ctx.Err() == nil {
		if !c.watches() {
			sleep(ctx, configPoll)
			continue
		}
		if err := c.watchOnce(ctx); err != nil && ctx.Err() == nil {
			c.n.log.Debug("configuration not read from store", "error", err)
			sleep(ctx, configPoll)
		}
	}
}

// sources returns the store and the connected peers.
func (c *configSync) sources() []config.Source {
	out := []config.Source{c.store.Source()}
	for _, s := range c.n.peers.all() {
		out = append(out, func(ctx context.Context) (uint64, []byte, error) {
			answer, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}}})
			return answer.GetConfigPush().GetVersion(), answer.GetConfigPush().GetText(), err
		})
	}
	return out
}

// watches reports whether this entry is one of those of its failure domain that
// watch the store.
func (c *configSync) watches() bool {
	rank := 0
	self := ownership.Peer{Instance: c.n.cfg.Instance}
	for _, p := range c.n.owner.domainPeers() {
		if best, _ := ownership.HighestRanked([]ownership.Peer{self, p}, "config"); best.Instance != self.Instance {
			rank++
		}
	}
	return rank < watchersPerDomain
}

// watchOnce waits for a version above the one in force and offers it.
func (c *configSync) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	v, err := c.store.Watch(ctx, c.version())
	if err != nil {
		return err
	}
	return c.accept(v.Version, v.Text, "store")
}
