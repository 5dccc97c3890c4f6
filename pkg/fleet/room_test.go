package fleet

import (
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

func roomFleet() (*Fleet, []*Member) {
	f := New("a1", map[string]string{"a1": "a"}, start)
	for _, id := range []string{"u1", "u2"} {
		f.Put(Upstream{ID: id, Service: "s", FailureDomain: "a1", Slots: 2}, start)
	}
	return f, f.Members("s")
}

// reject simulates a request that a member rejects with a load report.
func reject(f *Fleet, m *Member, load int, now time.Time) {
	f.RecordStart(m, ratelimit.First, now)
	f.RecordLoad(m, Load{Running: 2, Waiting: load - 2, Slots: 2}, now)
	f.RecordEnd(m)
	f.RecordFull(m, now)
	f.RecordRejectedFull(m, load, now)
}

// Guards against a wait for room while a candidate has some, and against no wait while none
// has any.
func TestRoom(t *testing.T) {
	f, m := roomFleet()
	r := Request{Service: "s"}
	if room := f.Room(r, nil, start); !room.Unlimited || room.Full {
		t.Errorf("members that rejected nothing: %+v", room)
	}
	reject(f, m[0], 6, start)
	if room := f.Room(r, nil, start); !room.Unlimited || room.Full {
		t.Errorf("one of two members rejected a request: %+v", room)
	}
	if !f.Full("u1", time.Time{}, start) || f.Full("u2", time.Time{}, start) {
		t.Error("the full member is not told from the other")
	}
	reject(f, m[1], 6, start)
	room := f.Room(r, nil, start)
	if !room.Full || !room.Next.After(start) || !room.MayChange {
		t.Errorf("both members are full: %+v", room)
	}
	only := Request{Service: "s", Excluded: func(id string) bool { return id == "u2" }}
	f.RecordAccepted(m[1], start.Add(time.Millisecond))
	if room := f.Room(only, nil, start.Add(time.Millisecond)); !room.Full {
		t.Errorf("the only candidate is full: %+v", room)
	}
	if room := f.Room(r, nil, start.Add(shedMemory)); room.Full || !room.Unlimited {
		t.Errorf("after the memory of rejections: %+v", room)
	}
	m[0].State, m[1].State = Draining, Draining
	if room := f.Room(r, nil, start); room.Full {
		t.Errorf("without candidates: %+v", room)
	}
}

// Guards against sending a rejected request to the same full members again because time has
// passed, and against not sending it there once a response shows room.
func TestRoomForRejected(t *testing.T) {
	f, m := roomFleet()
	r := Request{Service: "s"}
	rejected := map[string]time.Time{"u1": start, "u2": start}
	reject(f, m[0], 6, start)
	reject(f, m[1], 6, start)
	later := start.Add(longestPause)
	if room := f.Room(r, rejected, later); !room.Full || room.MayChange {
		t.Errorf("nothing can tell of room: %+v", room)
	}
	if room := f.Room(r, nil, later); room.Full {
		t.Errorf("another request may try after the pause: %+v", room)
	}
	f.RecordStart(m[0], ratelimit.First, later)
	if room := f.Room(r, rejected, later); !room.MayChange {
		t.Errorf("an attempt is under way: %+v", room)
	}
	f.RecordLoad(m[0], Load{Running: 2, Waiting: 2, Slots: 2}, later)
	f.RecordEnd(m[0])
	f.RecordAccepted(m[0], later)
	if room := f.Room(r, rejected, later); room.Full || room.Places != 3 {
		t.Errorf("three of six places are free: %+v", room)
	}
}
