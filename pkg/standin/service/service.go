// Package service is the stand-in of a plain service: POST /{operation} runs an
// operation each time it is called, whatever its key, so that a repeated call
// shows up in the count of runs. /admin endpoints inject faults and report the
// runs.
package service

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
)

// Config configures the stand-in.
type Config struct {
	Listen     string // default 127.0.0.1:0
	NoOutcomes bool   // GET /outcomes/{key} is not supported
	Logger     *slog.Logger
}

// Faults are injected into calls. A counted fault hits so many of the next calls.
type Faults struct {
	SlowMS    int  `json:"slow_ms,omitempty"`    // each call takes so much longer
	Hang      int  `json:"hang,omitempty"`       // never runs and never answers
	HangAfter int  `json:"hang_after,omitempty"` // runs and never answers
	Lost      int  `json:"lost,omitempty"`       // runs, then the connection breaks
	Error     int  `json:"error,omitempty"`      // answers status 500 without running
	WrongID   int  `json:"wrong_id,omitempty"`   // answers with another request's id
	Silence   bool `json:"silence,omitempty"`    // every open connection goes silent now
}

// Outcome is the answer of GET /outcomes/{key}.
type Outcome struct {
	Running bool            `json:"running"`
	Status  int             `json:"status,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Server is the stand-in.
type Server struct {
	cfg Config
	net *faultnet.Server

	mu       sync.Mutex
	faults   Faults
	runs     map[string]int
	outcomes map[string]Outcome
}

// New returns a stand-in that is not listening yet.
func New(cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	s := &Server{cfg: cfg, runs: make(map[string]int), outcomes: make(map[string]Outcome)}
	m := http.NewServeMux()
	m.HandleFunc("POST /{operation}", s.run)
	m.HandleFunc("GET /outcomes/{key}", s.outcome)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("POST /admin/faults", s.postFaults)
	m.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	s.net = faultnet.New(m)
	return s, nil
}

// Start listens until the context ends or Close.
func (s *Server) Start(ctx context.Context) error {
	if err := s.net.Listen(s.cfg.Listen); err != nil {
		return err
	}
	s.net.CloseOnDone(ctx)
	s.cfg.Logger.Info("service stand-in started", "step", "start", "addr", s.Addr())
	return nil
}

// Addr returns host:port.
func (s *Server) Addr() string { return s.net.Addr() }

// Close stops the stand-in.
func (s *Server) Close() error { return s.net.Close() }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Silence {
		s.net.Silence()
	}
}

// Drop cuts every connection and refuses new ones until Resume.
func (s *Server) Drop() { s.net.Drop() }

// Resume listens again after Drop.
func (s *Server) Resume() error { return s.net.Listen("") }

// Runs returns the number of runs per key. Calls without a key are counted
// under their request id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// take returns the faults that hit a call and counts them.
func (s *Server) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	for _, n := range []*int{&s.faults.Hang, &s.faults.HangAfter, &s.faults.Lost, &s.faults.Error, &s.faults.WrongID} {
		if *n > 0 {
			*n--
		}
	}
	return f
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	key, id := r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id")
	if key == "" {
		key = id
	}
	f := s.take()
	if f.Hang > 0 {
		<-r.Context().Done()
		return
	}
	if f.Error > 0 {
		w.Header().Set("X-Request-Id", id)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "injected"})
		return
	}
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.outcomes[key] = Outcome{Running: true}
	s.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	answer, _ := json.Marshal(map[string]any{
		"operation": r.PathValue("operation"), "key": key, "run": n, "bytes": len(body),
	})
	s.mu.Lock()
	s.outcomes[key] = Outcome{Status: http.StatusOK, Body: answer}
	s.mu.Unlock()
	if f.Lost > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.HangAfter > 0 {
		<-r.Context().Done()
		return
	}
	if f.WrongID > 0 {
		id = "other-" + id
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	if s.cfg.NoOutcomes {
		writeJSON(w, http.StatusNotImplemented, map[string]string{"error": "outcome lookup is not supported"})
		return
	}
	s.mu.Lock()
	o, ok := s.outcomes[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "key is not known"})
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, f)
	s.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
