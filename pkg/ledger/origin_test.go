package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

func usageWithOrigin(attempt uint64, tokens uint32, settled bool, version string, revision uint32) *peerv1.Usage {
	u := &peerv1.Usage{Program: "p", Attempt: attempt, Tokens: tokens, Settled: settled, RetentionMs: 60_000}
	if version != "" {
		u.Origin = &peerv1.Origin{Service: "llm", Version: version, Revision: revision}
	}
	return u
}

// Guards against the origin of a stream that is lost, or that an older one replaces, when
// versions of its usage record arrive in any order or without an origin (issue 29).
func TestOriginSurvivesMerge(t *testing.T) {
	versions := []*peerv1.Usage{
		usageWithOrigin(1, 140, false, "v1", 1),
		usageWithOrigin(1, 140, false, "v2", 2),
		usageWithOrigin(1, 28, true, "", 0),
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		s := NewState()
		for _, i := range order {
			s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: versions[i]}}, time.Unix(1, 0))
		}
		list := s.Usage("p", 1, startTime)
		if len(list) != 1 || list[0].GetOrigin().GetVersion() != "v2" || list[0].GetTokens() != 28 || !list[0].GetSettled() {
			t.Errorf("order %v: %v", order, list)
		}
		if merged := MergeUsage([]*peerv1.Usage{versions[order[0]]}, []*peerv1.Usage{versions[order[1]]}, []*peerv1.Usage{versions[order[2]]})[1]; merged.GetOrigin().GetVersion() != "v2" {
			t.Errorf("order %v: merged to %v", order, merged)
		}
	}
}

// Guards against a process that believes to have a record, although its copy has another
// origin, and against origins in every reply about a program (issue 29).
func TestOriginInDigestAndReply(t *testing.T) {
	record := func(u *peerv1.Usage) *peerv1.LedgerRecord {
		return &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}}
	}
	seen := make(map[uint64]int)
	for i, u := range []*peerv1.Usage{
		usageWithOrigin(1, 5, true, "", 0), usageWithOrigin(1, 5, true, "v1", 1),
		usageWithOrigin(1, 5, true, "v2", 1), usageWithOrigin(1, 5, true, "v1", 2),
	} {
		d := Digest(record(u))
		if j, ok := seen[d]; ok {
			t.Errorf("records %d and %d have the same digest", j, i)
		}
		seen[d] = i
	}
	s := NewState()
	s.Apply(record(usageWithOrigin(1, 0, true, "v1", 1)), time.Unix(1, 0))
	s.Apply(record(usageWithOrigin(2, 7, true, "v1", 1)), time.Unix(1, 0))
	for _, u := range s.Usage("p", 1, startTime) {
		if hasOrigin := u.GetOrigin() != nil; hasOrigin != (u.GetAttempt() == 1) {
			t.Errorf("reply about attempt 1 has %v", u)
		}
	}
	if list := s.Usage("p", 0, startTime); len(list) != 1 || list[0].GetOrigin() != nil {
		t.Errorf("reply about no attempt: %v", list)
	}
}

// BenchmarkOrigin measures what the origin of a stream adds to its usage record: bytes in
// a message and on disk, and memory of a storage process.
func BenchmarkOrigin(b *testing.B) {
	const streams = 100_000
	for name, version := range map[string]string{"with": "v1.2", "without": ""} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := NewState()
				size := 0
				for i := range streams {
					u := usageWithOrigin(uint64(i), 140, true, version, 1)
					u.Program = fmt.Sprint("program ", i/7)
					data, err := proto.Marshal(u)
					if err != nil {
						b.Fatal(err)
					}
					size += len(data)
					stored := &peerv1.Usage{}
					if err := proto.Unmarshal(data, stored); err != nil {
						b.Fatal(err)
					}
					s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: stored}}, time.Unix(1, 0))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(size)/streams, "bytes/record")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "heap/stream")
				runtime.KeepAlive(s)
			}
		})
	}
}
