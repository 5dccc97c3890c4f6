package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// A member that only a relay reaches is dialed after a pause that doubles from
// redialMin, since it may just be starting, to redialMax.
const (
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
)

// findBack dials a member that is cut off until it is reached, or no member
// any more.
func (c *Client) findBack(m Member) {
	for pause := redialMin; slices.Contains(c.directory.Storage(), m); pause = min(2*pause, redialMax) {
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
		_, err := c.transport.Dial(ctx, m.Address)
		cancel()
		if err == nil {
			c.logger.Info("storage process reached again", "member", m.Name, "address", m.Address)
			break
		}
	}
	c.cutOff.remove(m.Address)
}

// relayed sends a request through other entries, one after the other, first
// through the one that worked last.
func (c *Client) relayed(ctx context.Context, m Member, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	err := errors.Errorf("no relay to %s", m.Address)
	relays := c.directory.Relays()
	if last := c.cutOff.lastRelay(); slices.Contains(relays, last) {
		relays = append([]string{last}, relays...)
	}
	for _, relay := range relays {
		rctx, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, rerr := Call(rctx, c.transport, relay, &peerv1.LedgerRequest{RelayTo: m.Address, Op: req.GetOp()})
		cancel()
		if rerr == nil && reply.GetStatus() != peerv1.LedgerReply_UNREACHABLE {
			c.cutOff.relayWorked(relay)
			return reply, nil
		}
		if rerr != nil {
			err = rerr
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// cutOff keeps which members this process can not reach directly, and the
// relay that worked last.
type cutOff struct {
	mu      sync.Mutex
	members map[string]bool
	relay   string
}

func (c *cutOff) is(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[address]
}

// add notes a member and reports whether it was not noted yet.
func (c *cutOff) add(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = make(map[string]bool)
	}
	known := c.members[address]
	c.members[address] = true
	return !known
}

func (c *cutOff) remove(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.members, address)
}

func (c *cutOff) lastRelay() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay
}

func (c *cutOff) relayWorked(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay = address
}
