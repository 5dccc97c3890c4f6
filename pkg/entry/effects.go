package entry

import (
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
)

// execute carries out one effect of the core. It runs in the loop's goroutine
// and starts a goroutine for everything that waits.
func (n *Entry) execute(eff core.Effect) {
	switch e := eff.(type) {
	case core.AppendJournal:
		n.journaled.add(e.Records)
		n.journal.Append(e.Records)
	case core.Dispatch:
		n.metrics.attempt()
		n.startAttempt(e)
	case core.CancelAttempt:
		n.attempts.cancel(e.Attempt)
	case core.ResolveClaim:
		go n.resolve(e)
	case core.Reply:
		n.calls.finish(e.Call, completionResult{result: frontend.Result{
			Answer: e.Answer, Stored: e.Stored, Pending: e.Pending,
		}})
	case core.JoinCall:
		n.calls.join(e.Call, e.To)
	case core.Refuse:
		r := e.Refusal
		n.metrics.refused(r.Code)
		n.calls.finish(e.Call, completionResult{refusal: &r})
	case core.Opened:
		n.calls.finish(e.Call, completionResult{id: e.ID})
	case core.EngineOrder:
		n.metrics.order(e.Order)
		go n.order(e)
	case core.ShareQuarantine:
		go n.shareQuarantine(e)
	default:
		n.log.Error("effect is not known", "effect", eff)
	}
}
