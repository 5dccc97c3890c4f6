package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const benchPrograms = 31_000

// BenchmarkDecision measures the policy's work for one call: Enqueue, Next,
// OnFirstToken and OnDone. There are 31,000 programs in progress, half of the
// slots are in use, and all upstreams serve the same model, which is the worst
// case for the index. The time must not grow with the number of upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, name := range Names() {
		for _, n := range []int{10, 100, 1000, 3000} {
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, n), func(b *testing.B) { benchDecision(b, name, n) })
		}
	}
}

func benchDecision(b *testing.B, name string, n int) {
	p := mustNew(b, name, 1)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		info := engineInfo(i)
		info.Slots, info.CacheTokens = 64, 4_000_000
		info.Region = fmt.Sprintf("r%d", i%3)
		p.SetUpstream(epoch, info)
		p.OnLoad(epoch, core.Load{Upstream: info.ID, Measured: epoch, Running: rng.IntN(20), CacheUsed: 3_000_000})
	}
	views := make([]core.ProgramView, benchPrograms)
	for i := range views {
		views[i] = view(fmt.Sprintf("p%03x-%d", i%256, i), fmt.Sprintf("caller-%d", i%2000), core.ClassStandard)
		views[i].Region = fmt.Sprintf("r%d", i%3)
	}
	var running []core.Assignment
	now, sent := 0.0, 0
	cycle := func(i int) {
		now += 0.0005
		v := views[i%len(views)]
		r := modelCall(v, i, 8000)
		r.Call.SharedPrefix, r.Call.SharedTokens = fmt.Sprintf("tools-%d", i%40), 2000
		p.Enqueue(at(now), r)
		if a, ok := p.Next(at(now)); ok {
			p.OnFirstToken(at(now+0.3), a.Request.Attempt, 6000)
			running = append(running, a)
			sent++
		}
		if len(running) > n*16 {
			finish(p, at(now), running[0], 6000)
			running = running[1:]
		}
		if i%100 == 0 {
			p.Orders(at(now))
		}
	}
	for i := range benchPrograms * 2 {
		cycle(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	sent = 0
	for i := range b.N {
		cycle(i)
	}
	b.ReportMetric(float64(sent)/float64(b.N), "dispatched/op")
}

// BenchmarkNextBlocked measures Next while 10,000 requests wait and all upstreams
// are full. Next must not scan the queue.
func BenchmarkNextBlocked(b *testing.B) {
	for _, name := range Names() {
		b.Run(name, func(b *testing.B) {
			p := mustNew(b, name, 1)
			addEngines(p, 100)
			for i := range 10_800 {
				p.Enqueue(at(1), modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassStandard), i, 2000))
			}
			drain(p, at(1))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, ok := p.Next(at(1 + float64(i)*0.025)); ok {
					b.Fatal("dispatched although all upstreams are full")
				}
			}
		})
	}
}

// BenchmarkOnLoad measures a load report with 32 own calls on the upstream.
func BenchmarkOnLoad(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p := mustNew(b, NameDefault, 1)
			for i := range n {
				info := engineInfo(i)
				info.Slots = 64
				p.SetUpstream(epoch, info)
			}
			for i := range n * 32 {
				p.Enqueue(at(1), modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassStandard), i, 2000))
			}
			drain(p, at(1))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.OnLoad(at(2+float64(i)*0.001), core.Load{Upstream: engineInfoID(i % n), Measured: at(2 + float64(i)*0.001), Running: 40})
			}
		})
	}
}

var engineIDs = func() (ids [3000]core.UpstreamID) {
	for i := range ids {
		ids[i] = engineInfo(i).ID
	}
	return ids
}()

func engineInfoID(i int) core.UpstreamID { return engineIDs[i] }
