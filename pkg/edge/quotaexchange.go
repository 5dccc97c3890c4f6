package edge

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/quota"
)

const (
	// quotaTimeout limits one request for tokens. It exceeds a round trip between regions and
	// leaves a waiting request time to ask another coordinator (see quota.MaxWait).
	quotaTimeout = 100 * time.Millisecond
	// maxQuotaDemands bounds the demands of one request that are answered.
	maxQuotaDemands = 4096
)

// send sends a request for tokens and applies the reply.
func (q *quotas) send(ctx context.Context, a quota.Ask) {
	reply, err := askForTokens(ctx, q.e, a)
	q.mu.Lock()
	now := q.now()
	if err == nil {
		g := decodeQuotaGrant(reply)
		q.node.Reply(a, g, now)
		q.metrics.reply(g)
	} else {
		q.node.Fail(a, now)
	}
	q.signal()
	q.mu.Unlock()
	if err != nil {
		q.metrics.failed.Inc()
		q.e.logger.Debug("coordinator of quotas not reached", "peer", a.To, "err", err)
	}
}

// answerSelf answers a request of this edge to itself.
func (q *quotas) answerSelf(a quota.Ask) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	g := q.node.Handle(a.Request, now)
	q.metrics.reply(g)
	q.node.Reply(a, g, now)
	q.signal()
}

// signal wakes the requests that wait for tokens. The caller holds the lock.
func (q *quotas) signal() {
	if q.waiting > 0 {
		close(q.changed)
		q.changed = make(chan struct{})
	}
}

// handle answers a request for tokens.
func (q *quotas) handle(r *peerv1.QuotaRequest) *peerv1.QuotaGrant {
	q.applyTable()
	req := decodeQuotaRequest(r)
	q.mu.Lock()
	g := q.node.Handle(req, q.now())
	q.mu.Unlock()
	q.metrics.handled(g)
	return encodeQuotaGrant(g)
}

// askForTokens sends one request and waits for the reply.
func askForTokens(ctx context.Context, e *Edge, a quota.Ask) (*peerv1.QuotaGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	m, err := e.transport.Ask(ctx, a.To, &peerv1.Envelope{Body: &peerv1.Envelope_QuotaRequest{QuotaRequest: encodeQuotaRequest(a.Request)}})
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s for tokens", a.To)
	}
	reply := m.GetQuotaGrant()
	if reply == nil {
		return nil, errors.Errorf("ask %s for tokens: unexpected reply of type %T", a.To, m.GetBody())
	}
	return reply, nil
}

func encodeQuotaRequest(r quota.Request) *peerv1.QuotaRequest {
	out := &peerv1.QuotaRequest{Edge: r.From, ConfigVersion: r.ConfigVersion, Members: r.Members, Starting: r.Starting}
	for _, d := range r.Demands {
		out.Demands = append(out.Demands, &peerv1.QuotaDemand{Workspace: d.Workspace, Wanted: d.Wanted, Urgent: d.Urgent, Used: d.Used})
	}
	return out
}

func decodeQuotaRequest(w *peerv1.QuotaRequest) quota.Request {
	r := quota.Request{From: w.GetEdge(), ConfigVersion: w.GetConfigVersion(), Members: w.GetMembers(), Starting: w.GetStarting()}
	demands := w.GetDemands()
	for _, d := range demands[:min(len(demands), maxQuotaDemands)] {
		r.Demands = append(r.Demands, quota.Demand{Workspace: d.GetWorkspace(), Wanted: d.GetWanted(), Urgent: d.GetUrgent(), Used: d.GetUsed()})
	}
	return r
}

func encodeQuotaGrant(g quota.Grant) *peerv1.QuotaGrant {
	out := &peerv1.QuotaGrant{Refused: g.Refused, ConfigVersion: g.ConfigVersion, Members: g.Members}
	for _, t := range g.Tokens {
		out.Tokens = append(out.Tokens, &peerv1.QuotaTokens{
			Workspace: t.Workspace, Granted: t.Granted, LifeMs: wireMs(t.Life), NextMs: wireMs(t.Next),
		})
	}
	return out
}

func decodeQuotaGrant(w *peerv1.QuotaGrant) quota.Grant {
	g := quota.Grant{Refused: w.GetRefused(), ConfigVersion: w.GetConfigVersion(), Members: w.GetMembers()}
	for _, t := range w.GetTokens() {
		g.Tokens = append(g.Tokens, quota.Tokens{
			Workspace: t.GetWorkspace(), Granted: t.GetGranted(),
			Life: time.Duration(t.GetLifeMs()) * time.Millisecond, Next: time.Duration(t.GetNextMs()) * time.Millisecond,
		})
	}
	return g
}

// wireMs returns whole milliseconds, rounded down: tokens must not live longer than they count
// at the coordinator.
func wireMs(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
