// Package journal keeps the log of an entry incarnation in the object store:
// record encoding, group commit, seal, checkpoint and recovery. The objects
// journal/<incarnation>/<number> are created with the condition that they do
// not exist, so that a successor's seal stops the appends of a paused owner.
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
	// MaxObjectBytes bounds a compressed object. The store takes 1 MB; the
	// rest leaves room for the writer token and for other stores' overhead.
	MaxObjectBytes = 900_000
	// maxRawBytes bounds the records of one object before compression, and so
	// the memory that decoding takes.
	maxRawBytes = 4 << 20
	// fragmentBytes is the size of the pieces of a record that is too large
	// for one object. A piece fits an object even if it cannot be compressed.
	fragmentBytes = 850_000
	// maxDecodedBytes guards the decoder against objects that expand without
	// bound.
	maxDecodedBytes = 2 * maxRawBytes
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(2)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(2)))
)

// The first call creates the encoder's pool. A pool that is created inside a
// synctest bubble cannot be used outside of it.
func init() { must(decoder.DecodeAll(encoder.EncodeAll([]byte("x"), nil), nil)) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the compressed form of an object.
func Encode(o *peerv1.JournalObject) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(o)
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	return encoder.EncodeAll(raw, make([]byte, 0, len(raw)/3+64)), nil
}

// Decode reads the compressed form of an object.
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

// kindFragment marks a piece of a large record: Turn is the position from 1,
// Reserved the number of pieces and State the piece of the encoded record.
const kindFragment = "fragment"

// ToProto returns the stored form of a record.
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

// FromProto returns the record of a stored form.
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

// fragments divides a record that is larger than maxRawBytes can carry safely.
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

// assembler turns stored records into records and joins fragments. A record
// whose last fragment is missing was never acknowledged and is dropped.
type assembler struct {
	out     []core.Record
	partial []byte
	next    int64 // position of the next fragment; 0 outside of a record
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
