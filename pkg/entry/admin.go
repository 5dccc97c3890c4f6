package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// statusTimeout bounds the question for one peer's status.
const statusTimeout = time.Second

// Drain implements frontend.Admin.
func (n *Entry) Drain() {
	n.log.Info("drain ordered by an operator")
	n.startDrain()
}

// Adopt implements frontend.Admin.
func (n *Entry) Adopt(region string) {
	n.log.Info("adoption of a region ordered by an operator", "region", region)
	n.owner.adopt(region)
}

// ReleaseQuarantine implements frontend.Admin.
func (n *Entry) ReleaseQuarantine(fingerprint uint64) {
	n.log.Info("quarantine released by an operator", "fingerprint", fingerprint)
	n.loop.post(core.QuarantineChanged{At: now(), Fingerprint: fingerprint, Released: true})
	go n.shareQuarantine(core.ShareQuarantine{Fingerprint: fingerprint, Released: true})
}

// FleetStatus is the status of this process and of its connected peers.
type FleetStatus struct {
	Self  Status                     `json:"self"`
	Peers map[string]json.RawMessage `json:"peers"` // by instance
}

// Fleet implements frontend.Admin.
func (n *Entry) Fleet(ctx context.Context) any {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := FleetStatus{Self: n.status(), Peers: make(map[string]json.RawMessage)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range n.peers.all() {
		wg.Add(1)
		go func(s *transport.Session) {
			defer wg.Done()
			status := askStatus(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			out.Peers[s.Peer().GetInstance()] = status
		}(s)
	}
	wg.Wait()
	return out
}

// askStatus returns the status of a peer, or an object with the error.
func askStatus(ctx context.Context, s *transport.Session) json.RawMessage {
	answer, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_StatusRequest{StatusRequest: &peerv1.StatusRequest{}}})
	if err == nil && json.Valid(answer.GetStatusReply().GetJson()) {
		return answer.GetStatusReply().GetJson()
	}
	text := "the status is not JSON"
	if err != nil {
		text = err.Error()
	}
	out, err := json.Marshal(map[string]string{"error": text})
	if err != nil {
		return json.RawMessage(`{}`)
	}
	return out
}
