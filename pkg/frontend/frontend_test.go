package frontend

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// fakeBackend answers every call with chunks and then an error or a result.
type fakeBackend struct {
	chunks []string
	err    error
	result Result
	calls  []*CallRequest
	owns   bool
}

func (b *fakeBackend) NewID() string                                     { return "id" }
func (b *fakeBackend) NewProgram() core.ProgramID                        { return "p000-new" }
func (b *fakeBackend) NonIdempotent(_, op string) bool                   { return op == "book" }
func (b *fakeBackend) Owns(core.ProgramID) bool                          { return b.owns }
func (b *fakeBackend) Ready() error                                      { return nil }
func (b *fakeBackend) Status(context.Context) any                        { return nil }
func (b *fakeBackend) End(context.Context, core.ProgramID, string) error { return nil }

func (b *fakeBackend) Forward(context.Context, Target, *http.Request, []byte, http.ResponseWriter) error {
	return Refuse(core.CodeNotOwner, "find owner", "none")
}

func (b *fakeBackend) Open(_ context.Context, r OpenRequest) (core.ProgramID, error) {
	return r.ID, nil
}

func (b *fakeBackend) Program(context.Context, core.ProgramID) (core.ProgramStatus, bool) {
	return core.ProgramStatus{}, false
}

func (b *fakeBackend) Call(_ context.Context, r *CallRequest, sink Sink) (Result, error) {
	b.calls = append(b.calls, r)
	for _, c := range b.chunks {
		if err := sink.Chunk(TextChunk(c)); err != nil {
			return Result{}, err
		}
	}
	return b.result, b.err
}

func serve(t *testing.T, b *fakeBackend, method, path, body string, headers ...string) (int, http.Header, string) {
	t.Helper()
	s := New(Options{Backend: b, TrustCallerHeader: true, DefaultMaxTokens: 16, Logger: slog.New(slog.DiscardHandler)})
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = "127.0.0.1:999"
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	out, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.Code, w.Result().Header, string(out)
}

const question = `{"model":"m","stream":true,"messages":[{"role":"user","content":"gate stuck"}]}`

// Guards against a cut stream that the caller takes for a whole answer.
func TestCutStreamHasNoEndMarker(t *testing.T) {
	b := &fakeBackend{owns: true, chunks: []string{"check ", "the "}, err: &RefusalError{core.Refusal{
		Code: core.CodeUpstreamFailed, Step: "receive", Peer: "engine-1", Ran: core.RanYes,
	}}}
	_, _, out := serve(t, b, http.MethodPost, "/v1/chat/completions", question)
	if strings.Contains(out, "[DONE]") || strings.Contains(out, `"finish_reason":"stop"`) {
		t.Errorf("a cut stream looks whole:\n%s", out)
	}
	if !strings.Contains(out, `"code":"upstream_failed"`) || !strings.Contains(out, `"peer":"engine-1"`) {
		t.Errorf("a cut stream does not name its error:\n%s", out)
	}
}

// Guards against an answer that ends without its finish reason and usage.
func TestWholeStreamEndsWithUsage(t *testing.T) {
	b := &fakeBackend{owns: true, chunks: []string{"ok "}, result: Result{Answer: core.Answer{PromptTokens: 7, OutputTokens: 1}}}
	_, _, out := serve(t, b, http.MethodPost, "/v1/chat/completions", question)
	if !strings.HasSuffix(out, "data: [DONE]\n\n") || !strings.Contains(out, `"prompt_tokens":7`) {
		t.Errorf("stream ends with:\n%s", out)
	}
}

// Guards against a stream that looks durable although only its owner has the turn: its head
// was sent before that was known.
func TestPendingStreamIsMarked(t *testing.T) {
	b := &fakeBackend{owns: true, chunks: []string{"ok "}, result: Result{Pending: true}}
	_, _, out := serve(t, b, http.MethodPost, "/v1/chat/completions", question)
	if !strings.HasSuffix(out, ": Yucca-Durable: pending\n\ndata: [DONE]\n\n") {
		t.Errorf("stream ends with:\n%s", out)
	}
	b.result.Pending = false
	if _, _, out = serve(t, b, http.MethodPost, "/v1/chat/completions", question); strings.Contains(out, "pending") {
		t.Errorf("a durable stream ends with:\n%s", out)
	}
}

// Guards against a refusal that hides whether the request ran or when to retry.
func TestRefusalIsTyped(t *testing.T) {
	b := &fakeBackend{owns: true, err: &RefusalError{core.Refusal{
		Code: core.CodeOverloaded, Step: "admission", Ran: core.RanNo, RetryAfter: 1500 * time.Millisecond,
	}}}
	status, header, out := serve(t, b, http.MethodPost, "/v1/chat/completions", question)
	var body errorBody
	if err := json.Unmarshal([]byte(out), &body); err != nil {
		t.Fatal(err)
	}
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "2" || body.Error.Ran != core.RanNo {
		t.Errorf("status %d, Retry-After %q, body %s", status, header.Get("Retry-After"), out)
	}
}

// Guards against a booking without a key, which no resend could be matched to.
func TestNonIdempotentCallNeedsKey(t *testing.T) {
	b := &fakeBackend{owns: true, result: Result{Answer: core.Answer{Body: []byte(`{}`)}}}
	status, _, out := serve(t, b, http.MethodPost, "/v1/services/bookings/book", `{"van":1}`)
	if status != http.StatusBadRequest || len(b.calls) != 0 {
		t.Errorf("without key: status %d, %d calls, %s", status, len(b.calls), out)
	}
	status, _, _ = serve(t, b, http.MethodPost, "/v1/services/bookings/book", `{"van":1}`, HeaderKey, "b-1")
	if status != http.StatusOK || len(b.calls) != 1 {
		t.Errorf("with key: status %d, %d calls", status, len(b.calls))
	}
}

// Guards against a resend through another entry that reaches another program.
func TestProgramOfKeyIsStable(t *testing.T) {
	for _, path := range []string{"/v1/programs", "/v1/chat/completions"} {
		var seen []core.ProgramID
		for range 2 {
			s := New(Options{Backend: &fakeBackend{}, TrustCallerHeader: true})
			r := httptest.NewRequest(http.MethodPost, path, nil)
			r.Header.Set(HeaderKey, "k1")
			target, err := s.target(r, "lango")
			if err != nil {
				t.Fatal(err)
			}
			seen = append(seen, target.Program)
		}
		if seen[0] != seen[1] || seen[0] == "" {
			t.Errorf("%s: programs %q and %q for one key", path, seen[0], seen[1])
		}
	}
}

// Guards against one caller whose crashes quarantine the equal requests of others, or whose
// success clears them, and against a request that is not known again under another key
// (issue 35).
func TestFingerprintNamesContentAndCaller(t *testing.T) {
	b := &fakeBackend{owns: true}
	send := func(path, body, caller, key string, headers ...string) uint64 {
		t.Helper()
		headers = append([]string{HeaderCaller, caller, HeaderKey, key}, headers...)
		serve(t, b, http.MethodPost, path, body, headers...)
		if len(b.calls) == 0 {
			t.Fatalf("%s: no call", path)
		}
		return b.calls[len(b.calls)-1].Call.Fingerprint
	}
	for path, body := range map[string]string{"/v1/chat/completions": question, "/v1/services/parts/lookup": `{"part":"x"}`} {
		first := send(path, body, "a", "k1")
		if again := send(path, body, "a", "k2"); again != first {
			t.Errorf("%s: another fingerprint under another key", path)
		}
		if other := send(path, body, "b", "k3"); other == first {
			t.Errorf("%s: the same fingerprint for another caller", path)
		}
	}
	p1 := send("/v1/chat/completions", question, "a", "k4", HeaderProgram, "p000-1", HeaderHistory, "append")
	if p2 := send("/v1/chat/completions", question, "a", "k5", HeaderProgram, "p000-2", HeaderHistory, "append"); p1 == p2 {
		t.Error("the same fingerprint behind other earlier turns")
	}
}

// Guards against a request that is let in without a known key.
func TestAuthentication(t *testing.T) {
	s := New(Options{Backend: &fakeBackend{}, Callers: []Caller{{Name: "lango", KeySHA256: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}}})
	for _, c := range []struct {
		header, want string
	}{
		{"Bearer secret", "lango"},
		{"Bearer wrong", ""},
		{"", ""},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.RemoteAddr = "127.0.0.1:1"
		r.Header.Set("Authorization", c.header)
		r.Header.Set(HeaderCaller, "mallory")
		got, err := s.authenticate(r)
		if got != c.want || (err == nil) != (c.want != "") {
			t.Errorf("Authorization %q: caller %q, error %v, want caller %q", c.header, got, err, c.want)
		}
	}
}

// Guards against a history that loses or repeats messages of earlier turns.
func TestMessagesOfHistory(t *testing.T) {
	answer := []byte(`{"choices":[{"message":{"role":"assistant","content":"which gate?"}}]}`)
	first := &CallRequest{Chat: mustParse(t, `{"model":"m","messages":[{"role":"user","content":"stuck"}]}`)}
	histories := NewHistories()
	if err := histories.SetTurn(first, nil); err != nil {
		t.Fatal(err)
	}
	turns := []core.Turn{{Attempt: "a1", Request: first.Call.Request, Answer: answer}}
	full := &CallRequest{Chat: mustParse(t, `{"model":"m","messages":[{"role":"user","content":"stuck"},{"role":"assistant","content":"which gate?"},{"role":"user","content":"north"}]}`)}
	if err := histories.SetTurn(full, turns); err != nil {
		t.Fatal(err)
	}
	turns = append(turns, core.Turn{Attempt: "a2", Request: full.Call.Request, Answer: answer})
	got, err := histories.Messages("", turns)
	if err != nil {
		t.Fatal(err)
	}
	var text []string
	for _, m := range got {
		text = append(text, m.Content)
	}
	if want := "stuck|which gate?|north|which gate?"; strings.Join(text, "|") != want {
		t.Errorf("history is %q, want %q", strings.Join(text, "|"), want)
	}
}

// Guards against a history kept from an earlier owner's turns after another
// sequence of turns became the durable one.
func TestHistoriesNoticeOtherTurns(t *testing.T) {
	turn := func(attempt, text string) core.Turn {
		return core.Turn{
			Attempt: attempt,
			Request: []byte(`{"messages":[{"role":"user","content":"` + text + `"}]}`),
			Answer:  []byte(`{"choices":[]}`),
		}
	}
	h := NewHistories()
	for _, turns := range [][]core.Turn{
		{turn("a", "one"), turn("b", "two")},
		{turn("a", "one")},
		{turn("a", "one"), turn("c", "three"), turn("d", "four")},
	} {
		got, err := h.Messages("p", turns)
		if err != nil || len(got) != len(turns) {
			t.Fatalf("%d messages of %d turns, error %v", len(got), len(turns), err)
		}
		for i, m := range got {
			if want := string(turns[i].Request); !strings.Contains(want, `"`+m.Content+`"`) {
				t.Errorf("message %d is %q, the turn is %s", i, m.Content, want)
			}
		}
	}
}

func mustParse(t *testing.T, body string) *ChatRequest {
	t.Helper()
	r, err := ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// FuzzParseChat guards against a caller's body that crashes the parser or is
// passed on as something other than JSON.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(question))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"max_tokens":9}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"stream":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseChat(body)
		if err != nil {
			return
		}
		out, err := r.UpstreamBody(r.Messages, "partial", 5)
		if err != nil || !json.Valid(out) {
			t.Errorf("body %q is passed on as %q, error %v", body, out, err)
		}
		r.Content("")
		r.SharedPrefix()
	})
}
