package journal

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// link is the connection of the owner to a keeper.
type link struct {
	*Keeper
	down atomic.Bool
}

func (l *link) Retain(ctx context.Context, m *peerv1.Retain) (*peerv1.RetainResult, error) {
	if l.down.Load() {
		<-ctx.Done() // the connection never responds
		return nil, ctx.Err()
	}
	return l.Keeper.Retain(ctx, m)
}

// withMembers returns an owner whose retention set is b.1 and c.1.
func withMembers(t *testing.T, mem *objectapi.Memory) (*rig, map[core.Incarnation]*link) {
	t.Helper()
	links := map[core.Incarnation]*link{}
	for _, id := range []core.Incarnation{"b.1", "c.1"} {
		k, err := NewKeeper(mem.Client(string(id[:1])), KeeperOptions{})
		if err != nil {
			t.Fatal(err)
		}
		links[id] = &link{Keeper: k}
	}
	r := run(t, mem, WriterOptions{
		Retention: []core.Incarnation{"b.1", "c.1"},
		Retainer: func(id core.Incarnation) Retainer {
			if l := links[id]; l != nil {
				return l
			}
			return nil
		},
	})
	r.Append([]core.Record{turn("p", 1)})
	if err := r.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r, links
}

var outage = objectapi.Faults{Outage: true}

// takeOver seals, fences and recovers the log as the successor d.1.
func takeOver(t *testing.T, mem *objectapi.Memory, links map[core.Incarnation]*link) []core.Record {
	t.Helper()
	ctx := t.Context()
	if _, err := Seal(ctx, mem, "a.1", "d.1"); err != nil {
		t.Fatal(err)
	}
	members, err := Members(ctx, mem, "a.1")
	if err != nil || len(members) != 2 {
		t.Fatalf("Members = %v, %v", members, err)
	}
	var retained []*peerv1.Retain
	for _, id := range members {
		if links[id].down.Load() {
			continue // the member is reported as lost
		}
		res, err := links[id].Fence("a.1")
		if err != nil {
			t.Fatal(err)
		}
		retained = append(retained, res.Retained...)
	}
	recs, err := Recover(ctx, mem, "a.1", retained)
	if err != nil {
		t.Fatal(err)
	}
	return recs
}

// Guards against the loss of turns that were acknowledged in an outage whose
// owner stops, alone or with one member, and against an owner that continues to
// acknowledge turns after its members were fenced.
func TestSuccessorGetsRetainedBatches(t *testing.T) {
	for _, lost := range []core.Incarnation{"", "b.1", "c.1"} {
		t.Run("without "+string(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := objectapi.NewMemory(objectapi.MemoryOptions{})
				r, links := withMembers(t, mem)
				mem.SetFaults("", outage)
				r.Append([]core.Record{turn("p", 2)})
				time.Sleep(time.Second)
				r.Append([]core.Record{turn("q", 3)})
				time.Sleep(time.Second)
				if r.retained.Load() != 3 || r.committed.Load() != 1 {
					t.Fatalf("retained %d, committed %d", r.retained.Load(), r.committed.Load())
				}
				if lost != "" {
					links[lost].down.Store(true)
				}
				mem.SetFaults("", objectapi.Faults{})
				mem.SetFaults("a", outage) // the owner still cannot reach the store
				mem.SetFaults("b", outage)
				mem.SetFaults("c", outage)
				wantSeqs(t, takeOver(t, mem, links), 1, 3)

				r.Append([]core.Record{turn("p", 4)})
				var s *SealedError
				if err := <-r.done; !errors.As(err, &s) {
					t.Errorf("Run of the fenced owner: %v", err)
				}
				if r.retained.Load() != 3 || r.committed.Load() != 1 {
					t.Errorf("after the fence: retained %d, committed %d", r.retained.Load(), r.committed.Load())
				}
				mem.SetFaults("a", objectapi.Faults{})
				recs, err := Recover(t.Context(), mem, "a.1", nil)
				if err != nil {
					t.Fatal(err)
				}
				wantSeqs(t, recs, 1, 1)
			})
		})
	}
}

// Guards against batches that remain at the members, or are appended twice or out
// of order, when the store is reachable again.
func TestOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r, links := withMembers(t, mem)
		mem.SetFaults("", outage)
		for s := core.Seq(2); s <= 40; s++ {
			r.Append([]core.Record{turn("p", s)})
			time.Sleep(100 * time.Millisecond)
		}
		mem.SetFaults("", objectapi.Faults{LoseAnswers: 3})
		if err := r.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if r.committed.Load() != 40 {
			t.Errorf("committed %d, want 40", r.committed.Load())
		}
		for id, l := range links {
			if n, bytes := l.Held(); n != 0 || bytes != 0 {
				t.Errorf("%s still holds %d batches of %d bytes", id, n, bytes)
			}
		}
		for _, k := range mem.Keys("journal/") {
			if mem.Writes(k) != 1 {
				t.Errorf("%s was written %d times", k, mem.Writes(k))
			}
		}
		r.stop()
		<-r.done
		wantSeqs(t, recoverLog(t, mem, "d.1"), 1, 40)
	})
}

// Guards against an owner that waits although a member can reach the store.
func TestMemberRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r, _ := withMembers(t, mem)
		mem.SetFaults("a", outage)
		r.Append([]core.Record{turn("p", 2)})
		time.Sleep(time.Second)
		if r.committed.Load() != 2 {
			t.Errorf("committed %d, want 2 through a member", r.committed.Load())
		}
	})
}

// Guards against a relayed append that takes effect after the seal.
func TestSealStopsRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r, _ := withMembers(t, mem)
		mem.SetFaults("a", outage)
		if _, err := Seal(t.Context(), mem, "a.1", "d.1"); err != nil {
			t.Fatal(err)
		}
		r.Append([]core.Record{turn("p", 2)})
		var s *SealedError
		if err := <-r.done; !errors.As(err, &s) || r.committed.Load() != 1 || r.retained.Load() != 0 {
			t.Errorf("Run = %v, committed %d, retained %d", err, r.committed.Load(), r.retained.Load())
		}
	})
}

// Guards against a batch that counts as retained although no member holds
// it, and against an unresponsive member that blocks the others.
func TestUnreachableMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r, links := withMembers(t, mem)
		mem.SetFaults("", outage)
		links["b.1"].down.Store(true)
		r.Append([]core.Record{turn("p", 2)})
		time.Sleep(2 * time.Second)
		if r.retained.Load() != 2 || r.undurable.Load() != 0 {
			t.Errorf("with one member: retained %d, undurable %d", r.retained.Load(), r.undurable.Load())
		}
		links["c.1"].down.Store(true)
		r.Append([]core.Record{turn("p", 3)})
		time.Sleep(3 * time.Second)
		if r.retained.Load() != 2 || r.undurable.Load() != 3 {
			t.Errorf("without a member: retained %d, undurable %d", r.retained.Load(), r.undurable.Load())
		}
		links["b.1"].down.Store(false)
		time.Sleep(5 * time.Second)
		if r.retained.Load() != 3 {
			t.Errorf("after a member returned: retained %d, want 3", r.retained.Load())
		}
		if n, _ := links["b.1"].Held(); n != 2 {
			t.Errorf("the member that was silent holds %d batches, want both", n)
		}
	})
}

// Guards against a slow store that delays acknowledgements.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r, _ := withMembers(t, mem)
		mem.SetFaults("", objectapi.Faults{Delay: 4 * time.Second})
		r.Append([]core.Record{turn("p", 2)})
		time.Sleep(time.Second)
		if r.retained.Load() != 2 {
			t.Errorf("retained %d after 1 s with a slow store, want 2", r.retained.Load())
		}
	})
}

// Guards against a keeper that accepts a gap, different content for an object that
// it holds, or a batch after a fence, also after a restart.
func TestKeeperRefuses(t *testing.T) {
	mem := objectapi.NewMemory(objectapi.MemoryOptions{})
	mem.SetFaults("", outage)
	dir := t.TempDir()
	open := func() *Keeper {
		k, err := NewKeeper(mem, KeeperOptions{Folder: dir})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	msg := func(object uint64, r core.Record) *peerv1.Retain {
		p, err := Encode(&peerv1.JournalObject{Incarnation: "a.1", Object: object, Records: []*peerv1.Record{ToProto(&r)}})
		if err != nil {
			t.Fatal(err)
		}
		return &peerv1.Retain{Incarnation: "a.1", Object: object, Payload: p, Committed: 4}
	}
	k := open()
	for i, c := range []struct {
		m    *peerv1.Retain
		want bool
	}{
		{msg(5, turn("p", 5)), true},
		{msg(5, turn("p", 5)), true},
		{msg(5, turn("p", 6)), false},
		{msg(7, turn("p", 7)), false},
		{msg(6, turn("p", 6)), true},
		{&peerv1.Retain{Incarnation: "a.1", Object: 7, Payload: []byte("junk"), Committed: 4}, false},
		{&peerv1.Retain{Incarnation: "../x", Object: 1}, false},
	} {
		res, err := k.Retain(t.Context(), c.m)
		if err != nil || res.Retained != c.want || !c.want && res.Error == "" {
			t.Errorf("message %d: %v, %v", i, res, err)
		}
	}
	// The temporary file of a write that the end of the process interrupted.
	if err := os.WriteFile(k.disk.file("a.1", 7), msg(7, turn("p", 7)).Payload[:9], 0o600); err != nil {
		t.Fatal(err)
	}
	k = open()
	res, err := k.Fence("a.1")
	if err != nil || len(res.Retained) != 2 || res.Retained[1].Object != 6 {
		t.Fatalf("Fence after a restart = %v, %v", res, err)
	}
	if r, _ := open().Retain(t.Context(), msg(7, turn("p", 7))); !r.Sealed {
		t.Errorf("Retain after a fence and a restart = %v", r)
	}
}

// Guards against a retention set that changes more than once before the first
// change is durable: batches held by the oldest set would not be found.
func TestSetChangesOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r, links := withMembers(t, mem)
		mem.SetFaults("", objectapi.Faults{Delay: 200 * time.Millisecond})
		first := make(chan error, 1)
		go func() { first <- r.SetRetention(t.Context(), []core.Incarnation{"c.1", "d.1"}) }()
		time.Sleep(100 * time.Millisecond)
		mem.SetFaults("", outage) // the change remains uncommitted
		r.Append([]core.Record{turn("p", 2)})
		time.Sleep(time.Second)
		if r.retained.Load() != 2 {
			t.Errorf("retained %d, want 2 with the set before", r.retained.Load())
		}
		if err := r.SetRetention(t.Context(), []core.Incarnation{"e.1"}); err == nil {
			t.Error("a second change was accepted in the outage")
		}
		if n, _ := links["b.1"].Held(); n != 2 {
			t.Errorf("member of the set before holds %d batches, want 2", n)
		}
		mem.SetFaults("", objectapi.Faults{})
		if err := <-first; err != nil {
			t.Error(err)
		}
		time.Sleep(5 * time.Second)
		if err := r.SetRetention(t.Context(), []core.Incarnation{"e.1"}); err != nil {
			t.Errorf("a change after the outage: %v", err)
		}
		if _, err := Seal(t.Context(), mem, "a.1", "d.1"); err != nil {
			t.Fatal(err)
		}
		if m, err := Members(t.Context(), mem, "a.1"); err != nil || len(m) != 3 {
			t.Errorf("Members = %v, %v; want c.1, d.1 and e.1", m, err)
		}
	})
}

// failingClient is a client whose calls all fail after a given number of calls.
type failingClient struct {
	objectapi.Client
	callsLeft atomic.Int64
}

func (c *failingClient) call() error {
	if c.callsLeft.Add(-1) < 0 {
		return objectapi.ErrUnavailable
	}
	return nil
}

func (c *failingClient) Create(ctx context.Context, key string, v []byte) (objectapi.Object, error) {
	if err := c.call(); err != nil {
		return objectapi.Object{}, err
	}
	return c.Client.Create(ctx, key, v)
}

func (c *failingClient) Delete(ctx context.Context, key string) error {
	if err := c.call(); err != nil {
		return err
	}
	return c.Client.Delete(ctx, key)
}

// Guards against the loss of records by a fault at any call of a checkpoint.
func TestFaultInCheckpoint(t *testing.T) {
	for fault := range 14 {
		synctest.Test(t, func(t *testing.T) {
			mem := objectapi.NewMemory(objectapi.MemoryOptions{})
			c := &failingClient{Client: mem}
			c.callsLeft.Store(1000)
			w := NewWriter(c, "a.1", WriterOptions{Retention: []core.Incarnation{"b.1"}})
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- w.Run(ctx) }()
			var all []core.Record
			for s := core.Seq(1); s <= 4; s++ {
				all = append(all, turn("p", s))
				w.Append(all[s-1:])
				if err := w.Flush(ctx); err != nil {
					t.Fatal(err)
				}
			}
			first := w.Checkpoint(ctx, all[:4])
			c.callsLeft.Store(int64(fault))
			p := w.BeginCheckpoint()
			w.Append([]core.Record{turn("p", 5)}) // after the snapshot
			cctx, cancel := context.WithTimeout(ctx, time.Minute)
			second := p.Write(cctx, all[:4])
			cancel()
			if first != nil || fault > 3 && second != nil {
				t.Fatalf("fault %d: checkpoints %v, %v", fault, first, second)
			}
			c.callsLeft.Store(1000)
			if err := w.Flush(ctx); err != nil {
				t.Fatal(err)
			}
			stop()
			<-done
			wantSeqs(t, recoverLog(t, mem, "b.1"), 1, 5)
			if m, err := Members(t.Context(), mem, "a.1"); err != nil || len(m) != 1 {
				t.Errorf("Members after a checkpoint = %v, %v", m, err)
			}
			if err := Remove(t.Context(), mem, "a.1"); err != nil || len(mem.Keys("")) != 1 {
				t.Errorf("Remove left %v, %v", mem.Keys(""), err)
			}
		})
	}
}
