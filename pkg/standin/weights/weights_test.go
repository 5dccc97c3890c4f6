package weights

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against readers that each get the whole rate, and against more readers
// than allowed.
func TestRateIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Models: map[string]int64{"m": 1_000_000}, BytesPerSecond: 1_000_000, MaxReaders: 2})
		get := func() *httptest.ResponseRecorder {
			rec := httptest.NewRecorder()
			s.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/weights/m", nil))
			return rec
		}
		start := time.Now()
		sizes := make(chan int, 2)
		for range 2 {
			go func() { sizes <- get().Body.Len() }()
		}
		time.Sleep(100 * time.Millisecond)
		if rec := get(); rec.Code != http.StatusTooManyRequests {
			t.Errorf("third reader: status %d, want 429", rec.Code)
		}
		for range 2 {
			if n := <-sizes; n != 1_000_000 {
				t.Errorf("read %d bytes", n)
			}
		}
		if d := time.Since(start); d < 1900*time.Millisecond || d > 2100*time.Millisecond {
			t.Errorf("2 MB at 1 MB/s took %v", d)
		}
	})
}

// Guards against a server that does not listen or answers for unknown models.
func TestServes(t *testing.T) {
	s := New(Options{Models: map[string]int64{"m": 70_000}})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for model, want := range map[string]int{"m": 70_000, "x": len("model unknown\n")} {
		resp, err := http.Get("http://" + s.Addr() + "/v1/weights/" + model)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || len(data) != want {
			t.Errorf("%s: %d bytes, %v; want %d", model, len(data), err, want)
		}
	}
}
