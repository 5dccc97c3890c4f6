package transport

import "time"

// probeStep is the part of a probe's time that counts once, however late it ends.
const probeStep = 50 * time.Millisecond

// Probe closes the session if the peer does not answer a ping in time: the
// connection may be silent for good while a new one works. Only time in which this process
// runs counts: one that is short of processor time reads answers late.
func (s *Session) Probe(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.ys.Ping() // fails only when the session ends
	}()
	t := time.NewTicker(probeStep)
	defer t.Stop()
	if !answeredWithin(done, t.C, int(timeout/probeStep)) {
		s.t.log.Info("peer connection is silent", "peer", s.addr, "waited", timeout)
		_ = s.ys.Close()
	}
}

// answeredWithin reports whether done is closed within a number of ticks. A ticker drops the
// ticks that its receiver is too late for, so that a late one counts once.
func answeredWithin(done <-chan struct{}, ticks <-chan time.Time, n int) bool {
	for range n {
		select {
		case <-done:
			return true
		case <-ticks:
		}
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}
