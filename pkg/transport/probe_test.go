package transport

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against sound connections that a process closes since it reads their answers late
// for want of processor time (issue 44): what it has not done meanwhile is not the peer's
// silence.
func TestLateProcessDoesNotTakePeersForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		ticks := time.NewTicker(probeStep)
		defer ticks.Stop()
		time.Sleep(10 * time.Second) // the process does not run; one tick is left
		go func() {
			time.Sleep(7 * probeStep / 2) // it reads other answers first
			close(done)
		}()
		if !answeredWithin(done, ticks.C, int(ProbeTimeout/probeStep)) {
			t.Error("an answer that was read late counts as none")
		}
	})
}

// Guards against a probe that waits without end for a silent peer.
func TestSilentPeerIsFoundInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticks := time.NewTicker(probeStep)
		defer ticks.Stop()
		began := time.Now()
		if answeredWithin(make(chan struct{}), ticks.C, int(ProbeTimeout/probeStep)) {
			t.Error("a silent peer has answered")
		}
		if took := time.Since(began); took != ProbeTimeout {
			t.Errorf("found after %v, want %v", took, ProbeTimeout)
		}
	})
}
