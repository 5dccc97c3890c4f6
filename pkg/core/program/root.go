package program

import (
	"maps"
	"slices"
	"time"
)

// Turn is a completed call in the history of a program.
type Turn struct {
	Number       int       `json:"number"` // from 1
	Seq          uint64    `json:"seq"`    // journal position of its record
	Attempt      string    `json:"attempt"`
	Caller       string    `json:"caller,omitempty"`
	Key          string    `json:"key,omitempty"`
	Digest       uint64    `json:"digest,omitempty"`
	Request      []byte    `json:"request,omitempty"`
	Answer       []byte    `json:"answer,omitempty"`
	Status       int       `json:"status"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"`
	OutputTokens int64     `json:"output_tokens"`
	FinishReason string    `json:"finish_reason,omitempty"`
	Service      string    `json:"service,omitempty"`
	Operation    string    `json:"operation,omitempty"`
	At           time.Time `json:"at"`
}

// Key identifies an idempotency record within a root program.
type Key struct{ Caller, Key string }

// KeyState is the state of an idempotency record.
type KeyState uint8

// The states of an idempotency record.
const (
	KeyClaimed        KeyState = iota + 1 // claim durable before dispatch, outcome not known yet
	KeyAnswered                           // completed, the turn holds the answer
	KeyOutcomeUnknown                     // the outcome cannot be determined, the call is never repeated
)

// KeyRecord is the idempotency record of a call with a key.
type KeyRecord struct {
	State     KeyState
	Member    string // program that made the call
	Digest    uint64
	Attempt   string
	Upstream  string
	Retained  bool   // the claim is known from a retained batch only, not from the store; not encoded
	Sidecar   string // incarnation of the sidecar chosen for the attempt
	Service   string
	Operation string
	Request   []byte
	Turn      int    // number of the turn in the member's history, for KeyAnswered
	Seq       uint64 // journal position of the last record
	Forfeited Amount // amount counted as spent, for KeyOutcomeUnknown
}

// Member is a root program or one of its children.
type Member struct {
	ID         string
	Parent     string
	Profile    string
	Opened     time.Time
	LastActive time.Time
	EndedAt    time.Time // zero while the program is alive
	SingleCall bool      // opened for a call that names no program, ends with that call
	OpenKey    string    // idempotency key of the request that opened it
	Seq        uint64    // journal position of the record that opened or ended it
	NextChild  int
	History    []Turn
	Pins       map[string]time.Time // by upstream, the time until which its cache is pinned
}

// Alive reports whether the program has not ended.
func (m *Member) Alive() bool { return m.EndedAt.IsZero() }

// Root is the state of a root program and its descendants, to which the journal
// records of the root program are applied in order.
type Root struct {
	ID     string
	Caller string
	Epoch  uint64 // epoch of the last applied record
	Seq    uint64 // journal position of the last applied record
	Calls  int    // number of completed calls
	// Attained is the attained service of all members in tokens: prompt tokens
	// that were not cached, plus generated tokens.
	Attained int64
	Ledger   Ledger
	Members  map[string]*Member
	Keys     map[Key]*KeyRecord
}

// NewRoot returns a root program without members.
func NewRoot(id, caller string) *Root {
	return &Root{ID: id, Caller: caller, Members: make(map[string]*Member, 1)}
}

// Advance reports whether the record at a position has not been applied yet, and
// then advances to this position.
func (r *Root) Advance(epoch, seq uint64) bool {
	if epoch < r.Epoch || epoch == r.Epoch && seq <= r.Seq {
		return false
	}
	r.Epoch, r.Seq = epoch, seq
	return true
}

// AddMember adds a member, or replaces the one with the same id.
func (r *Root) AddMember(m *Member) {
	_, exists := r.Members[m.ID]
	r.Members[m.ID] = m
	if exists {
		return
	}
	if p := r.Members[m.Parent]; p != nil {
		p.NextChild++
	}
}

// LiveSubtree returns those of a member and its descendants that have not ended,
// sorted by id.
func (r *Root) LiveSubtree(id string) []*Member {
	var out []*Member
	for _, k := range slices.Sorted(maps.Keys(r.Members)) {
		m := r.Members[k]
		if m.Alive() && (k == id || len(k) > len(id) && k[:len(id)] == id && k[len(id)] == '~') {
			out = append(out, m)
		}
	}
	return out
}

// Children returns the number of descendants of the root that have not ended.
func (r *Root) Children() int {
	n := 0
	for _, m := range r.Members {
		if m.Parent != "" && m.Alive() {
			n++
		}
	}
	return n
}

// Touch sets the time of the last activity of a member and its ancestors.
func (r *Root) Touch(m *Member, now time.Time) {
	for m != nil {
		if now.After(m.LastActive) {
			m.LastActive = now
		}
		m = r.Members[m.Parent]
	}
}

// Record returns the idempotency record of a key.
func (r *Root) Record(k Key) (*KeyRecord, bool) {
	rec, ok := r.Keys[k]
	return rec, ok
}

// OpenClaim records that an attempt of the call with a key may be dispatched, and
// reserves its budget. It replaces a claim of another attempt, which never ran.
func (r *Root) OpenClaim(k Key, rec KeyRecord, reserved Amount) {
	if old, ok := r.Keys[k]; ok && old.Attempt != rec.Attempt {
		r.Ledger.Release(old.Attempt)
	}
	rec.State = KeyClaimed
	r.setKeyRecord(k, &rec)
	r.Ledger.Reserve(rec.Attempt, reserved, true)
}

// ReleaseClaim removes a claim whose attempt never ran, so that the key can be used
// again, and releases its budget.
func (r *Root) ReleaseClaim(k Key, attempt string) {
	if rec, ok := r.Keys[k]; ok && rec.State == KeyClaimed && rec.Attempt == attempt {
		delete(r.Keys, k)
	}
	r.Ledger.Release(attempt)
}

// MarkClaimUnknown closes a claim whose outcome cannot be determined and forfeits
// its reservation.
func (r *Root) MarkClaimUnknown(k Key, attempt string, seq uint64) {
	if rec, ok := r.Keys[k]; ok && rec.State == KeyClaimed && rec.Attempt == attempt {
		rec.State, rec.Seq = KeyOutcomeUnknown, seq
		rec.Forfeited = r.Ledger.Forfeit(attempt)
	}
}

// CompleteCall adds a turn to the history of a member, settles its attempt and, if
// the call has a key, records the answer under it. It reports false, and adds
// nothing, if the key already has an answer.
func (r *Root) CompleteCall(m *Member, k Key, t Turn, used Amount) bool {
	if rec, ok := r.Keys[k]; k.Key != "" && ok {
		switch rec.State {
		case KeyAnswered:
			r.Ledger.Release(t.Attempt)
			return false
		case KeyOutcomeUnknown:
			r.Ledger.ReplaceForfeited(rec.Forfeited, used)
		default:
			r.Ledger.Settle(t.Attempt, used)
		}
	} else {
		r.Ledger.Settle(t.Attempt, used)
	}
	t.Number = len(m.History) + 1
	m.History = append(m.History, t)
	r.Attained += t.PromptTokens - t.CachedTokens + t.OutputTokens
	r.Calls++
	if k.Key != "" {
		r.setKeyRecord(k, &KeyRecord{
			State: KeyAnswered, Member: m.ID, Digest: t.Digest, Attempt: t.Attempt,
			Service: t.Service, Operation: t.Operation, Turn: t.Number, Seq: t.Seq,
		})
	}
	return true
}

func (r *Root) setKeyRecord(k Key, rec *KeyRecord) {
	if r.Keys == nil {
		r.Keys = make(map[Key]*KeyRecord)
	}
	r.Keys[k] = rec
}

// RemoveMember removes an ended member and the idempotency records of its calls.
func (r *Root) RemoveMember(id string) {
	delete(r.Members, id)
	for k, rec := range r.Keys {
		if rec.Member == id {
			delete(r.Keys, k)
		}
	}
}

// SortedKeys returns the keys of the idempotency records, sorted by caller and key.
func (r *Root) SortedKeys() []Key {
	return slices.SortedFunc(maps.Keys(r.Keys), func(a, b Key) int {
		if a.Caller != b.Caller {
			if a.Caller < b.Caller {
				return -1
			}
			return 1
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
}

// ResetPositions marks everything as durable, once the records of an earlier owner
// have been applied. Positions in that owner's journal have no meaning in the
// journal of the new owner.
func (r *Root) ResetPositions() {
	for _, m := range r.Members {
		m.Seq = 0
		for i := range m.History {
			m.History[i].Seq = 0
		}
	}
	for _, rec := range r.Keys {
		rec.Seq = 0
	}
}
