package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
)

// Faults are injected into requests. A counted fault hits so many of the next
// requests; On limits the counted faults to requests that contain the text.
type Faults struct {
	On       string `json:"on,omitempty"`
	CrashOn  string `json:"crash_on,omitempty"`  // a request that contains the text crashes the engine
	Hang     int    `json:"hang,omitempty"`      // never answers
	WrongID  int    `json:"wrong_id,omitempty"`  // answers with another request's id
	Twice    int    `json:"twice,omitempty"`     // sends the answer twice
	Cut      int    `json:"cut,omitempty"`       // breaks the connection at CutAfter tokens
	Truncate int    `json:"truncate,omitempty"`  // ends the stream without a last chunk at CutAfter tokens
	Silent   int    `json:"silent,omitempty"`    // all connections go silent at CutAfter tokens
	CutAfter int64  `json:"cut_after,omitempty"` // tokens
	SlowMS   int    `json:"slow_ms,omitempty"`   // delay of each chunk
	AdmitMS  int    `json:"admit_ms,omitempty"`  // delay between the reading of a request and its admission
	NoResume bool   `json:"no_resume,omitempty"` // resume answers "not held"
	CrashNow bool   `json:"crash_now,omitempty"`
}

// Stats tells what ran.
type Stats struct {
	Incarnation uint64         `json:"incarnation"`
	Crashes     int            `json:"crashes"`
	Received    int            `json:"received"` // requests read, admitted or not
	Runs        map[string]int `json:"runs"`     // by request id
	Orders      []OrderRequest `json:"orders"`
	Running     int            `json:"running"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.CrashNow {
		s.Crash()
	}
}

// Stats returns what ran since New.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{
		Incarnation: s.incarnation, Crashes: s.crashes, Received: s.received, Runs: maps.Clone(s.runs),
		Orders: append([]OrderRequest(nil), s.orders...),
	}
	for _, r := range s.states {
		if !r.ended {
			st.Running++
		}
	}
	return st
}

// takeFaults counts a request and returns the faults that hit it, counting them, and the id
// of an earlier request.
func (s *Server) takeFaults(q *chatRequest) (Faults, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.lastID
	if other == "" {
		other = "other-" + q.RequestID
	}
	s.lastID = q.RequestID
	s.received++
	contains := func(text string) bool {
		for _, m := range q.Messages {
			if strings.Contains(string(m), text) {
				return true
			}
		}
		return false
	}
	f := s.faults
	if f.CrashOn != "" && !contains(f.CrashOn) {
		f.CrashOn = ""
	}
	if f.On != "" && !contains(f.On) {
		return Faults{CrashOn: f.CrashOn}, other
	}
	for _, n := range []*int{&s.faults.Hang, &s.faults.WrongID, &s.faults.Twice, &s.faults.Cut, &s.faults.Truncate, &s.faults.Silent} {
		if *n > 0 {
			*n--
		}
	}
	return f, other
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, f)
	s.SetFaults(f)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}
