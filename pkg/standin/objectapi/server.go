// Package objectapi serves the object store's protocol over an in-memory store,
// for tests, the quickstart and trials. An admin endpoint plants faults.
package objectapi

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	pkgerrors "github.com/pkg/errors"

	store "github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/httpserver"
)

// maxWait bounds one long poll.
const maxWait = 60 * time.Second

// Options configures a Server.
type Options struct {
	Listen      string        // host:port; port 0 lets the kernel choose
	InstanceLag time.Duration // age of the instance list that clients see
	Logger      *slog.Logger
}

// Server is a running store.
type Server struct {
	*httpserver.Server
	o   Options
	mem *store.Memory
}

// New returns a server that is not started yet.
func New(o Options) *Server {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{o: o, mem: store.NewMemory(store.MemoryOptions{InstanceLag: o.InstanceLag})}
	s.Server = httpserver.New("stand-in object store", o.Listen, s.Handler(), o.Logger)
	return s
}

// Memory returns the store behind the server.
func (s *Server) Memory() *store.Memory { return s.mem }

// Handler returns the HTTP interface of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.delete)
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/instances", s.instances)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("PUT /admin/faults", s.setFaults)
	mux.HandleFunc("GET /admin/faults", s.getFaults)
	mux.HandleFunc("PUT /admin/instances", s.setInstances)
	return mux
}

func (s *Server) backend(r *http.Request) store.Backend {
	return s.mem.Backend(r.Header.Get(store.ClientHeader))
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, "unavailable"
	switch {
	case errors.Is(err, store.ErrNotFound):
		status, code = http.StatusNotFound, "not_found"
	case errors.Is(err, store.ErrConflict):
		status, code = http.StatusPreconditionFailed, "conflict"
	case errors.Is(err, store.ErrRateLimited):
		status, code = http.StatusTooManyRequests, "rate_limited"
		w.Header().Set("Retry-After", "1")
	case errors.Is(err, store.ErrInvalid):
		status, code = http.StatusBadRequest, "invalid"
	}
	var body store.WireError
	body.Error.Code, body.Error.Message = code, err.Error()
	answer(w, status, body)
}

func invalid(w http.ResponseWriter, msg string) {
	fail(w, pkgerrors.WithMessage(store.ErrInvalid, msg))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if err := store.CheckKey(key); err != nil {
		fail(w, err)
		return
	}
	var o store.Object
	var err error
	if watch := r.URL.Query().Get("watch"); watch != "" {
		after, perr := strconv.ParseUint(watch, 10, 64)
		ms, werr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 32)
		if perr != nil || werr != nil || ms < 0 {
			invalid(w, "watch must be a version and wait_ms a number of milliseconds")
			return
		}
		var changed bool
		wait := min(time.Duration(ms)*time.Millisecond, maxWait)
		o, changed, err = s.backend(r).Watch(r.Context(), key, after, wait)
		if err == nil && !changed {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	} else {
		o, err = s.backend(r).Get(r.Context(), key)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.Version, 10)))
	answer(w, http.StatusOK, store.WireObject(o))
}

// condition reads the precondition of a PUT. Exactly one of the two headers
// must be there.
func condition(h http.Header) (store.Condition, bool) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	if none == "*" && match == "" {
		return store.Condition{Absent: true}, true
	}
	if none != "" || match == "" {
		return store.Condition{}, false
	}
	v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	return store.Condition{Version: v}, err == nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	cond, ok := condition(r.Header)
	if !ok {
		invalid(w, `want If-Match: "<version>" or If-None-Match: *`)
		return
	}
	var body store.WirePut
	if err := store.DecodeBody(r.Body, &body); err != nil {
		fail(w, err)
		return
	}
	key := r.PathValue("key")
	version, err := s.backend(r).Put(r.Context(), key, cond, body.Value)
	if err != nil {
		fail(w, err)
		return
	}
	status := http.StatusOK
	if cond.Absent {
		status = http.StatusCreated
	}
	answer(w, status, store.WireVersion{Key: key, Version: version})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if err := store.CheckKey(key); err != nil {
		fail(w, err)
		return
	}
	if err := s.backend(r).Delete(r.Context(), key); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	objs, next, err := s.backend(r).List(r.Context(), q.Get("prefix"), q.Get("after"))
	if err != nil {
		fail(w, err)
		return
	}
	out := store.WireList{Objects: make([]store.WireObject, len(objs)), Next: next}
	for i, o := range objs {
		out.Objects[i] = store.WireObject(o)
	}
	answer(w, http.StatusOK, out)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	list, err := s.backend(r).Instances(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, store.WireInstances{Instances: list})
}

// FaultBody is the body of PUT /admin/faults.
type FaultBody struct {
	Client string       `json:"client"` // "" concerns every client
	Faults store.Faults `json:"faults"`
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var body FaultBody
	if err := store.DecodeBody(r.Body, &body); err != nil {
		fail(w, err)
		return
	}
	s.mem.SetFaults(body.Client, body.Faults)
	s.o.Logger.Info("faults planted", "client", body.Client, "faults", body.Faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getFaults(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, s.mem.Faults(r.URL.Query().Get("client")))
}

// InstancesBody is the body of PUT /admin/instances.
type InstancesBody struct {
	Instances []store.Instance `json:"instances"`
	LagMS     int64            `json:"lag_ms"`
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var body InstancesBody
	if err := store.DecodeBody(r.Body, &body); err != nil {
		fail(w, err)
		return
	}
	s.mem.SetInstanceLag(time.Duration(body.LagMS) * time.Millisecond)
	s.mem.SetInstances(body.Instances)
	w.WriteHeader(http.StatusNoContent)
}
