package service

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// Guards against a stand-in that hides repeated runs or forgets the outcome of
// a call whose answer was lost.
func TestLostAnswerHasAnOutcome(t *testing.T) {
	s, err := New(Config{Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	post := func() error {
		req, _ := http.NewRequest("POST", "http://"+s.Addr()+"/book", strings.NewReader("{}"))
		req.Header.Set("Idempotency-Key", "k")
		req.Header.Set("X-Request-Id", "a")
		req.GetBody = nil
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		return err
	}
	s.SetFaults(Faults{Lost: 1})
	if err := post(); err == nil {
		t.Error("a lost answer arrived")
	}
	res, err := http.Get("http://" + s.Addr() + "/outcomes/k")
	if err != nil {
		t.Fatal(err)
	}
	if b, _ := io.ReadAll(res.Body); res.StatusCode != 200 || !strings.Contains(string(b), `"run":1`) {
		t.Errorf("outcome %d %s", res.StatusCode, b)
	}
	if err := post(); err != nil {
		t.Fatal(err)
	}
	if n := s.Runs()["k"]; n != 2 {
		t.Errorf("%d runs counted, want 2", n)
	}
}
