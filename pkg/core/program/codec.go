package program

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// The state is stored in the protobuf wire format, so that a newer version may add
// fields that an older one skips. Field numbers must never be reused.

// maxTurns limits the length of a decoded history, in case the input is corrupt.
const maxTurns = 1 << 20

var errCorrupt = errors.New("corrupt program state")

type encoder struct{ b []byte }

func (e *encoder) uint(n protowire.Number, v uint64) {
	if v != 0 {
		e.b = protowire.AppendTag(e.b, n, protowire.VarintType)
		e.b = protowire.AppendVarint(e.b, v)
	}
}

func (e *encoder) int(n protowire.Number, v int64) { e.uint(n, protowire.EncodeZigZag(v)) }

func (e *encoder) bytes(n protowire.Number, v []byte) {
	if len(v) > 0 {
		e.b = protowire.AppendTag(e.b, n, protowire.BytesType)
		e.b = protowire.AppendBytes(e.b, v)
	}
}

func (e *encoder) string(n protowire.Number, v string) { e.bytes(n, []byte(v)) }

func (e *encoder) time(n protowire.Number, t time.Time) {
	if !t.IsZero() {
		e.int(n, t.UnixNano())
	}
}

// message appends an embedded message, even if it is empty.
func (e *encoder) message(n protowire.Number, fill func(*encoder)) {
	var sub encoder
	fill(&sub)
	e.b = protowire.AppendTag(e.b, n, protowire.BytesType)
	e.b = protowire.AppendBytes(e.b, sub.b)
}

func (e *encoder) amount(n protowire.Number, a Amount) {
	e.message(n, func(e *encoder) {
		e.int(1, a.Tokens)
		e.int(2, a.Calls)
		e.int(3, a.Spend)
	})
}

// field is a decoded field: its number n and, depending on its wire type, the
// varint v or the bytes b.
type field struct {
	n protowire.Number
	v uint64
	b []byte
}

func (f field) int() int64      { return protowire.DecodeZigZag(f.v) }
func (f field) string() string  { return string(f.b) }
func (f field) time() time.Time { return time.Unix(0, f.int()).UTC() }
func (f field) bytes() []byte   { return slices.Clone(f.b) }

// decode calls handle for each field of a message. It skips fields of wire types
// that this package does not write.
func decode(b []byte, handle func(field) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%w: invalid tag", errCorrupt)
		}
		b = b[n:]
		f := field{n: num}
		switch typ {
		case protowire.VarintType:
			f.v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.b, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
			f.n = 0
		}
		if n < 0 {
			return fmt.Errorf("%w: invalid value of field %d", errCorrupt, num)
		}
		b = b[n:]
		if f.n == 0 {
			continue
		}
		if err := handle(f); err != nil {
			return err
		}
	}
	return nil
}

func decodeAmount(b []byte) (a Amount, err error) {
	err = decode(b, func(f field) error {
		switch f.n {
		case 1:
			a.Tokens = f.int()
		case 2:
			a.Calls = f.int()
		case 3:
			a.Spend = f.int()
		}
		return nil
	})
	return a, err
}

// Encode returns the state in wire format, without the histories of the members and
// without Epoch and Seq, which the journal record carries.
func (r *Root) Encode() []byte {
	var e encoder
	e.string(1, r.ID)
	e.string(2, r.Caller)
	e.int(3, int64(r.Calls))
	e.int(4, r.Attained)
	e.amount(5, r.Ledger.spent)
	for _, attempt := range slices.Sorted(maps.Keys(r.Ledger.reservations)) {
		res := r.Ledger.reservations[attempt]
		e.message(6, func(e *encoder) {
			e.string(1, attempt)
			e.amount(2, res.amount)
			if res.claim {
				e.uint(3, 1)
			}
		})
	}
	for _, id := range slices.Sorted(maps.Keys(r.Members)) {
		e.message(7, r.Members[id].encode)
	}
	for _, k := range r.SortedKeys() {
		e.message(8, func(e *encoder) { r.Keys[k].encode(e, k) })
	}
	return e.b
}

func (m *Member) encode(e *encoder) {
	e.string(1, m.ID)
	e.string(2, m.Parent)
	e.string(3, m.Profile)
	e.time(4, m.Opened)
	e.time(5, m.LastActive)
	e.time(6, m.EndedAt)
	if m.SingleCall {
		e.uint(7, 1)
	}
	e.string(8, m.OpenKey)
	e.uint(9, m.Seq)
	e.int(10, int64(m.NextChild))
	for _, u := range slices.Sorted(maps.Keys(m.Pins)) {
		e.message(11, func(e *encoder) {
			e.string(1, u)
			e.time(2, m.Pins[u])
		})
	}
}

func (rec *KeyRecord) encode(e *encoder, k Key) {
	e.string(1, k.Caller)
	e.string(2, k.Key)
	e.uint(3, uint64(rec.State))
	e.string(4, rec.Member)
	e.uint(5, rec.Digest)
	e.string(6, rec.Attempt)
	e.string(7, rec.Upstream)
	e.string(8, rec.Service)
	e.string(9, rec.Operation)
	e.bytes(10, rec.Request)
	e.int(11, int64(rec.Turn))
	e.uint(12, rec.Seq)
	e.amount(13, rec.Forfeited)
	e.string(14, rec.Sidecar)
}

// Decode decodes the output of Encode.
func Decode(b []byte) (*Root, error) {
	r := NewRoot("", "")
	err := decode(b, func(f field) (err error) {
		switch f.n {
		case 1:
			r.ID = f.string()
		case 2:
			r.Caller = f.string()
		case 3:
			r.Calls = int(f.int())
		case 4:
			r.Attained = f.int()
		case 5:
			r.Ledger.spent, err = decodeAmount(f.b)
		case 6:
			err = r.decodeReservation(f.b)
		case 7:
			var m *Member
			if m, err = decodeMember(f.b); err == nil {
				r.Members[m.ID] = m
			}
		case 8:
			err = r.decodeKey(f.b)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if r.ID == "" || r.Members[r.ID] == nil {
		return nil, fmt.Errorf("%w: root program is missing", errCorrupt)
	}
	return r, nil
}

func (r *Root) decodeReservation(b []byte) error {
	var attempt string
	var amount Amount
	var claim bool
	err := decode(b, func(f field) (err error) {
		switch f.n {
		case 1:
			attempt = f.string()
		case 2:
			amount, err = decodeAmount(f.b)
		case 3:
			claim = f.v != 0
		}
		return err
	})
	if err == nil {
		r.Ledger.Reserve(attempt, amount, claim)
	}
	return err
}

func decodeMember(b []byte) (*Member, error) {
	m := &Member{}
	err := decode(b, func(f field) error {
		switch f.n {
		case 1:
			m.ID = f.string()
		case 2:
			m.Parent = f.string()
		case 3:
			m.Profile = f.string()
		case 4:
			m.Opened = f.time()
		case 5:
			m.LastActive = f.time()
		case 6:
			m.EndedAt = f.time()
		case 7:
			m.SingleCall = f.v != 0
		case 8:
			m.OpenKey = f.string()
		case 9:
			m.Seq = f.v
		case 10:
			m.NextChild = int(f.int())
		case 11:
			var upstream string
			var until time.Time
			err := decode(f.b, func(f field) error {
				switch f.n {
				case 1:
					upstream = f.string()
				case 2:
					until = f.time()
				}
				return nil
			})
			if err != nil {
				return err
			}
			if m.Pins == nil {
				m.Pins = make(map[string]time.Time)
			}
			m.Pins[upstream] = until
		}
		return nil
	})
	return m, err
}

func (r *Root) decodeKey(b []byte) error {
	var k Key
	rec := &KeyRecord{}
	err := decode(b, func(f field) (err error) {
		switch f.n {
		case 1:
			k.Caller = f.string()
		case 2:
			k.Key = f.string()
		case 3:
			rec.State = KeyState(f.v)
		case 4:
			rec.Member = f.string()
		case 5:
			rec.Digest = f.v
		case 6:
			rec.Attempt = f.string()
		case 7:
			rec.Upstream = f.string()
		case 8:
			rec.Service = f.string()
		case 9:
			rec.Operation = f.string()
		case 10:
			rec.Request = f.bytes()
		case 11:
			rec.Turn = int(f.int())
		case 12:
			rec.Seq = f.v
		case 13:
			rec.Forfeited, err = decodeAmount(f.b)
		case 14:
			rec.Sidecar = f.string()
		}
		return err
	})
	if err != nil {
		return err
	}
	if rec.State < KeyClaimed || rec.State > KeyOutcomeUnknown {
		return fmt.Errorf("%w: invalid key state %d", errCorrupt, rec.State)
	}
	r.setKeyRecord(k, rec)
	return nil
}

// EncodeTurns returns consecutive turns of one member in wire format.
func EncodeTurns(turns []Turn) []byte {
	var e encoder
	for i := range turns {
		e.message(1, turns[i].encode)
	}
	return e.b
}

func (t *Turn) encode(e *encoder) {
	e.int(1, int64(t.Number))
	e.uint(2, t.Seq)
	e.string(3, t.Attempt)
	e.string(4, t.Caller)
	e.string(5, t.Key)
	e.uint(6, t.Digest)
	e.bytes(7, t.Request)
	e.bytes(8, t.Answer)
	e.int(9, int64(t.Status))
	e.int(10, t.PromptTokens)
	e.int(11, t.CachedTokens)
	e.int(12, t.OutputTokens)
	e.string(13, t.FinishReason)
	e.string(14, t.Service)
	e.string(15, t.Operation)
	e.time(16, t.At)
}

// DecodeTurns decodes the output of EncodeTurns. It fails if the turn numbers are
// not consecutive.
func DecodeTurns(b []byte) ([]Turn, error) {
	var turns []Turn
	err := decode(b, func(f field) error {
		if f.n != 1 {
			return nil
		}
		t, err := decodeTurn(f.b)
		if err != nil {
			return err
		}
		if n := len(turns); n >= maxTurns || t.Number < 1 || n > 0 && t.Number != turns[n-1].Number+1 {
			return fmt.Errorf("%w: turn number %d is out of sequence", errCorrupt, t.Number)
		}
		turns = append(turns, t)
		return nil
	})
	return turns, err
}

func decodeTurn(b []byte) (t Turn, err error) {
	err = decode(b, func(f field) error {
		switch f.n {
		case 1:
			t.Number = int(f.int())
		case 2:
			t.Seq = f.v
		case 3:
			t.Attempt = f.string()
		case 4:
			t.Caller = f.string()
		case 5:
			t.Key = f.string()
		case 6:
			t.Digest = f.v
		case 7:
			t.Request = f.bytes()
		case 8:
			t.Answer = f.bytes()
		case 9:
			t.Status = int(f.int())
		case 10:
			t.PromptTokens = f.int()
		case 11:
			t.CachedTokens = f.int()
		case 12:
			t.OutputTokens = f.int()
		case 13:
			t.FinishReason = f.string()
		case 14:
			t.Service = f.string()
		case 15:
			t.Operation = f.string()
		case 16:
			t.At = f.time()
		}
		return nil
	})
	return t, err
}
