package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// TestAnswerAfterPauseIsCut guards against a closed connection in place of an answer that
// comes late because the process was paused: the write deadline, set when the request
// began, has then passed.
func TestAnswerAfterPauseIsCut(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	e := &Edge{logger: d.logger(), metrics: newMetrics()}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{e: e, w: w, r: r, req: platform.DecodeRequest(r.Header), began: time.Now()}
		c.deadline = c.began.Add(-2 * deliveryMargin)
		c.setDeliveryDeadline(c.deadline)
		c.respond(http.StatusGatewayTimeout, 0, "late")
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", resp.StatusCode)
	}
}
