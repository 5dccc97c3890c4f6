package fleet

import "time"

const (
	// shedMemory is how long after its last rejection for lack of room a member counts as
	// shedding load. Only members that shed can count as full.
	shedMemory = 3 * time.Second
	// firstPause and longestPause bound how long a member counts as full after a rejection;
	// the pause doubles with each one until a request is accepted. A place becomes free
	// about every 100 ms; a rejected attempt costs a round trip.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// tryGap is the time between two requests for a member whose number of places is not
	// known, after it rejected one: about what a rejection takes to arrive.
	tryGap = 25 * time.Millisecond
)

// room is what is known of the free places of a member, from its rejections and load reports.
type room struct {
	rejectedAt time.Time
	fullUntil  time.Time
	pause      time.Duration // after the last rejection; 0: a request was accepted since
	acceptedAt time.Time     // when a response last showed that the member accepts requests
	// places are the requests that it can hold, running or waiting, according to the
	// load report with a rejection; 0: unknown.
	places float64
}

// Room is what the candidates for a request have room for.
type Room struct {
	// Full is set if there are candidates and each is known to be full.
	Full bool
	// Places is the number of further requests that the candidates have room for, as far
	// as known; it is unlimited (see Unlimited) if one of them has rejected none lately.
	Places    int
	Unlimited bool
	Limited   bool // some have a rate limit
	// MayChange is set if this process can still learn that a full candidate has room: it has
	// attempts there, whose end shows it, or the candidate has not rejected the request.
	MayChange bool
	// Next is when a candidate may have room again, if Full is set.
	Next time.Time
}

// RecordRejectedFull records that a member rejected a request because it has no free place.
// held is the number of requests that it holds, as the load report with the rejection says,
// which is its number of places; 0: not known.
func (f *Fleet) RecordRejectedFull(m *Member, held int, now time.Time) {
	r := &m.room
	r.pause = min(max(2*r.pause, firstPause), longestPause)
	r.rejectedAt, r.fullUntil = now, now.Add(r.pause)
	if held > 0 {
		r.places = float64(held)
	}
}

// RecordAccepted records that a member accepted a request.
func (f *Fleet) RecordAccepted(m *Member, now time.Time) {
	m.room.pause, m.room.acceptedAt = 0, now
	if m.room.places == 0 || f.load(m, now) < m.room.places {
		m.room.fullUntil = now
	}
}

// RecordTried records the start of an attempt at a member that rejected requests lately: the
// next one waits until the answer to this one is due.
func (f *Fleet) RecordTried(m *Member, now time.Time) {
	if !m.shedsLately(now) || m.room.places > 0 && m.room.pause == 0 {
		return
	}
	if until := now.Add(tryGap); until.After(m.room.fullUntil) {
		m.room.fullUntil = until
	}
}

// shedsLately reports whether the member rejected a request lately for lack of room.
func (m *Member) shedsLately(now time.Time) bool {
	return !m.room.rejectedAt.IsZero() && now.Sub(m.room.rejectedAt) < shedMemory
}

// freePlaces returns how many further requests a member that sheds load has room for, as
// far as known.
func (f *Fleet) freePlaces(m *Member, now time.Time) int {
	if now.Before(m.room.fullUntil) {
		return 0
	}
	if m.room.places == 0 || m.room.pause > 0 {
		return 1
	}
	return max(int(m.room.places-f.load(m, now)), 0)
}

// freeFor returns the free places for a request, given when the member rejected it (zero: it
// did not). After a rejection there are none until the member has accepted a later request: the
// passage of time alone does not show that it has room.
func (f *Fleet) freeFor(m *Member, rejectedAt, now time.Time) int {
	if !rejectedAt.IsZero() && !m.room.acceptedAt.After(rejectedAt) {
		return 0
	}
	return f.freePlaces(m, now)
}

// Full reports whether a member is known to have no room for a request, given when it
// rejected that request; zero: it did not.
func (f *Fleet) Full(id string, rejectedAt, now time.Time) bool {
	m := f.members[id]
	return m != nil && m.shedsLately(now) && f.freeFor(m, rejectedAt, now) == 0
}

// Room returns what the candidates for a request have room for. rejected holds when members
// rejected it. Members that shut down or are suspended are left out. Services with rate limits
// never count as full, since permits decide there.
func (f *Fleet) Room(r Request, rejected map[string]time.Time, now time.Time) Room {
	var room Room
	found := false
	for _, m := range f.byService[r.Service] {
		if !f.candidate(m, &r, now) {
			continue
		}
		if m.Limited() {
			return Room{Unlimited: true, Limited: true}
		}
		if m.ShuttingDown() || m.Suspended(now) {
			continue
		}
		found = true
		if !m.shedsLately(now) {
			return Room{Unlimited: true}
		}
		room.add(f, m, rejected[m.ID], now)
	}
	if !found {
		return Room{Unlimited: true}
	}
	room.Full = room.Places == 0
	return room
}

// add adds the free places of a candidate that sheds load.
func (room *Room) add(f *Fleet, m *Member, rejectedAt, now time.Time) {
	n := f.freeFor(m, rejectedAt, now)
	room.Places += n
	if n > 0 {
		return
	}
	room.MayChange = room.MayChange || m.inFlight > 0 || rejectedAt.IsZero()
	if next := f.nextPlace(m, now); room.Next.IsZero() || next.Before(room.Next) {
		room.Next = next
	}
}

// nextPlace returns when a full member may have room again.
func (f *Fleet) nextPlace(m *Member, now time.Time) time.Time {
	if m.room.fullUntil.After(now) {
		return m.room.fullUntil
	}
	return now.Add(tryGap)
}
