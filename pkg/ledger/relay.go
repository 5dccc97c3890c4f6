package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Delays between attempts to reach an unreachable member directly. The delay
// starts short, since the member may just be starting, and doubles each time.
const (
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
)

// redial dials an unreachable member until it succeeds or the member is no longer
// in the directory, and then marks it as reachable.
func (c *Client) redial(m Member) {
	for delay := redialMin; slices.Contains(c.directory.Storage(), m); delay = min(2*delay, redialMax) {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		_, err := c.transport.Dial(ctx, m.Address)
		cancel()
		if err == nil {
			c.logger.Info("storage process reached again", "member", m.Name, "address", m.Address)
			break
		}
	}
	c.unreachableMembers.remove(m.Address)
}

// requestViaRelay sends a request through the relays, one after the other,
// starting with the one that worked last.
func (c *Client) requestViaRelay(ctx context.Context, m Member, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	err := errors.Errorf("no relay reaches %s", m.Address)
	relays := c.directory.Relays()
	if last := c.unreachableMembers.preferredRelay(); slices.Contains(relays, last) {
		relays = append([]string{last}, relays...)
	}
	for _, relay := range relays {
		relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, relayErr := Call(relayCtx, c.transport, relay, &peerv1.LedgerRequest{RelayTo: m.Address, Op: req.GetOp()})
		cancel()
		if relayErr == nil && reply.GetStatus() != peerv1.LedgerReply_UNREACHABLE {
			c.unreachableMembers.setPreferredRelay(relay)
			return reply, nil
		}
		if relayErr != nil {
			err = relayErr
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// unreachableMembers holds the addresses of the members that this process cannot
// reach directly, and the relay that worked last.
type unreachableMembers struct {
	mu        sync.Mutex
	members   map[string]bool
	preferred string // relay that worked last
}

func (u *unreachableMembers) contains(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.members[address]
}

// add adds a member and reports whether it was not in the set before.
func (u *unreachableMembers) add(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.members == nil {
		u.members = make(map[string]bool)
	}
	known := u.members[address]
	u.members[address] = true
	return !known
}

func (u *unreachableMembers) remove(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.members, address)
}

func (u *unreachableMembers) preferredRelay() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.preferred
}

func (u *unreachableMembers) setPreferredRelay(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.preferred = address
}
