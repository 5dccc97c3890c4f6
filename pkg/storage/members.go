package storage

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// members holds the registrations of the processes that this one knows.
type members struct {
	self     string
	region   string
	regionOf map[string]string // failure domain to region
	logger   *slog.Logger

	mu    sync.Mutex
	nodes map[string]platform.Node
	// registeredAt is the time in the registration that this process has written
	// since it started, or zero. Events with an earlier registration may still
	// arrive.
	registeredAt time.Time
	listed       bool // the registrations were read at least once
	lost         bool // no updates are being received
}

func newMembers(s *platform.Settings, logger *slog.Logger) *members {
	return &members{
		self: s.Node, region: s.Region, regionOf: s.RegionOf, logger: logger,
		nodes: make(map[string]platform.Node), lost: true,
	}
}

// put adds or replaces a registration. It ignores outdated ones of this process.
func (m *members) put(o platform.Object) {
	n, err := platform.DecodeNode(o)
	if err != nil {
		m.logger.Warn("registration ignored", "node", o.Name, "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Name == m.self && !m.registeredAt.IsZero() && !n.Started.Equal(m.registeredAt) {
		return
	}
	m.nodes[o.Name] = n
}

// entries returns the addresses of all entries.
func (m *members) entries() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, n := range m.nodes {
		if n.Role == platform.RoleEdge {
			list = append(list, n.Address)
		}
	}
	return list
}

// distance returns 0 for the address of an entry in the region of this process
// and 1 for any other address.
func (m *members) distance(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		if n.Address == address && n.Role == platform.RoleEdge && m.local(n) {
			return 0
		}
	}
	return 1
}

// local reports whether a node is in the region of this process.
func (m *members) local(n platform.Node) bool { return m.regionOf[n.FailureDomain] == m.region }

// others returns the active storage processes except this one, those of its
// region first, and whether the registrations are known.
func (m *members) others() ([]platform.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []platform.Node
	for name, n := range m.nodes {
		if name != m.self && n.Role == platform.RoleStorage && n.Active && !n.Removed {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b platform.Node) int {
		if la, lb := m.local(a), m.local(b); la != lb {
			if la {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return list, m.listed
}

// own returns the registration of this process, if there is one.
func (m *members) own() (platform.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.nodes[m.self]
	return n, ok
}

// setOwn sets the registration that this process has just written. Created keeps
// its previous value until the event of the store arrives.
func (m *members) setOwn(n platform.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n.Name = m.self
	n.Created = m.nodes[m.self].Created
	m.registeredAt = n.Started
	m.nodes[m.self] = n
}

func (m *members) setLost(lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = lost
	m.listed = m.listed || !lost
}

// live reports whether the registrations are known and changes of them are received.
func (m *members) live() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed && !m.lost
}

// nodeHandler applies events about registrations to members.
type nodeHandler struct{ target *members }

func (h nodeHandler) Listed(objects []platform.Object, _ bool) {
	for _, o := range objects {
		h.target.put(o)
	}
	h.target.setLost(false)
}

func (h nodeHandler) Changed(changes []platform.Change) {
	for _, c := range changes {
		if !c.Deleted {
			h.target.put(c.Object)
			continue
		}
		h.target.mu.Lock()
		delete(h.target.nodes, c.Object.Name)
		h.target.mu.Unlock()
	}
}

func (h nodeHandler) Lost(error) { h.target.setLost(true) }

// entryPollInterval is how often the entries are asked while the registrations
// are not known.
const entryPollInterval = 500 * time.Millisecond

// pollEntries asks entries for the registrations until these are known, in case
// the store does not respond.
func (s *Storage) pollEntries(ctx context.Context) {
	t := time.NewTicker(entryPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if _, known := s.members.others(); known {
			continue
		}
		nodes, err := s.fetchNodesFromEntry(ctx)
		if err != nil {
			s.logger.Debug("failed to read the registrations from an entry", "err", err)
			continue
		}
		for _, o := range nodes {
			s.members.put(o)
		}
		s.members.mu.Lock()
		s.members.listed = true
		s.members.mu.Unlock()
	}
}

// fetchNodesFromEntry returns the registrations known to the first seed entry
// that has any.
func (s *Storage) fetchNodesFromEntry(ctx context.Context) ([]platform.Object, error) {
	err := errors.New("no seed entry is configured")
	for _, address := range s.seedAddresses() {
		var reply *peerv1.StateReply
		if reply, err = peerstate.Fetch(ctx, s.transport, address); err != nil {
			continue
		}
		if nodes := peerstate.Objects(reply.GetNodes()); len(nodes) > 0 {
			return nodes, nil
		}
		err = errors.Errorf("entry %s has no registrations", address)
	}
	return nil, err
}
