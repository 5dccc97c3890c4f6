package journal

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// noise returns bytes that cannot be compressed.
func noise(rnd *rand.Rand, n int) []byte {
	out := make([]byte, 0, n+8)
	for len(out) < n {
		out = binary.LittleEndian.AppendUint64(out, rnd.Uint64())
	}
	return out[:n]
}

// Guards against a record that counts as durable before its last fragment is,
// and against a gap in the retained batches that is not reported.
func TestFragmentsAndGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		mem.SetFaults("a", objectapi.Faults{Delay: time.Second})
		r := run(t, mem, WriterOptions{})
		big := turn("p", 1)
		big.State = noise(rand.New(rand.NewPCG(1, 1)), 2_000_000)
		r.Append([]core.Record{big, turn("p", 2)})
		time.Sleep(2500 * time.Millisecond)
		if n := len(mem.Keys("journal/")); n != 2 || r.committed.Load() != 0 {
			t.Errorf("after %d objects committed %d, want 0", n, r.committed.Load())
		}
		time.Sleep(time.Second)
		r.stop()
		<-r.done
		recs := recoverLog(t, mem, "b.1")
		if wantSeqs(t, recs, 1, 2); string(recs[0].State) != string(big.State) {
			t.Error("the joined record differs")
		}
		payload, err := Encode(&peerv1.JournalObject{Incarnation: "a.1", Object: 6})
		if err != nil {
			t.Fatal(err)
		}
		var gap *GapError
		_, err = Recover(t.Context(), mem, "a.1", []*peerv1.Retain{{Incarnation: "a.1", Object: 6, Payload: payload}})
		if !errors.As(err, &gap) || gap.Missing != 4 {
			t.Errorf("Recover with a gap: %v", err)
		}
	})
}

// Guards against histories that mix or lose turns when many programs share the
// log, with random faults, sizes, checkpoints and records above the limit of an
// object.
func TestManyPrograms(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			mem := objectapi.NewMemory(objectapi.MemoryOptions{})
			r, links := withMembers(t, mem)
			want := map[core.ProgramID][]core.Record{"p": {turn("p", 1)}}
			seq := core.Seq(1)
			for range 60 {
				var batch []core.Record
				for range rnd.IntN(20) {
					seq++
					rec := turn(string(rune('a'+rnd.IntN(26))), seq)
					if rnd.IntN(300) == 0 {
						rec.State = noise(rnd, rnd.IntN(2_500_000))
					}
					want[rec.Program] = append(want[rec.Program], rec)
					batch = append(batch, rec)
				}
				r.Append(batch)
				time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
				mem.SetFaults([]string{"", "a", "b", "c"}[rnd.IntN(4)], objectapi.Faults{
					Outage: rnd.IntN(4) == 0, LoseAnswers: rnd.IntN(3), LoseWrites: rnd.IntN(2),
					Delay: time.Duration(rnd.IntN(3)*rnd.IntN(200)) * time.Millisecond,
				})
				links["b.1"].down.Store(rnd.IntN(5) == 0)
			}
			time.Sleep(10 * time.Second)
			durable := core.Seq(max(r.committed.Load(), r.retained.Load()))
			r.stop()
			<-r.done
			for _, c := range []string{"", "a", "b", "c"} {
				mem.SetFaults(c, objectapi.Faults{})
			}
			links["b.1"].down.Store(false)
			got := map[core.ProgramID][]core.Record{}
			for _, rec := range takeOver(t, mem, links) {
				got[rec.Program] = append(got[rec.Program], rec)
			}
			for id, recs := range want {
				for i, rec := range recs {
					if rec.Seq > durable && i >= len(got[id]) {
						break
					}
					if i >= len(got[id]) || !proto.Equal(ToProto(&got[id][i]), ToProto(&rec)) {
						t.Fatalf("seed %d: program %s record %d is lost or changed (durable %d)", seed, id, i, durable)
					}
				}
				if len(got[id]) > len(recs) {
					t.Fatalf("seed %d: program %s has %d records, want %d", seed, id, len(got[id]), len(recs))
				}
			}
		})
	}
}

// Guards against an owner that acknowledges a record which its successor does
// not recover: the takeover happens at a random moment, with random faults,
// changes of the retention set and checkpoints, and the owner keeps running and
// appending.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	fenced, changed, covered := 0, 0, 0
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 2))
			mem := objectapi.NewMemory(objectapi.MemoryOptions{})
			r, links := withMembers(t, mem)
			ids := []core.Incarnation{"b.1", "c.1", "d.1"}
			k, err := NewKeeper(mem.Client("d"), KeeperOptions{})
			if err != nil {
				t.Fatal(err)
			}
			links["d.1"] = &link{Keeper: k}
			all := []core.Record{turn("p", 1)}
			var wg sync.WaitGroup
			limited := func(f func(context.Context) error) {
				limit := time.Duration(rnd.IntN(3000)) * time.Millisecond
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), limit)
					defer cancel()
					_ = f(ctx)
				})
			}
			busy := func(steps int) {
				for range steps {
					for range rnd.IntN(4) {
						all = append(all, turn("p", core.Seq(len(all)+1)))
						r.Append(all[len(all)-1:])
					}
					switch rnd.IntN(6) {
					case 0:
						rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
						set := append([]core.Incarnation(nil), ids[:1+rnd.IntN(2)]...)
						limited(func(ctx context.Context) error { return r.SetRetention(ctx, set) })
					case 1:
						p, snapshot := r.BeginCheckpoint(), all[:len(all):len(all)]
						limited(func(ctx context.Context) error { return p.Write(ctx, snapshot) })
					}
					time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
					mem.SetFaults([]string{"a", "b", "c", "d"}[rnd.IntN(4)], objectapi.Faults{
						Outage: rnd.IntN(2) == 0, LoseAnswers: rnd.IntN(2), LoseWrites: rnd.IntN(2),
						Delay: time.Duration(rnd.IntN(3)*rnd.IntN(300)) * time.Millisecond,
					})
					links[ids[rnd.IntN(3)]].down.Store(rnd.IntN(4) == 0)
				}
			}
			busy(rnd.IntN(40))
			// Only the members in the log's retention set respond; all others are lost.
			l, err := SealAndOpen(t.Context(), mem, "a.1", "e.1")
			if err != nil {
				t.Fatal(err)
			}
			var retained []*peerv1.Retain
			for _, id := range l.Members() {
				res, err := links[id].Fence("a.1")
				if err != nil {
					t.Fatal(err)
				}
				retained = append(retained, res.Retained...)
			}
			recs, err := l.Recover(t.Context(), retained)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if len(l.Members()) != 2 {
				changed++
			}
			if l.l.checkpoint >= 0 {
				covered++
			}
			busy(10)
			r.stop()
			var s *SealedError
			if errors.As(<-r.done, &s) {
				fenced++
			}
			wg.Wait()
			durable := core.Seq(max(r.committed.Load(), r.retained.Load()))
			last := recs[len(recs)-1].Seq
			if last < durable {
				t.Errorf("seed %d: acknowledged up to %d, recovered up to %d", seed, durable, last)
			}
			wantSeqs(t, recs, 1, last)
		})
	}
	if fenced < 150 || changed < 30 || covered < 30 {
		t.Errorf("of 300 runs %d learnt of the takeover, %d had a changed set, %d a checkpoint", fenced, changed, covered)
	}
}
