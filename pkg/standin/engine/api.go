package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
)

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Order        string `json:"order"`
	Program      string `json:"program,omitempty"`
	Argument     string `json:"argument,omitempty"`
	TermMS       int64  `json:"term_ms,omitempty"`
	Fencing      uint64 `json:"fencing,omitempty"`
	FencingScope string `json:"fencing_scope,omitempty"` // numbers are compared within a scope
}

// Info is the answer of GET /v1/info.
type Info struct {
	Incarnation   uint64   `json:"incarnation"`
	Models        []string `json:"models"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role,omitempty"`
	Slots         int      `json:"slots"`
	CacheTokens   int64    `json:"cache_tokens"`
	PrefillRate   float64  `json:"prefill_rate"`
	DecodeRate    float64  `json:"decode_rate"`
	ChecksOrders  bool     `json:"checks_orders"`
	ChecksFencing bool     `json:"checks_fencing"`
}

func (s *Server) info(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	i := s.eng.Info()
	role := s.eng.Role()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, Info{
		Incarnation: i.Incarnation, Models: i.Models, Adapters: i.Adapters, Role: role, Slots: i.Slots,
		CacheTokens: i.CacheTokens, PrefillRate: i.PrefillRate, DecodeRate: i.DecodeRate,
		ChecksOrders: s.cfg.OrderToken != "", ChecksFencing: i.ChecksFencing,
	})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := s.eng.Load(time.Now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

// cacheEvents answers with the events after a number, or waits for one.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	deadline := time.NewTimer(maxPoll)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		incarnation, more := s.incarnation, s.eventsMore
		events := []core.CacheEvent{}
		for _, e := range s.events {
			if e.Number > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-more:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"incarnation": incarnation, "events": events})
			return
		}
	}
}

func (s *Server) cache(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	held := s.eng.Held(time.Now())
	incarnation := s.incarnation
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"incarnation": incarnation, "held": held})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	if s.cfg.OrderToken != "" && r.Header.Get("Authorization") != "Bearer "+s.cfg.OrderToken {
		writeJSON(w, http.StatusUnauthorized, map[string]any{"error": map[string]any{"message": "order is not authenticated"}})
		return
	}
	var o OrderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, fmt.Errorf("order: %w", err))
		return
	}
	s.mu.Lock()
	err := s.eng.Order(time.Now(), model.Order{
		Order: o.Order, Program: o.Program, Argument: o.Argument, Term: time.Duration(o.TermMS) * time.Millisecond,
		Fencing: o.Fencing, FencingScope: o.FencingScope,
	})
	if err == nil {
		s.orders = append(s.orders, o)
	}
	s.mu.Unlock()
	s.wake()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	kv, err := s.eng.Export(time.Now(), r.PathValue("program"))
	s.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var kv model.KV
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&kv); err != nil {
		writeError(w, fmt.Errorf("kv: %w", err))
		return
	}
	kv.Program = r.PathValue("program")
	s.mu.Lock()
	err := s.eng.Import(time.Now(), kv)
	s.mu.Unlock()
	s.wake()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}
