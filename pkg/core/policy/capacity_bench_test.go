package policy

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// BenchmarkPolicyMemory measures the memory that the policy uses per upstream and
// per cached prefix reported by the engines. Prefixes belong to the programs and
// workspaces in use.
func BenchmarkPolicyMemory(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			benchMemory(b, n, func(p core.Policy) {
				for i := range n {
					info := engineInfo(i)
					p.SetUpstream(epoch, info)
					p.OnLoad(epoch, core.Load{Upstream: info.ID, Measured: epoch, Running: 3})
				}
			})
		})
	}
	for _, n := range []int{1000, 10_000, 41_000} {
		b.Run(fmt.Sprintf("prefixes=%d", n), func(b *testing.B) {
			benchMemory(b, n, func(p core.Policy) {
				const upstreams = 100
				for i := range upstreams {
					p.SetUpstream(epoch, engineInfo(i))
				}
				for i := range n {
					p.OnCache(epoch, core.CacheEvent{
						Upstream: engineInfoID(i % upstreams), Number: uint64(i/upstreams + 1), Prefix: fmt.Sprintf("workspace-%08x", i), Tokens: 2000,
					})
				}
			})
		})
	}
}

func benchMemory(b *testing.B, n int, fill func(core.Policy)) {
	b.Helper()
	var used uint64
	for range b.N {
		before := heapBytes()
		p := mustNew(b, NameDefault, 1)
		fill(p)
		used = heapBytes() - before
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(used)/float64(n), "B/each")
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
