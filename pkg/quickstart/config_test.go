package quickstart

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// inForceWithin is the target's time for a change to be in force everywhere.
const inForceWithin = 4 * time.Second

// versions returns the configuration version of every process.
func versions(d *Deployment) map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]uint64)
	for name, n := range d.Entries {
		out[name] = n.Summary().ConfigVersion
	}
	for name, s := range d.Sidecars {
		out["sidecar-"+name] = s.Status().ConfigVersion
	}
	return out
}

// waitVersion waits until every process has a version and returns the time.
func waitVersion(t *testing.T, d *Deployment, want uint64) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		behind := ""
		for name, v := range versions(d) {
			if v > want {
				t.Fatalf("%s has version %d, want %d", name, v, want)
			}
			if v < want {
				behind = name
			}
		}
		if behind == "" {
			return time.Since(start)
		}
		if time.Since(start) > 3*inForceWithin {
			t.Fatalf("%s is still behind version %d: %v", behind, want, versions(d))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards invariant 10 against a change that reaches some processes late, against
// racing operators, and against a process that restarts in a store outage and
// comes up with an older configuration.
func TestConfigurationInForceEverywhere(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2", "entry-3")
	client, err := d.storeClient("operator")
	if err != nil {
		t.Fatal(err)
	}
	store := config.NewStore(client)
	waitVersion(t, d, 1)
	changed := strings.Replace(testShared, "class = interactive", "class = standard", 1)
	v, err := store.Apply(t.Context(), 1, []byte(changed), "asha", "calmer evenings")
	if err != nil {
		t.Fatal(err)
	}
	if took := waitVersion(t, d, v.Version); took > inForceWithin {
		t.Errorf("in force everywhere after %v, the target is %v", took, inForceWithin)
	}
	if _, err := store.Apply(t.Context(), 1, []byte(testShared), "juma", "based on an old version"); err == nil {
		t.Error("a change based on version 1 was accepted after version 2")
	}

	d.Store.Memory().SetFaults("", objectapi.Faults{Outage: true})
	d.KillEntry("entry-3")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	seed := d.Entry("entry-1").PeerAddr()
	if err := d.StartEntry(ctx, EntrySpec{Name: "entry-3", Place: east, Seeds: []string{seed}}); err != nil {
		t.Fatal(err)
	}
	waitVersion(t, d, v.Version)
	d.Store.Memory().SetFaults("", objectapi.Faults{})
}

// Guards invariant 8 against new work for a leaving upstream.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	leaving := d.Engines["engine-1"]
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := d.StopSidecar(ctx, "engine-1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second) // a leaving upstream gets no new work 2 s after its own word
	before := len(leaving.Stats().Runs)
	for range 10 {
		mustOK(t, "call after the leave", ask(t, d, "entry-1", program, "gate stuck"))
	}
	if after := len(leaving.Stats().Runs); after != before {
		t.Errorf("the leaving engine got %d new calls", after-before)
	}
}
