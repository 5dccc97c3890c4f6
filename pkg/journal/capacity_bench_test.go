package journal

import (
	"context"
	"fmt"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// BenchmarkCheckpoint measures a checkpoint of turns of 10 KB against a store
// without latency. The cost grows with the whole history, not with the changes
// since the previous checkpoint.
func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("turns=%d", n), func(b *testing.B) {
			recs := prose(n)
			mem := objectapi.NewMemory(objectapi.MemoryOptions{})
			w := NewWriter(mem, "a.1", WriterOptions{})
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- w.Run(ctx) }()
			b.ReportAllocs()
			for b.Loop() {
				if err := w.Checkpoint(ctx, recs); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/turn")
			b.ReportMetric(float64(len(mem.Keys("checkpoint/"))), "objects")
			stop()
			<-done
		})
	}
}

// BenchmarkRecoverLog measures the recovery of logs of several lengths, with 50
// turns of 10 KB per object.
func BenchmarkRecoverLog(b *testing.B) {
	const batch = 50
	for _, objects := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			mem := objectapi.NewMemory(objectapi.MemoryOptions{})
			ctx := context.Background()
			for i := range uint64(objects) {
				out, err := pack(prose(batch), MaxObjectBytes, func() *peerv1.JournalObject {
					return &peerv1.JournalObject{Incarnation: "a.1", Object: i + 1}
				})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := mem.Create(ctx, ObjectKey("a.1", i+1), out[0].payload); err != nil {
					b.Fatal(err)
				}
			}
			if _, err := Seal(ctx, mem, "a.1", "b.1"); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				recs, err := Recover(ctx, mem, "a.1", nil)
				if err != nil || len(recs) != objects*batch {
					b.Fatal(len(recs), err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(objects*batch), "us/turn")
		})
	}
}
