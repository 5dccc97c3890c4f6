package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

const (
	// callTries is the number of times that a refused request is sent.
	callTries = 5
	// maxWait bounds the wait for one Retry-After.
	maxWait = 30 * time.Second
	// endTimeout bounds the request that ends a program.
	endTimeout = 5 * time.Second
	// maxAnswer bounds the bytes read of one answer.
	maxAnswer = 64 << 20
	// bytesPerToken is the size of a token of text in the stand-in engine.
	bytesPerToken = 4
)

// caller makes the requests of one root program.
type caller struct {
	r    *runner
	name string

	mu   sync.Mutex
	rand *rand.Rand
}

// refusal is an error answer of the entry.
type refusal struct {
	Code  string   `json:"code"`
	Step  string   `json:"step"`
	Ran   core.Ran `json:"ran"`
	after time.Duration
}

func (e *refusal) Error() string { return fmt.Sprintf("%s at %s (ran: %s)", e.Code, e.Step, e.Ran) }

// request sends one request and returns its response if it succeeded.
func (c *caller) request(ctx context.Context, method, path string, header map[string]string, body any) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.r.o.Target, "/")+path, payload)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.r.o.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.r.o.Key)
	} else {
		req.Header.Set("Yucca-Caller", c.name)
	}
	for k, v := range header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	resp, err := c.r.o.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	var e struct {
		Error refusal `json:"error"`
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if json.Unmarshal(text, &e) != nil || e.Error.Code == "" {
		e.Error.Code, e.Error.Ran = "http_"+strconv.Itoa(resp.StatusCode), core.RanUnknown
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		e.Error.after = time.Duration(s * float64(time.Second))
	}
	return nil, &e.Error
}

// again sends a request until it succeeds, as long as the refusal allows it.
func (c *caller) again(ctx context.Context, safe bool, send func() error) error {
	for try := 1; ; try++ {
		err := send()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		code, wait, retry := "connection", time.Second, safe
		var ref *refusal
		if errors.As(err, &ref) {
			code, wait = ref.Code, max(ref.after, time.Second)
			lost := ref.Code == core.CodeOutcomeUnknown || !safe && ref.Ran != core.RanNo
			retry = !lost && ref.Code != core.CodeBudgetExceeded && ref.Code != core.CodeQuarantined
			if lost {
				c.r.count(func(r *Result) { r.Unknown++ })
			}
		}
		c.r.count(func(r *Result) { r.Refusals++; r.Errors[code]++ })
		if !retry || try == callTries {
			return err
		}
		c.mu.Lock()
		spread := 1 + 0.2*c.rand.Float64()
		c.mu.Unlock()
		if err := pause(ctx, min(time.Duration(float64(wait)*spread), maxWait)); err != nil {
			return err
		}
	}
}

func (r *runner) count(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

// open opens a program and returns its id.
func (c *caller) open(ctx context.Context, profile, parent string) (id string, err error) {
	err = c.again(ctx, true, func() error {
		resp, err := c.request(ctx, http.MethodPost, "/v1/programs",
			map[string]string{"Yucca-Profile": profile, "Yucca-Parent": parent}, map[string]string{"profile": profile})
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		var out struct {
			ID string `json:"id"`
		}
		if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&out); err != nil || out.ID == "" {
			return errors.Errorf("open program: no id in the answer (%v)", err)
		}
		id = out.ID
		return nil
	})
	return id, err
}

// end ends a program. It has its own time, so that programs are ended after the
// run's end as well.
func (c *caller) end(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	resp, err := c.request(ctx, http.MethodDelete, "/v1/programs/"+id, nil, nil)
	if err != nil {
		c.r.count(func(r *Result) { r.Errors["end"]++ })
		return
	}
	resp.Body.Close()
}

// chat makes a model call and reads the streamed answer.
func (c *caller) chat(ctx context.Context, id string, a *trace.Agent, s *trace.Step) error {
	body := map[string]any{
		"model": a.Model, "stream": true, "max_tokens": s.Out,
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("saw ", int(s.New*bytesPerToken/4))}},
	}
	if a.Adapter != "" {
		body["adapter"] = a.Adapter
	}
	begin := time.Now()
	err := c.again(ctx, true, func() error {
		sent := time.Now()
		resp, err := c.request(ctx, http.MethodPost, "/v1/chat/completions",
			map[string]string{"Yucca-Program": id, "Yucca-History": "append"}, body)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return c.stream(resp.Body, sent)
	})
	if err == nil {
		c.r.count(func(r *Result) { r.Calls++ })
		c.r.record(c.r.call, time.Since(begin))
	}
	return err
}

// stream reads an answer in server-sent events to its end.
func (c *caller) stream(body io.Reader, sent time.Time) error {
	sc := bufio.NewScanner(io.LimitReader(body, maxAnswer))
	sc.Buffer(make([]byte, 0, 16<<10), 1<<20)
	var last time.Time
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *refusal `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Wrap(err, "decode answer")
		}
		if chunk.Error != nil {
			return chunk.Error
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			c.r.record(c.r.ttft, now.Sub(sent))
		} else {
			c.r.record(c.r.between, now.Sub(last))
		}
		last = now
	}
	if err := sc.Err(); err != nil {
		return errors.Wrap(err, "read answer")
	}
	return errors.New("the answer ended before its last event")
}

// service makes a service call. Without a key a lost answer is not repeated.
func (c *caller) service(ctx context.Context, id, name, op, key string) error {
	begin := time.Now()
	err := c.again(ctx, key != "", func() error {
		resp, err := c.request(ctx, http.MethodPost, "/v1/services/"+name+"/"+op,
			map[string]string{"Yucca-Program": id, "Idempotency-Key": key}, map[string]string{"program": id})
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		return errors.Wrap(err, "read answer")
	})
	if err == nil {
		c.r.count(func(r *Result) { r.Calls++ })
		c.r.record(c.r.call, time.Since(begin))
	}
	return err
}
