// Package peerstate transfers the state of the platform's store from entries, which watch
// the store, to other processes. A process can follow the feed of an entry or fetch the
// state once, so that it can serve while the store is unavailable.
package peerstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// requestTimeout bounds one request: some round trips between regions.
const requestTimeout = 400 * time.Millisecond

// Fetch requests the complete state from the entry at an address.
func Fetch(ctx context.Context, t *transport.Transport, address string) (*peerv1.StateReply, error) {
	return fetch(ctx, t, address, &peerv1.StateRequest{})
}

// HasConfiguration asks the entry at an address whether it has a configuration.
func HasConfiguration(ctx context.Context, t *transport.Transport, address string) (bool, error) {
	reply, err := fetch(ctx, t, address, &peerv1.StateRequest{Brief: true})
	return len(reply.GetConfiguration()) > 0, err
}

// FetchCurrent requests the configuration from the entry at an address, unless it is the known
// version, and when it was checked.
func FetchCurrent(ctx context.Context, t *transport.Transport, address string, known uint64) (*peerv1.StateReply, error) {
	return fetch(ctx, t, address, &peerv1.StateRequest{Brief: true, KnownVersion: known})
}

// Send sends a snapshot to the entry at an address.
func Send(ctx context.Context, t *transport.Transport, address string, s *Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return t.Tell(ctx, address, &peerv1.Envelope{Body: &peerv1.Envelope_StateReply{StateReply: s.Reply()}})
}

func fetch(ctx context.Context, t *transport.Transport, address string, req *peerv1.StateRequest) (*peerv1.StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	m, err := t.Ask(ctx, address, &peerv1.Envelope{Body: &peerv1.Envelope_StateRequest{StateRequest: req}})
	if err != nil {
		return nil, err
	}
	reply := m.GetStateReply()
	if reply == nil {
		return nil, errors.Errorf("state request to %s: unexpected reply", address)
	}
	return reply, nil
}

// Objects converts the objects of a message to objects of the store.
func Objects(list []*peerv1.StoredObject) []platform.Object {
	out := make([]platform.Object, 0, len(list))
	for _, o := range list {
		out = append(out, platform.Object{Name: o.GetName(), Spec: o.GetSpec(), Created: o.GetCreated()})
	}
	return out
}

// StoredObject converts an object of the store for a message.
func StoredObject(o platform.Object) *peerv1.StoredObject {
	return &peerv1.StoredObject{Name: o.Name, Spec: o.Spec, Created: o.Created}
}

// StoredObjects is the inverse of Objects.
func StoredObjects(byName map[string]platform.Object) []*peerv1.StoredObject {
	out := make([]*peerv1.StoredObject, 0, len(byName))
	for _, o := range byName {
		out = append(out, StoredObject(o))
	}
	return out
}

// StoredSpecs is like StoredObjects for objects of which only the specs are kept.
func StoredSpecs(specs map[string][]byte) []*peerv1.StoredObject {
	out := make([]*peerv1.StoredObject, 0, len(specs))
	for name, spec := range specs {
		out = append(out, &peerv1.StoredObject{Name: name, Spec: spec})
	}
	return out
}
