package storage

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// run starts a storage process and returns it once it is a member.
func run(t *testing.T, store *platformstore.Store, url, ip string, port int) *Storage {
	t.Helper()
	s, err := New(&platform.Settings{
		Node: "node-" + ip, IP: ip, FailureDomain: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		PeerPort: port, FirstStart: true, DataDir: t.TempDir(), StoreAddress: url,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if spec, _, ok := store.Get(platform.KindNodes, "node-"+ip); ok && strings.Contains(string(spec), `"active":true`) {
			return s
		}
		if time.Now().After(end) {
			t.Fatalf("%s is not a member", ip)
		}
	}
}

// ownRegistration returns the registration of a process once it knows it itself,
// which is later than the store has it.
func ownRegistration(t *testing.T, s *Storage) platform.Node {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if own, ok := s.members.own(); ok && own.Active {
			return own
		}
		if time.Now().After(end) {
			t.Fatal("the process does not know its registration")
		}
	}
}

// Guards against a retiring member that hands its records to the members that
// it has heard of, but not to one that has just joined.
func TestRetiringMemberKnowsAll(t *testing.T) {
	store := platformstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	url := strings.TrimPrefix(srv.URL, "http://")
	ips := loopback.Addresses("127.0.0.", 31, 3)
	port, err := loopback.FreePort(ips...)
	if err != nil {
		t.Fatal(err)
	}
	leaving, first, last := run(t, store, url, ips[0], port), run(t, store, url, ips[1], port), run(t, store, url, ips[2], port)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rec := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{Id: "t", RetentionMs: 60_000}}}
	if err := leaving.ledger.Write(ctx, []*peerv1.LedgerRecord{rec}); err != nil {
		t.Fatal(err)
	}
	for {
		if others, _ := leaving.members.others(); len(others) == 2 {
			break
		}
		if ctx.Err() != nil {
			t.Fatal("the others are not known")
		}
		time.Sleep(10 * time.Millisecond)
	}
	leaving.members.mu.Lock()
	delete(leaving.members.nodes, fmt.Sprint("node-", ips[2])) // as if its event were on the way
	leaving.members.mu.Unlock()
	if err := leaving.handOver(ctx); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Storage{first, last} {
		if len(s.ledger.Chain("t")) != 1 {
			t.Errorf("%s has not got the record", s.settings.Node)
		}
	}
}

// Guards against a storage process that was suspended, was taken out of the
// ledger meanwhile, and goes on as a member until its feed tells it.
func TestTakenOutWhileSuspended(t *testing.T) {
	store := platformstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	ips := loopback.Addresses("127.0.0.", 31, 1)
	port, err := loopback.FreePort(ips...)
	if err != nil {
		t.Fatal(err)
	}
	s := run(t, store, strings.TrimPrefix(srv.URL, "http://"), ips[0], port)
	own := ownRegistration(t, s)
	store.SetDeaf(true) // the watch hears of nothing
	own.Removed = true
	store.Put(platform.KindNodes, s.settings.Node, own)
	var slept atomic.Int64
	s.ledger.SetSuspensionClock(func(time.Time) time.Duration { return time.Duration(slept.Load()) })
	slept.Store(int64(9 * time.Second))
	if status := s.ledger.WriteStatus(); status == peerv1.LedgerReply_OK {
		t.Error("it counts right after the suspension")
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if doubtful, _ := s.ledger.CheckSuspension(); !doubtful {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the members are not read again")
		}
	}
	if status := s.ledger.WriteStatus(); status == peerv1.LedgerReply_OK {
		t.Error("it counts though it was taken out")
	}
}
