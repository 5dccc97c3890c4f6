package frontend

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// RefusalError carries a refusal through error returns.
type RefusalError struct {
	core.Refusal
}

// Error describes the refusal with its step and peer.
func (e *RefusalError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s at step %s: %s", e.Code, e.Step, e.Message)
	}
	return fmt.Sprintf("%s at step %s, peer %s: %s", e.Code, e.Step, e.Peer, e.Message)
}

// Refuse returns a RefusalError for a request that was not dispatched.
func Refuse(code, step, format string, args ...any) *RefusalError {
	return &RefusalError{core.Refusal{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Step:    step,
		Ran:     core.RanNo,
	}}
}

// statusOf maps the stable error codes to HTTP statuses.
var statusOf = map[string]int{
	core.CodeOverloaded:         http.StatusServiceUnavailable,
	core.CodeBudgetExceeded:     http.StatusPaymentRequired,
	core.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	core.CodeQuarantined:        http.StatusUnprocessableEntity,
	core.CodeKeyReused:          http.StatusUnprocessableEntity,
	core.CodeOutcomeUnknown:     http.StatusBadGateway,
	core.CodeNoUpstream:         http.StatusServiceUnavailable,
	core.CodeUpstreamFailed:     http.StatusBadGateway,
	core.CodeNotOwner:           http.StatusServiceUnavailable,
	core.CodeProgramEnded:       http.StatusGone,
	core.CodeProgramUnknown:     http.StatusNotFound,
	core.CodeJournalUnavailable: http.StatusServiceUnavailable,
	core.CodeBadRequest:         http.StatusBadRequest,
	core.CodeShuttingDown:       http.StatusServiceUnavailable,
	core.CodeCanceled:           499,
	core.CodeUnauthenticated:    http.StatusUnauthorized,
}

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string   `json:"code"`
	Message      string   `json:"message"`
	Step         string   `json:"step"`
	Peer         string   `json:"peer,omitempty"`
	Ran          core.Ran `json:"ran"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

func bodyOf(r core.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Code:         r.Code,
		Message:      r.Message,
		Step:         r.Step,
		Peer:         r.Peer,
		Ran:          r.Ran,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}}
}

// writeRefusal sends a refusal before any byte of an answer was sent.
func writeRefusal(c *gin.Context, r core.Refusal) {
	if r.RetryAfter > 0 {
		c.Header("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	status, ok := statusOf[r.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	c.AbortWithStatusJSON(status, bodyOf(r))
}

// HeaderNotOwner marks a response by which an entry declines a forwarded
// request, so that the receiving entry looks for the owner again.
const HeaderNotOwner = "Yucca-Not-Owner"

func writeNotOwner(c *gin.Context, r core.Refusal) {
	c.Header(HeaderNotOwner, "1")
	writeRefusal(c, r)
}

// retryAfterSeconds rounds up, since the header has a resolution of a second
// and coming back too early costs the caller another refusal.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// asRefusal returns the refusal in err, or an upstream failure with an unknown
// outcome for any other error.
func asRefusal(err error) core.Refusal {
	if re, ok := err.(*RefusalError); ok {
		return re.Refusal
	}
	return core.Refusal{
		Code:    core.CodeUpstreamFailed,
		Message: err.Error(),
		Step:    "call",
		Ran:     core.RanUnknown,
	}
}
