package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
)

// open opens a program through an entry and returns its id.
func open(t *testing.T, d *Deployment, entry, key string) string {
	t.Helper()
	r := post(t, d, entry, "/v1/programs", `{"profile":"chat"}`, "Idempotency-Key", key)
	var program struct{ ID string }
	if err := json.Unmarshal([]byte(r.body), &program); err != nil || r.status != http.StatusCreated {
		t.Fatalf("open: %d %s", r.status, r.body)
	}
	return program.ID
}

// ask makes a model call that adds to the stored history.
func ask(t *testing.T, d *Deployment, entry, program, question string, headers ...string) response {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","max_tokens":8,"messages":[{"role":"user","content":%q}]}`, question)
	return post(t, d, entry, "/v1/chat/completions", body,
		append([]string{"Yucca-Program", program, "Yucca-History", "append"}, headers...)...)
}

func book(t *testing.T, d *Deployment, entry, program, key string, headers ...string) response {
	t.Helper()
	return post(t, d, entry, "/v1/services/bookings/book", `{"technician":"asha"}`,
		append([]string{"Yucca-Program", program, "Idempotency-Key", key}, headers...)...)
}

func mustOK(t *testing.T, step string, r response) response {
	t.Helper()
	if r.status != http.StatusOK {
		t.Fatalf("%s: %d %s", step, r.status, r.body)
	}
	return r
}

// ownerOf returns the entry that serves a program.
func ownerOf(t *testing.T, d *Deployment, program string) string {
	t.Helper()
	for _, name := range sortedNames(d.Entries) {
		if d.Entry(name).Owns(core.ProgramID(program)) {
			return name
		}
	}
	t.Fatalf("no entry owns %s", program)
	return ""
}

func otherThan(d *Deployment, name string) string {
	for _, other := range sortedNames(d.Entries) {
		if other != name {
			return other
		}
	}
	return ""
}

func runsOf(d *Deployment) map[string]int { return d.Services["bookings-1"].Runs() }

func mustRunOnce(t *testing.T, d *Deployment, keys int) {
	t.Helper()
	runs := runsOf(d)
	for key, n := range runs {
		if n != 1 {
			t.Errorf("booking %s ran %d times", key, n)
		}
	}
	if len(runs) != keys {
		t.Errorf("%d bookings ran, want %d: %v", len(runs), keys, runs)
	}
}

func turnsOf(t *testing.T, d *Deployment, entry, program string) int {
	t.Helper()
	st, ok := d.Entry(entry).Program(t.Context(), core.ProgramID(program))
	if !ok {
		t.Fatalf("%s does not know program %s", entry, program)
	}
	return st.Turns
}

// Guards invariants 2 and 7 (history never lost, at most once) against the
// death of the owner between two turns and a caller that resends its booking.
func TestOwnerKilledBetweenTurns(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	mustOK(t, "first turn", ask(t, d, "entry-1", program, "gate stuck"))
	booked := mustOK(t, "booking", book(t, d, "entry-2", program, "b-1"))

	owner := ownerOf(t, d, program)
	survivor := otherThan(d, owner)
	d.KillEntry(owner)

	again := mustOK(t, "resent booking", book(t, d, survivor, program, "b-1"))
	if again.body != booked.body {
		t.Errorf("resend got %s, the first answer was %s", again.body, booked.body)
	}
	mustOK(t, "turn after the takeover", ask(t, d, survivor, program, "still stuck"))
	if n := turnsOf(t, d, survivor, program); n != 3 {
		t.Errorf("%d turns after the takeover, want 3", n)
	}
	mustRunOnce(t, d, 1)
}

// Guards invariants 2 and 7 against an owner that was paused past its
// succession and still believes that it owns its programs, and against a
// successor that ends between the seal and the change of the slot map.
func TestSealedOwnerAnswersNothing(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	mustOK(t, "first turn", ask(t, d, "entry-1", program, "gate stuck"))
	owner := ownerOf(t, d, program)

	client, err := objectapi.Dial(objectapi.ClientConfig{Address: d.Store.Addr(), Name: "successor"})
	if err != nil {
		t.Fatal(err)
	}
	lost := core.Incarnation(owner + ".1")
	if _, err := journal.Seal(t.Context(), client, lost, "successor.1"); err != nil {
		t.Fatal(err)
	}
	r := book(t, d, owner, program, "b-1", "Yucca-Deadline-Ms", "1500")
	if r.status == http.StatusOK {
		t.Errorf("the sealed owner booked: %s", r.body)
	}
	if len(runsOf(d)) != 0 {
		t.Errorf("the sealed owner dispatched a booking: %v", runsOf(d))
	}
	if d.Entry(owner).Owns(core.ProgramID(program)) {
		t.Error("the sealed owner still claims the program")
	}
	// The successor that made the seal is gone: another one must go on.
	other := otherThan(d, owner)
	mustOK(t, "turn at the next successor", ask(t, d, other, program, "still stuck", "Yucca-Deadline-Ms", "20000"))
	if n := turnsOf(t, d, other, program); n != 2 {
		t.Errorf("%d turns at the next successor, want 2", n)
	}
}

// Guards invariant 9 (graceful stops cut off no request) against a rolling
// replacement of every entry and every sidecar during a long stream.
func TestRollingReplacementKeepsStream(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	var stream response
	var wg sync.WaitGroup
	wg.Go(func() {
		// 1,500 tokens at 500 tokens/s.
		stream = post(t, d, "entry-1", "/v1/chat/completions",
			`{"model":"m","max_tokens":1500,"stream":true,"standin_output_tokens":1500,"messages":[{"role":"user","content":"long"}]}`,
			"Yucca-Program", program)
	})
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := d.StartEntry(ctx, EntrySpec{Name: name + "-new", Place: east}); err != nil {
			t.Fatal(err)
		}
		if err := d.StopEntry(ctx, name); err != nil {
			t.Errorf("stop %s: %v", name, err)
		}
	}
	for _, e := range []string{"engine-1", "engine-2"} {
		if err := d.StopSidecar(ctx, e); err != nil {
			t.Errorf("stop sidecar of %s: %v", e, err)
		}
	}
	wg.Wait()
	if !strings.HasSuffix(stream.body, "data: [DONE]\n\n") || !strings.Contains(stream.body, `"completion_tokens":1500`) {
		t.Errorf("the stream was cut: %d, ends with %q", stream.status, tail(stream.body))
	}
	if n := turnsOf(t, d, ownerOf(t, d, program), program); n != 1 {
		t.Errorf("%d turns after the replacement, want 1", n)
	}
}

func tail(s string) string { return s[max(len(s)-200, 0):] }

// Guards the behaviour in a store outage: programs under way go on, a booking
// is refused truthfully, and nothing is lost when the owner dies in it.
func TestStoreOutage(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2", "entry-3")
	program := open(t, d, "entry-1", "open-1")
	mustOK(t, "turn before the outage", ask(t, d, "entry-1", program, "gate stuck"))
	time.Sleep(1500 * time.Millisecond) // the retention set is recorded
	d.Store.Memory().SetFaults("", objectapi.Faults{Outage: true})

	mustOK(t, "turn in the outage", ask(t, d, "entry-2", program, "motor hums"))
	r := book(t, d, "entry-1", program, "b-1", "Yucca-Deadline-Ms", "1000")
	if r.status == http.StatusOK || !strings.Contains(r.body, `"ran":"no"`) {
		t.Errorf("booking in the outage: %d %s", r.status, r.body)
	}
	if len(runsOf(d)) != 0 {
		t.Errorf("a booking ran in the outage: %v", runsOf(d))
	}
	owner := ownerOf(t, d, program)
	d.KillEntry(owner)
	d.Store.Memory().SetFaults("", objectapi.Faults{})
	survivor := otherThan(d, owner)
	mustOK(t, "turn after the outage", ask(t, d, survivor, program, "what now"))
	if n := turnsOf(t, d, ownerOf(t, d, program), program); n != 3 {
		t.Errorf("%d turns after the outage, want 3", n)
	}
	mustOK(t, "booking after the outage", book(t, d, survivor, program, "b-1"))
	mustRunOnce(t, d, 1)
}

// Guards against an upstream connection that has gone silent for good while
// new connections work.
func TestSilentUpstreamConnection(t *testing.T) {
	d := startSmall(t, "entry-1")
	program := open(t, d, "entry-1", "open-1")
	mustOK(t, "first turn", ask(t, d, "entry-1", program, "gate stuck"))
	d.Engines["engine-1"].Silence()
	d.Engines["engine-2"].Silence()
	start := time.Now()
	mustOK(t, "turn over silent connections", ask(t, d, "entry-1", program, "motor hums"))
	if took := time.Since(start); took > 8*time.Second {
		t.Errorf("the turn took %v, the silence is to be found within 3 s and the call repeated", took)
	}
}

// Guards invariant 7 against a service whose answer is lost after it ran.
func TestLostAnswerOfBooking(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	d.Services["bookings-1"].SetFaults(service.Faults{Lost: 1})
	first := book(t, d, "entry-1", program, "b-1")
	second := book(t, d, "entry-2", program, "b-1")
	if first.status == http.StatusOK && second.body != first.body {
		t.Errorf("resend got %d %s, the first answer was %s", second.status, second.body, first.body)
	}
	mustOK(t, "resent booking", second)
	mustRunOnce(t, d, 1)
}

// Guards invariants 5 and 7 against a caller that resends its booking through
// another entry while the first one still runs.
func TestResendWhileRunning(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	d.Services["bookings-1"].SetFaults(service.Faults{SlowMS: 1000})
	answers := make([]response, 4)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			answers[i] = book(t, d, []string{"entry-1", "entry-2"}[i%2], program, "b-1")
		})
	}
	wg.Wait()
	for i, r := range answers {
		if r.status != http.StatusOK || r.body != answers[0].body {
			t.Errorf("send %d: %d %s, the first answer was %s", i, r.status, r.body, answers[0].body)
		}
	}
	mustRunOnce(t, d, 1)
}

// Guards invariant 6 (a refusal that says "not run" means it) against an owner
// that dies with a booking under way while the caller's deadline ends before the
// takeover: the receiving entry cannot know whether the booking ran.
func TestOwnerLostWithBookingUnderWay(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	program := open(t, d, "entry-1", "open-1")
	owner := ownerOf(t, d, program)
	other := otherThan(d, owner)
	d.Services["bookings-1"].SetFaults(service.Faults{SlowMS: 1500})
	var r response
	var wg sync.WaitGroup
	wg.Go(func() { r = book(t, d, other, program, "b-1", "Yucca-Deadline-Ms", "1200") })
	time.Sleep(400 * time.Millisecond)
	d.KillEntry(owner)
	wg.Wait()
	if r.status == http.StatusOK || strings.Contains(r.body, `"ran":"no"`) {
		t.Errorf("the booking was under way when its owner died, the caller got %d %s", r.status, r.body)
	}
	mustOK(t, "resent booking", book(t, d, other, program, "b-1", "Yucca-Deadline-Ms", "20000"))
	mustRunOnce(t, d, 1)
}

// Guards against a request that crashes one upstream after another, and against
// condemning a request that was only on board.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	poison := `{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"poison kerf"}]}`
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison kerf"})
	}
	innocent := open(t, d, "entry-1", "open-innocent")
	var bystander response
	var wg sync.WaitGroup
	wg.Go(func() {
		bystander = post(t, d, "entry-1", "/v1/chat/completions",
			`{"model":"m","max_tokens":400,"standin_output_tokens":400,"messages":[{"role":"user","content":"hello"}]}`,
			"Yucca-Program", innocent, "Yucca-Deadline-Ms", "30000")
	})
	time.Sleep(100 * time.Millisecond)
	r := post(t, d, "entry-1", "/v1/chat/completions", poison, "Yucca-Deadline-Ms", "30000")
	if r.status == http.StatusOK {
		t.Fatalf("the crashing request was answered: %s", r.body)
	}
	crashes := func() int {
		n := 0
		for _, e := range d.Engines {
			n += e.Stats().Crashes
		}
		return n
	}
	before := crashes()
	if before > 2 {
		t.Errorf("%d crashes before the request was recognised, at most 2 are allowed", before)
	}
	start := time.Now()
	r = post(t, d, "entry-2", "/v1/chat/completions", poison, "Idempotency-Key", "another", "Yucca-Deadline-Ms", "30000")
	if !strings.Contains(r.body, `"quarantined"`) || time.Since(start) > time.Second {
		t.Errorf("resend under a new key: %d %s after %v", r.status, r.body, time.Since(start))
	}
	if crashes() != before {
		t.Errorf("the resend crashed another upstream")
	}
	wg.Wait()
	mustOK(t, "request that was on board", bystander)

	// An entry that starts later must know of the quarantine.
	if err := d.StartEntry(t.Context(), EntrySpec{Name: "entry-3", Place: east}); err != nil {
		t.Fatal(err)
	}
	for d.Entry("entry-3").Summary().SlotsOwned == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	r = post(t, d, "entry-3", "/v1/chat/completions", poison, "Yucca-Deadline-Ms", "30000")
	if !strings.Contains(r.body, `"quarantined"`) || crashes() != before {
		t.Errorf("at a new entry: %d %s, %d crashes after %d", r.status, r.body, crashes(), before)
	}
}

// Guards invariant 5 (the whole answer) against an engine that crashes in the
// middle of a stream: the answer is continued on another engine, with no word
// lost or repeated.
func TestStreamSurvivesEngineCrash(t *testing.T) {
	d := startSmall(t, "entry-1", "entry-2")
	body := `{"model":"m","max_tokens":1000,"stream":true,"standin_output_tokens":600,"messages":[{"role":"user","content":"regrind"}]}`
	whole := textOf(t, post(t, d, "entry-1", "/v1/chat/completions", body).body)
	var broken response
	var wg sync.WaitGroup
	wg.Go(func() { broken = post(t, d, "entry-1", "/v1/chat/completions", body) })
	time.Sleep(400 * time.Millisecond)
	crashed := 0
	for _, e := range d.Engines {
		if e.Stats().Running > 0 {
			e.Crash()
			crashed++
		}
	}
	wg.Wait()
	if crashed != 1 {
		t.Fatalf("%d engines ran the stream, want 1", crashed)
	}
	if got := textOf(t, broken.body); got != whole {
		t.Errorf("the continued answer has %d words, the whole one %d", len(strings.Fields(got)), len(strings.Fields(whole)))
	}
	if !strings.HasSuffix(broken.body, "data: [DONE]\n\n") {
		t.Errorf("the stream was cut: %q", tail(broken.body))
	}
}

// textOf returns the text of a stream.
func textOf(t *testing.T, stream string) string {
	t.Helper()
	var out strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		text, _ := frontend.ChunkText([]byte("{" + data))
		out.WriteString(text)
	}
	return out.String()
}
