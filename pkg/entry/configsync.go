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

// configSync holds the shared configuration in force and spreads newer versions
// from the store to peers. Versions only grow.
type configSync struct {
	n     *Entry
	store *config.Store

	mu      sync.Mutex
	current config.Versioned
	parsed  core.Config
	peers   map[string]uint64 // configuration version by peer address
	asking  map[string]bool   // peers with a push or request under way
}

func newConfigSync(n *Entry) *configSync {
	return &configSync{
		n:      n,
		store:  config.NewStore(n.cfg.Store),
		peers:  make(map[string]uint64),
		asking: make(map[string]bool),
	}
}

func (c *configSync) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Version
}

func (c *configSync) inForce() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Version, c.current.Text
}

func (c *configSync) slotCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parsed.SlotCount
}

func (c *configSync) regions() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parsed.Regions
}

func (c *configSync) service(name string) (core.ServiceSpec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.parsed.Services[name]
	return s, ok
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

// accept puts a configuration in force if it is newer than the present one.
func (c *configSync) accept(version uint64, text []byte, source string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.current.Version {
		return nil
	}
	parsed, err := config.ParseShared(source, text)
	if err != nil {
		return errors.Wrapf(err, "configuration version %d from %s", version, source)
	}
	parsed.Version = version
	c.current = config.Versioned{Version: version, Text: text}
	c.parsed = parsed
	c.n.owner.setRegions(parsed.Regions)
	// Posted under the lock, so that the core sees versions in order.
	c.n.loop.post(core.ConfigApplied{At: now(), Config: parsed})
	c.n.log.Info("configuration in force", "version", version, "source", source)
	c.saveLocked()
	for addr, v := range c.peers {
		if v < version {
			c.syncLocked(addr)
		}
	}
	return nil
}

// peerVersion records the version of a peer and levels the two.
func (c *configSync) peerVersion(addr string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = version
	if version != c.current.Version {
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
		delete(c.asking, addr)
	}()
}

// exchange pushes the newer configuration or fetches it.
func (c *configSync) exchange(addr string) error {
	s := c.n.peers.byAddress(addr)
	if s == nil {
		return errors.New("not connected")
	}
	ctx, cancel := context.WithTimeout(c.n.ctx, resolveTimeout)
	defer cancel()
	c.mu.Lock()
	mine, theirs := c.current, c.peers[addr]
	c.mu.Unlock()
	if theirs > mine.Version {
		return c.fetch(ctx, s)
	}
	answer, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{
		ConfigPush: &peerv1.ConfigPush{Version: mine.Version, Text: mine.Text},
	}})
	if err != nil {
		return err
	}
	if text := answer.GetAck().GetError(); text != "" {
		return errors.New(text)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = max(c.peers[addr], mine.Version)
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

// run reads the configuration at start and follows it.
func (c *configSync) run(ctx context.Context) {
	c.load()
	for ctx.Err() == nil {
		if c.version() > 0 && !c.watches() {
			sleep(ctx, configPoll)
			continue
		}
		if err := c.watchOnce(ctx); err != nil && ctx.Err() == nil {
			c.n.log.Warn("configuration not read from store", "error", err)
			sleep(ctx, configPoll)
		}
	}
}

// watches reports whether this entry is one of those of its failure domain that
// watch the store.
func (c *configSync) watches() bool {
	rank := 0
	self := ownership.Peer{Instance: c.n.cfg.Instance}
	for _, p := range c.n.owner.domainPeers() {
		if best, _ := ownership.Highest([]ownership.Peer{self, p}, "config"); best.Instance != self.Instance {
			rank++
		}
	}
	return rank < watchersPerDomain
}

// watchOnce waits for a version newer than the present one.
func (c *configSync) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	v, err := c.store.Watch(ctx, c.version())
	if err != nil {
		return err
	}
	return c.accept(v.Version, v.Text, "store")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *configSync) load() {}

func (c *configSync) saveLocked() {}
