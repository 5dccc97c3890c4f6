// Package journal stores the log of an entry incarnation in the object store. It
// implements record encoding, group commit, seal, checkpoint and recovery. Each
// object journal/<incarnation>/<number> is created on the condition that it does
// not exist, so that a successor's seal makes the appends of a paused owner fail.
package journal

import (
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// MaxObjectBytes limits a compressed object. The store accepts 1 MB; the
	// difference is reserved for the writer token and the overhead of other
	// stores.
	MaxObjectBytes = 900_000
	// maxRawBytes limits the records of one object before compression, and
	// thereby the memory that decoding needs.
	maxRawBytes = 4 << 20
	// fragmentBytes is the size of a fragment of a record that is too large for
	// one object. A fragment fits into an object even if it is incompressible.
	fragmentBytes = 850_000
	// maxDecodedBytes limits the decompressed size of an object, so that a
	// corrupt object cannot exhaust the memory.
	maxDecodedBytes = 2 * maxRawBytes
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(2)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(2)))
)

// The first encoder call creates its pool. It happens here because a pool that is
// created inside a synctest bubble cannot be used outside of it.
func init() { must(decoder.DecodeAll(encoder.EncodeAll([]byte("x"), nil), nil)) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode serializes and compresses an object.
func Encode(o *peerv1.JournalObject) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(o)
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	return encoder.EncodeAll(raw, make([]byte, 0, len(raw)/3+64)), nil
}

// Decode decompresses and parses an object.
func Decode(data []byte) (*peerv1.JournalObject, error) {
	raw, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "journal: decompress")
	}
	o := new(peerv1.JournalObject)
	if err := proto.Unmarshal(raw, o); err != nil {
		return nil, errors.Wrap(err, "journal: decode")
	}
	return o, nil
}

// kindFragment is the kind of a stored record that holds a fragment of a large
// one. Turn is the position of the fragment from 1, Reserved the number of
// fragments and State the fragment of the encoded record.
const kindFragment = "fragment"

// ToProto converts a record to its stored form.
func ToProto(r *core.Record) *peerv1.Record {
	p := &peerv1.Record{
		Kind: string(r.Kind), Slot: uint32(r.Slot), Epoch: uint64(r.Epoch), Seq: uint64(r.Seq),
		Program: string(r.Program), Parent: string(r.Parent), Caller: r.Caller, Profile: r.Profile,
		Key: r.Key, Digest: r.Digest, Attempt: string(r.Attempt), Upstream: string(r.Upstream),
		Service: r.Service, Operation: r.Operation, CallKind: string(r.KindOfCall), Request: r.Request,
		Ran: string(r.Ran), Reserved: r.Reserved, SpendMicro: r.SpendMicro, Turn: int64(r.Turn),
		State: r.State,
	}
	if !r.At.IsZero() {
		p.AtUnixNs = r.At.UnixNano()
	}
	if a := r.Answer; a != nil {
		p.Answer = &peerv1.Answer{
			Body: a.Body, Status: int32(a.Status), PromptTokens: a.PromptTokens,
			CachedTokens: a.CachedTokens, OutputTokens: a.OutputTokens, FinishReason: a.FinishReason,
		}
	}
	return p
}

// FromProto converts a record from its stored form.
func FromProto(p *peerv1.Record) (core.Record, error) {
	if p.Slot > 0xffff {
		return core.Record{}, fmt.Errorf("journal: record of program %q has slot %d", p.Program, p.Slot)
	}
	r := core.Record{
		Kind: core.RecordKind(p.Kind), Slot: core.Slot(p.Slot), Epoch: core.Epoch(p.Epoch), Seq: core.Seq(p.Seq),
		Program: core.ProgramID(p.Program), Parent: core.ProgramID(p.Parent), Caller: p.Caller, Profile: p.Profile,
		Key: p.Key, Digest: p.Digest, Attempt: core.AttemptID(p.Attempt), Upstream: core.UpstreamID(p.Upstream),
		Service: p.Service, Operation: p.Operation, KindOfCall: core.CallKind(p.CallKind), Request: p.Request,
		Ran: core.Ran(p.Ran), Reserved: p.Reserved, SpendMicro: p.SpendMicro, Turn: int(p.Turn),
		State: p.State,
	}
	if p.AtUnixNs != 0 {
		r.At = time.Unix(0, p.AtUnixNs).UTC()
	}
	if a := p.Answer; a != nil {
		r.Answer = &core.Answer{
			Body: a.Body, Status: int(a.Status), PromptTokens: a.PromptTokens,
			CachedTokens: a.CachedTokens, OutputTokens: a.OutputTokens, FinishReason: a.FinishReason,
		}
	}
	return r, nil
}

// fragments splits a record that is larger than fragmentBytes.
func fragments(p *peerv1.Record) ([]*peerv1.Record, error) {
	raw, err := proto.Marshal(p)
	if err != nil {
		return nil, errors.Wrapf(err, "journal: encode record of program %s", p.Program)
	}
	n := (len(raw) + fragmentBytes - 1) / fragmentBytes
	out := make([]*peerv1.Record, 0, n)
	for i := range n {
		out = append(out, &peerv1.Record{
			Kind: kindFragment, Slot: p.Slot, Epoch: p.Epoch, Seq: p.Seq, Program: p.Program,
			Turn: int64(i + 1), Reserved: int64(n),
			State: raw[i*fragmentBytes : min((i+1)*fragmentBytes, len(raw))],
		})
	}
	return out, nil
}

// assembler converts stored records and joins fragments. A record whose last
// fragment is missing was never acknowledged, so the assembler drops it.
type assembler struct {
	out     []core.Record
	partial []byte
	next    int64 // expected position of the next fragment; 0 if no record is incomplete
	first   *peerv1.Record
}

func (a *assembler) add(recs []*peerv1.Record) error {
	for _, p := range recs {
		if p.Kind != kindFragment {
			a.partial, a.next, a.first = nil, 0, nil
			r, err := FromProto(p)
			if err != nil {
				return err
			}
			a.out = append(a.out, r)
			continue
		}
		if p.Turn == 1 {
			a.partial, a.next, a.first = nil, 1, p
		}
		if a.first == nil || p.Turn != a.next || p.Program != a.first.Program || p.Seq != a.first.Seq || p.Reserved != a.first.Reserved {
			return fmt.Errorf("journal: fragment %d of %d of program %q is out of order", p.Turn, p.Reserved, p.Program)
		}
		a.partial = append(a.partial, p.State...)
		a.next++
		if p.Turn < p.Reserved {
			continue
		}
		joined := new(peerv1.Record)
		if err := proto.Unmarshal(a.partial, joined); err != nil {
			return errors.Wrapf(err, "journal: joined record of program %q", p.Program)
		}
		a.partial, a.next, a.first = nil, 0, nil
		if joined.Kind == kindFragment {
			return fmt.Errorf("journal: joined record of program %q is a fragment", p.Program)
		}
		r, err := FromProto(joined)
		if err != nil {
			return err
		}
		a.out = append(a.out, r)
	}
	return nil
}
