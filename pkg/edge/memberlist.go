package edge

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// memberReadInterval is the shortest time between two reads of the list of storage
	// processes, so that callers that name turns that never existed cost at most 10
	// calls to the store in a second, of each edge.
	memberReadInterval = 100 * time.Millisecond
	// memberReadTimeout limits one read. Together with the interval it leaves time of
	// ledgerTimeout to ask the members.
	memberReadTimeout = 600 * time.Millisecond
)

// memberReader reads the list of storage processes from the platform's store for requests
// that need a current one. Requests that wait for the beginning of a read share it.
type memberReader struct {
	list func() ([]ledger.Member, error)

	reading chan struct{} // holds a token during a read and the pause before it
	mu      sync.Mutex
	next    *memberRead // the read that has not begun yet; nil: none
	began   time.Time   // of the last read
}

func newMemberReader(list func() ([]ledger.Member, error)) *memberReader {
	return &memberReader{list: list, reading: make(chan struct{}, 1)}
}

// memberRead is one read. The list and the error are valid once done is closed.
type memberRead struct {
	done    chan struct{}
	members []ledger.Member
	err     error
}

// read returns the active storage processes as the store lists them after the call began.
func (m *memberReader) read(ctx context.Context) ([]ledger.Member, error) {
	m.mu.Lock()
	r := m.next
	if r == nil {
		r = &memberRead{done: make(chan struct{})}
		m.next = r
		go m.run(r)
	}
	m.mu.Unlock()
	select {
	case <-r.done:
		return r.members, r.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the list of storage processes")
	}
}

func (m *memberReader) run(r *memberRead) {
	m.reading <- struct{}{}
	defer func() { <-m.reading }()
	m.mu.Lock()
	pause := time.Until(m.began.Add(memberReadInterval))
	m.mu.Unlock()
	time.Sleep(pause)
	m.mu.Lock()
	m.next, m.began = nil, time.Now() // later requests need a later read
	m.mu.Unlock()
	r.members, r.err = m.list()
	close(r.done)
}

// ReadStorage implements ledger.Directory.
func (v *view) ReadStorage(ctx context.Context) ([]ledger.Member, error) {
	return v.memberReader.read(ctx)
}

// listStorage reads the active storage processes from the platform's store.
func (v *view) listStorage() ([]ledger.Member, error) {
	ctx, cancel := context.WithTimeout(context.Background(), memberReadTimeout)
	defer cancel()
	objects, _, err := v.e.store.Load().List(ctx, platform.KindNodes)
	v.e.metrics.membersRead(err)
	if err != nil {
		return nil, errors.Wrap(err, "list storage processes")
	}
	var members []ledger.Member
	for _, o := range objects {
		n, err := platform.DecodeNode(o)
		if err != nil {
			// A process that cannot be asked leaves it uncertain whether a turn exists.
			return nil, err
		}
		if isMember(n) {
			members = append(members, v.e.member(o.Name, n))
		}
	}
	return members, nil
}

// isMember reports whether a registration is that of an active storage process.
func isMember(n platform.Node) bool {
	return n.Role == platform.RoleStorage && n.Active && !n.Removed
}

// member returns the member of the ledger with a registration.
func (e *Edge) member(name string, n platform.Node) ledger.Member {
	local := e.settings.RegionOf[n.FailureDomain] == e.settings.Region
	return ledger.Member{Name: name, Address: n.Address, Local: local}
}
