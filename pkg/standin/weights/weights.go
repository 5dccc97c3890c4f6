// Package weights is a stand-in for the platform's weight store: it delivers
// the weights of models at a limited rate, shared by all readers.
package weights

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/httpserver"
)

// chunkBytes is the unit in which the rate is spent.
const chunkBytes = 16 << 10

// Options configures a Server.
type Options struct {
	Listen         string           // host:port; port 0 lets the kernel choose
	Models         map[string]int64 // bytes of each model
	BytesPerSecond int64            // rate shared by all readers; 0: 1 GB/s
	MaxReaders     int              // readers at the same time; more get 429 (4)
	Logger         *slog.Logger
}

// Server is a running weight store.
type Server struct {
	*httpserver.Server
	o       Options
	limiter *rate.Limiter
	readers chan struct{}
}

// New returns a server that is not started yet.
func New(o Options) *Server {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.BytesPerSecond <= 0 {
		o.BytesPerSecond = 1_000_000_000
	}
	if o.MaxReaders <= 0 {
		o.MaxReaders = 4
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		o: o, readers: make(chan struct{}, o.MaxReaders),
		limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), chunkBytes),
	}
	s.Server = httpserver.New("stand-in weight store", o.Listen, s.Handler(), o.Logger)
	return s
}

// Handler returns the HTTP interface of the weight store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}", s.get)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// get streams the weights of a model, which are zeros, at the shared rate.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	size, ok := s.o.Models[r.PathValue("model")]
	if !ok {
		http.Error(w, "model unknown", http.StatusNotFound)
		return
	}
	select {
	case s.readers <- struct{}{}:
		defer func() { <-s.readers }()
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many readers", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	_, _ = io.Copy(w, &limited{r.Context(), s.limiter, size})
}

// limited reads zeros at the rate of a limiter.
type limited struct {
	ctx     context.Context
	limiter *rate.Limiter
	left    int64
}

func (l *limited) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), l.left, chunkBytes))
	if err := l.limiter.WaitN(l.ctx, n); err != nil {
		return 0, err
	}
	clear(p[:n])
	l.left -= int64(n)
	return n, nil
}
