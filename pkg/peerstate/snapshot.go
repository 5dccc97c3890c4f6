package peerstate

import (
	"io/fs"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Snapshot is what a process knows of the platform's store, kept for a restart
// at which the store does not answer.
type Snapshot struct {
	Configuration    []byte
	Upstreams, Nodes map[string][]byte // as the store has them, by name
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() *Snapshot {
	return &Snapshot{Upstreams: make(map[string][]byte), Nodes: make(map[string][]byte)}
}

// Empty reports whether nothing can be served with the snapshot.
func (s *Snapshot) Empty() bool { return len(s.Configuration) == 0 || len(s.Upstreams) == 0 }

// Apply takes over an update of a feed.
func (s *Snapshot) Apply(u *Update) {
	if u.Configuration != nil {
		s.Configuration = u.Configuration
	}
	if u.Complete {
		clear(s.Upstreams)
		clear(s.Nodes)
	}
	apply(s.Upstreams, u.Upstreams)
	apply(s.Nodes, u.Nodes)
}

func apply(specs map[string][]byte, list []platform.Change) {
	for _, c := range list {
		if c.Deleted {
			delete(specs, c.Object.Name)
			continue
		}
		specs[c.Object.Name] = c.Object.Spec
	}
}

// Reply returns the snapshot as an answer to another process.
func (s *Snapshot) Reply() *peerv1.StateReply {
	return &peerv1.StateReply{Configuration: s.Configuration, Upstreams: StoredSpecs(s.Upstreams), Nodes: StoredSpecs(s.Nodes)}
}

// Save writes the snapshot to a file that is whole at any time, also after a
// loss of power.
func (s *Snapshot) Save(path string) error {
	data, err := proto.Marshal(s.Reply())
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	return errors.Wrap(durable.WriteFile(path, data), "write snapshot")
}

// LoadSnapshot reads a snapshot. A file that does not exist is an empty one.
func LoadSnapshot(path string) (*Snapshot, error) {
	s := NewSnapshot()
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	reply := &peerv1.StateReply{}
	if err := proto.Unmarshal(data, reply); err != nil {
		return nil, errors.Wrapf(err, "decode snapshot %s", path)
	}
	s.Configuration = reply.GetConfiguration()
	apply(s.Upstreams, changes(reply.GetUpstreams(), nil))
	apply(s.Nodes, changes(reply.GetNodes(), nil))
	return s, nil
}
