package program

import (
	"bytes"
	"reflect"
	"testing"
	"time"
)

func sampleRoot() *Root {
	at := time.Unix(1_800_000_000, 5).UTC()
	r := NewRoot("p003-aa", "lango")
	r.Calls, r.Attained = 2, 77
	r.AddMember(&Member{ID: "p003-aa", Profile: "std", Opened: at, LastActive: at, OpenKey: "open", Seq: 4,
		Pins: map[string]time.Time{"m1": at}})
	r.AddMember(&Member{ID: "p003-aa~1", Parent: "p003-aa", Opened: at, LastActive: at, EndedAt: at, SingleCall: true})
	r.OpenClaim(Key{"lango", "k"}, KeyRecord{Member: "p003-aa", Digest: 9, Attempt: "a1", Upstream: "b1",
		Sidecar: "s1.3", Service: "booking", Operation: "charge", Request: []byte("req")}, Amount{1, 2, 3})
	r.Ledger.Settle("x", Amount{-4, 5, 6})
	return r
}

// Encoding and decoding, as in a hand-over or a checkpoint, must not change the
// state.
func TestStateSurvivesEncoding(t *testing.T) {
	want := sampleRoot()
	got, err := Decode(want.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	turns := []Turn{
		{Number: 3, Seq: 9, Attempt: "a", Caller: "c", Key: "k", Digest: 1, Request: []byte("q"), Answer: []byte("r"),
			Status: 200, PromptTokens: 1, CachedTokens: 2, OutputTokens: 3, FinishReason: "stop", Service: "s",
			Operation: "o", At: time.Unix(5, 6).UTC()},
		{Number: 4},
	}
	again, err := DecodeTurns(EncodeTurns(turns))
	if err != nil || !reflect.DeepEqual(again, turns) {
		t.Errorf("got %+v, %v", again, err)
	}
	if _, err := DecodeTurns(EncodeTurns([]Turn{{Number: 1}, {Number: 3}})); err == nil {
		t.Error("a gap in the history was accepted")
	}
}

// Corrupt input must not make the decoder panic, and what it accepts must have a
// stable encoding.
func FuzzDecode(f *testing.F) {
	f.Add(sampleRoot().Encode())
	f.Add(EncodeTurns([]Turn{{Number: 1, Answer: []byte("x")}, {Number: 2}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b); err == nil {
			once := r.Encode()
			again, err := Decode(once)
			if err != nil {
				t.Fatalf("decoding its own encoding: %v", err)
			}
			if !bytes.Equal(again.Encode(), once) {
				t.Fatal("the encoding is not stable")
			}
		}
		if turns, err := DecodeTurns(b); err == nil {
			again, err := DecodeTurns(EncodeTurns(turns))
			if err != nil || len(again) != len(turns) {
				t.Fatalf("%d turns, then %d, %v", len(turns), len(again), err)
			}
		}
	})
}
