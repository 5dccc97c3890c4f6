// Package frontend serves the callers' HTTP interface: chat completions in the
// OpenAI form, calls to plain services, and programs. It parses and checks
// requests; decisions are taken by the Backend.
package frontend

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// OpenRequest asks to open a program.
type OpenRequest struct {
	ID      core.ProgramID
	Parent  core.ProgramID
	Caller  string
	Profile string
	Key     string
}

// Result is the end of a call.
type Result struct {
	Answer  core.Answer
	Stored  bool // the answer of an earlier call with the same key
	Pending bool // the turn is not yet durable anywhere but in the owner
}

// Sink receives the parts of a streamed answer in order. Chunk is a chat
// completion chunk in JSON. The last chunk, with the finish reason, is not sent
// through the sink but made from the Result, after the turn is durable.
type Sink interface {
	Chunk(chunk []byte) error
}

// Backend runs requests on the owner of their program.
type Backend interface {
	// NewID returns a unique identifier.
	NewID() string
	// NewProgram returns an id for a program that this entry would own.
	NewProgram() core.ProgramID
	// NonIdempotent reports whether an operation must run at most once.
	NonIdempotent(service, operation string) bool
	// Owns reports whether this entry owns the program now.
	Owns(id core.ProgramID) bool
	// Forward passes the request to the owner and copies its response. It
	// returns a *RefusalError if nothing was written.
	Forward(ctx context.Context, t Target, r *http.Request, body []byte, w http.ResponseWriter) error
	// Open opens a program and returns once the opening is durable.
	Open(ctx context.Context, r OpenRequest) (core.ProgramID, error)
	// End ends a program and its children.
	End(ctx context.Context, id core.ProgramID, caller string) error
	// Call runs one call. Errors are *RefusalError.
	Call(ctx context.Context, r *CallRequest, sink Sink) (Result, error)
	// Program returns the state of a program.
	Program(ctx context.Context, id core.ProgramID) (core.ProgramStatus, bool)
	// Ready reports whether the process can serve.
	Ready() error
	// Status returns what the status command prints.
	Status(ctx context.Context) any
}

// Options configure a Server.
type Options struct {
	Backend           Backend
	Admin             Admin
	Callers           []Caller
	Operators         []string // callers that may use the operators' interface
	TrustCallerHeader bool     // accept the caller header from loopback addresses
	DefaultMaxTokens  int64
	Logger            *slog.Logger
	Metrics           http.HandlerFunc
}

// Server is the HTTP interface. It implements http.Handler.
type Server struct {
	opt       Options
	callers   map[string]string // sha256 of the key to name
	operators map[string]bool
	engine    *gin.Engine
}

// New returns a Server for the options.
func New(opt Options) *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{opt: opt, callers: make(map[string]string), operators: make(map[string]bool), engine: gin.New()}
	for _, name := range opt.Operators {
		s.operators[name] = true
	}
	for _, c := range opt.Callers {
		s.callers[strings.ToLower(c.KeySHA256)] = c.Name
	}
	e := s.engine
	e.Use(gin.CustomRecoveryWithWriter(nil, s.recovered))
	e.POST("/v1/chat/completions", s.chat)
	e.POST("/v1/services/:service/:operation", s.service)
	e.POST("/v1/programs", s.openProgram)
	e.GET("/v1/programs/:id", s.getProgram)
	e.DELETE("/v1/programs/:id", s.endProgram)
	e.GET("/v1/status", s.status)
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	if opt.Admin != nil {
		s.adminRoutes(e)
	}
	if opt.Metrics != nil {
		e.GET("/metrics", gin.WrapF(opt.Metrics))
	}
	e.NoRoute(func(c *gin.Context) {
		writeRefusal(c, Refuse(core.CodeBadRequest, "route", "%s %s is not part of the interface", c.Request.Method, c.Request.URL.Path).Refusal)
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.engine.ServeHTTP(w, r) }

func (s *Server) recovered(c *gin.Context, v any) {
	s.opt.Logger.Error("handler panicked", "path", c.Request.URL.Path, "panic", v)
	c.AbortWithStatus(http.StatusInternalServerError)
}

// admit authenticates the request, finds its program and forwards the request
// if another entry owns it. It returns false when the request is finished.
func (s *Server) admit(c *gin.Context) (Target, []byte, bool) {
	r := c.Request
	caller, err := s.authenticate(r)
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return Target{}, nil, false
	}
	body, err := readBody(r)
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return Target{}, nil, false
	}
	t, err := s.target(r, caller)
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return Target{}, nil, false
	}
	return s.forwardUnlessOwned(c, t, body)
}

func (s *Server) forwardUnlessOwned(c *gin.Context, t Target, body []byte) (Target, []byte, bool) {
	located := t.Program
	if located == "" {
		located = t.Parent
	}
	if s.opt.Backend.Owns(located) {
		return t, body, true
	}
	r := c.Request
	if _, forwarded := forwardedCaller(r.Context()); forwarded {
		writeNotOwner(c, Refuse(core.CodeNotOwner, "route", "program %s belongs to another entry", located).Refusal)
		return Target{}, nil, false
	}
	s.forward(c, t, body)
	return Target{}, nil, false
}

// forward passes the request to the owner of its program.
func (s *Server) forward(c *gin.Context, t Target, body []byte) {
	r := c.Request
	if t.Program != "" {
		r.Header.Set(HeaderProgram, string(t.Program))
	}
	if t.Implicit {
		r.Header.Set(headerImplicit, "1")
	}
	if t.Single {
		r.Header.Set(headerSingle, "1")
	}
	r.Header.Set(HeaderKey, t.Key)
	if !t.KeyGiven {
		r.Header.Set(headerAssigned, "1")
	}
	if err := s.opt.Backend.Forward(r.Context(), t, r, body, c.Writer); err != nil {
		if c.Writer.Written() {
			abortStream(c, asRefusal(err))
		} else {
			writeRefusal(c, asRefusal(err))
		}
	}
}

// rerouted handles a refusal by which ownership moved after the request was
// admitted: the request did not run, so the new owner gets it.
func (s *Server) rerouted(c *gin.Context, t Target, body []byte, err error) bool {
	refusal := asRefusal(err)
	if refusal.Code != core.CodeNotOwner || refusal.Ran != core.RanNo || c.Writer.Written() {
		return false
	}
	if _, forwarded := forwardedCaller(c.Request.Context()); forwarded {
		writeNotOwner(c, refusal)
		return true
	}
	s.forward(c, t, body)
	return true
}

func (s *Server) chat(c *gin.Context) {
	t, body, ok := s.admit(c)
	if !ok {
		return
	}
	req, err := s.parseModelCall(c.Request, t, body)
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return
	}
	if !req.Call.Stream {
		s.runWhole(c, t, req, body)
		return
	}
	s.runStream(c, t, req, body)
}

func (s *Server) service(c *gin.Context) {
	t, body, ok := s.admit(c)
	if !ok {
		return
	}
	req, err := s.parseServiceCall(c.Request, t, c.Param("service"), c.Param("operation"), body)
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return
	}
	s.runWhole(c, t, req, body)
}

// runWhole answers in one piece.
func (s *Server) runWhole(c *gin.Context, t Target, req *CallRequest, body []byte) {
	res, err := s.opt.Backend.Call(c.Request.Context(), req, nil)
	if err != nil && s.rerouted(c, t, body, err) {
		return
	}
	c.Header(HeaderProgram, string(req.Target))
	if err != nil {
		writeRefusal(c, asRefusal(err))
		return
	}
	setResultHeaders(c.Writer.Header(), res)
	status := res.Answer.Status
	if status == 0 {
		status = http.StatusOK
	}
	c.Data(status, "application/json", res.Answer.Body)
}

func setResultHeaders(h http.Header, res Result) {
	if res.Stored {
		h.Set(HeaderStored, "true")
	}
	if res.Pending {
		h.Set(HeaderDurable, durablePending)
	}
}

func (s *Server) openProgram(c *gin.Context) {
	t, body, ok := s.admit(c)
	if !ok {
		return
	}
	var in struct {
		Profile string `json:"profile"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			writeRefusal(c, Refuse(core.CodeBadRequest, "parse", "body: %v", err).Refusal)
			return
		}
	}
	if in.Profile == "" {
		in.Profile = c.GetHeader(HeaderProfile)
	}
	id, err := s.opt.Backend.Open(c.Request.Context(), OpenRequest{
		ID: t.Program, Parent: t.Parent, Caller: t.Caller, Profile: in.Profile, Key: t.Key,
	})
	if err != nil {
		if !s.rerouted(c, t, body, err) {
			writeRefusal(c, asRefusal(err))
		}
		return
	}
	c.Header(HeaderProgram, string(id))
	c.JSON(http.StatusCreated, gin.H{"id": id})
}

// programOfPath moves the program id from the path into the header, where
// target reads it.
func programOfPath(c *gin.Context) {
	c.Request.Header.Set(HeaderProgram, c.Param("id"))
}

func (s *Server) getProgram(c *gin.Context) {
	programOfPath(c)
	t, _, ok := s.admit(c)
	if !ok {
		return
	}
	st, ok := s.opt.Backend.Program(c.Request.Context(), t.Program)
	if !ok || st.Caller != t.Caller {
		writeRefusal(c, Refuse(core.CodeProgramUnknown, "look up", "program %s does not exist", t.Program).Refusal)
		return
	}
	c.JSON(http.StatusOK, st)
}

func (s *Server) endProgram(c *gin.Context) {
	programOfPath(c)
	t, body, ok := s.admit(c)
	if !ok {
		return
	}
	if err := s.opt.Backend.End(c.Request.Context(), t.Program, t.Caller); err != nil {
		if !s.rerouted(c, t, body, err) {
			writeRefusal(c, asRefusal(err))
		}
		return
	}
	c.JSON(http.StatusOK, gin.H{"id": t.Program, "ended": time.Now().UTC().Format(time.RFC3339)})
}

func (s *Server) ready(c *gin.Context) {
	if err := s.opt.Backend.Ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%v\n", err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *Server) status(c *gin.Context) {
	c.JSON(http.StatusOK, s.opt.Backend.Status(c.Request.Context()))
}
