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
	// watchersPerDomain is the number of entries in each failure domain that
	// watch the configuration in the store. The other entries receive it from
	// peers, because the store counts a waiting watch as a call.
	watchersPerDomain   = 2
	watchTimeout        = 30 * time.Second
	configRetryInterval = 500 * time.Millisecond
)

// configSync holds the current version of the shared configuration and
// synchronizes it with the peers. A version is only replaced by a higher one.
type configSync struct {
	n           *Entry
	store       *config.Store
	distributor *config.Distributor

	mu         sync.Mutex
	peers      map[string]uint64 // configuration version of each peer, by address
	exchanging map[string]bool   // addresses of peers with a running exchange
}

func newConfigSync(n *Entry) *configSync {
	c := &configSync{
		n:          n,
		store:      config.NewStore(n.cfg.Store),
		peers:      make(map[string]uint64),
		exchanging: make(map[string]bool),
	}
	c.distributor = config.NewDistributor(config.DistributorOptions{
		Folder: n.cfg.DataFolder, Applied: c.onApplied, Logger: n.log,
	})
	return c
}

// onApplied applies a new configuration to this process. The distributor calls it
// once for each version, in order. An entry that watches the store also pushes
// the version to its peers at once. If every entry did so, each process would
// receive every change from each entry. Processes that the watchers cannot reach
// receive the change after their next heartbeat exchange with any entry.
func (c *configSync) onApplied(cfg core.Config) {
	c.n.owner.setRegions(cfg.Regions)
	c.n.loop.post(core.ConfigApplied{At: now(), Config: cfg})
	for _, addr := range c.pushTargets(cfg.Version) {
		c.mu.Lock()
		c.startExchangeLocked(addr)
		c.mu.Unlock()
	}
}

// pushTargets returns the addresses of the peers to which this entry pushes a new
// version at once: none if it does not watch the store, otherwise all peers with
// an older version.
func (c *configSync) pushTargets(version uint64) []string {
	if !c.watchesStore() {
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
	v, _ := c.distributor.Current()
	return v
}

func (c *configSync) current() (uint64, []byte) { return c.distributor.Current() }

func (c *configSync) slotCount() int {
	cfg, _ := c.distributor.Config()
	return cfg.SlotCount
}

func (c *configSync) regions() []string {
	cfg, _ := c.distributor.Config()
	return cfg.Regions
}

func (c *configSync) service(name string) (core.ServiceSpec, bool) {
	cfg, _ := c.distributor.Config()
	s, ok := cfg.Services[name]
	return s, ok
}

// offer passes a version from a peer or the store to the distributor, which
// applies it if it is newer than the current one.
func (c *configSync) offer(version uint64, text []byte, source string) error {
	_, err := c.distributor.Offer(version, text)
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

// onPeerVersion records the version that a peer reported and starts an exchange if
// it differs from the version of this entry.
func (c *configSync) onPeerVersion(addr string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = version
	if version != c.version() {
		c.startExchangeLocked(addr)
	}
}

// startExchangeLocked starts an exchange with a peer unless one is running. c.mu
// must be held.
func (c *configSync) startExchangeLocked(addr string) {
	if c.exchanging[addr] {
		return
	}
	c.exchanging[addr] = true
	go func() {
		err := c.exchange(addr)
		if err != nil && c.n.ctx.Err() == nil {
			c.n.log.Debug("configuration exchange with peer failed", "peer", addr, "error", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.finishExchangeLocked(addr, err)
	}()
}

// finishExchangeLocked ends an exchange with a peer. If a newer version was
// applied during the exchange, it starts another one at once instead of waiting
// for the next heartbeat. c.mu must be held.
func (c *configSync) finishExchangeLocked(addr string, err error) {
	delete(c.exchanging, addr)
	if err == nil && c.peers[addr] < c.version() {
		c.startExchangeLocked(addr)
	}
}

// exchange fetches the configuration of a peer if that has a newer version, and
// otherwise pushes the configuration of this entry to the peer.
func (c *configSync) exchange(addr string) error {
	s := c.n.peers.sessionByAddress(addr)
	if s == nil {
		return errors.New("no connection to the peer")
	}
	ctx, cancel := context.WithTimeout(c.n.ctx, peerRequestTimeout)
	defer cancel()
	version, message := c.current()
	c.mu.Lock()
	peerVersion := c.peers[addr]
	c.mu.Unlock()
	if peerVersion > version {
		return c.fetch(ctx, s)
	}
	response, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{
		ConfigPush: &peerv1.ConfigPush{Version: version, Text: message},
	}})
	if err != nil {
		return err
	}
	if message := response.GetAck().GetError(); message != "" {
		return errors.New(message)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = max(c.peers[addr], version)
	return nil
}

// fetch requests the configuration of a peer and offers it to the distributor.
func (c *configSync) fetch(ctx context.Context, s *transport.Session) error {
	response, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}}})
	if err != nil {
		return err
	}
	push := response.GetConfigPush()
	return c.offer(push.GetVersion(), push.GetText(), "peer "+s.Peer().GetInstance())
}

// run starts with the highest version found in the data folder, in the store and
// at the peers. After that it watches the store if this entry is one of the
// watchers of its failure domain.
func (c *configSync) run(ctx context.Context) {
	for c.version() == 0 && ctx.Err() == nil {
		startCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		err := c.distributor.Start(startCtx, c.sources()...)
		cancel()
		if err != nil && ctx.Err() == nil {
			c.n.log.Warn("no configuration yet", "error", err)
			sleep(ctx, configRetryInterval)
		}
	}
	for ctx.Err() == nil {
		if !c.watchesStore() {
			sleep(ctx, configRetryInterval)
			continue
		}
		if err := c.watchOnce(ctx); err != nil && ctx.Err() == nil {
			c.n.log.Debug("configuration watch failed", "error", err)
			sleep(ctx, configRetryInterval)
		}
	}
}

// sources returns the store and the connected peers as sources of the
// configuration.
func (c *configSync) sources() []config.Source {
	out := []config.Source{c.store.Source()}
	for _, s := range c.n.peers.allSessions() {
		out = append(out, func(ctx context.Context) (uint64, []byte, error) {
			response, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}}})
			return response.GetConfigPush().GetVersion(), response.GetConfigPush().GetText(), err
		})
	}
	return out
}

// watchesStore reports whether this entry is one of the watchersPerDomain entries
// of its failure domain that watch the store, chosen by rendezvous hashing.
func (c *configSync) watchesStore() bool {
	rank := 0
	self := ownership.Peer{Instance: c.n.cfg.Instance}
	for _, p := range c.n.owner.liveDomainPeers() {
		if best, _ := ownership.HighestRanked([]ownership.Peer{self, p}, "config"); best.Instance != self.Instance {
			rank++
		}
	}
	return rank < watchersPerDomain
}

// watchOnce waits until the store has a version above the current one and offers
// it to the distributor.
func (c *configSync) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	v, err := c.store.Watch(ctx, c.version())
	if err != nil {
		return err
	}
	return c.offer(v.Version, v.Text, "store")
}
