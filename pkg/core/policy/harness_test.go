package policy

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// TestMain sets the seed of the property tests, so that every run gives the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("20260302"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func mustNew(t testing.TB, name string, seed uint64, without ...string) core.Policy {
	t.Helper()
	p, err := New(name, seed, without)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func newParts(t testing.TB, seed uint64, without ...string) *defaultPolicy {
	t.Helper()
	return mustNew(t, NameDefault, seed, without...).(*defaultPolicy)
}

func engineInfo(i int) core.UpstreamInfo {
	return core.UpstreamInfo{
		ID: core.UpstreamID(fmt.Sprintf("w%04d", i)), Kind: core.KindModel, Models: []string{"m"},
		Region: "coast", FailureDomain: fmt.Sprintf("fd%d", i%2), Incarnation: 1, Slots: 8,
		CacheTokens: 400_000, PrefillRate: 8000, DecodeRate: 40,
	}
}

func addEngines(p core.Policy, n int) {
	for i := range n {
		p.SetUpstream(epoch, engineInfo(i))
	}
}

var profileOf = map[core.Class]core.Profile{
	core.ClassInteractive: {Name: "desk", Class: core.ClassInteractive, RetryLimit: 3, CacheRetention: time.Minute},
	core.ClassStandard:    {Name: "consult", Class: core.ClassStandard, RetryLimit: 3, CacheRetention: time.Minute},
	core.ClassBatch:       {Name: "history", Class: core.ClassBatch, RetryLimit: 3, CacheRetention: time.Minute},
}

func view(root, caller string, class core.Class) core.ProgramView {
	return core.ProgramView{
		ID: core.ProgramID(root), Root: core.RootOf(core.ProgramID(root)), Caller: caller,
		Profile: profileOf[class], Region: "coast", Opened: epoch,
	}
}

// modelCall returns the model call with number n of a program.
func modelCall(v core.ProgramView, n int, prompt int64) core.Request {
	id := fmt.Sprintf("%s/%d", v.ID, n)
	return core.Request{
		Call: core.Call{
			ID: core.CallID(id), Program: v.ID, Caller: v.Caller, Kind: core.KindModel, Model: "m",
			PromptTokens: prompt, MaxTokens: 200, Arrived: epoch, Deadline: epoch.Add(time.Hour),
		},
		Program: v, Attempt: core.AttemptID("a-" + id),
	}
}

// drain dispatches all requests that can be dispatched now.
func drain(p core.Policy, now time.Time) []core.Assignment {
	var out []core.Assignment
	for {
		a, ok := p.Next(now)
		if !ok {
			return out
		}
		out = append(out, a)
	}
}

// finish answers a dispatched call.
func finish(p core.Policy, now time.Time, a core.Assignment, cached int64) {
	p.OnFirstToken(now, a.Request.Attempt, cached)
	p.OnDone(now, a.Request.Attempt, core.Answer{
		Status: 200, PromptTokens: a.Request.Call.PromptTokens, CachedTokens: cached, OutputTokens: 100, FinishReason: "tool_calls",
	})
}
