package coretest

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// directPolicy sends every request to one upstream at once, so that a benchmark
// measures the core and not a policy.
type directPolicy struct {
	*fifoPolicy
	queue []core.Request
}

func (p *directPolicy) Admit(time.Time, core.ProgramView) core.Admission {
	return core.Admission{OK: true}
}
func (p *directPolicy) Enqueue(_ time.Time, r core.Request)           { p.queue = append(p.queue, r) }
func (p *directPolicy) Remove(core.CallID) bool                       { return true }
func (p *directPolicy) Unroutable(time.Time) []core.Request           { return nil }
func (p *directPolicy) OnDone(time.Time, core.AttemptID, core.Answer) {}
func (p *directPolicy) OnFailed(time.Time, core.Failure)              {}
func (p *directPolicy) Next(time.Time) (core.Assignment, bool) {
	if len(p.queue) == 0 {
		return core.Assignment{}, false
	}
	r := p.queue[0]
	p.queue = p.queue[:0]
	return core.Assignment{Request: r, Upstream: "m1"}, true
}

// benchCore returns a core with n open programs.
func benchCore(b *testing.B, n int) (*core.Core, []core.ProgramID, core.Seq) {
	b.Helper()
	c := core.New(core.Options{Self: "e1.1", Seed: 1, Policy: &directPolicy{fifoPolicy: newPolicy()}})
	cfg := baseConfig()
	cfg.SlotCount = 256
	std := cfg.Profiles["std"]
	std.IdleTimeout = 24 * time.Hour
	std.Budget = core.Budget{Tokens: 1 << 50, Calls: 1 << 50}
	cfg.Profiles["std"] = std
	at := core.At{Time: startTime}
	c.Step(core.ConfigApplied{At: at, Config: cfg})
	c.Step(core.UpstreamChanged{At: at, Info: core.UpstreamInfo{ID: "m1", Kind: core.KindModel}})
	c.Step(core.SlotsAcquired{At: at, Slots: allSlots(256, 1)})
	ids := make([]core.ProgramID, n)
	var seq core.Seq
	for i := range ids {
		ids[i] = core.NewProgramID(core.Slot(i%256), fmt.Sprintf("%08x", i))
		seq++
		c.Step(core.ProgramOpened{At: at, Call: core.CallID(ids[i]), ID: ids[i], Caller: "lango"})
		c.Step(core.JournalCommitted{At: at, Seq: seq})
	}
	return c, ids, seq
}

var programCounts = []int{10, 1000, 31000}

// BenchmarkStepCall measures the four steps of a model call with a budget: its
// arrival, its answer, and the commits of its reservation and its turn. All
// calls share their bodies, so that the allocations are those of the core
// itself.
func BenchmarkStepCall(b *testing.B) {
	for _, n := range programCounts {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			c, ids, seq := benchCore(b, n)
			request, body := make([]byte, 200), make([]byte, 1000)
			now := startTime
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				at := core.At{Time: now}
				out := c.Step(core.CallArrived{At: at, Call: core.Call{
					ID: core.CallID(fmt.Sprint(i)), Program: ids[i%n], Caller: "lango", Kind: core.KindModel,
					PromptTokens: 100, MaxTokens: 100, Request: request,
				}})
				d := out[len(out)-1].(core.Dispatch)
				c.Step(core.AttemptDone{At: at, Attempt: d.Attempt, Answer: core.Answer{
					Body: body, Status: 200, PromptTokens: 100, OutputTokens: 50,
				}})
				seq += 2
				c.Step(core.JournalCommitted{At: at, Seq: seq - 1})
				if out := c.Step(core.JournalCommitted{At: at, Seq: seq}); len(out) != 1 {
					b.Fatalf("effects %v", out)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(4*b.N), "ns/step")
		})
	}
}

// BenchmarkStepTick measures a tick without due timers.
func BenchmarkStepTick(b *testing.B) {
	for _, n := range programCounts {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			c, _, _ := benchCore(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.Step(core.Tick{At: core.At{Time: startTime}})
			}
		})
	}
}

// BenchmarkProgramMemory measures the memory of an open program without turns.
func BenchmarkProgramMemory(b *testing.B) {
	for _, n := range programCounts {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var perProgram float64
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c, ids, _ := benchCore(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				perProgram = float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n)
				runtime.KeepAlive(c)
				runtime.KeepAlive(ids)
			}
			b.ReportMetric(perProgram, "B/program")
		})
	}
}
