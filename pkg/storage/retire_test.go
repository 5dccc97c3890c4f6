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
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// startMember starts a storage process and returns it once it is a member that counts for
// reads.
func startMember(t *testing.T, store *platformstore.Store, url, ip string, port int) *Storage {
	t.Helper()
	s, err := New(&platform.Settings{
		Node: "node-" + ip, IP: ip, FailureDomain: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		PeerPort: port, FirstStart: true, DisksToLose: 1, DataDir: t.TempDir(), StoreAddress: url,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		spec, _, ok := store.Get(platform.KindNodes, "node-"+ip)
		if ok && strings.Contains(string(spec), `"active":true`) && s.ledger.Status() == peerv1.LedgerReply_OK {
			return s
		}
		if time.Now().After(end) {
			t.Fatalf("%s did not become a member", ip)
		}
	}
}

// startMembers starts storage processes that share a store, one after the other.
func startMembers(t *testing.T, n int) (*platformstore.Store, []*Storage) {
	t.Helper()
	store := platformstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	ips := loopback.Addresses("127.0.0.", 31, n)
	port, err := loopback.FreePort(ips...)
	if err != nil {
		t.Fatal(err)
	}
	var members []*Storage
	for _, ip := range ips {
		members = append(members, startMember(t, store, strings.TrimPrefix(server.URL, "http://"), ip, port))
	}
	return store, members
}

// ownRegistration waits until a process knows its own registration, which is
// later than the store has it, and returns it.
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

// Guards against a retiring member that does not transfer its records to a member
// that has just joined, because the event about it has not arrived yet.
func TestRetiringMemberKnowsAll(t *testing.T) {
	_, members := startMembers(t, 3)
	leaving, first, last := members[0], members[1], members[2]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	record := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{Id: "t", RetentionMs: 60_000}}}
	if err := leaving.ledger.Write(ctx, []*peerv1.LedgerRecord{record}); err != nil {
		t.Fatal(err)
	}
	for {
		if others, _ := leaving.members.others(); len(others) == 2 {
			break
		}
		if ctx.Err() != nil {
			t.Fatal("the process does not know the other members")
		}
		time.Sleep(10 * time.Millisecond)
	}
	leaving.members.mu.Lock()
	delete(leaving.members.nodes, last.settings.Node) // as if its event had not arrived yet
	leaving.members.mu.Unlock()
	if err := leaving.leaveLedger(ctx, true); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Storage{first, last} {
		if len(s.ledger.Chain("t")) != 1 {
			t.Errorf("%s did not receive the record", s.settings.Node)
		}
	}
}

// Guards against a retirement that is never completed, because turns with large inputs are sent
// in one message.
func TestRetirementWithLargeTurns(t *testing.T) {
	_, members := startMembers(t, 3)
	leaving := members[0]
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const turns = 12
	for i := range turns {
		rec := &peerv1.TurnRecord{Id: fmt.Sprint("t", i), Input: make([]byte, 1<<20), RetentionMs: 60_000}
		if err := leaving.ledger.Write(ctx, []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Turn{Turn: rec}}}); err != nil {
			t.Fatal(err)
		}
	}
	ownRegistration(t, leaving)
	if err := leaving.leaveLedger(ctx, true); err != nil {
		t.Fatal(err)
	}
	for i := range turns {
		if id := fmt.Sprint("t", i); len(members[1].ledger.Chain(id)) != 1 || len(members[2].ledger.Chain(id)) != 1 {
			t.Errorf("the others lack %s", id)
		}
	}
}

// Guards against a storage process that was removed from the ledger while its
// machine was suspended, and that acts as a member until the watch reports it.
func TestRemovedWhileSuspended(t *testing.T) {
	store, members := startMembers(t, 1)
	s := members[0]
	own := ownRegistration(t, s)
	store.SetDeaf(true) // watches receive no events
	own.Removed = true
	store.Put(platform.KindNodes, s.settings.Node, own)
	var suspended atomic.Int64
	s.ledger.SetSuspensionClock(func(time.Time) time.Duration { return time.Duration(suspended.Load()) })
	suspended.Store(int64(9 * time.Second))
	if status := s.ledger.WriteStatus(); status == peerv1.LedgerReply_OK {
		t.Error("its writes count right after the suspension")
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if stale, _ := s.ledger.CheckSuspension(); !stale {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the members were not read after the suspension")
		}
	}
	if status := s.ledger.WriteStatus(); status == peerv1.LedgerReply_OK {
		t.Error("its writes count although it was removed from the ledger")
	}
}

// Guards against a member that is out of the ledger for good without knowing it: another
// process takes it out by a registration from before its return (issue 35). It ignores that
// registration as its own earlier one, and nobody asks it any more.
func TestRemovalOfReturnedMember(t *testing.T) {
	t.Parallel()
	store, members := startMembers(t, 2)
	returned, remover := members[0], members[1]
	before := ownRegistration(t, returned)
	if !returned.register(t.Context()) {
		t.Fatal("the member does not register again")
	}
	if remover.removeMember(t.Context(), before) {
		t.Error("a registration from before the return of a member was enough to take it out")
	}
	spec, _, _ := store.Get(platform.KindNodes, returned.settings.Node)
	if n, err := platform.DecodeNode(platform.Object{Name: returned.settings.Node, Spec: spec}); err != nil || n.Removed || n.Started.Equal(before.Started) {
		t.Errorf("the member is registered as %+v, %v", n, err)
	}
	now := ownRegistration(t, returned)
	if !remover.removeMember(t.Context(), now) {
		t.Fatal("the member is not taken out by its current registration")
	}
	for end := time.Now().Add(5 * time.Second); returned.ledger.WriteStatus() == peerv1.LedgerReply_OK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the member does not learn that it was taken out")
		}
	}
}

// Guards against the loss of a turn with two disks after two members have retired: each of
// these counted the other one's copy as a replica that stays (issue 41; seed 36 of
// TestPairsSoak).
func TestRetiringMembersDoNotCountOnEachOther(t *testing.T) {
	store, members := startMembers(t, 7)
	retiring, staying := members[:2], members[2:]
	const turns = 20
	for i := range turns {
		record := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{Id: fmt.Sprint("t", i), RetentionMs: 60_000}}}
		for _, s := range []*Storage{retiring[0], retiring[1], staying[i%len(staying)]} { // a quorum
			if err := s.ledger.Write(t.Context(), []*peerv1.LedgerRecord{record}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, s := range retiring {
		store.Put(platform.KindRetirements, s.settings.Node, map[string]any{"DeadlineS": 8})
	}
	for _, s := range retiring {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if _, status, _ := store.Get(platform.KindRetirements, s.settings.Node); strings.Contains(string(status), `"completed"`) {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s does not retire", s.settings.Node)
			}
		}
	}
	for i := range turns {
		replicas := 0
		for _, s := range staying {
			replicas += len(s.ledger.Chain(fmt.Sprint("t", i)))
		}
		if replicas < ledger.Majority(len(staying)) {
			t.Errorf("t%d is on %d of the %d members that stay", i, replicas, len(staying))
		}
	}
}

// Guards against the loss of a turn, and of each quorum, if the retirement of all members is
// requested: as many stay as a record needs.
func TestRetirementOfAllMembers(t *testing.T) {
	store, members := startMembers(t, 3)
	record := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{Id: "t", RetentionMs: 60_000}}}
	for _, s := range members[:2] { // a quorum
		if err := s.ledger.Write(t.Context(), []*peerv1.LedgerRecord{record}); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range members {
		store.Put(platform.KindRetirements, s.settings.Node, map[string]any{"DeadlineS": 8})
	}
	time.Sleep(retireOrderTimeout + time.Second) // until they no longer wait for each other
	serving := 0
	for _, s := range members {
		if s.ledger.WriteStatus() == peerv1.LedgerReply_OK && len(s.ledger.Chain("t")) == 1 {
			serving++
		}
	}
	if serving != 2 {
		t.Errorf("%d members serve with the turn, want 2 if one disk may be lost", serving)
	}
}
