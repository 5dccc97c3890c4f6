package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
)

// idBytes is the size of a random identifier in bytes.
const idBytes = 16

// NewID implements frontend.Backend.
func (n *Entry) NewID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// NewProgram implements frontend.Backend. It chooses a slot that this entry
// serves, so that calls that arrive here need no forwarding. An entry without
// slots chooses a slot owned in its region.
func (n *Entry) NewProgram() core.ProgramID {
	return core.NewProgramID(n.owner.slotForNewProgram(), n.NewID())
}

// NonIdempotent implements frontend.Backend. The operations of an unknown
// service are treated as non-idempotent.
func (n *Entry) NonIdempotent(service, operation string) bool {
	spec, ok := n.config.service(service)
	return !ok || slices.Contains(spec.NonIdempotent, operation)
}

// Owns implements frontend.Backend.
func (n *Entry) Owns(id core.ProgramID) bool { return n.owner.serves(id) }

// Open implements frontend.Backend.
func (n *Entry) Open(ctx context.Context, r frontend.OpenRequest) (core.ProgramID, error) {
	start := time.Now()
	call := core.CallID(n.NewID())
	p := &pendingCall{done: make(chan callResult, 1)}
	res := n.submit(ctx, call, p, core.ProgramOpened{
		At: now(), Call: call, ID: r.ID, Parent: r.Parent, Caller: r.Caller, Profile: r.Profile, Key: r.Key,
	})
	if res.refusal != nil {
		n.recordOutcome(report.ScopeProgram, r.Caller, r.Profile, r.ID, start, res.refusal)
		return "", &frontend.RefusalError{Refusal: *res.refusal}
	}
	return res.id, nil
}

// End implements frontend.Backend.
func (n *Entry) End(ctx context.Context, id core.ProgramID, caller string) error {
	st, _ := n.Program(ctx, id)
	call := core.CallID(n.NewID())
	p := &pendingCall{done: make(chan callResult, 1)}
	res := n.submit(ctx, call, p, core.ProgramEnded{At: now(), Call: call, ID: id, Caller: caller})
	if res.refusal != nil {
		return &frontend.RefusalError{Refusal: *res.refusal}
	}
	if st.Ended.IsZero() {
		n.recordOutcome(report.ScopeProgram, caller, st.Profile, id, st.Opened, nil)
	}
	return nil
}

// Call implements frontend.Backend.
func (n *Entry) Call(ctx context.Context, r *frontend.CallRequest, sink frontend.Sink) (frontend.Result, error) {
	start := time.Now()
	defer n.metrics.observeCall(start)
	if r.Implicit {
		if err := n.openImplicit(ctx, r); err != nil {
			return frontend.Result{}, err
		}
	}
	if r.Chat != nil {
		if err := n.setTurn(r); err != nil {
			return frontend.Result{}, err
		}
	}
	p := &pendingCall{req: r, done: make(chan callResult, 1)}
	if sink != nil {
		p.sinks = append(p.sinks, &latencySink{Sink: sink, n: n, start: start})
	}
	res := n.submit(ctx, r.Call.ID, p, core.CallArrived{At: now(), Call: r.Call})
	n.recordOutcome(report.ScopeCall, r.Call.Caller, r.Call.Profile, r.Target, start, res.refusal)
	if res.refusal != nil {
		return frontend.Result{}, &frontend.RefusalError{Refusal: *res.refusal}
	}
	n.traceCall(r, start, res.result)
	return res.result, nil
}

// openImplicit opens a program for a call that names none. The idempotency key
// is derived from the program ID, so a repeated call opens no second program.
func (n *Entry) openImplicit(ctx context.Context, r *frontend.CallRequest) error {
	_, err := n.Open(ctx, frontend.OpenRequest{
		ID: r.Call.Program, Caller: r.Call.Caller, Profile: r.Call.Profile, Key: "open:" + string(r.Call.Program),
	})
	return err
}

// setTurn computes the messages that the call adds to the chat history and the
// estimated length of the complete prompt.
func (n *Entry) setTurn(r *frontend.CallRequest) error {
	var turns []core.Turn
	ok := n.loop.withCore(func(c *core.Core) { turns = c.History(r.Target) })
	if !ok {
		return frontend.Refuse(core.CodeShuttingDown, "read history", "the entry instance is stopping")
	}
	if err := n.histories.SetTurn(r, turns); err != nil {
		return frontend.Refuse(core.CodeBadRequest, "read history", "%v", err)
	}
	return nil
}

// Program implements frontend.Backend.
func (n *Entry) Program(_ context.Context, id core.ProgramID) (core.ProgramStatus, bool) {
	var st core.ProgramStatus
	var found bool
	n.loop.withCore(func(c *core.Core) { st, found = c.Program(id) })
	return st, found
}

// Ready implements frontend.Backend.
func (n *Entry) Ready() error {
	if n.draining.Load() {
		return errors.New("draining")
	}
	if n.config.version() == 0 {
		return errors.New("no configuration in force")
	}
	if !n.owner.hasMap() {
		return errors.New("slot map not read")
	}
	return nil
}

// Status implements frontend.Backend.
func (n *Entry) Status(context.Context) any { return n.status() }

// Status is the status of an entry process, as the status command prints it.
type Status struct {
	Instance      string            `json:"instance"`
	Incarnation   core.Incarnation  `json:"incarnation"`
	Role          string            `json:"role"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failure_domain"`
	ConfigVersion uint64            `json:"config_version"`
	SlotsOwned    int               `json:"slots_owned"`
	SlotsVersion  uint64            `json:"slots_version"`
	SlotCount     int               `json:"slot_count"`
	Upstreams     int               `json:"upstreams_connected"`
	CallsPending  int               `json:"calls_pending"`
	Attempts      int               `json:"attempts_running"`
	Draining      bool              `json:"draining"`
	Peers         map[string]uint64 `json:"peer_config_versions"`
}

// Summary returns the status of this process.
func (n *Entry) Summary() Status { return n.status() }

func (n *Entry) status() Status {
	return Status{
		Instance:      n.cfg.Instance,
		Incarnation:   n.cfg.Incarnation,
		Role:          roleEntry,
		Region:        n.cfg.Region,
		FailureDomain: n.cfg.FailureDomain,
		ConfigVersion: n.config.version(),
		SlotsOwned:    n.owner.ownedCount(),
		SlotsVersion:  n.owner.mapVersion(),
		SlotCount:     n.owner.slotCount(),
		Upstreams:     n.peers.connectedUpstreams(),
		CallsPending:  n.calls.len(),
		Attempts:      n.attempts.len(),
		Draining:      n.draining.Load(),
		Peers:         n.config.peerVersions(),
	}
}

func (n *Entry) statusJSON(context.Context) []byte {
	out, err := json.Marshal(n.status())
	if err != nil {
		return []byte(`{}`)
	}
	return out
}
