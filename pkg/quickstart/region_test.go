package quickstart

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const regionShared = `
[cluster]
policy = default
slot_count = 32
regions = east, west
default_profile = chat

[profile chat]
class = interactive

[service bookings]
non_idempotent = book
outcome_by_key = true
`

// startRegions starts two failure domains in region east, where the store is,
// and one in region west.
func startRegions(t *testing.T) *Deployment {
	t.Helper()
	places := []Place{{"east", "east-a"}, {"east", "east-b"}, {"west", "west-a"}}
	opt := Options{Shared: []byte(regionShared), ListLag: time.Second, Logger: testLogger()}
	for i, at := range places {
		opt.Entries = append(opt.Entries, EntrySpec{Name: fmt.Sprintf("entry-%d", i+1), Place: at})
		opt.Engines = append(opt.Engines, EngineSpec{Name: fmt.Sprintf("engine-%d", i+1), Place: at, Model: fastEngine()})
		opt.Services = append(opt.Services, ServiceSpec{Name: fmt.Sprintf("bookings-%d", i+1), Service: "bookings", Outcomes: true, Place: at})
	}
	return startWith(t, opt)
}

func bookingsOf(d *Deployment) map[string]int {
	all := make(map[string]int)
	for _, s := range d.Services {
		for key, n := range s.Runs() {
			all[key] += n
		}
	}
	return all
}

// Guards against a region that stops, or takes over the other's programs, while
// the regions have lost each other. Each goes on with what it owns; the region
// without the store cannot book.
func TestRegionsLoseEachOther(t *testing.T) {
	d := startRegions(t)
	east := openLocal(t, d, "entry-1")
	west := openLocal(t, d, "entry-3")
	mustOK(t, "east before the split", ask(t, d, "entry-1", east, "gate stuck"))
	mustOK(t, "west before the split", ask(t, d, "entry-3", west, "gate stuck"))
	time.Sleep(1500 * time.Millisecond) // the retention sets are recorded

	d.SplitRegions("east", "west")
	time.Sleep(5 * time.Second) // longer than a takeover takes
	mustOK(t, "east during the split", ask(t, d, "entry-2", east, "motor hums"))
	mustOK(t, "booking in east during the split", book(t, d, "entry-1", east, "b-east"))
	r := mustOK(t, "west during the split", ask(t, d, "entry-3", west, "motor hums"))
	if r.header.Get("Yucca-Durable") != "pending" {
		t.Error("the answer of a region without store and retention set does not say that it is not durable yet")
	}
	refused := book(t, d, "entry-3", west, "b-west", "Yucca-Deadline-Ms", "1000")
	if refused.status == http.StatusOK || !strings.Contains(refused.body, `"ran":"no"`) {
		t.Errorf("booking in west during the split: %d %s", refused.status, refused.body)
	}

	d.HealRegions("east", "west")
	mustOK(t, "west after the split", ask(t, d, "entry-1", west, "what now", "Yucca-Deadline-Ms", "20000"))
	mustOK(t, "booking in west after the split", book(t, d, "entry-2", west, "b-west", "Yucca-Deadline-Ms", "20000"))
	if n := turnsOf(t, d, "entry-3", west); n != 4 {
		t.Errorf("%d turns in west, want 4", n)
	}
	for key, n := range bookingsOf(d) {
		if n != 1 {
			t.Errorf("booking %s ran %d times", key, n)
		}
	}
	if len(bookingsOf(d)) != 2 {
		t.Errorf("bookings %v ran, want one in each region", bookingsOf(d))
	}
}

// openLocal opens a program that the entry itself owns.
func openLocal(t *testing.T, d *Deployment, entry string) string {
	t.Helper()
	r := post(t, d, entry, "/v1/programs", `{"profile":"chat"}`)
	if r.status != http.StatusCreated {
		t.Fatalf("open: %d %s", r.status, r.body)
	}
	return r.header.Get("Yucca-Program")
}

// Guards against refusals when one of three failure domains is lost under an
// ordinary load: callers that resend to another entry get every answer.
func TestFailureDomainLost(t *testing.T) {
	d := startRegions(t)
	const programs = 12
	var wg sync.WaitGroup
	lost := make(chan struct{})
	for i := range programs {
		wg.Go(func() {
			id := openLocal(t, d, fmt.Sprintf("entry-%d", i%3+1))
			for turn := range 4 {
				if turn == 2 {
					<-lost
				}
				// The balancer sends callers to living entries only.
				r := ask(t, d, []string{"entry-2", "entry-3"}[turn%2], id, fmt.Sprintf("question %d", turn), "Yucca-Deadline-Ms", "30000")
				if r.status != http.StatusOK {
					t.Errorf("program %d, turn %d: %d %s", i, turn, r.status, r.body)
					return
				}
			}
			if r := book(t, d, "entry-2", id, fmt.Sprintf("b-%d", i), "Yucca-Deadline-Ms", "30000"); r.status != http.StatusOK {
				t.Errorf("booking of program %d: %d %s", i, r.status, r.body)
			}
		})
	}
	time.Sleep(2 * time.Second)
	d.LoseDomain("east-a", time.Second)
	close(lost)
	wg.Wait()
	runs := bookingsOf(d)
	for key, n := range runs {
		if n != 1 {
			t.Errorf("booking %s ran %d times", key, n)
		}
	}
	if len(runs) != programs {
		t.Errorf("%d bookings ran, want %d", len(runs), programs)
	}
}
