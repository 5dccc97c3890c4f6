package frontend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// The headers of the caller interface.
const (
	HeaderProgram  = "Yucca-Program"
	HeaderParent   = "Yucca-Parent"
	HeaderProfile  = "Yucca-Profile"
	HeaderCaller   = "Yucca-Caller"
	HeaderDeadline = "Yucca-Deadline-Ms"
	HeaderHistory  = "Yucca-History"
	HeaderKey      = "Idempotency-Key"
	HeaderStored   = "Yucca-Stored"
	HeaderDurable  = "Yucca-Durable"
	HeaderOwner    = "Yucca-Owner"

	// In requests forwarded between entries, headerAssigned marks a key that
	// the receiving entry assigned, headerImplicit a program that it assigned,
	// and headerSingle a program that is derived from the key.
	headerAssigned = "Yucca-Assigned"
	headerImplicit = "Yucca-Implicit"
	headerSingle   = "Yucca-Single"

	historyAppend  = "append"
	durablePending = "pending" // the store does not have the turn yet
	historyFull    = "full"
)

const (
	maxBodyBytes = 4 << 20 // 290,000 tokens of history are about 1.2 MB
	maxIDBytes   = 200
)

// Caller is a known customer of the callers' interface.
type Caller struct {
	Name      string
	KeySHA256 string // hex
}

// CallRequest is a parsed request of a caller for one program.
type CallRequest struct {
	Call   core.Call
	Parent core.ProgramID
	// Target is the program that owns the call, also if Call.Program is empty.
	Target core.ProgramID
	// Implicit tells that the program is opened by this call.
	Implicit bool
	// Append tells that the stored history precedes the messages.
	Append bool
	Chat   *ChatRequest // nil for service calls
	Body   []byte       // body of a service call
}

// Target names the program of a request before it is parsed, which is all that
// is needed to find the owner.
type Target struct {
	Program  core.ProgramID
	Parent   core.ProgramID
	Key      string
	Caller   string
	Implicit bool // the program is opened by the request and goes on
	Single   bool // the program is derived from the key and ends with the call
	KeyGiven bool
}

// authenticate returns the caller of a request.
func (s *Server) authenticate(r *http.Request) (string, error) {
	if name, ok := forwardedCaller(r.Context()); ok {
		return name, nil
	}
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		sum := sha256.Sum256([]byte(token))
		if name, ok := s.callers[hex.EncodeToString(sum[:])]; ok {
			return name, nil
		}
		return "", Refuse(core.CodeUnauthenticated, "authenticate", "the bearer key is not known")
	}
	if s.opt.TrustCallerHeader && isLoopback(r.RemoteAddr) {
		if name := r.Header.Get(HeaderCaller); name != "" {
			return name, nil
		}
		return "anonymous", nil
	}
	return "", Refuse(core.CodeUnauthenticated, "authenticate", "an Authorization header with a bearer key is required")
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// target finds the program of a request. A request without a program gets one:
// derived from its key, so that a resend finds the same program, or a new one.
func (s *Server) target(r *http.Request, caller string) (Target, error) {
	t := Target{
		Program: core.ProgramID(r.Header.Get(HeaderProgram)),
		Parent:  core.ProgramID(r.Header.Get(HeaderParent)),
		Key:     r.Header.Get(HeaderKey),
		Caller:  caller,
	}
	_, forwarded := forwardedCaller(r.Context())
	t.KeyGiven = t.Key != "" && (!forwarded || r.Header.Get(headerAssigned) == "")
	t.Implicit = forwarded && r.Header.Get(headerImplicit) != ""
	t.Single = forwarded && r.Header.Get(headerSingle) != ""
	for name, value := range map[string]string{HeaderProgram: string(t.Program), HeaderParent: string(t.Parent), HeaderKey: t.Key} {
		if err := checkID(name, value); err != nil {
			return Target{}, err
		}
	}
	if t.Program == "" && t.Parent != "" {
		// The owner numbers the child; the parent finds the owner.
		return t, nil
	}
	if t.Program == "" {
		s.assignProgram(r, &t)
	}
	if t.Key == "" {
		t.Key = "auto-" + s.opt.Backend.NewID()
	}
	return t, nil
}

// assignProgram chooses the program of a request that names none. With a key it
// is derived from the key, so that a resend through any entry reaches the same
// owner.
func (s *Server) assignProgram(r *http.Request, t *Target) {
	opens := r.URL.Path == "/v1/programs"
	switch {
	case t.Key == "":
		t.Program = s.opt.Backend.NewProgram()
		t.Implicit = !opens
	case opens:
		t.Program = core.ProgramIDForOpen(t.Caller, t.Key)
	default:
		t.Program = core.ProgramIDForCall(t.Caller, t.Key)
		t.Single = true
	}
}

func checkID(name, value string) error {
	if len(value) > maxIDBytes {
		return Refuse(core.CodeBadRequest, "parse", "header %s has %d bytes, at most %d are allowed", name, len(value), maxIDBytes)
	}
	for _, c := range value {
		if c <= ' ' || c > '~' || c == '/' {
			return Refuse(core.CodeBadRequest, "parse", "header %s contains %q, expected printable ASCII without spaces and slashes", name, c)
		}
	}
	return nil
}

// readBody reads a request body up to the limit.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return nil, Refuse(core.CodeBadRequest, "read body", "%v (at most %d bytes are allowed)", err, maxBodyBytes)
	}
	return body, nil
}

// deadlineOf returns the deadline a caller asked for, zero if none.
func deadlineOf(r *http.Request, now time.Time) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > (24*time.Hour).Milliseconds() {
		return time.Time{}, Refuse(core.CodeBadRequest, "parse", "header %s is %q, expected milliseconds from 1 to 86400000", HeaderDeadline, text)
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

func (s *Server) baseCall(r *http.Request, t Target) (core.Call, error) {
	now := time.Now()
	deadline, err := deadlineOf(r, now)
	if err != nil {
		return core.Call{}, err
	}
	program := t.Program
	if t.Single {
		program = "" // the core derives it from the key
	}
	return core.Call{
		ID:       core.CallID(s.opt.Backend.NewID()),
		Program:  program,
		Caller:   t.Caller,
		Profile:  r.Header.Get(HeaderProfile),
		Key:      t.Key,
		Arrived:  now,
		Deadline: deadline,
	}, nil
}

// parseModelCall builds the call of a chat completion request.
func (s *Server) parseModelCall(r *http.Request, t Target, body []byte) (*CallRequest, error) {
	chat, err := ParseChat(body)
	if err != nil {
		return nil, Refuse(core.CodeBadRequest, "parse", "%v", err)
	}
	call, err := s.baseCall(r, t)
	if err != nil {
		return nil, err
	}
	mode := r.Header.Get(HeaderHistory)
	if mode != "" && mode != historyAppend && mode != historyFull {
		return nil, Refuse(core.CodeBadRequest, "parse", "header %s is %q, expected %q or %q", HeaderHistory, mode, historyAppend, historyFull)
	}
	call.Kind = core.KindModel
	call.Model = chat.Model
	call.Adapter = chat.Adapter
	call.MaxTokens = chat.MaxTokens
	if call.MaxTokens == 0 {
		call.MaxTokens = s.opt.DefaultMaxTokens
	}
	call.Stream = chat.Stream
	call.Digest = xxhash.Sum64(body)
	history := core.ProgramID("")
	if mode == historyAppend {
		history = t.Program
	}
	call.Fingerprint = fingerprint(call, chat.Content(history))
	call.PromptTokens = estimateTokens(chat.Messages...)
	if id, tokens := chat.SharedPrefix(); tokens > 0 {
		call.SharedPrefix = "s-" + strconv.FormatUint(id, 16)
		call.SharedTokens = tokens
	}
	return &CallRequest{Call: call, Parent: t.Parent, Target: t.Program, Implicit: t.Implicit, Append: mode == historyAppend, Chat: chat}, nil
}

// fingerprint returns the number that stands for a call over its retries. The callers of
// this interface are authenticated, so the caller is a single one.
func fingerprint(call core.Call, c identity.Content) uint64 {
	return identity.Request{Content: c, Caller: identity.SingleCaller([]byte(call.Caller))}.Fingerprint()
}

// parseServiceCall builds the call of a request to a plain service.
func (s *Server) parseServiceCall(r *http.Request, t Target, service, operation string, body []byte) (*CallRequest, error) {
	call, err := s.baseCall(r, t)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 && !json.Valid(body) {
		return nil, Refuse(core.CodeBadRequest, "parse", "body of service call %s/%s is not JSON", service, operation)
	}
	if s.opt.Backend.NonIdempotent(service, operation) && !t.KeyGiven {
		return nil, Refuse(core.CodeBadRequest, "parse", "operation %s/%s must run at most once: header %s is required", service, operation, HeaderKey)
	}
	call.Kind = core.KindService
	call.Service = service
	call.Operation = operation
	call.Request = body
	call.Digest = xxhash.Sum64String(service + "/" + operation + "\x00" + string(body))
	call.Fingerprint = fingerprint(call, identity.NewContent([]byte(service), []byte(operation), body))
	return &CallRequest{Call: call, Parent: t.Parent, Target: t.Program, Implicit: t.Implicit, Body: body}, nil
}

type callerKey struct{}

// WithForwardedCaller marks a request that another entry has authenticated.
func WithForwardedCaller(ctx context.Context, caller string) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

func forwardedCaller(ctx context.Context) (string, bool) {
	name, ok := ctx.Value(callerKey{}).(string)
	return name, ok
}
