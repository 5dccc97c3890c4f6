package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// plantedFault is a fault that is inserted into the source of the daemon, and a part of
// the violation that the soak must report for it.
type plantedFault struct {
	name, file, old, new string
	caught               string
	// lost are the classes of faults with which TestLostSoak must detect it; nil:
	// TestSoak must.
	lost []string
}

const logFile = "../pkg/ledger/log.go"

var plantedFaults = []plantedFault{
	{
		"send twice", "../pkg/attempt/attempt.go",
		"case !t.request.Idempotent || t.ran >= t.request.MaxAttempts ||", "case t.ran >= t.request.MaxAttempts ||",
		"ran 2 times", nil,
	},
	{
		"refuse after a run", "../pkg/attempt/attempt.go",
		"return GiveUp\n\t}\n\treturn Retry", "return Refuse\n\t}\n\treturn Retry",
		"and ran", nil,
	},
	{
		"acknowledge before durable", "../pkg/edge/turn.go",
		"receipt, err := c.e.ledger.WriteWithReceipt(ctx, c.req.Program, recs)",
		"done <- result{}\n\t\ttime.Sleep(400 * time.Millisecond)\n\t\treceipt, err := c.e.ledger.WriteWithReceipt(ctx, c.req.Program, recs)",
		"was answered whole", nil,
	},
	{
		"use an upstream that drains", "../pkg/fleet/pick.go",
		"if m.State != Ready || r.Excluded", "if r.Excluded",
		"which drains", nil,
	},
	{
		"cut requests at a stop", "../pkg/edge/server.go",
		"\tend := e.stopDeadline()\n", "\t_ = callers.Close()\n\tend := e.stopDeadline()\n",
		"was cut in a planned stop", nil,
	},
	{
		"fence off", "../platform/request.go",
		"h.Set(headerTargetInstance, f.UpstreamID)", "",
		"ran at service", nil,
	},
	{
		"one attempt too many", "../pkg/attempt/attempt.go",
		"r.MaxAttempts = max(r.MaxAttempts, 1)", "r.MaxAttempts = max(r.MaxAttempts, 1) + 1",
		"2 times, 1 may run it", nil,
	},
	{
		"give upstreams more time than is left", "../pkg/upstream/exchange.go",
		"left := d.Sub(began)", "left := d.Sub(began) + time.Second",
		"was given", nil,
	},
	{
		"leave the name of a file unsynced", logFile,
		"if err := l.fs.SyncFolder(l.dir); err != nil {\n\t\treturn errors.Wrapf(err, \"sync the name of %s\", l.path)\n\t}\n", "",
		"answered whole", []string{"power"},
	},
	{
		"acknowledge before the sync", logFile,
		"if err := l.file.Sync(); err != nil {", "if err := error(nil); err != nil {",
		"answered whole", []string{"power"},
	},
	{
		"write behind an incomplete record", logFile,
		"l.abandonFile(now)\n\t\treturn err", "if err.Error()[:4] != \"writ\" {\n\t\t\tl.abandonFile(now)\n\t\t}\n\t\treturn err",
		"answered whole", []string{"full"},
	},
	{
		"go on after a failed sync", logFile,
		"l.abandonFile(now)\n\t\treturn err", "if err.Error()[:4] != \"sync\" {\n\t\t\tl.abandonFile(now)\n\t\t}\n\t\treturn err",
		"answered whole", []string{"failsync"},
	},
	{
		"end an answer whose turn is not durable", "../pkg/edge/turn.go",
		"return t.durability == durabilityYes", "return true",
		"answered whole", []string{"power"},
	},
}

// plantSeeds is the number of seeds within which a planted fault must be detected.
const plantSeeds = 3

// apply inserts the fault into the changed sources, which are given by file.
func (p plantedFault) apply(t *testing.T, changed map[string]string) {
	t.Helper()
	source, ok := changed[p.file]
	if !ok {
		data, err := os.ReadFile(p.file)
		if err != nil {
			t.Fatal(err)
		}
		source = string(data)
	}
	if strings.Count(source, p.old) != 1 {
		t.Fatalf("%s does not contain %q exactly once", p.file, p.old)
	}
	changed[p.file] = strings.Replace(source, p.old, p.new, 1)
}

// overlay returns the build arguments that insert the fault.
func (p plantedFault) overlay(t *testing.T) []string {
	t.Helper()
	changed := make(map[string]string)
	if p.lost != nil {
		return diskOverlay(t, &p)
	}
	p.apply(t, changed)
	return overlayOf(t, changed)
}

// overlayOf returns the build arguments that replace source files.
func overlayOf(t *testing.T, changed map[string]string) []string {
	t.Helper()
	dir := t.TempDir()
	replace := make(map[string]string)
	for file, source := range changed {
		original, err := filepath.Abs(file)
		if err != nil {
			t.Fatal(err)
		}
		replacement := filepath.Join(dir, fmt.Sprintf("changed%d.go", len(replace)))
		if err := os.WriteFile(replacement, []byte(source), 0o644); err != nil {
			t.Fatal(err)
		}
		replace[original] = replacement
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, mustJSON(map[string]any{"Replace": replace}), 0o644); err != nil {
		t.Fatal(err)
	}
	return []string{"-overlay", list}
}

// Guards against a soak that misses faults: it must detect each planted fault.
func TestPlantedFaults(t *testing.T) {
	if os.Getenv("SOAK_PLANTS") == "" {
		t.Skip("SOAK_PLANTS is not set")
	}
	for _, p := range plantedFaults {
		t.Run(strings.ReplaceAll(p.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			bin := build(t, p.overlay(t)...)
			for seed := uint64(1); seed <= plantSeeds; seed++ {
				if p.seen(t, bin, seed) {
					return
				}
			}
			t.Errorf("not detected in %d seeds", plantSeeds)
		})
	}
}

func (p plantedFault) seen(t *testing.T, bin string, seed uint64) (seen bool) {
	t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
		var faults []string
		if p.lost != nil {
			l := newLostSoak(t, bin, seed)
			l.classes = p.lost
			faults = l.playLost(defaultSeconds * time.Second)
		} else {
			faults = newSoak(t, bin, seed).play(seed, defaultSeconds*time.Second)
		}
		seen = slices.ContainsFunc(faults, func(fault string) bool { return strings.Contains(fault, p.caught) })
	})
	return seen
}
