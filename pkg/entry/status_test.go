package entry

import (
	"errors"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// messages is a stream that ends in good order after its messages.
type messages []*peerv1.Envelope

func (s *messages) Recv() (*peerv1.Envelope, error) {
	if len(*s) == 0 {
		return nil, io.EOF
	}
	m := (*s)[0]
	*s = (*s)[1:]
	return m, nil
}

func headMessage(status int32, name, value string) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Head{Head: &peerv1.ResponseHead{Status: status, Headers: []*peerv1.Header{{Name: name, Value: value}}}}}
}

// Guards against a status that is not HTTP and that another process, of an older release,
// relays: an owner's response and a sidecar's answer.
func TestInvalidStatusOfAnotherProcess(t *testing.T) {
	for _, status := range []int32{-1, 0, 20, 99, 600, 999} {
		w := httptest.NewRecorder()
		progress, err := func() (p forwardProgress, err error) {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("status %d: panic: %v", status, r)
				}
			}()
			return copyResponse(&messages{headMessage(status, "X", "y")}, w, forwardProgress{mayHaveRun: true})
		}()
		if progress.responseStarted || !progress.mayHaveRun || err == nil || len(w.Header()) > 0 {
			t.Errorf("response with status %d: %+v, %v, header %v", status, progress, err, w.Header())
		}
		e, ok := attemptDone(core.Dispatch{}, core.KindService, &peerv1.Done{Status: status}, partialAnswer{}).(core.AttemptFailed)
		if !ok || e.Ran != core.RanUnknown {
			t.Errorf("answer with status %d: %+v", status, e)
		}
	}
	for _, status := range []int32{-1, 20, 99, 600, 999} {
		if e, ok := attemptDone(core.Dispatch{}, core.KindModel, &peerv1.Done{Status: status}, partialAnswer{}).(core.AttemptFailed); !ok || e.Ran != core.RanUnknown {
			t.Errorf("answer of an engine with status %d: %+v", status, e)
		}
	}
	if _, ok := attemptDone(core.Dispatch{}, core.KindModel, &peerv1.Done{}, partialAnswer{}).(core.AttemptDone); !ok {
		t.Error("an answer of an engine without a status, which is a success, failed")
	}
}

// Guards against a status that is not HTTP in the outcome of a call whose answer was lost, and
// that becomes the status of its answer.
func TestInvalidStatusOfOutcome(t *testing.T) {
	for _, status := range []int32{-1, 0, 20, 99, 600, 999} {
		ran, answer, err := decodeOutcome(&peerv1.Outcome{Ran: string(core.RanYes), Done: &peerv1.Done{Status: status, Body: []byte("{}")}})
		if !errors.Is(err, httpcheck.ErrStatus) || ran != core.RanUnknown || answer.Status != 0 || answer.Body != nil {
			t.Errorf("status %d: ran %s, %+v, %v", status, ran, answer, err)
		}
	}
	whole := &peerv1.Outcome{Ran: string(core.RanYes), Done: &peerv1.Done{Status: 201, Body: []byte("{}")}}
	if ran, answer, err := decodeOutcome(whole); err != nil || ran != core.RanYes || answer.Status != 201 {
		t.Errorf("a whole outcome: ran %s, %+v, %v", ran, answer, err)
	}
	if ran, _, err := decodeOutcome(&peerv1.Outcome{Ran: string(core.RanNo)}); err != nil || ran != core.RanNo {
		t.Errorf("an outcome that did not run: ran %s, %v", ran, err)
	}
}

// Guards against an outcome without an answer, of a call whose answer was broken or too long,
// that becomes an empty answer with status 200.
func TestOutcomeWithoutAnswer(t *testing.T) {
	if ran, _, err := decodeOutcome(&peerv1.Outcome{Ran: string(core.RanYes)}); ran != core.RanUnknown || !errors.Is(err, errNoAnswer) {
		t.Errorf("ran %s, %v", ran, err)
	}
	if ran, _, err := decodeOutcome(&peerv1.Outcome{Ran: string(core.RanUnknown)}); ran != core.RanUnknown || err != nil {
		t.Errorf("unknown: ran %s, %v", ran, err)
	}
}

// Guards against a response of an owner that is lost before its end, and of which the caller
// gets a part as a complete answer: only an event stream may begin before its end is known.
func TestBrokenResponseOfOwner(t *testing.T) {
	data := func(s string) *peerv1.Envelope {
		return &peerv1.Envelope{Body: &peerv1.Envelope_Data{Data: &peerv1.Data{Chunk: []byte(s)}}}
	}
	end := &peerv1.Envelope{Body: &peerv1.Envelope_End{End: &peerv1.End{}}}
	plain, stream := headMessage(201, "Content-Type", "application/json"), headMessage(200, "Content-Type", "text/event-stream; charset=utf-8")
	for _, c := range []struct {
		name    string
		stream  messages
		started bool
		failed  bool
		body    string
		length  string
	}{
		{"whole", messages{plain, data(`{"a":`), data(`1}`), end}, true, false, `{"a":1}`, "7"},
		{"empty", messages{plain, end}, true, false, "", "0"},
		{"lost after the head", messages{plain}, false, true, "", ""},
		{"lost inside the body", messages{plain, data(`{"a":`)}, false, true, "", ""},
		{"lost before the end", messages{plain, data(`{"a":1}`)}, false, true, "", ""},
		{"without a head", messages{data(`{"a":1}`), end}, false, true, "", ""},
		{"whole stream", messages{stream, data("1"), data("2"), end}, true, false, "12", ""},
		{"lost stream", messages{stream, data("1")}, true, true, "1", ""},
	} {
		w := httptest.NewRecorder()
		progress, err := copyResponse(&c.stream, w, forwardProgress{mayHaveRun: true})
		if progress.responseStarted != c.started || (err != nil) != c.failed || !progress.mayHaveRun ||
			w.Body.String() != c.body || w.Header().Get("Content-Length") != c.length || (len(w.Header()) > 0) != c.started {
			t.Errorf("%s: %+v, %v, body %q, header %v", c.name, progress, err, w.Body, w.Header())
		}
	}
}
