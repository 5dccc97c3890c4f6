package waitline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const seeds = 20

// Guards against refusing requests in a burst that could have been served in time.
func TestBurstOfTwiceTheCapacity(t *testing.T) {
	var inTime, answered [2]int
	for seed := range uint64(seeds) {
		for i, withLine := range []bool{false, true} {
			r := newReplay(seed, withLine)
			r.burst()
			r.run()
			inTime[i] += r.served[""]
			answered[i] += r.answers[""]
		}
	}
	t.Logf("refusing at once and with the line: %v within the objective, %v before the deadline", inTime, answered)
	if inTime[1] <= inTime[0] || answered[1] <= answered[0] {
		t.Error("the line serves no more requests in time")
	}
}

// Guards against one workspace with seven times its usual traffic that takes the room of the
// others, as when requests are refused in the order of their arrival.
func TestSurgingWorkspace(t *testing.T) {
	line, today, sent := make(map[string]int), make(map[string]int), make(map[string]int)
	for seed := range uint64(seeds) {
		for _, withLine := range []bool{false, true} {
			r := newReplay(seed, withLine)
			r.surge()
			r.run()
			for w, n := range r.served {
				if withLine {
					line[w] += n
					sent[w] += r.sent[w]
				} else {
					today[w] += n
				}
			}
		}
	}
	for i := range 8 {
		w := fmt.Sprint("w", i)
		t.Logf("%s: served in time %d with the line, %d when refusing at once, of %d", w, line[w], today[w], sent[w])
		if w != surging && line[w] < today[w] {
			t.Errorf("%s: %d served in time with the line, %d when refusing at once", w, line[w], today[w])
		}
	}
}

// Guards against callers that were refused together and return together, and against a time
// at which they can't be served.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const callers, rate, slot = 60, 80.0, 50 * time.Millisecond
	l := New(Config{MaxWaiting: 40})
	now := start
	for i := range 400 { // serves at the rate, and 40 wait
		for l.Len() < 40 {
			k := ticket("w", "c", 0, false, false, time.Duration(i))
			if _, ok := l.Join(k, now); !ok {
				break
			}
		}
		now = now.Add(time.Second / rate)
		l.Next(now, any1)
	}
	draw := rand.New(rand.NewPCG(7, 0))
	slots := make(map[time.Duration]int)
	for range callers {
		after := l.RetryAfter(Request{Workspace: "w", Class: "c", LeaveBy: now.Add(500 * time.Millisecond)}, 6*time.Second, now, draw.Float64())
		slots[after.Truncate(slot)]++
	}
	// Twice what the line serves in a slot: the slots of two processes may coincide.
	for at, n := range slots {
		if limit := int(2 * rate * slot.Seconds()); n > limit {
			t.Errorf("%d of %d refused callers return together after %v, want at most %d", n, callers, at, limit)
		}
	}
	if after := l.RetryAfter(Request{LeaveBy: now}, 900*time.Millisecond, now, 0.9); after > 300*time.Millisecond {
		t.Errorf("return after %v, the caller waits 300 ms", after)
	}
}

func ticket(workspace, class string, priority int, newProgram, late bool, due time.Duration) *Ticket {
	return &Ticket{Request: Request{
		Workspace: workspace, Class: class, Priority: priority, NewProgram: newProgram, Late: late,
		Due: start.Add(due), LeaveBy: start.Add(time.Minute), Work: 100 * time.Millisecond, Bytes: 10,
	}}
}

func any1(*Ticket) bool { return true }

// Guards against serving a request before a more urgent one of its workspace and class.
func TestOrder(t *testing.T) {
	l := New(Config{MaxWaiting: 8})
	want := []*Ticket{
		ticket("w", "c", 0, false, false, 1), ticket("w", "c", 0, false, false, 2), ticket("w", "c", 0, true, false, 0),
		ticket("w", "c", 0, false, true, 0), ticket("w", "c", 1, false, false, 0),
	}
	for _, i := range []int{3, 1, 4, 0, 2} {
		l.Join(want[i], start)
	}
	for i, w := range want {
		if got := l.Next(start, any1); got != w {
			t.Fatalf("number %d is %+v, want %+v", i, got, w)
		}
	}
}

// Guards against a full line that refuses a request of a workspace or class within its share,
// and against memory beyond the bound.
func TestFullLineRefusesWhoHoldsMost(t *testing.T) {
	for name, l := range map[string]*Line{
		"count": New(Config{MaxWaiting: 6}),
		"bytes": New(Config{MaxWaiting: 100, Bytes: &Bytes{Limit: 60}}),
	} {
		late := ticket("big", "c", 0, true, false, 9)
		for i, k := range []*Ticket{
			late, ticket("big", "c", 0, false, false, 1), ticket("big", "c", 0, false, false, 2),
			ticket("big", "c", 0, false, false, 3), ticket("a", "c", 0, false, false, 4), ticket("b", "c", 1, true, false, 5),
		} {
			if out, ok := l.Join(k, start); len(out) > 0 || !ok {
				t.Fatalf("%s: request %d evicts %v", name, i, out)
			}
		}
		if out, ok := l.Join(ticket("a", "c", 0, true, false, 9), start); !ok || len(out) != 1 || out[0] != late {
			t.Errorf("%s: evicted %v, want the last of the largest workspace", name, out)
		}
		again := ticket("big", "c", 0, true, false, 9)
		if out, ok := l.Join(again, start); ok || len(out) != 1 || out[0] != again {
			t.Errorf("%s: the largest workspace gets another place: %v", name, out)
		}
	}
}

// Guards, over random sequences, against lost or doubled requests, bounds that are exceeded,
// a wait that ends late, and memory that is not released.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bytes := &Bytes{Limit: 200}
		l := New(Config{MaxWaiting: 10, Bytes: bytes})
		in := make(map[*Ticket]bool)
		gone := func(k *Ticket) {
			if k != nil && !in[k] {
				t.Fatal("a request leaves that does not wait")
			}
			delete(in, k)
		}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				k := ticket(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
					rapid.IntRange(0, 2).Draw(t, "priority"), rapid.Bool().Draw(t, "new"), rapid.Bool().Draw(t, "late"), 0)
				k.Bytes = int64(rapid.IntRange(0, 120).Draw(t, "bytes"))
				k.LeaveBy = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "leave")) * time.Millisecond)
				out, ok := l.Join(k, now)
				in[k] = ok || len(out) > 0
				for _, o := range out {
					gone(o)
				}
				if !ok {
					delete(in, k)
				}
			case 2:
				gone(l.Next(now, any1))
			case 3:
				for k := range in {
					l.Leave(k, now)
					gone(k)
					break
				}
			}
			for _, k := range l.Expire(now) {
				gone(k)
			}
			held := int64(0)
			for k := range in {
				held += k.Bytes
				if !now.Before(k.LeaveBy) {
					t.Fatal("a request waits longer than it may")
				}
			}
			if len(in) != l.Len() || l.Len() > 10 || held != bytes.Used || held != l.Held() || held > bytes.Limit {
				t.Fatalf("%d wait and hold %d bytes, the line says %d and %d", len(in), held, l.Len(), bytes.Used)
			}
		}
	})
}
