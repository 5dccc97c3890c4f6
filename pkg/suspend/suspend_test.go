package suspend

import (
	"testing"
	"time"

	"github.com/pkg/errors"
)

// clocks simulates the clocks of a detector. A test cannot set the wall clock, so shift
// changes the recorded difference between the clocks instead.
type clocks struct {
	d      *Detector
	offset time.Duration
	err    error
	reads  int
}

func newClocks() *clocks {
	c := &clocks{}
	c.d = newDetector(time.Now(), func() (time.Duration, error) {
		c.reads++
		return c.offset, c.err
	})
	c.reads = 0
	return c
}

// shift simulates that the wall clock advanced relative to the monotonic clock.
func (c *clocks) shift(by time.Duration) { c.d.wallAhead -= by }

// Guards against missing the time of a suspension, and against counting a change of the
// wall clock as a suspension.
func TestTotal(t *testing.T) {
	c := newClocks()
	if c.d.Total(time.Now()) != 0 || c.reads != 0 {
		t.Fatalf("after no suspension: %v, %d reads", c.d.Total(time.Now()), c.reads)
	}
	c.shift(2 * time.Second) // the wall clock is set
	if got := c.d.Total(time.Now()); got != 0 || c.reads != 1 {
		t.Errorf("after a step of the wall clock: %v, %d reads", got, c.reads)
	}
	c.shift(5 * time.Second)
	c.offset += 5 * time.Second
	if got := c.d.Total(time.Now()); got != 5*time.Second {
		t.Errorf("after a suspension of 5 s: %v", got)
	}
	if got := c.d.Total(time.Now()); got != 5*time.Second || c.reads != 2 {
		t.Errorf("at the next call: %v, %d reads", got, c.reads)
	}
	c.shift(-9 * time.Second) // the wall clock is set back during a suspension
	c.offset += time.Second
	if got := c.d.Total(time.Now()); got != 6*time.Second {
		t.Errorf("after another suspension of 1 s: %v", got)
	}
	c.shift(time.Second)
	c.err = errors.New("no such clock")
	if got := c.d.Total(time.Now()); got != 6*time.Second {
		t.Errorf("when the offset cannot be read: %v", got)
	}
}

// Guards against clocks that cannot be read on this system.
func TestBoottimeOffset(t *testing.T) {
	if offset, err := boottimeOffset(); err != nil || offset < -time.Second {
		t.Errorf("offset %v, error %v", offset, err)
	}
}
