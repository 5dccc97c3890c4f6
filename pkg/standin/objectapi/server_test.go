package objectapi

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	store "github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

func start(t *testing.T) (*Server, *store.HTTPClient) {
	t.Helper()
	s := New(Options{})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c, err := store.Dial(store.ClientConfig{Address: s.Addr(), Name: "a", Rate: 10000, Burst: 1000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return s, c
}

// Guards against the HTTP client and the in-process client differing in what
// they answer to the same calls.
func TestClientsAgree(t *testing.T) {
	_, httpClient := start(t)
	mem := store.NewMemory(store.MemoryOptions{})
	for name, c := range map[string]store.Client{"http": httpClient, "memory": mem} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			if _, err := c.Get(ctx, "a/b"); !errors.Is(err, store.ErrNotFound) {
				t.Errorf("Get of a missing key: %v", err)
			}
			if _, err := c.Update(ctx, "a/b", 1, nil); !errors.Is(err, store.ErrConflict) {
				t.Errorf("Update of a missing key: %v", err)
			}
			o, err := c.Create(ctx, "a/b", []byte("one"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Create(ctx, "a/b", nil); !errors.Is(err, store.ErrExists) {
				t.Errorf("Create of an existing key: %v", err)
			}
			if _, err := c.Create(ctx, "a//b", nil); !errors.Is(err, store.ErrInvalid) {
				t.Errorf("Create with a bad key: %v", err)
			}
			if _, err := c.Create(ctx, "big", make([]byte, store.MaxValueBytes)); !errors.Is(err, store.ErrInvalid) {
				t.Errorf("Create of a value above 1 MB: %v", err)
			}
			two, err := c.Update(ctx, "a/b", o.Version, []byte("two"))
			if err != nil || two.Version <= o.Version {
				t.Errorf("Update = version %d, %v; want above %d", two.Version, err, o.Version)
			}
			if _, err := c.Update(ctx, "a/b", o.Version, nil); !errors.Is(err, store.ErrConflict) {
				t.Errorf("Update of an old version: %v", err)
			}
			if got, err := c.Watch(ctx, "a/b", o.Version); err != nil || string(got.Value) != "two" {
				t.Errorf("Watch = %q, %v", got.Value, err)
			}
			if err := c.Delete(ctx, "a/b"); err != nil {
				t.Error(err)
			}
			if err := c.Delete(ctx, "a/b"); err != nil {
				t.Errorf("Delete of a missing key: %v", err)
			}
			again, err := c.Create(ctx, "a/b", []byte("three"))
			if err != nil || again.Version <= two.Version {
				t.Errorf("Create after Delete = version %d, %v; want above %d", again.Version, err, two.Version)
			}
		})
	}
}

// Guards against a list that ends at the first page.
func TestListPages(t *testing.T) {
	_, c := start(t)
	for _, k := range []string{"p/9", "p/1", "p/3", "p/2", "p/5", "p/4", "q/1"} {
		if _, err := c.Create(t.Context(), k, make([]byte, 900_000)); err != nil {
			t.Fatal(err)
		}
	}
	objs, err := c.List(t.Context(), "p/")
	if err != nil || len(objs) != 6 || objs[0].Key != "p/1" || objs[5].Key != "p/9" {
		t.Fatalf("List = %d objects, %v", len(objs), err)
	}
	if n := c.Counts().List; n != 3 {
		t.Errorf("list of 5.4 MB took %d calls, want 3", n)
	}
}

// Guards against planted faults that do not reach the calls of the client they
// name, and against a lost answer that shows as a failed write.
func TestFaultsOverHTTP(t *testing.T) {
	s, c := start(t)
	plant := func(body string) {
		t.Helper()
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.Addr()+"/admin/faults", bytes.NewBufferString(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusNoContent {
			t.Fatalf("plant %s: %v %v", body, resp, err)
		}
		resp.Body.Close()
	}
	plant(`{"client":"a","faults":{"lose_answers":1}}`)
	if _, err := c.Create(t.Context(), "k", []byte("v")); err != nil {
		t.Errorf("Create with a lost answer: %v", err)
	}
	if n := s.Memory().Writes("k"); n != 1 {
		t.Errorf("the write took effect %d times, want 1", n)
	}
	plant(`{"client":"a","faults":{"outage":true}}`)
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("Get in an outage: %v", err)
	}
	plant(`{"client":"a","faults":{"rate":0.001}}`)
	_, _ = c.Get(t.Context(), "k")
	if _, err := c.Create(t.Context(), "k2", nil); !errors.Is(err, store.ErrRateLimited) {
		t.Errorf("Create above the rate limit: %v", err)
	}
	other, err := store.Dial(store.ClientConfig{Address: s.Addr(), Name: "b"})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if _, err := other.Get(t.Context(), "k"); err != nil {
		t.Errorf("Get of a client without faults: %v", err)
	}
}

// Guards against a process that stops while a long poll is open.
func TestCloseEndsWatches(t *testing.T) {
	s, c := start(t)
	done := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.Background(), "none", 0)
		done <- err
	}()
	for c.Counts().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("Watch of a closed store: %v", err)
	}
}

// Guards against a body that makes the server fail in another way than with an
// error of its own, or that is stored although it is refused.
func FuzzServer(f *testing.F) {
	f.Add("PUT", "/v1/objects/a", `{"value":"YQ=="}`, "*", "")
	f.Add("PUT", "/v1/objects/a", `{"value":1}`, "", `"1"`)
	f.Add("GET", "/v1/objects?prefix=a&after=%zz", "", "", "")
	f.Add("GET", "/v1/objects/a?watch=0&wait_ms=0", "", "", "")
	f.Add("PUT", "/admin/faults", `{"faults":{"delay":-1}}`, "", "")
	f.Add("PUT", "/admin/instances", `{"instances":[{"id":"a"}],"lag_ms":-5}`, "", "")
	f.Fuzz(func(t *testing.T, method, path, body, none, match string) {
		s := New(Options{})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, method, "http://store"+path, bytes.NewBufferString(body))
		if err != nil || len(path) == 0 || path[0] != '/' {
			return
		}
		req.Header["If-None-Match"], req.Header["If-Match"] = []string{none}, []string{match}
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, req)
		if rec.Code >= 400 && method == http.MethodPut && len(s.Memory().Keys("")) > 0 {
			t.Errorf("%s %s answered %d and stored %v", method, path, rec.Code, s.Memory().Keys(""))
		}
	})
}
