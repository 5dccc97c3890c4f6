package journal

import (
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// batch is a journal object that is not known to be committed. Its number and
// payload never change, because members of the retention set may hold a copy.
type batch struct {
	object    uint64
	payload   []byte
	seq       core.Seq // highest sequence number that is complete with this object
	retention []string // retention set that the object contains, if any
}

// toStored converts records to their stored forms, splits large ones into
// fragments and returns the encoded sizes in bytes.
func toStored(recs []core.Record) (out []*peerv1.Record, sizes []int, err error) {
	for i := range recs {
		p := ToProto(&recs[i])
		size := proto.Size(p)
		if size <= fragmentBytes {
			out, sizes = append(out, p), append(sizes, size)
			continue
		}
		parts, err := fragments(p)
		if err != nil {
			return nil, nil, err
		}
		for _, f := range parts {
			out, sizes = append(out, f), append(sizes, len(f.State)+128)
		}
	}
	return out, sizes, nil
}

// pack encodes records into consecutive objects of at most limit compressed
// bytes. newObject returns the next object of the log without its records.
func pack(recs []core.Record, limit int, newObject func() *peerv1.JournalObject) ([]packedObject, error) {
	unpacked, sizes, err := toStored(recs)
	if err != nil {
		return nil, err
	}
	var out []packedObject
	for len(unpacked) > 0 {
		n, rawBytes := 0, 0
		for n < len(unpacked) && (n == 0 || rawBytes+sizes[n] <= maxRawBytes) {
			rawBytes += sizes[n]
			n++
		}
		o := newObject()
		var payload []byte
		for {
			o.Records = unpacked[:n]
			if payload, err = Encode(o); err != nil {
				return nil, err
			}
			if len(payload) <= limit || n == 1 {
				break
			}
			n = (n + 1) / 2
		}
		out = append(out, packedObject{o, payload})
		unpacked, sizes = unpacked[n:], sizes[n:]
	}
	return out, nil
}

type packedObject struct {
	object  *peerv1.JournalObject
	payload []byte
}

// completeSeq returns the highest sequence number of the records that the object
// completes: whole records and last fragments.
func completeSeq(o *peerv1.JournalObject) core.Seq {
	var seq core.Seq
	for _, p := range o.Records {
		if p.Kind != kindFragment || p.Turn == p.Reserved {
			seq = max(seq, core.Seq(p.Seq))
		}
	}
	return seq
}
