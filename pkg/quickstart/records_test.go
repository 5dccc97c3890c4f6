package quickstart

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/eventlog"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// Guards against decisions that depend on anything but the recorded events, and
// against outcomes that the burn report cannot read.
func TestRecordsOfARun(t *testing.T) {
	folder := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d, err := Start(ctx, Options{
		Shared:   []byte(testShared),
		Engines:  []EngineSpec{{Name: "engine-1", Place: east, Model: fastEngine()}},
		Services: []ServiceSpec{{Name: "bookings-1", Service: "bookings", Outcomes: true, Place: east}},
		Entries:  []EntrySpec{{Name: "entry-1", Place: east, DataFolder: folder, Record: 10}},
		Logger:   testLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	program := open(t, d, "entry-1", "open-1")
	mustOK(t, "turn", ask(t, d, "entry-1", program, "gate stuck"))
	mustOK(t, "booking", book(t, d, "entry-1", program, "b-1"))
	child := openChild(t, d, program)
	mustOK(t, "turn of a sub-agent", ask(t, d, "entry-1", child, "which relay"))
	mustOK(t, "resent booking", book(t, d, "entry-1", program, "b-1"))
	if err := d.Stop(ctx); err != nil {
		t.Fatal(err)
	}

	log, err := os.Open(filepath.Join(folder, eventlog.FileName))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if n, err := eventlog.Verify(log); err != nil || n < 20 {
		t.Errorf("verified %d events: %v", n, err)
	}
	outcomes, err := os.Open(filepath.Join(folder, "outcomes.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer outcomes.Close()
	events, _, err := report.ReadEvents(outcomes)
	if err != nil || len(events) != 4 {
		t.Errorf("%d outcome events, want 4 calls: %v", len(events), err)
	}

	recorded, err := trace.Load(filepath.Join(folder, "recorded.trace.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	if len(recorded.Programs) != 1 || len(recorded.Programs[0].Steps) != 3 || len(recorded.Programs[0].Steps[2].Agents) != 1 {
		t.Errorf("recorded %+v, want one program with a turn, a booking and a sub-agent", recorded.Programs)
	}
}

func openChild(t *testing.T, d *Deployment, parent string) string {
	t.Helper()
	r := post(t, d, "entry-1", "/v1/programs", `{}`, "Yucca-Parent", parent)
	if r.status != http.StatusCreated {
		t.Fatalf("open child: %d %s", r.status, r.body)
	}
	return r.header.Get("Yucca-Program")
}
