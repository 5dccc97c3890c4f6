package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Guards against two successors that both become owner of a slot, and against an owner
// that changes without a higher epoch.
func TestSlotsRace(t *testing.T) {
	mem := objectapi.NewMemory(objectapi.MemoryOptions{})
	ctx := t.Context()
	if _, err := UpdateSlots(ctx, mem, 16, func(m *SlotMap) error { m.Assign("a.1", 3, 4); return nil }); err != nil {
		t.Fatal(err)
	}
	lost := errors.New("owner changed")
	var wg sync.WaitGroup
	var mu sync.Mutex
	won := 0
	for i := range 10 {
		wg.Go(func() {
			me := core.Incarnation(fmt.Sprintf("s%d.1", i))
			_, err := UpdateSlots(ctx, mem.Client(string(me)), 16, func(m *SlotMap) error {
				owned := m.Owned("a.1")
				if len(owned) == 0 {
					return lost
				}
				for s := range owned {
					m.Assign(me, s)
				}
				return nil
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
			} else if err != lost {
				t.Errorf("UpdateSlots: %v", err)
			}
		})
	}
	wg.Wait()
	m, err := LoadSlots(ctx, mem, 16)
	if err != nil || won != 1 || m.Slots[3] != m.Slots[4] || m.Slots[3].Epoch != 2 || m.Slots[0] != (SlotOwner{}) {
		t.Errorf("%d successors won, slots %+v, %v", won, m.Slots, err)
	}
	if _, err := UpdateSlots(ctx, mem, 16, func(m *SlotMap) error { m.Slots[3].Owner = "x.1"; return nil }); err == nil {
		t.Error("a new owner with the same epoch was accepted")
	}
}

// lostResponseClient is a client that loses the response of its update, after which another
// process updates the map before the client reads it back.
type lostResponseClient struct {
	objectapi.Client
	otherUpdate func()
}

func (r *lostResponseClient) Update(ctx context.Context, key string, version uint64, v []byte) (objectapi.Object, error) {
	if _, err := r.Client.Update(ctx, key, version, v); err != nil || r.otherUpdate == nil {
		return objectapi.Object{}, err
	}
	r.otherUpdate()
	r.otherUpdate = nil
	return objectapi.Object{}, &objectapi.Error{Step: "update", Key: key, Unknown: true, Err: objectapi.ErrConflict}
}

// Guards against a successor that does not treat slots as its own although the map
// assigns them to it, because the response of its update was lost and the map has
// changed since.
func TestSlotsLostAnswer(t *testing.T) {
	mem := objectapi.NewMemory(objectapi.MemoryOptions{})
	ctx := t.Context()
	assign := func(c objectapi.Client, me core.Incarnation, slot core.Slot) (*SlotMap, error) {
		return UpdateSlots(ctx, c, 4, func(m *SlotMap) error {
			if m.Slots[slot].Owner != "" {
				return errors.New("taken")
			}
			m.Assign(me, slot)
			return nil
		})
	}
	if _, err := assign(mem, "x.1", 0); err != nil {
		t.Fatal(err)
	}
	c := &lostResponseClient{mem, func() {
		if _, err := assign(mem, "b.1", 2); err != nil {
			t.Error(err)
		}
	}}
	m, err := assign(c, "a.1", 1)
	if err != nil || m.Slots[1] != (SlotOwner{"a.1", 1}) || m.Slots[2].Owner != "b.1" {
		t.Errorf("UpdateSlots = %+v, %v", m, err)
	}
}

// Guards against a hand-over that a checkpoint deletes before the new owner has
// read it, or that loses some of its records.
func TestHandoverOutlivesCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r := run(t, mem, WriterOptions{})
		ctx := t.Context()
		r.Append([]core.Record{turn("p", 1)})
		var recs []core.Record
		for s := core.Seq(2); s <= 4; s++ {
			rec := turn("q", s)
			rec.State = make([]byte, 2_000_000)
			recs = append(recs, rec)
		}
		object, err := r.Handover(ctx, []core.Slot{7, 9}, "b.1", recs)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Checkpoint(ctx, []core.Record{turn("p", 1)}); err != nil {
			t.Fatal(err)
		}
		got, err := ReadHandover(ctx, mem, "a.1", object)
		if err != nil {
			t.Fatal(err)
		}
		wantSeqs(t, got, 2, 4)
		r.ReleaseHandover(object)
		if err := r.Checkpoint(ctx, []core.Record{turn("p", 1)}); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadHandover(ctx, mem, "a.1", object); !errors.Is(err, objectapi.ErrNotFound) {
			t.Errorf("released hand-over: %v", err)
		}
		r.stop()
		<-r.done
		wantSeqs(t, recoverLog(t, mem, "b.1"), 1, 1)
	})
}

// Guards against a stored object that makes a reader panic or hang instead of
// returning an error.
func FuzzDecode(f *testing.F) {
	rec := turn("p", 1)
	ps, err := fragments(ToProto(&rec))
	if err != nil {
		f.Fatal(err)
	}
	good, err := pack([]core.Record{rec}, MaxObjectBytes, newObject)
	if err != nil {
		f.Fatal(err)
	}
	o := newObject()
	o.Records = ps
	parts, err := Encode(o)
	if err != nil {
		f.Fatal(err)
	}
	slots, err := encodeSlots(&SlotMap{Slots: make([]SlotOwner, 256)})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{good[0].payload, parts, slots, []byte(`{"count":2,"ranges":[{"last":1}]}`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if o, err := Decode(data); err == nil {
			var a assembler
			_ = a.add(o.Records)
			if again, err := Encode(o); err != nil || len(again) == 0 {
				t.Errorf("decoded object is not encoded again: %v", err)
			}
		}
		if s, err := decodeSlots(data); err == nil && len(s) == 0 {
			t.Error("slot map without slots")
		}
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		ctx := context.Background()
		if _, err := mem.Create(ctx, ObjectKey("a.1", 1), data); err != nil {
			return
		}
		_, _ = Seal(ctx, mem, "a.1", "b.1")
		_, _ = Recover(ctx, mem, "a.1", nil)
		_, _ = Members(ctx, mem, "a.1")
	})
}
