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

// Snapshot is the state of the platform's store as known to a process. It is saved for
// a restart while the store is unavailable.
type Snapshot struct {
	Configuration    []byte
	Upstreams, Nodes map[string][]byte // specs by name, encoded as in the store
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() *Snapshot {
	return &Snapshot{Upstreams: make(map[string][]byte), Nodes: make(map[string][]byte)}
}

// Empty reports whether the snapshot has no configuration or no upstreams, so that it
// is not sufficient to serve requests.
func (s *Snapshot) Empty() bool { return len(s.Configuration) == 0 || len(s.Upstreams) == 0 }

// Apply applies an update of a feed.
func (s *Snapshot) Apply(u *Update) {
	if u.Configuration != nil {
		s.Configuration = u.Configuration
	}
	if u.Complete {
		clear(s.Upstreams)
		clear(s.Nodes)
	}
	applyChanges(s.Upstreams, u.Upstreams)
	applyChanges(s.Nodes, u.Nodes)
}

func applyChanges(specs map[string][]byte, list []platform.Change) {
	for _, c := range list {
		if c.Deleted {
			delete(specs, c.Object.Name)
			continue
		}
		specs[c.Object.Name] = c.Object.Spec
	}
}

// Reply returns the snapshot as a message.
func (s *Snapshot) Reply() *peerv1.StateReply {
	return &peerv1.StateReply{Configuration: s.Configuration, Upstreams: StoredSpecs(s.Upstreams), Nodes: StoredSpecs(s.Nodes)}
}

// Save atomically replaces a file with the snapshot, so that the file is complete even
// after a power failure.
func (s *Snapshot) Save(path string) error {
	data, err := proto.Marshal(s.Reply())
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	return errors.Wrap(durable.WriteFile(path, data), "write snapshot")
}

// LoadSnapshot reads a snapshot. It returns an empty one if the file does not exist.
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
	applyChanges(s.Upstreams, decodeChanges(reply.GetUpstreams(), nil))
	applyChanges(s.Nodes, decodeChanges(reply.GetNodes(), nil))
	return s, nil
}
