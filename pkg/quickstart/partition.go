package quickstart

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// partition separates regions: connections between them go silent and new ones
// cannot be made.
type partition struct {
	mu      sync.Mutex
	regions map[string]string // region by peer address
	cut     map[[2]string]bool
	healed  chan struct{} // closed and replaced when a cut is healed
}

func newPartition() *partition {
	return &partition{
		regions: make(map[string]string),
		cut:     make(map[[2]string]bool),
		healed:  make(chan struct{}),
	}
}

// errPartitioned is the error of a connection attempt between separated regions.
var errPartitioned = errors.New("regions are separated")

func pair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (p *partition) place(address, region string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regions[address] = region
}

func (p *partition) set(a, b string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut {
		p.cut[pair(a, b)] = true
		return
	}
	delete(p.cut, pair(a, b))
	close(p.healed)
	p.healed = make(chan struct{})
}

// wait blocks while the regions are separated. It returns false if the
// connection is closed first.
func (p *partition) wait(a, b string, closed <-chan struct{}) bool {
	for {
		p.mu.Lock()
		cut, healed := p.cut[pair(a, b)], p.healed
		p.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-closed:
			return false
		}
	}
}

func (p *partition) separated(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[pair(a, b)]
}

// dialer returns the dial function of a process in a region.
func (p *partition) dialer(region string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		p.mu.Lock()
		target := p.regions[address]
		p.mu.Unlock()
		if p.separated(region, target) {
			return nil, errPartitioned
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, p: p, from: region, to: target, closed: make(chan struct{})}, nil
	}
}

// partitionedConn is a connection that goes silent while its ends are
// separated.
type partitionedConn struct {
	net.Conn
	p        *partition
	from, to string
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.p.wait(c.from, c.to, c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if !c.p.wait(c.from, c.to, c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SplitRegions separates two regions. The store is in storeRegion: entries of
// the other one cannot reach it.
func (d *Deployment) SplitRegions(storeRegion, other string) {
	d.net.set(storeRegion, other, true)
	d.storeFaults(other, objectapi.Faults{Outage: true})
}

// HealRegions joins two regions again.
func (d *Deployment) HealRegions(storeRegion, other string) {
	d.storeFaults(other, objectapi.Faults{})
	d.net.set(storeRegion, other, false)
}

func (d *Deployment) storeFaults(region string, f objectapi.Faults) {
	for _, e := range d.opt.Entries {
		if e.Region == region {
			d.Store.Memory().SetFaults(e.Name, f)
		}
	}
}

// LoseDomain ends every process and upstream of a failure domain as a power cut
// does. The instance list forgets them after the lag.
func (d *Deployment) LoseDomain(domain string, lag time.Duration) {
	var gone []string
	for _, e := range d.opt.Entries {
		if e.FailureDomain == domain {
			d.KillEntry(e.Name)
			gone = append(gone, e.Name)
		}
	}
	for _, e := range d.opt.Engines {
		if e.FailureDomain == domain {
			_ = d.Engines[e.Name].Close()
			gone = append(gone, d.killSidecar(e.Name))
		}
	}
	for _, s := range d.opt.Services {
		if s.FailureDomain == domain {
			_ = d.Services[s.Name].Close()
			gone = append(gone, d.killSidecar(s.Name))
		}
	}
	time.AfterFunc(lag, func() {
		for _, id := range gone {
			d.Unlist(id)
		}
	})
}

// killSidecar ends a sidecar at once and returns its name in the list.
func (d *Deployment) killSidecar(upstream string) string {
	d.mu.Lock()
	s := d.Sidecars[upstream]
	delete(d.Sidecars, upstream)
	d.mu.Unlock()
	if s != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx) // the context has ended: work is cut
	}
	return "sidecar-" + upstream
}
