//go:build review2

package harness2

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by their names.
var cases = map[string]func(*record) int{
	"memory":  restartMemory,
	"history": longHistory,
	"retire":  retireAndLose,
	"tenants": tenantsAfterReplacement,
	"takeup":  takeUpWithHistory,
}

// mostTime is how long a case may take.
const mostTime = 118 * time.Second

// running is the deployment to end when the case is stopped from outside.
var running atomic.Pointer[world]

// guard ends all processes when the case is stopped from outside or takes too long.
func guard(rec *record) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-stop:
		rec.line("stopped by %v", s)
	case <-time.After(mostTime):
		rec.line("cannot judge: the case takes too long")
	}
	if w := running.Load(); w != nil {
		w.stop()
	}
	os.Exit(cannotRun)
}

// TestMain runs the case that the environment names and exits with its result.
func TestMain(*testing.M) {
	run := cases[os.Getenv("REVIEW_CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE names no case")
		os.Exit(cannotRun)
	}
	rec, err := newRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	go guard(rec)
	os.Exit(run(rec))
}
