package storage

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// slowFS is a file system whose files can't be listed until it is released.
type slowFS struct {
	durable.OS
	once             sync.Once
	listing, release chan struct{}
}

func (f *slowFS) List(folder string) ([]string, error) {
	f.once.Do(func() { close(f.listing) })
	<-f.release
	return f.OS.List(folder)
}

// TestListensBeforeLedgerIsRead guards against storage processes that refuse connections while
// they read their ledgers after a power loss: an edge that is refused waits up to a second before
// it tries again. A request that comes meanwhile is answered once the ledger is read.
func TestListensBeforeLedgerIsRead(t *testing.T) {
	port, err := loopback.FreePort("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.DiscardHandler)
	fs := &slowFS{listing: make(chan struct{}), release: make(chan struct{})}
	settings := &platform.Settings{Node: "n", IP: "127.0.0.1", PeerPort: port, DataDir: t.TempDir(), StoreAddress: "127.0.0.1:1", FirstStart: true}
	opened := make(chan *Storage, 1)
	go func() {
		s, err := NewOn(fs, settings, logger)
		if err != nil {
			t.Error(err)
		}
		opened <- s
	}()
	<-fs.listing
	peer, err := transport.New(transport.Config{
		Isolated: true, Logger: logger, Hello: func() *peerv1.Hello { return &peerv1.Hello{Instance: "edge"} },
	}, func(context.Context, *transport.Session, *transport.Stream, *peerv1.Envelope) {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := peer.Dial(ctx, settings.PeerAddress()); err != nil {
		t.Fatalf("connection refused while the ledger is read: %v", err)
	}
	answered := make(chan error, 1)
	go func() {
		_, err := ledger.Call(ctx, peer, settings.PeerAddress(), &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{}}})
		answered <- err
	}()
	select {
	case err := <-answered:
		t.Errorf("answered before the ledger is read: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(fs.release)
	if err := <-answered; err != nil {
		t.Errorf("request of before the ledger was read: %v", err)
	}
	s := <-opened
	s.closeTransport()
	_ = peer.Close(ctx)
}
