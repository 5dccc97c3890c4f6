package journal

import (
	"context"
	"os"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// unavailableStore fails all writes.
type unavailableStore struct{ objectapi.Client }

func (unavailableStore) Create(context.Context, string, []byte) (objectapi.Object, error) {
	return objectapi.Object{}, errors.New("store unavailable")
}

// Guards against a keeper that reports a batch as appended to the store because the file
// with it is damaged: the owner would not send it again, and recovery would miss it.
func TestDamagedFirstBatchIsNotAppended(t *testing.T) {
	dir := t.TempDir()
	start := func() *Keeper {
		k, err := NewKeeper(unavailableStore{}, KeeperOptions{Folder: dir})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	retain := func(k *Keeper, n uint64) *peerv1.RetainResult {
		payload, err := Encode(&peerv1.JournalObject{Incarnation: "a.1", Object: n})
		if err != nil {
			t.Fatal(err)
		}
		r, err := k.Retain(t.Context(), &peerv1.Retain{Incarnation: "a.1", Object: n, Payload: payload})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	k := start()
	for n := range uint64(2) {
		retain(k, n+1)
	}
	if err := os.WriteFile(k.disk.file("a.1", 1), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	k = start()
	if r := retain(k, 1); r.GetAppended() {
		t.Errorf("reply %v for a batch that the store does not have", r)
	}
	f, err := k.Fence("a.1")
	if err != nil || len(f.GetRetained()) == 0 || f.GetRetained()[0].GetObject() != 1 {
		t.Errorf("retained after the restart: %v, error %v", f.GetRetained(), err)
	}
}
