// Package platformstore is a stand-in for the platform's object store, for
// tests: objects by kind and name, one revision counter, conditional writes and
// watches, and the troubles that a store can have.
package platformstore

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the store. It implements http.Handler.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	history  []change
	oldest   uint64 // changes up to this revision are forgotten
	changed  chan struct{}
	down     bool
	deaf     bool
	calls    int
	texts    map[string]string // specs written by PutText, by their placeholder
}

type metadata struct {
	Name     string
	Revision uint64
	Created  uint64
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type change struct {
	revision uint64
	kind     string
	Object   object
	Deleted  bool
}

// New returns an empty store.
func New() *Store {
	return &Store{kinds: make(map[string]map[string]*object), changed: make(chan struct{}), texts: make(map[string]string)}
}

// SetDown makes every call fail with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetDeaf keeps watches waiting though there are changes.
func (s *Store) SetDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
	s.wake()
}

// Compact forgets the history and cuts the watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object whatever its revision.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test passed what is no JSON
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// PutText writes an object with a spec that encoding/json may refuse to encode, such as
// one that is nested too deeply.
func (s *Store) PutText(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	placeholder, err := json.Marshal("text of " + kind + "/" + name)
	if err != nil {
		panic(err)
	}
	s.texts[string(placeholder)] = spec
	s.put(kind, name, placeholder)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(kind, *o, true)
}

// Get returns the contents and the status of an object.
func (s *Store) Get(kind, name string) (spec, status json.RawMessage, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return nil, nil, false
	}
	return o.Spec, o.Status, true
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	s.revision++
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision}}
		s.kinds[kind][name] = o
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.record(kind, *o, false)
	return o
}

func (s *Store) record(kind string, o object, deleted bool) {
	s.history = append(s.history, change{revision: s.revision, kind: kind, Object: o, Deleted: deleted})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

// reply sends a response. The caller holds the lock of the store.
func (s *Store) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	for placeholder, text := range s.texts {
		data = bytes.ReplaceAll(data, []byte(placeholder), []byte(text))
	}
	_, _ = w.Write(data)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		items = append(items, *o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	s.reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "At": s.revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.reply(w, http.StatusOK, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down || after < s.oldest {
			status := http.StatusGone
			if s.down {
				status = http.StatusServiceUnavailable
			}
			s.mu.Unlock()
			w.WriteHeader(status)
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after && !s.deaf {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		if s.deaf {
			at = after
		}
		if len(events) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string
			Revision *uint64
		}
		Spec, Status json.RawMessage
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, ofStatus := strings.CutSuffix(name, "/status")
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil:
		s.reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && o == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut && body.Metadata.Revision != nil && *body.Metadata.Revision != o.Metadata.Revision:
		s.reply(w, http.StatusConflict, o)
	case ofStatus:
		o.Status = body.Status
		s.reply(w, http.StatusOK, s.put(kind, name, o.Spec))
	default:
		s.reply(w, http.StatusOK, s.put(kind, name, body.Spec))
	}
}
