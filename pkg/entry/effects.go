package entry

import (
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
)

// execute executes one effect of the core. It runs in the loop's goroutine and
// starts a goroutine for every operation that may block.
func (n *Entry) execute(eff core.Effect) {
	switch e := eff.(type) {
	case core.AppendJournal:
		n.journalStats.add(e.Records)
		n.journal.Append(e.Records)
	case core.Dispatch:
		n.metrics.countAttempt()
		n.startAttempt(e)
	case core.CancelAttempt:
		n.attempts.cancel(e.Attempt)
	case core.ResolveClaim:
		go n.resolveOutcome(e)
	case core.Reply:
		n.calls.complete(e.Call, callResult{result: frontend.Result{
			Answer: e.Answer, Stored: e.Stored, Pending: e.Pending,
		}})
	case core.JoinCall:
		n.calls.join(e.Call, e.To)
	case core.Refuse:
		r := e.Refusal
		n.metrics.countRefusal(r.Code)
		n.calls.complete(e.Call, callResult{refusal: &r})
	case core.Opened:
		n.calls.complete(e.Call, callResult{id: e.ID})
	case core.EngineOrder:
		n.metrics.order(e.Order)
		go n.order(e)
	case core.ShareQuarantine:
		go n.shareQuarantine(e)
	default:
		n.log.Error("unknown effect", "effect", eff)
	}
}
