package journal

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

func newObject() *peerv1.JournalObject {
	return &peerv1.JournalObject{Incarnation: "a.1", Object: 1}
}

var words = strings.Fields(`the gate motor hums but does not move check relay limit switch
 remote battery reads volts technician can come on Tuesday morning please confirm deposit of
 shillings before noon saw band kerf hook angle set tooth regrind pitch spruce frozen log feed rate`)

// prose returns turn records of about 10 KB of text each, half of it the request and
// half the answer.
func prose(n int) []core.Record {
	rnd := rand.New(rand.NewPCG(7, 7))
	text := func(size int) []byte {
		var b strings.Builder
		for b.Len() < size {
			b.WriteString(words[rnd.IntN(len(words))])
			b.WriteByte(' ')
		}
		return []byte(b.String())
	}
	recs := make([]core.Record, n)
	for i := range recs {
		recs[i] = turn("p0a7-case", core.Seq(i+1))
		recs[i].Request, recs[i].Answer.Body = text(5000), text(5000)
	}
	return recs
}

// Measures the encoding of one record in batches of 50, and its bytes before
// and after compression.
func BenchmarkEncode(b *testing.B) {
	const batch = 50
	recs := prose(batch)
	raw := 0
	for i := range recs {
		raw += estimateSize(&recs[i])
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		out, err := pack(recs, MaxObjectBytes, newObject)
		if err != nil {
			b.Fatal(err)
		}
		size = 0
		for _, p := range out {
			size += len(p.payload)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/record")
	b.ReportMetric(float64(raw)/batch, "raw-B/turn")
	b.ReportMetric(float64(size)/batch, "B/turn")
}

// Measures appends against a store that answers at once.
func BenchmarkAppend(b *testing.B) {
	recs := prose(50)
	mem := objectapi.NewMemory(objectapi.MemoryOptions{})
	w := NewWriter(mem, "a.1", WriterOptions{})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		for range 20 {
			w.Append(recs)
			n += len(recs)
		}
		if err := w.Flush(ctx); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(n)/float64(len(mem.Keys("journal/"))), "records/object")
	stop()
	<-done
}
