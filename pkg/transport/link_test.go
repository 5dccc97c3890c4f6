package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Guards against control and history that wait behind calls or bulk transfers on
// the link between regions, and against bulk that takes the whole share.
func TestLinkPrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink(1000)
		elapsed := func(class linkClass, n int) time.Duration {
			start := time.Now()
			if err := l.wait(context.Background(), class, n); err != nil {
				t.Fatal(err)
			}
			return time.Since(start)
		}
		if d := elapsed(linkCall, 1000); d != 0 {
			t.Errorf("a call within the burst waited %v", d)
		}
		if d := elapsed(linkControl, 1000); d != 0 {
			t.Errorf("control waited %v", d)
		}
		if d := elapsed(linkCall, 500); d < 1400*time.Millisecond {
			t.Errorf("a call after 2,000 bytes in the same moment waited %v, want about 1.5 s", d)
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		for range 10 {
			elapsed(linkBulk, 500)
		}
		if d := time.Since(start); d < 8*time.Second {
			t.Errorf("5,000 bytes of bulk took %v, half of the share allows them in 9 s", d)
		}
		if d := elapsed(linkCall, 400); d > 500*time.Millisecond {
			t.Errorf("a call during a bulk transfer waited %v", d)
		}
	})
}

// Guards against a message that goes to the wrong class.
func TestClassOf(t *testing.T) {
	for _, c := range []struct {
		m    *peerv1.Envelope
		want linkClass
	}{
		{&peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{}}, linkControl},
		{&peerv1.Envelope{Body: &peerv1.Envelope_Retain{}}, linkControl},
		{&peerv1.Envelope{Body: &peerv1.Envelope_Forward{}}, linkCall},
		{&peerv1.Envelope{Body: &peerv1.Envelope_Dispatch{}}, linkCall},
		{&peerv1.Envelope{Body: &peerv1.Envelope_Order{Order: &peerv1.Order{Order: "pin"}}}, linkControl},
		{&peerv1.Envelope{Body: &peerv1.Envelope_Order{Order: &peerv1.Order{Order: "export_kv"}}}, linkBulk},
	} {
		if got := classOf(c.m); got != c.want {
			t.Errorf("class of %v is %d, want %d", c.m, got, c.want)
		}
	}
}
