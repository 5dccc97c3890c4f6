package coretest

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// BenchmarkHistoryMemory measures the memory of a program by its number of
// turns. A turn has 10 KB, half in the request and half in the answer. The
// result is the figure in docs/design.md.
func BenchmarkHistoryMemory(b *testing.B) {
	const programs, half = 100, 5000
	for _, turns := range []int{0, 8, 32, 128} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			var perProgram float64
			for range b.N {
				before := heapAlloc()
				c, ids, seq := benchCore(b, programs)
				now := startTime
				for i := range programs * turns {
					now = now.Add(time.Millisecond)
					at := core.At{Time: now}
					out := c.Step(core.CallArrived{At: at, Call: core.Call{
						ID: core.CallID(fmt.Sprint(i)), Program: ids[i%programs], Caller: "lango", Kind: core.KindModel,
						PromptTokens: 1000, MaxTokens: 100, Request: make([]byte, half),
					}})
					d := out[len(out)-1].(core.Dispatch)
					c.Step(core.AttemptDone{At: at, Attempt: d.Attempt, Answer: core.Answer{Body: make([]byte, half), Status: 200, OutputTokens: 50}})
					seq += 2
					c.Step(core.JournalCommitted{At: at, Seq: seq})
				}
				if held := len(c.History(ids[0])); held != turns {
					b.Fatalf("the history has %d turns", held)
				}
				perProgram = (heapAlloc() - before) / programs
				runtime.KeepAlive(c)
				runtime.KeepAlive(ids)
			}
			b.ReportMetric(perProgram, "B/program")
		})
	}
}

func heapAlloc() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
