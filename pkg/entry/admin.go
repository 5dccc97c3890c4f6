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

// peerStatusTimeout limits the status requests that Fleet sends to all peers.
const peerStatusTimeout = time.Second

// Drain implements frontend.Admin.
func (n *Entry) Drain() {
	n.log.Info("drain requested by an operator")
	n.startDrain()
}

// Adopt implements frontend.Admin.
func (n *Entry) Adopt(region string) {
	n.log.Info("adoption of a region requested by an operator", "region", region)
	n.owner.adopt(region)
}

// ReleaseQuarantine implements frontend.Admin.
func (n *Entry) ReleaseQuarantine(fingerprint uint64) {
	n.log.Info("quarantine released by an operator", "fingerprint", fingerprint)
	n.loop.post(core.QuarantineChanged{At: now(), Fingerprint: fingerprint, Released: true})
	go n.shareQuarantine(core.ShareQuarantine{Fingerprint: fingerprint, Released: true})
}

// FleetStatus holds the status of this process and of every connected peer.
type FleetStatus struct {
	Self  Status                     `json:"self"`
	Peers map[string]json.RawMessage `json:"peers"` // by instance
}

// Fleet implements frontend.Admin.
func (n *Entry) Fleet(ctx context.Context) any {
	ctx, cancel := context.WithTimeout(ctx, peerStatusTimeout)
	defer cancel()
	out := FleetStatus{Self: n.status(), Peers: make(map[string]json.RawMessage)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range n.peers.allSessions() {
		wg.Add(1)
		go func(s *transport.Session) {
			defer wg.Done()
			status := fetchStatus(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			out.Peers[s.Peer().GetInstance()] = status
		}(s)
	}
	wg.Wait()
	return out
}

// fetchStatus requests the status of a peer. If that fails, it returns a JSON
// object with the field "error".
func fetchStatus(ctx context.Context, s *transport.Session) json.RawMessage {
	response, err := roundTrip(ctx, s, &peerv1.Envelope{Body: &peerv1.Envelope_StatusRequest{StatusRequest: &peerv1.StatusRequest{}}})
	if err == nil && json.Valid(response.GetStatusReply().GetJson()) {
		return response.GetStatusReply().GetJson()
	}
	message := "the status is not JSON"
	if err != nil {
		message = err.Error()
	}
	out, err := json.Marshal(map[string]string{"error": message})
	if err != nil {
		return json.RawMessage(`{}`)
	}
	return out
}
