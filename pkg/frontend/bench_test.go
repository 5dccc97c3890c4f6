package frontend

import (
	"net/http"
	"testing"
)

// discardWriter is a response that is thrown away.
type discardWriter struct{ h http.Header }

func (w *discardWriter) Header() http.Header         { return w.h }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}

var benchChunk = []byte(`{"id":"0f6c1a8e9d3b47c2a1e05b7f83d92c46","object":"chat.completion.chunk","model":"m",` +
	`"choices":[{"index":0,"delta":{"role":"assistant","content":" relay"},"finish_reason":null}]}`)

// BenchmarkChunkText measures the reading of the text of one streamed token.
func BenchmarkChunkText(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if text, final := ChunkText(benchChunk); text == "" || final {
			b.Fatal(text, final)
		}
	}
}

// BenchmarkSinkChunk measures the writing of one streamed token to a caller.
func BenchmarkSinkChunk(b *testing.B) {
	k := &sseSink{w: &discardWriter{h: http.Header{}}}
	b.ReportAllocs()
	for b.Loop() {
		if err := k.Chunk(benchChunk); err != nil {
			b.Fatal(err)
		}
	}
}
