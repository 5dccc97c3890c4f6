package edge

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
)

const (
	// maxPromptParts bounds the parts of a prompt that are looked up. Prompts have two to five
	// parts; the rest of a longer list counts as not cached.
	maxPromptParts = 16
	// maxStatedTokens bounds what a caller can state. Prompts have up to some 10,000 tokens.
	maxStatedTokens = 1 << 22
)

// placement is what was expected of an attempt when its upstream was chosen.
type placement struct {
	expected time.Duration // at the usual pace; 0: counts of requests decided
	read     int           // tokens of the prompt that were probably not cached
}

// by names the cost that decided, in logs and metrics.
func (p placement) by() string {
	if p.expected > 0 {
		return "time"
	}
	return "counts"
}

// describeWork adds to a request for the fleet what its turn costs.
func (c *call) describeWork(r *fleet.Request) {
	if c.route.Kind != routing.Stream {
		return
	}
	service := c.table.Service(c.service)
	r.EventTokens, r.CacheTokens = service.TokensPerEvent, service.CacheTokens
	r.PromptTokens, r.OutputTokens = statedTokens(c.req.PromptTokens), statedTokens(c.req.ExpectedTokens)
	if limit := statedTokens(c.req.MaxTokens); limit > 0 {
		r.OutputTokens = min(r.OutputTokens, limit)
	}
	if key := c.affinityKey(); key != "" {
		r.Conversation = fleet.PartKey(key)
	}
	r.LaterTurn, r.Partial = c.programStarted, c.headSent || c.req.LastEventID != ""
	r.Prompt = c.promptParts()
}

// promptParts returns the leading parts of the prompt.
func (c *call) promptParts() []fleet.Part {
	n := min(len(c.req.PromptPrefix), maxPromptParts)
	if c.parts == nil && n > 0 {
		c.parts = make([]fleet.Part, n)
		for i, p := range c.req.PromptPrefix[:n] {
			c.parts[i] = fleet.Part{Key: fleet.PartKey(p.ID), Tokens: statedTokens(p.Tokens)}
		}
	}
	return c.parts
}

// statedTokens bounds a number of tokens that a caller stated.
func statedTokens(n int) int { return min(max(n, 0), maxStatedTokens) }

// recordPlacement starts the record of a placed attempt: it counts by which cost the upstream was
// chosen, and with which expectations.
func (c *call) recordPlacement() {
	c.placed.expected, c.placed.read = c.work.Expected()
	c.writtenAt = time.Time{}
	c.e.metrics.placement(c.placed)
}
