// Package engine is the HTTP stand-in of a model engine. It runs the logic of
// package model in real time and speaks the engine protocol of docs/design.md,
// section 14. /admin endpoints inject faults and report what ran.
package engine

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
)

const (
	// tokenTick is the resolution of token times in real time.
	tokenTick = 5 * time.Millisecond
	// resumeGrace is how long a request goes on without a reader.
	resumeGrace = 5 * time.Second
	// eventBuffer is the number of delivered cache events kept for readers.
	eventBuffer = 8192
	// maxPoll bounds a long poll for cache events.
	maxPoll = 10 * time.Second
	// maxBody is the largest request body in bytes.
	maxBody = 16 << 20
)

// Config configures the stand-in.
type Config struct {
	Listen     string        // default 127.0.0.1:0
	Model      model.Options // Stream is set by New
	OrderToken string        // orders must carry it as a bearer token; empty: not checked
	Logger     *slog.Logger
}

// Server is the stand-in.
type Server struct {
	cfg  Config
	net  *faultnet.Server
	log  *slog.Logger
	kick chan struct{}

	mu          sync.Mutex
	eng         *model.Engine
	incarnation uint64
	states      map[string]*state
	events      []core.CacheEvent
	eventsMore  chan struct{} // closed and replaced when events arrive
	faults      Faults
	runs        map[string]int
	orders      []OrderRequest
	lastID      string
	crashes     int
	received    int // requests read, admitted or not
	cancel      context.CancelFunc
}

// New returns a stand-in that is not listening yet.
func New(cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	cfg.Model.Stream = true
	s := &Server{
		cfg: cfg, log: cfg.Logger, kick: make(chan struct{}, 1),
		eng: model.New(cfg.Model), states: make(map[string]*state),
		runs: make(map[string]int), eventsMore: make(chan struct{}),
	}
	s.incarnation = s.eng.Incarnation()
	s.net = faultnet.New(s.routes())
	return s, nil
}

// Start listens and runs the engine until the context ends or Close.
func (s *Server) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	if err := s.net.Listen(s.cfg.Listen); err != nil {
		cancel()
		return err
	}
	s.net.CloseOnDone(ctx)
	go s.drive(ctx)
	s.log.Info("engine stand-in started", "step", "start", "addr", s.Addr())
	return nil
}

// Addr returns host:port.
func (s *Server) Addr() string { return s.net.Addr() }

// Close stops the stand-in.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.cancel != nil {
		s.cancel()
	}
	s.mu.Unlock()
	return s.net.Close()
}

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", s.chat)
	m.HandleFunc("POST /v1/cancel/{id}", s.cancelRequest)
	m.HandleFunc("GET /v1/resume/{id}", s.resume)
	m.HandleFunc("GET /v1/load", s.load)
	m.HandleFunc("GET /v1/cache/events", s.cacheEvents)
	m.HandleFunc("GET /v1/cache", s.cache)
	m.HandleFunc("POST /v1/orders", s.order)
	m.HandleFunc("GET /v1/kv/{program}", s.exportKV)
	m.HandleFunc("PUT /v1/kv/{program}", s.importKV)
	m.HandleFunc("GET /v1/info", s.info)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /admin/faults", s.getFaults)
	m.HandleFunc("POST /admin/faults", s.postFaults)
	m.HandleFunc("GET /admin/stats", s.getStats)
	return m
}

// wake makes the driver look at the engine again.
func (s *Server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// drive moves the engine's time.
func (s *Server) drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		case <-timer.C:
		}
		timer.Reset(s.advance(ctx))
	}
}

// advance delivers what happened and returns the time to the next look.
func (s *Server) advance(ctx context.Context) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.deliver(s.eng.Advance(now))
	if n := s.eng.Incarnation(); n != s.incarnation {
		s.incarnation = n
		s.crashes++
		s.events = nil
		s.states = make(map[string]*state)
		s.log.Warn("engine stand-in crashed", "step", "crash", "next_incarnation", n)
		go s.restart(ctx)
	}
	s.expire(now)
	wait := 100 * time.Millisecond
	if next := s.eng.NextEvent(); !next.IsZero() {
		wait = min(wait, max(next.Sub(now), 0))
	}
	for _, st := range s.states {
		if !st.ended {
			wait = min(wait, tokenTick)
			break
		}
	}
	return wait
}

func (s *Server) deliver(outs []model.Output) {
	more := false
	for _, o := range outs {
		if o.Kind == model.Cache {
			s.events = append(s.events, o.Event)
			more = true
			continue
		}
		if st := s.states[o.ID]; st != nil {
			st.apply(o)
		}
	}
	if more {
		if n := len(s.events) - eventBuffer; n > 0 {
			s.events = append([]core.CacheEvent(nil), s.events[n:]...)
		}
		close(s.eventsMore)
		s.eventsMore = make(chan struct{})
	}
}

// expire cancels requests that nobody reads and forgets old results.
func (s *Server) expire(now time.Time) {
	for id, st := range s.states {
		switch {
		case st.readers > 0:
		case st.ended && now.Sub(st.left) > s.resumeTerm():
			delete(s.states, id)
		case !st.ended && now.Sub(st.left) > resumeGrace:
			s.eng.Cancel(now, id)
			s.deliver(s.eng.Advance(now))
		}
	}
}

func (s *Server) resumeTerm() time.Duration {
	if s.cfg.Model.ResumeTerm > 0 {
		return s.cfg.Model.ResumeTerm
	}
	return model.Defaults().ResumeTerm
}

// restart cuts every connection and listens again when the engine is up.
func (s *Server) restart(ctx context.Context) {
	s.net.Drop()
	timer := time.NewTimer(s.cfg.Model.RestartDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if s.net.Listen("") == nil {
			s.wake()
			return
		}
		timer.Reset(100 * time.Millisecond)
	}
}

// Crash makes the process die now.
func (s *Server) Crash() {
	s.mu.Lock()
	s.eng.Crash(time.Now())
	s.mu.Unlock()
	s.wake()
}

// Silence makes every open connection silent for good.
func (s *Server) Silence() { s.net.Silence() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch errors.Cause(err) {
	case model.ErrDown:
		status = http.StatusServiceUnavailable
	case model.ErrDuplicate, model.ErrFenced, model.ErrPinLimit, model.ErrNoRoom:
		status = http.StatusConflict
	case model.ErrNotHeld, model.ErrModel, model.ErrAdapter:
		status = http.StatusNotFound
	}
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": err.Error(), "fenced": errors.Is(err, model.ErrFenced)}})
}
