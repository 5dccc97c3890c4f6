package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

// simConfig is a load of two kinds of programs.
type simConfig struct {
	edges, engines int
	programs       int
	everyMs        float64 // mean time between two programs
	memory         int
	roaming        bool // turns of a program come through any edge
	paced          bool // reports have a pace
	reports        bool
	seed           uint64
}

// program is a simulated program.
type program struct {
	kind          int // 0: short prompts, 1: long
	id            uint64
	edge          int
	turns, prompt int
	seen          int // tokens of the conversation so far, cached at best
	begun, ideal  float64
}

// kindResult counts what one kind of programs got.
type kindResult struct {
	turns, firstInAim, programs, inAim int
	first                              []float64
}

func (k *kindResult) String() string {
	slices.Sort(k.first)
	q := func(p float64) float64 { return k.first[int(p*float64(len(k.first)-1))] }
	return fmt.Sprintf("first event in aim %.3f (p50 %.0f p95 %.0f ms), programs in aim %.3f", k.firstShare(), q(0.5), q(0.95), k.programShare())
}

func (k *kindResult) firstShare() float64   { return float64(k.firstInAim) / float64(k.turns) }
func (k *kindResult) programShare() float64 { return float64(k.inAim) / float64(k.programs) }

const (
	firstAimMs = 275.0 // time to the first event
	finishAim  = 1.5   // times the time of a program on idle upstreams
)

type event struct {
	at float64
	do func(at float64)
}

// sim runs programs against fleets and engines in virtual time.
type sim struct {
	simConfig
	rnd                        *rand.Rand
	fleets                     []*Fleet
	engine                     []*engine
	events                     []event // sorted by time
	result                     [2]kindResult
	homes                      map[[2]uint64]string // last upstream, by edge and conversation
	refused                    int
	readAgain                  int
	cachedTokens, promptTokens int
}

func simTime(at float64) time.Time { return start.Add(time.Duration(at * float64(time.Millisecond))) }

func newSim(c simConfig) *sim {
	s := &sim{simConfig: c, rnd: rand.New(rand.NewPCG(c.seed, 7)), homes: make(map[[2]uint64]string)}
	for range c.edges {
		s.fleets = append(s.fleets, New("a1", regions, start))
	}
	for i := range c.engines {
		id := fmt.Sprintf("u%02d", i)
		slowSeed := c.seed*1000 + uint64(i)
		e := &engine{
			base: 0.7 + float64(i%11)/10, memory: c.memory,
			slow: func(at float64) bool { return mix(slowSeed+uint64(at/engineSlowEvery)<<20)%100 < 15 },
		}
		s.engine = append(s.engine, e)
		for _, f := range s.fleets {
			u := upstream(id, []string{"a1", "a2"}[i%2])
			f.Put(u, start)
		}
	}
	return s
}

func (s *sim) at(at float64, do func(float64)) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at float64) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	s.events = slices.Insert(s.events, i, event{at, do})
}

func (s *sim) run() {
	at := 0.0
	for i := range s.programs {
		at += s.rnd.ExpFloat64() * s.everyMs
		kind := 0
		prompt := 500 + s.rnd.IntN(700)
		if s.rnd.Float64() < 0.35 {
			kind, prompt = 1, 2500+s.rnd.IntN(2500)
		}
		p := &program{kind: kind, id: uint64(1000 + i), edge: s.rnd.IntN(s.edges), turns: 3 + s.rnd.IntN(5), prompt: prompt, begun: at}
		s.at(at, func(at float64) { s.turn(p, 0, at) })
	}
	for {
		var busy *engine
		for _, e := range s.engine {
			if e.busy && (busy == nil || e.next < busy.next) {
				busy = e
			}
		}
		switch {
		case len(s.events) > 0 && (busy == nil || s.events[0].at <= busy.next):
			e := s.events[0]
			s.events = s.events[1:]
			e.do(e.at)
		case busy != nil:
			busy.step()
		default:
			for _, e := range s.engine {
				s.readAgain += e.readAgain
			}
			return
		}
	}
}

// turn sends one turn of a program.
func (s *sim) turn(p *program, n int, at float64) {
	if s.roaming {
		p.edge = s.rnd.IntN(s.edges)
	}
	out := int(75 * math.Exp(0.4*s.rnd.NormFloat64()))
	out = max(out, 2*engineEvent)
	shared := p.id % 8
	r := Request{
		Service: "s", Draw: s.rnd.Float64(), ServiceTime: 275 * time.Millisecond, PromptTokens: p.prompt,
		Prompt:       []Part{{Key: shared, Tokens: 512}, {Key: p.id, Tokens: p.prompt - 512}},
		OutputTokens: int(float64(out) * math.Exp(0.5*s.rnd.NormFloat64())), EventTokens: engineEvent, CacheTokens: s.memory, LaterTurn: n > 0, Conversation: p.id,
	}
	if p.prompt <= 512 {
		r.Prompt = []Part{{Key: shared, Tokens: p.prompt}}
	}
	p.ideal += float64(max(p.prompt-max(p.seen, 512), 1))/engineReadRate + float64(out)*engineStepMs
	s.attempt(p, n, r, out, at, at, 0)
}

func (s *sim) attempt(p *program, n int, r Request, out int, sent, at float64, tries int) {
	f := s.fleets[p.edge]
	now := simTime(at)
	home := [2]uint64{uint64(p.edge), p.id}
	r.Affinity = s.homes[home]
	m := f.Select(&r, now)
	w := f.StartWork(m, &r, now)
	f.RecordStart(m, ratelimit.First, now)
	s.homes[home] = m.ID
	e := s.engine[slices.IndexFunc(f.byService["s"], func(o *Member) bool { return o == m })]
	trip := 0.3 + m.distance/2
	q := &engineRequest{parts: r.Prompt, prompt: p.prompt, out: out, rank: 1 + max(1-n, 0)}
	q.first = func(at float64) {
		running, waiting := len(e.running), len(e.queue)
		pace := e.pace(at) / e.base
		s.at(at+trip, func(at float64) {
			now := simTime(at)
			s.report(f, m, running, waiting, pace, now)
			w.Event(now)
			f.FirstEvent(&w, simTime(sent))
			k := &s.result[p.kind]
			k.turns++
			k.first = append(k.first, at-sent)
			if at-sent <= firstAimMs {
				k.firstInAim++
			}
		})
	}
	q.finish = func(at float64) {
		s.at(at+trip, func(at float64) {
			now := simTime(at)
			for range out/engineEvent - 1 {
				w.Event(now)
			}
			f.EndWork(&w, true, simTime(sent), now)
			f.RecordEnd(m)
			f.RecordSuccess(m)
			s.endTurn(p, n, out, at)
		})
	}
	s.at(at+trip, func(at float64) {
		if e.submit(q, at) {
			s.promptTokens += p.prompt
			s.cachedTokens += e.lookup(r.Prompt)
			return
		}
		s.refused++
		s.at(at+trip, func(at float64) {
			now := simTime(at)
			f.EndWork(&w, false, simTime(sent), now)
			f.RecordEnd(m)
			f.RecordFull(m, now)
			s.attempt(p, n, r, out, sent, at+20, tries+1)
		})
	})
}

// report records the load of an engine as the edge does: with a pace when the response
// begins.
func (s *sim) report(f *Fleet, m *Member, running, waiting int, pace float64, now time.Time) {
	l := Load{Running: running, Waiting: waiting, Slots: engineSlots}
	switch {
	case s.paced:
		l.Pace = pace
	case !s.reports:
		return
	}
	f.RecordLoad(m, l, now)
}

// endTurn ends a turn, and continues the program after its tool calls.
func (s *sim) endTurn(p *program, n, out int, at float64) {
	p.seen = p.prompt + out
	p.prompt = p.seen + 80 + s.rnd.IntN(200)
	if n+1 < p.turns {
		pause := 20 + 40*s.rnd.Float64()
		p.ideal += pause
		s.at(at+pause, func(at float64) { s.turn(p, n+1, at) })
		return
	}
	k := &s.result[p.kind]
	k.programs++
	if at-p.begun <= finishAim*p.ideal {
		k.inAim++
	}
}

// TestLongAndShortPrompts guards against long prompts that hold up short ones at the same
// upstream, and against serving the short ones at the expense of the long ones: for both
// kinds, the shares of first events and programs within their aims must not be smaller than
// with today's cost, with and without its load reports.
func TestLongAndShortPrompts(t *testing.T) {
	for _, roaming := range []bool{false, true} {
		load := simConfig{edges: 13, engines: 20, programs: 1200, everyMs: 16, memory: 120_000, roaming: roaming, seed: 1}
		var results [3]*sim
		for i, name := range []string{"no loads", "counts", "time"} {
			c := load
			c.reports, c.paced = i == 1, i == 2
			s := newSim(c)
			s.run()
			results[i] = s
			t.Logf("roaming %v, %s: %.2f of prompts cached, %d tokens read again\n  short: %v\n  long:  %v", roaming, name,
				float64(s.cachedTokens)/float64(s.promptTokens), s.readAgain, &s.result[0], &s.result[1])
		}
		for kind, name := range []string{"short", "long"} {
			after := &results[2].result[kind]
			for _, s := range results[:2] {
				if before := &s.result[kind]; after.firstShare() < before.firstShare() || after.programShare() < before.programShare() {
					t.Errorf("roaming %v, %s prompts: %v; before: %v", roaming, name, after, before)
				}
			}
		}
	}
}
