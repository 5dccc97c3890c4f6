// Package peerstate asks an entry for what it knows of the platform's store,
// for processes that the store does not answer.
package peerstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// timeout bounds one question: some round trips between regions.
const timeout = 400 * time.Millisecond

// Fetch asks the entry at an address for all it knows.
func Fetch(ctx context.Context, t *transport.Transport, address string) (*peerv1.StateReply, error) {
	return fetch(ctx, t, address, &peerv1.StateRequest{})
}

// HasConfiguration asks the entry at an address whether it knows a configuration.
func HasConfiguration(ctx context.Context, t *transport.Transport, address string) (bool, error) {
	reply, err := fetch(ctx, t, address, &peerv1.StateRequest{Brief: true})
	return len(reply.GetConfiguration()) > 0, err
}

// Send sends what this process knows to the entry at an address.
func Send(ctx context.Context, t *transport.Transport, address string, s *Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Tell(ctx, address, &peerv1.Envelope{Body: &peerv1.Envelope_StateReply{StateReply: s.Reply()}})
}

func fetch(ctx context.Context, t *transport.Transport, address string, req *peerv1.StateRequest) (*peerv1.StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// Objects returns the objects of a reply as the store would list them.
func Objects(list []*peerv1.StoredObject) []platform.Object {
	out := make([]platform.Object, 0, len(list))
	for _, o := range list {
		out = append(out, platform.Object{Name: o.GetName(), Spec: o.GetSpec(), Created: o.GetCreated()})
	}
	return out
}

// StoredObject is the form of one object in a message.
func StoredObject(o platform.Object) *peerv1.StoredObject {
	return &peerv1.StoredObject{Name: o.Name, Spec: o.Spec, Created: o.Created}
}

// StoredObjects is the reverse of Objects.
func StoredObjects(byName map[string]platform.Object) []*peerv1.StoredObject {
	out := make([]*peerv1.StoredObject, 0, len(byName))
	for _, o := range byName {
		out = append(out, StoredObject(o))
	}
	return out
}

// StoredSpecs is the reverse of Objects, for objects of which only the content is
// kept.
func StoredSpecs(specs map[string][]byte) []*peerv1.StoredObject {
	out := make([]*peerv1.StoredObject, 0, len(specs))
	for name, spec := range specs {
		out = append(out, &peerv1.StoredObject{Name: name, Spec: spec})
	}
	return out
}
