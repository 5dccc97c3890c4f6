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

// oneMessage is a stream of one message.
type oneMessage struct{ m *peerv1.Envelope }

func (s *oneMessage) Recv() (*peerv1.Envelope, error) {
	if s.m == nil {
		return nil, io.EOF
	}
	m := s.m
	s.m = nil
	return m, nil
}

// Guards against a status that is not HTTP and that another process, of an older release,
// relays: an owner's response and a sidecar's answer.
func TestInvalidStatusOfAnotherProcess(t *testing.T) {
	for _, status := range []int32{-1, 0, 20, 99, 600, 999} {
		w := httptest.NewRecorder()
		head := &peerv1.Envelope{Body: &peerv1.Envelope_Head{Head: &peerv1.ResponseHead{Status: status, Headers: []*peerv1.Header{{Name: "X", Value: "y"}}}}}
		progress, err := func() (p forwardProgress, err error) {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("status %d: panic: %v", status, r)
				}
			}()
			return copyResponse(&oneMessage{head}, w, forwardProgress{mayHaveRun: true})
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
