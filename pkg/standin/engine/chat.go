package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
)

// chatRequest is the part of the OpenAI form that the stand-in reads, with the
// extra fields of the engine protocol.
type chatRequest struct {
	Model        string            `json:"model"`
	Adapter      string            `json:"adapter"`
	Messages     []json.RawMessage `json:"messages"`
	MaxTokens    int64             `json:"max_tokens"`
	Stream       bool              `json:"stream"`
	RequestID    string            `json:"request_id"`
	Priority     int               `json:"priority"`
	Program      string            `json:"program"`
	SharedPrefix string            `json:"shared_prefix"`
	// OutputTokens fixes the length of the answer in tests and load runs.
	OutputTokens int64 `json:"standin_output_tokens"`
	// Continue tells that the last message is the beginning of the answer,
	// which is to be continued and not repeated.
	Continue bool `json:"continue_final_message"`
}

// begun returns the messages before the answer and the number of tokens of the
// answer that the request brings.
func (q *chatRequest) begun() (messages []json.RawMessage, tokens int64) {
	if !q.Continue {
		return q.Messages, 0
	}
	var last struct {
		Content string `json:"content"`
	}
	n := len(q.Messages) - 1
	_ = json.Unmarshal(q.Messages[n], &last)
	return q.Messages[:n], int64(len(strings.Fields(last.Content)))
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// state is the progress of a request as readers see it.
type state struct {
	id          string
	model       string
	fingerprint uint64
	offset      int64 // tokens of the answer that the request brought
	prompt      int64
	cached      int64
	tokens      int64
	ended       bool
	failed      bool
	reason      string
	readers     int
	left        time.Time // when the last reader went away
	changed     chan struct{}
}

func (st *state) apply(o model.Output) {
	switch o.Kind {
	case model.FirstToken:
		st.prompt, st.cached, st.tokens = o.Prompt, o.Cached, o.Tokens
	case model.Tokens:
		st.tokens = o.Tokens
	case model.Done:
		st.prompt, st.cached, st.tokens, st.reason, st.ended = o.Prompt, o.Cached, o.Tokens, o.Reason, true
	case model.Failed:
		st.failed, st.ended = true, true
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// CountTokens returns the stand-in's token count of one message.
func CountTokens(message []byte) int64 { return 4 + int64(len(message))/4 }

// Fingerprint returns the content fingerprint of a request.
func Fingerprint(modelName string, messages []json.RawMessage) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(modelName)
	for _, m := range messages {
		_, _ = h.Write([]byte{0})
		_, _ = h.Write(m)
	}
	return h.Sum64()
}

var vocabulary = strings.Fields("gate motor hinge relay limit switch track sensor blade kerf hook tooth gullet pitch courier depot invoice order ready check")

// tokenText is the i-th token of an answer. It depends on the request's content
// only, so that a resumed or repeated answer is the same.
func tokenText(fingerprint uint64, i int64) string {
	h := xxhash.Sum64String(strconv.FormatUint(fingerprint, 36) + "." + strconv.FormatInt(i, 36))
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var q chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		writeError(w, fmt.Errorf("request body: %w", err))
		return
	}
	if q.RequestID == "" || len(q.Messages) == 0 {
		writeError(w, fmt.Errorf("request_id and messages are required"))
		return
	}
	question, offset := q.begun()
	if q.OutputTokens > 0 {
		q.OutputTokens = max(q.OutputTokens-offset, 1)
	}
	req := model.Request{
		ID: q.RequestID, Program: q.Program, Model: q.Model, Adapter: q.Adapter, SharedPrefix: q.SharedPrefix,
		MaxTokens: q.MaxTokens, OutputTokens: q.OutputTokens, Priority: q.Priority, Fingerprint: Fingerprint(q.Model, question),
	}
	system := true
	for _, m := range q.Messages {
		var role struct {
			Role string `json:"role"`
		}
		_ = json.Unmarshal(m, &role)
		req.PromptTokens += CountTokens(m)
		if system = system && role.Role == "system"; system {
			req.SharedTokens += CountTokens(m)
		}
	}
	f, otherID := s.takeFaults(&q)
	if f.Hang > 0 {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(f.AdmitMS) * time.Millisecond)
	s.mu.Lock()
	if f.CrashOn != "" {
		s.eng.CrashOn(req.Fingerprint, true)
	}
	err := s.eng.Submit(time.Now(), req)
	var st *state
	if err == nil {
		st = &state{id: q.RequestID, model: q.Model, fingerprint: req.Fingerprint, offset: offset, left: time.Now(), changed: make(chan struct{})}
		s.states[q.RequestID] = st
		s.runs[q.RequestID]++
	}
	s.mu.Unlock()
	s.wake()
	if err != nil {
		writeError(w, err)
		return
	}
	out := &answer{s: s, w: w, r: r, st: st, id: q.RequestID, content: st.fingerprint, faults: f}
	if f.WrongID > 0 {
		out.id, out.content = otherID, ^st.fingerprint
	}
	if q.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		out.stream(0)
		if f.Twice > 0 {
			out.stream(0)
		}
		return
	}
	out.whole()
	if f.Twice > 0 {
		out.whole()
	}
}

// answer writes a request's answer to one response.
type answer struct {
	s  *Server
	w  http.ResponseWriter
	r  *http.Request
	st *state
	id string
	// content selects the text; it differs from the request's fingerprint
	// when the answer of another request is sent.
	content uint64
	faults  Faults
}

// follow calls emit after each change until the request has ended, the reader
// is gone or emit returns false. The copy passed to emit is consistent.
func (a *answer) follow(emit func(st state) bool) {
	a.s.mu.Lock()
	a.st.readers++
	a.s.mu.Unlock()
	defer func() {
		a.s.mu.Lock()
		a.st.readers--
		a.st.left = time.Now()
		a.s.mu.Unlock()
	}()
	for {
		a.s.mu.Lock()
		st := *a.st
		a.s.mu.Unlock()
		if st.failed {
			panic(http.ErrAbortHandler) // the process has died
		}
		if !emit(st) || st.ended {
			return
		}
		select {
		case <-st.changed:
		case <-a.r.Context().Done():
			return
		}
	}
}

// stream writes the tokens from position next on as server-sent events.
func (a *answer) stream(next int64) {
	flusher, _ := a.w.(http.Flusher)
	first := true
	a.follow(func(st state) bool {
		for ; next < st.tokens; next++ {
			if a.faults.Cut > 0 && next >= a.faults.CutAfter {
				panic(http.ErrAbortHandler)
			}
			if a.faults.Truncate > 0 && next >= a.faults.CutAfter {
				return false
			}
			if a.faults.SlowMS > 0 {
				time.Sleep(time.Duration(a.faults.SlowMS) * time.Millisecond)
			}
			var u *usage
			if first {
				u = &usage{PromptTokens: st.prompt, CachedTokens: st.cached, CompletionTokens: next + 1}
				first = false
			}
			a.chunk(tokenText(a.content, a.st.offset+next), "", u)
			if a.faults.Silent > 0 && next >= a.faults.CutAfter {
				if flusher != nil {
					flusher.Flush()
				}
				a.s.Silence()
			}
		}
		if st.ended {
			a.chunk("", st.reason, st.usage())
			_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
		}
		if flusher != nil {
			flusher.Flush()
		}
		return true
	})
}

func (st *state) usage() *usage {
	return &usage{
		PromptTokens: st.prompt, CachedTokens: st.cached, CompletionTokens: st.tokens,
		TotalTokens: st.prompt + st.tokens,
	}
}

func (a *answer) chunk(text, reason string, u *usage) {
	choice := map[string]any{"index": 0, "delta": map[string]any{}, "finish_reason": nil}
	if text != "" {
		choice["delta"] = map[string]any{"content": text}
	}
	if reason != "" {
		choice["finish_reason"] = reason
	}
	m := map[string]any{
		"id": a.id, "object": "chat.completion.chunk", "model": a.st.model, "choices": []any{choice},
	}
	if u != nil {
		m["usage"] = u
	}
	b, _ := json.Marshal(m)
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", b)
}

// whole writes the complete answer as one JSON document.
func (a *answer) whole() {
	a.follow(func(st state) bool {
		if !st.ended {
			return true
		}
		if a.faults.Cut > 0 {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(a.faults.SlowMS) * time.Millisecond)
		var text strings.Builder
		for i := range st.tokens {
			text.WriteString(tokenText(a.content, a.st.offset+i))
		}
		writeJSON(a.w, http.StatusOK, map[string]any{
			"id": a.id, "object": "chat.completion", "model": st.model, "usage": st.usage(),
			"choices": []any{map[string]any{
				"index": 0, "finish_reason": st.reason,
				"message": map[string]any{"role": "assistant", "content": text.String()},
			}},
		})
		return true
	})
}

func (s *Server) cancelRequest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := time.Now()
	s.eng.Cancel(now, r.PathValue("id"))
	s.deliver(s.eng.Advance(now))
	s.mu.Unlock()
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		writeError(w, fmt.Errorf("from must be a token position"))
		return
	}
	s.mu.Lock()
	st := s.states[r.PathValue("id")]
	if s.faults.NoResume {
		st = nil
	}
	s.mu.Unlock()
	if st == nil {
		writeError(w, model.ErrNotHeld)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	a := &answer{s: s, w: w, r: r, st: st, id: st.id, content: st.fingerprint}
	a.stream(from)
}
