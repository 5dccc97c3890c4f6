package quickstart

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/eventlog"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
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
		Entries:  []EntrySpec{{Name: "entry-1", Place: east, DataFolder: folder}},
		Logger:   testLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	program := open(t, d, "entry-1", "open-1")
	mustOK(t, "turn", ask(t, d, "entry-1", program, "gate stuck"))
	mustOK(t, "booking", book(t, d, "entry-1", program, "b-1"))
	mustOK(t, "resent booking", book(t, d, "entry-1", program, "b-1"))
	if err := d.Stop(ctx); err != nil {
		t.Fatal(err)
	}

	log, err := os.Open(filepath.Join(folder, eventlog.File))
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
	if err != nil || len(events) != 3 {
		t.Errorf("%d outcome events, want 3 calls: %v", len(events), err)
	}
}
