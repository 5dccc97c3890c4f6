package entry

import (
	"io"
	"net/http/httptest"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
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
	for _, status := range []int32{20, 600, 999} {
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
		e, ok := attemptDone(core.Dispatch{}, &peerv1.Done{Status: status}, partialAnswer{}).(core.AttemptFailed)
		if !ok || e.Ran != core.RanUnknown {
			t.Errorf("answer with status %d: %+v", status, e)
		}
	}
	if _, ok := attemptDone(core.Dispatch{}, &peerv1.Done{}, partialAnswer{}).(core.AttemptDone); !ok {
		t.Error("an answer without a status, which is a success, failed")
	}
}
