package quota

import "time"

// A program sends some 20 requests one after the other, and fails if one of them is refused twice.
// If each request of a workspace over its quota were refused with the same probability, nearly no
// program would complete, and the tokens that it used would be lost. So while a workspace is short
// of tokens, fewer of its programs may begin.

const (
	// shortFactor is the factor by which the part of the programs that may begin falls when a
	// coordinator has too few tokens, at most once in shortInterval.
	shortFactor   = 0.6
	shortInterval = 200 * time.Millisecond
	// beginRecovery is the growth of that part in a second without such a reply.
	beginRecovery = 0.3
	// minNewShare is the least part. Some programs must begin, so that the end of a shortage is
	// noticed.
	minNewShare = 0.03
	// beginPause is the time after which a program that may not begin should come again: some
	// of those under way have ended by then.
	beginPause = time.Second
)

// recordShort records that a coordinator had fewer tokens than requests wait for at this edge.
func (w *workspace) recordShort(now Time) {
	if w.newShare > 0 && now-w.shortAt < shortInterval {
		return
	}
	w.newShare = max(w.share(now)*shortFactor, minNewShare)
	w.shortAt = now
}

// share returns the part of the programs that may begin now.
func (w *workspace) share(now Time) float64 {
	if w.newShare == 0 {
		return 1 // tokens were never short
	}
	quiet := max(now-w.shortAt-shortInterval, 0)
	return min(w.newShare+beginRecovery*quiet.Seconds(), 1)
}

// mayBegin reports whether a program may begin, and counts it if so.
func (w *workspace) mayBegin(now Time) bool {
	w.newCredit = min(w.newCredit+w.share(now), 1)
	if w.newCredit < 1 {
		return false
	}
	w.newCredit = 0
	return true
}
