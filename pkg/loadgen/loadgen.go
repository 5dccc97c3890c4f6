// Package loadgen runs a trace against an entry over real sockets. The load is
// bounded in the number of programs and in time.
package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// Options configure a load run.
type Options struct {
	Target   string        // base URL of an entry
	Key      string        // bearer key of the caller; empty: the caller header is sent
	Programs int           // most programs to start
	Duration time.Duration // no program starts later
	Drain    time.Duration // time for programs under way after that, one minute if zero; later ones are cut off
	Speed    float64       // factor by which arrivals and pauses are shortened
	Parallel int           // most programs under way; later ones wait and count as late
	Seed     uint64
	Client   *http.Client
}

// Latencies are quantiles in ms.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Result is the outcome of a load run.
type Result struct {
	Trace     string         `json:"trace"`
	Target    string         `json:"target"`
	Seconds   float64        `json:"seconds"`
	Started   int            `json:"started"`
	Completed int            `json:"completed"`
	Failed    int            `json:"failed"`
	CutOff    int            `json:"cut_off"` // still under way when the run ended
	Late      int            `json:"late"`    // started after their time because too many were under way
	Calls     int            `json:"calls"`
	Refusals  int            `json:"refusals"`
	Unknown   int            `json:"unknown_effects"`
	Errors    map[string]int `json:"errors"` // by code
	ProgramMs Latencies      `json:"program_ms"`
	CallMs    Latencies      `json:"call_ms"`
	TTFTMs    Latencies      `json:"ttft_ms"`
	TokenMs   Latencies      `json:"token_ms"` // between tokens of one answer
}

// runner holds the shared state of a run.
type runner struct {
	o Options
	t *trace.Trace

	mu                           sync.Mutex
	res                          Result
	program, call, ttft, between *hdrhistogram.Histogram
}

// newHistogram covers 10 µs to 1 h with three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(10, int64(time.Hour/time.Microsecond), 3)
}

// Run runs the trace.
func Run(ctx context.Context, t *trace.Trace, o Options) (*Result, error) {
	if o.Programs <= 0 || o.Duration <= 0 || o.Drain < 0 || o.Speed <= 0 || o.Parallel <= 0 {
		return nil, errors.New("programs, duration, speed and parallel must be positive, drain must not be negative")
	}
	if o.Drain == 0 {
		o.Drain = time.Minute
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: httpcheck.Transport(&http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second})}
	}
	r := &runner{
		o: o, t: t, program: newHistogram(), call: newHistogram(), ttft: newHistogram(), between: newHistogram(),
		res: Result{Trace: t.Header.Name, Target: o.Target, Errors: map[string]int{}},
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration+o.Drain)
	defer cancel()
	begin := time.Now()
	slots := make(chan struct{}, o.Parallel)
	var wg sync.WaitGroup
start:
	for i := range t.Programs {
		p := &t.Programs[i]
		due := begin.Add(r.scale(time.Duration(p.AtMs) * time.Millisecond))
		if r.res.Started >= o.Programs || due.Sub(begin) > o.Duration {
			break
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			break start
		}
		select {
		case slots <- struct{}{}:
		default:
			r.res.Late++
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				break start
			}
		}
		r.res.Started++
		wg.Go(func() {
			defer func() { <-slots }()
			r.run(ctx, p)
		})
	}
	wg.Wait()
	r.res.Seconds = time.Since(begin).Seconds()
	r.res.ProgramMs, r.res.CallMs = summary(r.program), summary(r.call)
	r.res.TTFTMs, r.res.TokenMs = summary(r.ttft), summary(r.between)
	return &r.res, nil
}

func summary(h *hdrhistogram.Histogram) Latencies {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Latencies{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

func (r *runner) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.o.Speed)
}

func (r *runner) record(h *hdrhistogram.Histogram, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = h.RecordValue(min(max(d.Microseconds(), 10), int64(time.Hour/time.Microsecond)))
}

// run runs one root program.
func (r *runner) run(ctx context.Context, p *trace.Program) {
	c := &caller{r: r, name: p.Caller, rand: rand.New(rand.NewPCG(r.o.Seed, uint64(p.AtMs)))}
	begin := time.Now()
	err := c.agent(ctx, &p.Agent, p.Profile, "", p.Endless, 0)
	r.mu.Lock()
	switch {
	case err == nil:
		r.res.Completed++
	case ctx.Err() != nil:
		r.res.CutOff++
	default:
		r.res.Failed++
	}
	r.mu.Unlock()
	if err == nil {
		r.record(r.program, time.Since(begin))
	}
}

// pause waits, unless the run ends before.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// agent opens a program and runs its steps.
func (c *caller) agent(ctx context.Context, a *trace.Agent, profile, parent string, endless bool, number int) error {
	id, err := c.open(ctx, profile, parent)
	if err != nil {
		return err
	}
	defer c.end(id)
	for {
		for i := range a.Steps {
			s := &a.Steps[i]
			if err := pause(ctx, c.r.scale(time.Duration(s.PauseMs)*time.Millisecond)); err != nil {
				return err
			}
			if err := c.step(ctx, a, s, id, profile, number); err != nil {
				return err
			}
		}
		if !endless {
			return nil
		}
	}
}

func (c *caller) step(ctx context.Context, a *trace.Agent, s *trace.Step, id, profile string, number int) error {
	switch {
	case s.Service != "":
		key := s.Key
		if key != "" {
			key = fmt.Sprintf("%s.%d", key, number)
		}
		return c.service(ctx, id, s.Service, s.Op, key)
	case len(s.Agents) > 0:
		errs := make(chan error, len(s.Agents))
		for i := range s.Agents {
			go func() { errs <- c.agent(ctx, &s.Agents[i], profile, id, false, number*16+i+1) }()
		}
		var first error
		for range s.Agents {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return first
	}
	return c.chat(ctx, id, a, s)
}
