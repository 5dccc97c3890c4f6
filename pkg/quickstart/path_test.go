package quickstart

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/logging"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
)

const testShared = `
[cluster]
policy = default
slot_count = 32
regions = east
default_profile = chat

[profile chat]
class = interactive

[service bookings]
non_idempotent = book
outcome_by_key = true
`

var east = Place{Region: "east", FailureDomain: "east-a"}

func fastEngine() model.Options {
	o := model.Defaults()
	o.Models = []string{"m"}
	o.DecodeRate = 500
	o.PrefillRate = 100_000
	return o
}

func startSmall(t *testing.T, entries ...string) *Deployment {
	t.Helper()
	opt := Options{
		Shared:   []byte(testShared),
		Engines:  []EngineSpec{{Name: "engine-1", Place: east, Model: fastEngine()}, {Name: "engine-2", Place: east, Model: fastEngine()}},
		Services: []ServiceSpec{{Name: "bookings-1", Service: "bookings", Outcomes: true, Place: east}},
		Logger:   testLogger(),
	}
	for _, name := range entries {
		opt.Entries = append(opt.Entries, EntrySpec{Name: name, Place: east})
	}
	return startWith(t, opt)
}

// startWith starts a deployment and stops it gracefully at the end of the test.
func startWith(t *testing.T, opt Options) *Deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d, err := Start(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := d.Stop(ctx); err != nil {
			t.Errorf("stop deployment: %v", err)
		}
	})
	return d
}

func testLogger() *slog.Logger {
	if os.Getenv("YUCCASPINDLE_TEST_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return logging.New(os.Stderr, slog.LevelInfo)
}

type response struct {
	status int
	header http.Header
	body   string
}

func post(t *testing.T, d *Deployment, entry, path, body string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.Entry(entry).HTTPAddr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Yucca-Caller", "lango")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, string(out)}
}

// Guards against a path that loses the order of calls, the history or the key
// between entry, sidecar and upstream.
func TestWholePath(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	opened := post(t, d, "entry-1", "/v1/programs", `{"profile":"chat"}`, "Idempotency-Key", "open-1")
	var program struct{ ID string }
	if err := json.Unmarshal([]byte(opened.body), &program); err != nil || opened.status != http.StatusCreated {
		t.Fatalf("open: %d %s", opened.status, opened.body)
	}
	entries := []string{"entry-1", "entry-2"}
	for i, q := range []string{"gate stuck", "motor hums", "what now"} {
		r := post(t, d, entries[i%2], "/v1/chat/completions",
			`{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"`+q+`"}]}`,
			"Yucca-Program", program.ID, "Yucca-History", "append")
		if r.status != http.StatusOK || !strings.Contains(r.body, `"choices"`) {
			t.Fatalf("call %d: %d %s", i+1, r.status, r.body)
		}
	}
	streamed := post(t, d, "entry-2", "/v1/chat/completions",
		`{"model":"m","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"again"}]}`,
		"Yucca-Program", program.ID, "Yucca-History", "append")
	if !strings.HasSuffix(streamed.body, "data: [DONE]\n\n") {
		t.Fatalf("stream: %d %s", streamed.status, streamed.body)
	}
	var first response
	for i, e := range []string{"entry-1", "entry-2", "entry-1"} {
		r := post(t, d, e, "/v1/services/bookings/book", `{"technician":"asha"}`,
			"Yucca-Program", program.ID, "Idempotency-Key", "book-1")
		if r.status != http.StatusOK {
			t.Fatalf("booking %d: %d %s", i+1, r.status, r.body)
		}
		if i == 0 {
			first = r
		} else if r.body != first.body {
			t.Errorf("resend %d got %s, the first answer was %s", i, r.body, first.body)
		}
	}
	for key, runs := range d.Services["bookings-1"].Runs() {
		if runs != 1 {
			t.Errorf("booking %s ran %d times", key, runs)
		}
	}
	if n := len(d.Services["bookings-1"].Runs()); n != 1 {
		t.Errorf("%d keys ran, want 1", n)
	}
}
