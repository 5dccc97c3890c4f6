package ledger

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

// BenchmarkOpenStore measures how long a storage process needs at its start until it knows its
// records: those of 8,000 turns, each with three usage records. Nobody can reserve tokens
// meanwhile if all storage processes start at the same moment.
func BenchmarkOpenStore(b *testing.B) {
	const turns = 8000
	dir := b.TempDir()
	logger := slog.New(slog.DiscardHandler)
	l, err := OpenLog(durable.OS{}, dir, logger, time.Unix(0, 0), func(int, *peerv1.LedgerRecord) {})
	if err != nil {
		b.Fatal(err)
	}
	var recs []*peerv1.LedgerRecord
	for i := range turns {
		u := &peerv1.Usage{Program: fmt.Sprintf("%014x", i/4), Attempt: uint64(i) << 20, Tokens: 289, RetentionMs: 60000, Leased: true, Revision: 1}
		confirmed := &peerv1.Usage{Program: u.Program, Attempt: u.Attempt, Tokens: 289, RetentionMs: 60000}
		settled := &peerv1.Usage{Program: u.Program, Attempt: u.Attempt, Tokens: 70, RetentionMs: 60000, Settled: true}
		turn := &peerv1.TurnRecord{
			Id: fmt.Sprintf("%016x", i), Parent: fmt.Sprintf("%016x", i-1), RetentionMs: 60000,
			Input: bytes.Repeat([]byte{'i'}, 500), Output: bytes.Repeat([]byte{'o'}, 500),
		}
		recs = append(recs, usageOf(u), usageOf(confirmed), &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: turn}}, usageOf(settled))
	}
	if err := l.Append(recs, time.Unix(0, 0)); err != nil {
		b.Fatal(err)
	}
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := OpenStoreOn(durable.OS{}, dir, logger); err != nil {
			b.Fatal(err)
		}
	}
}

func usageOf(u *peerv1.Usage) *peerv1.LedgerRecord {
	return &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}}
}
