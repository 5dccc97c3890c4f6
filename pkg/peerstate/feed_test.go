package peerstate

import (
	"encoding/binary"
	"testing"

	"github.com/klauspost/compress/s2"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Guards against a compressed message that exceeds the memory when decompressed.
func TestFeedBounds(t *testing.T) {
	oversized := binary.AppendUvarint(nil, maxContentBytes+1)
	if _, err := decodeUpdate(&peerv1.FeedUpdate{Content: append(oversized, 0)}); err == nil {
		t.Error("content with a length above the bound was decoded")
	}
	bomb := s2.Encode(nil, make([]byte, maxContentBytes+1))
	if _, err := decodeUpdate(&peerv1.FeedUpdate{Content: bomb}); err == nil {
		t.Errorf("%d compressed bytes were decoded to more than the bound", len(bomb))
	}
	packed, err := EncodeContent(&peerv1.FeedContent{Configuration: []byte("c"), Retirements: &peerv1.Retirements{Instances: []string{"s1"}}})
	if err != nil {
		t.Fatal(err)
	}
	u, err := decodeUpdate(&peerv1.FeedUpdate{Content: packed, Complete: true, AgeMs: 40, Hops: 1})
	if err != nil || !u.HasContent || string(u.Configuration) != "c" || len(u.Retirements) != 1 || u.Age.Milliseconds() != 40 || u.Hops != 1 {
		t.Errorf("%+v, %v", u, err)
	}
}

// FuzzUnpack guards against a message that crashes the process that decodes it.
func FuzzUnpack(f *testing.F) {
	packed, err := EncodeContent(&peerv1.FeedContent{Configuration: []byte("c"), NodesGone: []string{"n"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := decodeUpdate(&peerv1.FeedUpdate{Content: data})
		if (u == nil) == (err == nil) {
			t.Errorf("update %v, error %v", u, err)
		}
	})
}
