// Package suspend detects that the machine was suspended. The monotonic clock stands
// still during a suspension, so deadlines, leases and cached data afterwards seem newer
// than they are.
package suspend

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// threshold is the shortest suspension that is detected. It exceeds the drift between
// the clocks from one call of Total to the next.
const threshold = 300 * time.Millisecond

// Detector accumulates the time for which the machine was suspended. It is safe for
// concurrent use.
type Detector struct {
	// readOffset returns the time since the start of the machine including suspensions
	// minus the time without them.
	readOffset func() (time.Duration, error)

	mu        sync.Mutex
	created   time.Time
	wallAhead time.Duration // wall clock minus monotonic clock, both since created
	offset    time.Duration // result of the last call of readOffset
	total     time.Duration
}

// New returns a detector whose total is 0.
func New() *Detector { return newDetector(time.Now(), boottimeOffset) }

func newDetector(now time.Time, readOffset func() (time.Duration, error)) *Detector {
	d := &Detector{readOffset: readOffset, created: now}
	// On a kernel without CLOCK_BOOTTIME, no suspension is ever detected.
	d.offset, _ = readOffset()
	return d
}

// Total returns the time for which the machine was suspended since the detector was
// created. now must be read right before the call. The offset is read from the kernel
// only if the wall clock and the monotonic clock have diverged, which also happens when
// the wall clock is set.
func (d *Detector) Total(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	monotonic := now.Sub(d.created)
	wallAhead := now.Round(0).Sub(d.created.Round(0)) - monotonic
	if moved := wallAhead - d.wallAhead; moved > -threshold && moved < threshold {
		return d.total
	}
	d.wallAhead = wallAhead
	offset, err := d.readOffset()
	if err != nil {
		return d.total
	}
	if suspended := offset - d.offset; suspended >= threshold {
		d.total += suspended
	}
	d.offset = offset
	return d.total
}

// boottimeOffset returns CLOCK_BOOTTIME minus CLOCK_MONOTONIC.
func boottimeOffset() (time.Duration, error) {
	var boottime, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, errors.Wrap(err, "read the monotonic clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime); err != nil {
		return 0, errors.Wrap(err, "read the boot time clock")
	}
	return time.Duration(boottime.Nano() - monotonic.Nano()), nil
}
