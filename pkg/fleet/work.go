package fleet

import "time"

// estimate is what this process knows about a member whose service reports a pace.
type estimate struct {
	pace  pace
	cache cacheOwner

	// The attempts of this process that run at the member. Times are in ms at the usual
	// pace, moments in ms since the start of the process.
	running   int
	work      float64 // expected time of all of them
	begun     float64 // sum of the moments at which they were sent
	tokens    float64 // prompt and output
	unread    float64 // prompt tokens to read of those without a first event
	backlog   float64 // of them, those not read yet at backlogAt
	backlogAt float64
}

// estimate returns the estimate of a member, a new one if it has none.
func (f *Fleet) estimate(m *Member) *estimate {
	if m.est == nil {
		m.est = &estimate{cache: f.prefixes.newOwner()}
	}
	return m.est
}

// moment returns a time in ms since the start of the process.
func (f *Fleet) moment(now time.Time) float64 { return milliseconds(now.Sub(f.start)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// minRemaining is the smallest share of their expected work that running requests have left on
// average: how long a request goes on that takes longer than expected is not known.
const minRemaining = 0.2

// remaining returns the work that the attempts of this process have left at the member.
func (e *estimate) remaining(at, pace float64) float64 {
	if e.running == 0 {
		return 0
	}
	done := (float64(e.running)*at - e.begun) / pace
	return max(e.work-done, minRemaining*e.work)
}

// toRead returns the prompt tokens that the member has yet to read for this process. At
// least half of the tokens of attempts without a first event are left: a prompt that takes longer
// shows that the member is slow, not that the prompt has been read.
func (e *estimate) toRead(md *model, at, pace float64) float64 {
	if e.unread == 0 {
		return 0
	}
	left := e.backlog
	if md.readTime > 0 {
		left -= (at - e.backlogAt) / (md.readTime * pace)
	}
	return min(max(left, e.unread/2), e.unread)
}

// addUnread changes the prompt tokens to read.
func (e *estimate) addUnread(md *model, tokens, at, pace float64) {
	left := e.toRead(md, at, pace)
	e.unread = max(e.unread+tokens, 0)
	e.backlog, e.backlogAt = min(max(left+tokens, 0), e.unread), at
}

// Work is one attempt at a member, as its service's model sees it. The zero value is an
// attempt at a service whose upstreams report no pace.
type Work struct {
	model  *model
	est    *estimate
	prompt []Part

	read       int     // prompt tokens that were probably not cached
	expected   float64 // whole time, ms
	firstToken float64 // ms until the first event without its tokens
	eventTime  float64 // of the tokens of the first event
	ahead      float64 // tokens of other prompts to read before
	queue      float64 // ms until a slot was expected to be free
	distance   float64 // ms
	tokens     float64 // prompt and expected output
	eventSize  int     // tokens of one event
	begun      float64 // moment at which it was sent
	unread     bool    // no first event yet

	firstAt, lastAt time.Time
	events          int
	plain           bool // not a request to a model
	partial         bool // as in Request
}

// Expected returns the time that the attempt should take at the usual pace, 0 if it is not
// known, and the prompt tokens that are expected to be read.
func (w *Work) Expected() (time.Duration, int) {
	return time.Duration(w.expected * float64(time.Millisecond)), w.read
}

// StartWork records that a request is sent to a member. It returns the attempt, which ends
// with EndWork.
func (f *Fleet) StartWork(m *Member, r *Request, now time.Time) Work {
	md := f.models[r.Service]
	if md == nil || !md.paced() || f.members[m.ID] != m {
		return Work{}
	}
	md.recordRoaming(r)
	e := f.estimate(m)
	at, pace := f.moment(now), e.pace.now(now)
	s := f.score(md, m, r, now)
	w := Work{
		model: md, est: e, prompt: r.Prompt, read: s.read, begun: at, unread: true, eventSize: r.EventTokens, distance: m.distance,
		plain: r.PromptTokens == 0, partial: r.Partial, ahead: e.toRead(md, at, pace),
	}
	if md.step.known() {
		w.eventTime = md.step.value * float64(r.EventTokens)
	}
	if md.knows(r) {
		w.expected = (s.Prefill + s.Decode) / s.Pace
		w.queue = s.Queue
		w.firstToken = md.first.at(float64(w.read) + w.ahead)
	}
	w.tokens = float64(r.PromptTokens) + md.outputTokens(r)
	e.running++
	e.work += w.expected
	e.begun += at
	e.tokens += w.tokens
	e.addUnread(md, float64(w.read), at, pace)
	return w
}

// Event records an event of a stream and reports whether it is the first one, after which
// FirstEvent must be called. It needs no lock of the fleet.
func (w *Work) Event(now time.Time) (first bool) {
	if w.model == nil {
		return false
	}
	w.events++
	w.lastAt = now
	if w.events > 1 {
		return false
	}
	w.firstAt = now
	return true
}

// FirstEvent records the first event of a stream, whose request was written at sentAt.
func (f *Fleet) FirstEvent(w *Work, sentAt time.Time) {
	if w.model == nil || !w.unread {
		return
	}
	now, md, e := w.firstAt, w.model, w.est
	w.endReading(f.moment(now), e.pace.now(now))
	f.prefixes.add(&e.cache, w.prompt, w.read, 0)
	if w.plain || w.partial || w.eventTime == 0 || sentAt.IsZero() {
		return
	}
	took := max(milliseconds(now.Sub(sentAt))-w.distance-w.eventTime, 0)
	if w.firstToken > 0 {
		e.pace.measure((took+w.eventTime)/(w.firstToken+w.eventTime+w.queue), now)
	}
	md.read.add(float64(w.read), modelWeight)
	md.first.add(float64(w.read)+w.ahead, max(took-w.queue, 0))
	md.readTime = md.first.slope()
}

// endReading records that the prompt has been read, or that it will not be read.
func (w *Work) endReading(at, pace float64) {
	if w.unread {
		w.unread = false
		w.est.addUnread(w.model, -float64(w.read), at, pace)
	}
}

// EndWork records the end of an attempt. complete is set if the whole response has come.
func (f *Fleet) EndWork(w *Work, complete bool, sentAt, now time.Time) {
	if w.model == nil {
		return
	}
	e := w.est
	w.endReading(f.moment(now), e.pace.now(now))
	e.running--
	e.work -= w.expected
	e.begun -= w.begun
	e.tokens -= w.tokens
	if e.running == 0 {
		e.work, e.begun, e.tokens, e.unread, e.backlog = 0, 0, 0, 0, 0 // so that rounding errors do not add up
	}
	if complete && !w.partial && !sentAt.IsZero() {
		f.learn(w, sentAt, now)
	}
	w.model = nil
}

// learn adds what a complete attempt shows to the model of its service.
func (f *Fleet) learn(w *Work, sentAt, now time.Time) {
	md, e := w.model, w.est
	took := max(milliseconds(now.Sub(sentAt))-w.distance, 0)
	if w.plain && w.expected > 0 {
		e.pace.measure(took/w.expected, now)
	}
	md.duration.addBounded(took, modelWeight)
	if w.plain || w.events < 2 || w.eventSize == 0 {
		return
	}
	output := w.events * w.eventSize
	step := milliseconds(w.lastAt.Sub(w.firstAt)) / float64((w.events-1)*w.eventSize)
	if md.step.known() && md.step.value > 0 {
		e.pace.measure(step/md.step.value, now)
	}
	md.step.addBounded(step, modelWeight)
	md.output.add(float64(output), modelWeight)
	md.size.add(w.tokens, modelWeight)
	f.prefixes.add(&e.cache, w.prompt, 0, output)
}

// RunningWork returns the number of attempts at a member between StartWork and EndWork.
func (f *Fleet) RunningWork(m *Member) int {
	if m.est == nil {
		return 0
	}
	return m.est.running
}
