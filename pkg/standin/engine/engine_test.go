package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
)

func startEngine(t *testing.T) *Server {
	t.Helper()
	s, err := New(Config{
		Model:  model.Options{PrefillRate: 1e6, DecodeRate: 1000, RestartDelay: 100 * time.Millisecond},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func ask(s *Server, id, text string, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"request_id":%q,"program":"p","stream":true,"standin_output_tokens":%d,"messages":[{"role":"user","content":%q}]}`, id, tokens, text)
	return http.Post("http://"+s.Addr()+"/v1/chat/completions", "application/json", bytes.NewBufferString(body))
}

// words returns the text of a stream, its ids and whether it is whole.
func words(r io.Reader) (text string, ids map[string]bool, whole bool) {
	ids = make(map[string]bool)
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var c struct {
			ID      string
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &c) == nil {
			ids[c.ID] = true
			text += c.Choices[0].Delta.Content
		}
	}
	return text, ids, whole
}

// Guards against a resumed stream that repeats or leaves out tokens.
func TestCutAndResume(t *testing.T) {
	s := startEngine(t)
	res, err := ask(s, "r1", "hello", 40)
	if err != nil {
		t.Fatal(err)
	}
	want, _, whole := words(res.Body)
	if !whole || len(strings.Fields(want)) != 40 {
		t.Fatalf("answer %q, whole %v", want, whole)
	}
	s.SetFaults(Faults{Cut: 1, CutAfter: 10})
	if res, err = ask(s, "r2", "hello", 40); err != nil {
		t.Fatal(err)
	}
	head, _, whole := words(res.Body)
	if whole || len(strings.Fields(head)) > 10 {
		t.Errorf("cut stream: %q, whole %v", head, whole)
	}
	n := len(strings.Fields(head))
	if res, err = http.Get(fmt.Sprintf("http://%s/v1/resume/r2?from=%d", s.Addr(), n)); err != nil {
		t.Fatal(err)
	}
	if tail, _, whole := words(res.Body); !whole || head+tail != want {
		t.Errorf("resumed answer %q, want %q", head+tail, want)
	}
}

// Guards against faults that do not have the effect they are named for, since
// tests of the sidecar rely on them.
func TestFaults(t *testing.T) {
	s := startEngine(t)
	s.SetFaults(Faults{WrongID: 1})
	res, err := ask(s, "a", "x", 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, ids, _ := words(res.Body); ids["a"] {
		t.Errorf("wrong_id answered with ids %v", ids)
	}
	s.SetFaults(Faults{Twice: 1})
	if res, err = ask(s, "b", "x", 3); err != nil {
		t.Fatal(err)
	}
	if text, _, _ := words(res.Body); len(strings.Fields(text)) != 6 {
		t.Errorf("twice answered %q", text)
	}
	s.SetFaults(Faults{CrashOn: "poison"})
	if res, err = ask(s, "c", "poison", 3); err == nil {
		if _, _, whole := words(res.Body); whole {
			t.Error("a crash gave a whole answer")
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		if res, err = ask(s, "d", "x", 3); err == nil {
			res.Body.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if st := s.Stats(); st.Incarnation != 2 || st.Crashes != 1 {
		t.Errorf("after the crash: %+v", st)
	}
}
