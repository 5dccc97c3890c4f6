package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// signalRole names the process in which a test sends signals to itself.
	signalRole   = "YUCCASPINDLE_TEST_SIGNALS"
	stopWorkTime = 300 * time.Millisecond
	testSettings = `{"NodeName":"n","Ip":"127.0.0.1","Zone":"a1","Region":"a","Zones":{"a1":"a"},
		"ListenAddresses":{"Frontend":"127.0.0.1:1","Ready":"127.0.0.1:2","ControlPlane":"127.0.0.1:3"},
		"InternalPortRange":[7380,7395],"Platform":{"Address":"127.0.0.1:4"}}`
)

// stoppingProcess answers its last requests for a while after the stop.
type stoppingProcess struct{}

func (stoppingProcess) Run(stop context.Context) error {
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-stop.Done()
	time.Sleep(stopWorkTime)
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(stopWorkTime)
	return nil
}

func (stoppingProcess) SetStoreAddress(string) {}

// TestReloadSignalKillsStoppingProcess guards against a SIGHUP that ends a process which
// still answers its last requests after a SIGTERM.
func TestReloadSignalKillsStoppingProcess(t *testing.T) {
	if os.Getenv(signalRole) != "" {
		if err := Run(func(*platform.Settings, *slog.Logger) (stoppingProcess, error) { return stoppingProcess{}, nil }); err != nil {
			t.Fatal(err)
		}
		return
	}
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte(testSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run", "^TestReloadSignalKillsStoppingProcess$")
	cmd.Env = append(os.Environ(), signalRole+"=1", platform.SettingsVariable+"="+file)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestStopIsShorterThanGrace guards against a process that ends before a long grace period,
// with requests under way.
func TestStopIsShorterThanGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 8 * time.Second, 90 * time.Second} {
		if d := stopTimeout(&platform.Settings{StopGrace: grace}); d < minStopTimeout || d <= grace {
			t.Errorf("grace of %v: the stop is given up after %v", grace, d)
		}
	}
}
