package objectapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
)

// Guards against a lost answer that is taken for a failure, a foreign write
// that is taken for the own one, and a write that is sent twice although the
// first may still take effect without its condition.
func TestLostAnswers(t *testing.T) {
	foreign := func(m *Memory) { // another client writes between the write and the read-back
		o, err := m.Client("other").Get(context.Background(), "k")
		if err != nil {
			_, _ = m.Client("other").Create(context.Background(), "k", []byte("same"))
			return
		}
		_, _ = m.Client("other").Update(context.Background(), "k", o.Version, []byte("same"))
	}
	for _, c := range []struct {
		name    string
		faults  Faults
		between func(*Memory)
		want    error
		unknown bool
		writes  int
	}{
		{"answer lost", Faults{LoseAnswers: 1}, nil, nil, false, 1},
		{"write lost", Faults{LoseWrites: 1}, nil, nil, false, 1},
		{"write lost, foreign write of the same value", Faults{LoseWrites: 1}, foreign, ErrConflict, true, 1},
		{"answer lost, foreign write after it", Faults{LoseAnswers: 1}, foreign, ErrConflict, true, 2},
		{"answer lost, then outage", Faults{LoseAnswers: 1}, func(m *Memory) { m.SetFaults("", Faults{Outage: true}) }, ErrUnavailable, true, 1},
		{"every answer lost", Faults{LoseWrites: 9}, nil, ErrUnavailable, true, 0},
	} {
		for _, update := range []bool{false, true} {
			m := NewMemory(MemoryOptions{})
			var version uint64
			if update {
				o, err := m.Create(t.Context(), "k", []byte("old"))
				if err != nil {
					t.Fatal(err)
				}
				version = o.Version
			}
			m.SetFaults("", c.faults)
			between := c.between
			hook := &hookBackend{Backend: m.Backend(""), afterPut: func() {
				if between != nil {
					between(m)
					between = nil
				}
			}}
			cl := &client{b: hook, writeTries: 3, readTries: 1, firstDelay: time.Millisecond}
			var err error
			want := c.want
			if update {
				_, err = cl.Update(t.Context(), "k", version, []byte("same"))
			} else {
				_, err = cl.Create(t.Context(), "k", []byte("same"))
				if want == ErrConflict {
					want = ErrExists
				}
			}
			before := m.Writes("k")
			if update {
				before-- // the write that made the old value
			}
			if !errors.Is(err, want) || IsUnknown(err) != c.unknown || before != c.writes {
				t.Errorf("%s, update %v: %v with %d writes; want %v, unknown %v, %d writes",
					c.name, update, err, before, want, c.unknown, c.writes)
			}
		}
	}
}

// hookBackend runs a function after each write.
type hookBackend struct {
	Backend
	afterPut func()
}

func (h *hookBackend) Put(ctx context.Context, key string, cond Condition, value []byte) (uint64, error) {
	v, err := h.Backend.Put(ctx, key, cond, value)
	h.afterPut()
	return v, err
}

// Guards against calls that are not counted or exceed the client's own rate.
func TestCountsAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(MemoryOptions{})
		c := m.newClient("a")
		c.limiter = rate.NewLimiter(10, 1)
		start := time.Now()
		for range 21 {
			if _, err := c.Instances(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if d := time.Since(start); d < 2*time.Second || d > 2100*time.Millisecond {
			t.Errorf("21 calls at 10 per second took %v", d)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 90*time.Millisecond)
		defer cancel()
		if _, err := c.Get(ctx, "k"); !errors.Is(err, ErrRateLimited) {
			t.Errorf("Get that cannot get a permit in time: %v", err)
		}
		c.watchWait = time.Second
		wctx, wcancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer wcancel()
		_, _ = c.Watch(wctx, "k", 0)
		if n := c.Counts(); n.Instances != 21 || n.Get != 0 || n.Watch != 3 || n.Total() != 24 {
			t.Errorf("counts %+v, want 21 instances, no get, 3 watches", n)
		}
	})
}

// Guards against a slow or flapping store that fails a read which a retry or a
// longer wait would have answered, and against a call without a time limit.
func TestRetriesAndTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(MemoryOptions{})
		if _, err := m.Create(t.Context(), "k", nil); err != nil {
			t.Fatal(err)
		}
		c := m.newClient("a")
		c.timeout, c.readTries, c.firstDelay, c.maxDelay = time.Second, 3, 100*time.Millisecond, time.Second
		m.SetFaults("a", Faults{Outage: true})
		// The pauses vary by half: the third try comes after 125 ms at the earliest.
		time.AfterFunc(120*time.Millisecond, func() { m.SetFaults("a", Faults{}) })
		if _, err := c.Get(t.Context(), "k"); err != nil {
			t.Errorf("Get over a short outage: %v", err)
		}
		m.SetFaults("a", Faults{Delay: time.Hour})
		start := time.Now()
		if _, err := c.Get(t.Context(), "k"); !errors.Is(err, ErrUnavailable) || time.Since(start) > 6*time.Second {
			t.Errorf("Get from a store that hangs: %v after %v", err, time.Since(start))
		}
	})
}

// Guards against an instance list without its lag.
func TestInstancesLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory(MemoryOptions{InstanceLag: 2 * time.Second})
		m.SetInstances([]Instance{{ID: "a"}})
		time.Sleep(3 * time.Second)
		m.SetInstances([]Instance{{ID: "a"}, {ID: "b"}})
		if l, err := m.Instances(t.Context()); err != nil || len(l) != 1 {
			t.Errorf("at once: %v, %v", l, err)
		}
		time.Sleep(2 * time.Second)
		if l, err := m.Instances(t.Context()); err != nil || len(l) != 2 {
			t.Errorf("after the lag: %v, %v", l, err)
		}
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against an answer that the client takes for a value although the
// status says otherwise, or that makes it fail in another way than with an
// error of its own.
func FuzzClient(f *testing.F) {
	f.Add(200, []byte(`{"key":"k","version":3,"value":"YQ=="}`))
	f.Add(200, []byte(`{"objects":[{"key":"k"}],"next":"k"}`))
	f.Add(201, []byte(`{"version":"x"}`))
	f.Add(204, []byte(nil))
	f.Add(200, []byte(`{}`))
	f.Add(412, []byte(`{"error":{"code":"conflict"}}`))
	f.Add(503, []byte(`{"error":{"message":"outage"}}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c, err := Dial(ClientConfig{Address: "127.0.0.1:1", ReadTries: 1, Rate: 1e6, Burst: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		c.firstDelay = 0
		n := 0
		c.backend.hc.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			if n++; n > 100 {
				return nil, io.EOF
			}
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
		})
		ctx := context.Background()
		for name, call := range map[string]func() error{
			"get":       func() error { _, err := c.Get(ctx, "k"); return err },
			"create":    func() error { _, err := c.Create(ctx, "k", nil); return err },
			"delete":    func() error { return c.Delete(ctx, "k") },
			"list":      func() error { _, err := c.List(ctx, "k"); return err },
			"instances": func() error { _, err := c.Instances(ctx); return err },
		} {
			n = 0
			err := call()
			var e *Error
			if err != nil && !errors.As(err, &e) {
				t.Errorf("%s: error of type %T: %v", name, err, err)
			}
			if name == "get" && err == nil && (status == http.StatusNoContent || !bytes.Contains(body, []byte("ersion"))) {
				t.Errorf("status %d and body %q are taken for an object", status, body)
			}
			if err == nil && (status < 200 || status >= 300) && !(name == "delete" && status == http.StatusNotFound) {
				t.Errorf("%s: status %d is taken for success", name, status)
			}
		}
	})
}
