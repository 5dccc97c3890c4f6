package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// serviceOutcome is the answer of GET /outcomes/{key}.
type serviceOutcome struct {
	Running bool            `json:"running"`
	Status  int32           `json:"status"`
	Body    json.RawMessage `json:"body"`
}

// runService passes one call to a plain service.
func (s *Sidecar) runService(ctx context.Context, c *call) outcome {
	answer := make(chan outcome, 1)
	reqCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { answer <- s.callService(reqCtx, c) }()
	// The silence of a connection cannot be told from a slow service, except
	// by asking for the outcome on a new connection.
	check := time.NewTicker(s.cfg.StallTimeout)
	defer check.Stop()
	for {
		select {
		case o := <-answer:
			if o.failed != nil && o.failed.Ran != string(core.RanNo) && (c.d.NonIdempotent || ctx.Err() == nil) {
				if d := s.lookUp(ctx, c.d.Key); d != nil {
					return outcome{done: d}
				}
			}
			return o
		case <-ctx.Done():
			select {
			case o := <-answer: // the answer came at the same time
				return o
			default:
			}
			if errors.Is(context.Cause(ctx), errCrashed) {
				return s.fail(c, core.RanUnknown, "service", errCrashed)
			}
			return s.fail(c, core.RanUnknown, stepOf(context.Cause(ctx)), context.Cause(ctx))
		case <-check.C:
			if !c.wasPassed() {
				continue
			}
			if d := s.lookUp(ctx, c.d.Key); d != nil {
				s.met.stalls.Inc()
				return outcome{done: d}
			}
		}
	}
}

// callService performs the HTTP exchange. A non-idempotent call gets its own
// connection.
func (s *Sidecar) callService(ctx context.Context, c *call) outcome {
	req, err := s.up.post(ctx, "/"+escape(c.d.Operation), c.d.Body, func() error { return s.gate(ctx, c) })
	if err != nil {
		return s.fail(c, core.RanUnknown, "service", err)
	}
	req.Header.Set("X-Request-Id", c.d.Attempt)
	if c.d.Key != "" {
		req.Header.Set("Idempotency-Key", c.d.Key)
	}
	client := s.up.pooled
	if c.d.NonIdempotent {
		client = s.up.fresh
	}
	res, err := client.Do(req)
	if err != nil {
		return s.broken(ctx, c, err)
	}
	defer res.Body.Close()
	if id := res.Header.Get("X-Request-Id"); id != "" && id != c.d.Attempt {
		s.met.foreign.Inc()
		return s.fail(c, core.RanUnknown, "service", fmt.Errorf("the answer belongs to request %q", id))
	}
	if res.StatusCode < http.StatusOK {
		return s.broken(ctx, c, errSwitch)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return s.broken(ctx, c, err)
	}
	if len(body) > maxAnswer {
		return s.fail(c, core.RanYes, "service", errors.Errorf("answer exceeds %d bytes", maxAnswer))
	}
	if !c.d.NonIdempotent {
		switch res.StatusCode {
		case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return s.fail(c, core.RanUnknown, "service", &statusError{status: res.StatusCode, body: body})
		}
	}
	return outcome{done: &peerv1.Done{Body: body, Status: int32(res.StatusCode)}}
}

// broken classifies a failed exchange: a look at the upstream tells a crash
// from a lost connection.
func (s *Sidecar) broken(ctx context.Context, c *call, err error) outcome {
	if c.wasPassed() && ctx.Err() == nil {
		_ = s.verdict(ctx)
	}
	if cause := s.causeAfterVerdict(ctx, c); cause != nil {
		return s.fail(c, core.RanUnknown, stepOf(cause), cause)
	}
	return s.fail(c, core.RanUnknown, "service", err)
}

func stepOf(cause error) string {
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(cause, errCrashed):
		return "upstream"
	default:
		return "cancel"
	}
}

// lookUp asks the service for the outcome of a key on a new connection. It
// returns nil unless the outcome is known: a key that the service does not know
// may still arrive.
func (s *Sidecar) lookUp(ctx context.Context, key string) *peerv1.Done {
	if !s.cfg.Upstream.OutcomeByKey || key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlTimeout)
	defer cancel()
	var o serviceOutcome
	if err := s.up.getJSON(ctx, s.up.fresh, "/outcomes/"+escape(key), &o); err != nil || o.Running || o.Status == 0 {
		return nil
	}
	if !httpcheck.ValidFinalStatus(int(o.Status)) {
		s.log.Warn("outcome ignored", "step", "look up outcome", "peer", s.cfg.Upstream.URL, "key", key, "err", httpcheck.ErrStatus, "status", o.Status)
		return nil
	}
	return &peerv1.Done{Body: o.Body, Status: o.Status}
}
