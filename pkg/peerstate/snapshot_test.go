package peerstate

import (
	"path/filepath"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

func put(name, spec string) platform.Change {
	return platform.Change{Object: platform.Object{Name: name, Spec: []byte(spec)}}
}

func deletion(name string) platform.Change {
	return platform.Change{Object: platform.Object{Name: name}, Deleted: true}
}

// Guards against a snapshot that keeps deleted objects, loses unchanged ones, or differs
// after a restart.
func TestSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deployment")
	empty, err := LoadSnapshot(path)
	if err != nil || !empty.Empty() {
		t.Fatalf("without a file: %+v, %v", empty, err)
	}
	s := NewSnapshot()
	s.Apply(&Update{Complete: true, Configuration: []byte("c1"), Upstreams: []platform.Change{put("u1", "a"), put("u2", "b")}})
	s.Apply(&Update{Upstreams: []platform.Change{deletion("u1"), put("u3", "c")}, Nodes: []platform.Change{put("n1", "x")}})
	s.Apply(&Update{Complete: true, Upstreams: []platform.Change{put("u2", "b2")}, Nodes: []platform.Change{put("n2", "y")}})
	if err := s.Save(path); err != nil {
		t.Fatal(err)
	}
	kept, err := LoadSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(kept.Configuration) != "c1" || len(kept.Upstreams) != 1 || string(kept.Upstreams["u2"]) != "b2" ||
		len(kept.Nodes) != 1 || string(kept.Nodes["n2"]) != "y" {
		t.Errorf("loaded %+v", kept)
	}
}
