package quota

import "time"

// A program sends some 20 requests one after the other, and one that is refused twice ends it. If
// each request of a workspace over its quota were refused with the same chance, nearly no
// program would end, and what the others used would be in vain. So while a workspace is short of
// tokens, fewer of its programs begin.
const (
	// shortFactor is the part of the programs that still begin after a coordinator had too few
	// tokens, once in shortInterval.
	shortFactor   = 0.6
	shortInterval = 200 * time.Millisecond
	// beginRecovery is the growth of that part in a second without such a reply.
	beginRecovery = 0.3
	// minNewShare is the least part: the end of a shortage must be noticed.
	minNewShare = 0.03
	// beginPause is told to callers whose programs may not begin: some of those under way have
	// ended by then.
	beginPause = time.Second
)

// recordShort records that a coordinator had fewer tokens than wait for at this edge.
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
		return 1 // never short
	}
	quiet := max(now-w.shortAt-shortInterval, 0)
	return min(w.newShare+beginRecovery*quiet.Seconds(), 1)
}

// mayBegin reports whether a program may begin.
func (w *workspace) mayBegin(now Time) bool {
	w.newCredit = min(w.newCredit+w.share(now), 1)
	if w.newCredit < 1 {
		return false
	}
	w.newCredit = 0
	return true
}
