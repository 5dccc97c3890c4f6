package replaycmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
	"github.com/yuccaspindle/yuccaspindle/pkg/replay"
)

// printMarkdown writes the table of docs/measurements.md. The ratios are those
// of the default policy to the smallest figure among the baselines on the same
// trace.
func printMarkdown(w io.Writer, results []*replay.Result) error {
	if _, err := fmt.Fprint(w, `| trace | policy | completed | gave up | p95 s | ratio | slowdown p95 | interactive p95 | since first try p95 | ttft p95 ms | refused min | ratio | wasted cache M | ratio | unknown | store calls/s |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`); err != nil {
		return errors.Wrap(err, "write results")
	}
	for _, r := range results {
		ratio := func(figure func(*replay.Result) float64) string {
			best, found := 0.0, false
			for _, b := range results {
				if b.Trace == r.Trace && b.Policy != policy.Default && (!found || figure(b) < best) {
					best, found = figure(b), true
				}
			}
			switch {
			case r.Policy != policy.Default || !found:
				return ""
			case best == 0 && figure(r) == 0:
				return "0/0"
			case best == 0:
				return "over 0"
			}
			return fmt.Sprintf("%.2f", figure(r)/best)
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %d of %d | %d | %.1f | %s | %.2f | %.2f | %.2f | %.0f | %d | %s | %.2f | %s | %d | %.1f |\n",
			r.Trace, r.Name(), r.Completed, r.Programs, r.GaveUp,
			r.LatencyMs.P95/1000, ratio(func(r *replay.Result) float64 { return r.LatencyMs.P95 }),
			r.Slowdown.P95, r.SlowdownByClass[core.ClassInteractive].P95, r.SlowdownFirstTry.P95, r.TTFTMs.P95,
			r.RefusedMinutes, ratio(func(r *replay.Result) float64 { return float64(r.RefusedMinutes) }),
			r.WastedCacheTokens/1e6, ratio(func(r *replay.Result) float64 { return r.WastedCacheTokens }),
			r.UnknownEffects, r.StoreCallsPerS)
		if err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	return nil
}
