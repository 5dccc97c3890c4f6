package peerstate

import (
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/freshness"
)

// Dating determines, by pings on a feed, when the state that the feed delivers was last checked.
// The methods of a nil Dating do nothing.
type Dating struct {
	clock     func() time.Duration
	onChecked func(began time.Duration)

	mu       sync.Mutex
	question freshness.Question
	timer    *time.Timer // sends the next ping; nil: none is due
	ended    bool
}

// newDating returns a Dating that reports to onChecked; nil if clock or onChecked is nil.
func newDating(clock func() time.Duration, onChecked func(began time.Duration)) *Dating {
	if clock == nil || onChecked == nil {
		return nil
	}
	return &Dating{clock: clock, onChecked: onChecked}
}

// ask returns the number of a ping that is sent now; 0 without a Dating.
func (d *Dating) ask() uint64 {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.question.Ask(d.clock())
}

// record records the date of an update that was applied. After the answer to a ping it sends
// the next one an interval later.
func (d *Dating) record(u *Update, send func(ping uint64) error) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if began, ok := d.question.Answer(u.echo, u.checkedAgo); ok {
		d.onChecked(began)
	}
	if !d.question.Open(u.echo) || d.timer != nil || d.ended {
		return
	}
	d.timer = time.AfterFunc(FeedInterval, func() {
		d.mu.Lock()
		d.timer = nil
		ended := d.ended
		d.mu.Unlock()
		if !ended {
			_ = send(d.ask()) // a feed that is broken ends by its time limit
		}
	})
}

// end stops the pings.
func (d *Dating) end() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// feedRequest returns the message that asks for a feed, or sends a further ping on it.
func feedRequest(noRedirect bool, ping uint64) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_FeedRequest{FeedRequest: &peerv1.FeedRequest{Insist: noRedirect, Ping: ping}}}
}
