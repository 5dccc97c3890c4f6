package replaycmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
	"github.com/yuccaspindle/yuccaspindle/pkg/replay"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "run traces through the decision core in virtual time",
		ArgsUsage: "TRACE...",
		Description: `Prints one result per trace and policy. With --outcomes it also checks the
bounds stated beside each trace (TRACE without .jsonl, plus .outcomes.json).
Bounds relative to the best baseline make it replay the baselines, too.

Examples:
   yuccaspindle replay traces/lango-peak.jsonl
   yuccaspindle replay --policy default --policy session-affinity --format json traces/lango-peak.jsonl
   yuccaspindle replay --without cache-map traces/brackenfield-peak.jsonl
   yuccaspindle replay --outcomes traces/*.jsonl
   yuccaspindle replay --outcomes --format markdown traces/*.jsonl > table.md

Exit codes: 0 done and all stated outcomes met; 1 a stated outcome was missed
or a trace could not be replayed; 2 wrong arguments.`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Usage: fmt.Sprintf("policy to replay, repeatable; one of %v", policy.Names())},
			&cli.StringSliceFlag{Name: "without", Usage: fmt.Sprintf("part of the default policy to switch off, repeatable; one of %v", policy.Parts())},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the replay"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json (one object a line) or markdown"},
			&cli.BoolFlag{Name: "outcomes", Usage: "check the stated outcomes"},
			&cli.StringFlag{Name: "events", Usage: "write the outcome events of all replays to `FILE` for report burn"},
			&cli.BoolFlag{Name: "with-events", Usage: "keep the outcome events in the JSON results"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "replays that run at the same time"},
		},
		Action: runReplay,
	}
}

// job is one trace under one policy.
type job struct {
	trace  *trace.Trace
	opts   replay.Options
	result *replay.Result
	err    error
}

func runReplay(ctx context.Context, c *cli.Command) error {
	if err := checkFormat(c.String("format"), "text", "json", "markdown"); err != nil {
		return err
	}
	paths := c.Args().Slice()
	if len(paths) == 0 {
		return usageError("no trace given")
	}
	policies := c.StringSlice("policy")
	if len(policies) == 0 {
		policies = []string{policy.Default}
	}
	for _, name := range policies {
		if !slices.Contains(policy.Names(), name) {
			return usageError("unknown policy %q, want one of %v", name, policy.Names())
		}
	}
	without := c.StringSlice("without")
	if _, err := policy.New(policy.Default, 1, without); err != nil {
		return usageError("%v", err)
	}
	var jobs []*job
	stated := map[string]*trace.Outcomes{}
	for _, path := range paths {
		t, err := trace.Load(path)
		if err != nil {
			return failure(err)
		}
		names := policies
		if c.Bool("outcomes") {
			o, err := trace.LoadOutcomes(trace.OutcomesPath(path))
			if err != nil {
				return failure(err)
			}
			if o.Trace != t.Header.Name {
				return failure(errors.Errorf("outcomes of %s are for the trace %q, not %q", path, o.Trace, t.Header.Name))
			}
			stated[t.Header.Name] = o
			names = withBaselines(policies, o)
		}
		for _, name := range names {
			opts := replay.Options{Policy: name, Seed: c.Uint64("seed"), Events: c.String("events") != "" || c.Bool("with-events")}
			if name == policy.Default {
				opts.Without = without
			}
			jobs = append(jobs, &job{trace: t, opts: opts})
		}
	}
	runJobs(ctx, jobs, min(max(c.Int("parallel"), 1), runtime.NumCPU()))
	var results []*replay.Result
	for _, j := range jobs {
		if j.err != nil {
			return failure(errors.Wrapf(j.err, "replay of %s", j.trace.Header.Name))
		}
		results = append(results, j.result)
	}
	if path := c.String("events"); path != "" {
		if err := writeEvents(path, results); err != nil {
			return failure(err)
		}
	}
	if !c.Bool("with-events") {
		for _, r := range results {
			r.Events = nil
		}
	}
	if err := printResults(out(c), c.String("format"), results); err != nil {
		return failure(err)
	}
	return checkOutcomes(c, stated, results)
}

// withBaselines adds the baselines if a bound refers to the best of them.
func withBaselines(policies []string, o *trace.Outcomes) []string {
	names := slices.Clone(policies)
	for _, b := range o.Bounds {
		if b.Policy != "any" && !slices.Contains(names, b.Policy) {
			names = append(names, b.Policy)
		}
		if b.MaxRatio == nil {
			continue
		}
		for _, p := range policy.Names() {
			if !slices.Contains(names, p) {
				names = append(names, p)
			}
		}
	}
	return names
}

func runJobs(ctx context.Context, jobs []*job, parallel int) {
	next := make(chan *job)
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for j := range next {
				if j.err = ctx.Err(); j.err == nil {
					j.result, j.err = replay.Run(j.trace, j.opts)
				}
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	wg.Wait()
}

func writeEvents(path string, results []*replay.Result) error {
	return writeFile(path, func(w io.Writer) error {
		ew := report.NewWriter(w)
		for _, r := range results {
			for _, e := range r.Events {
				if err := ew.Write(e); err != nil {
					return err
				}
			}
		}
		return ew.Flush()
	})
}

func printResults(w io.Writer, format string, results []*replay.Result) error {
	switch format {
	case "markdown":
		return printMarkdown(w, results)
	case "json":
		for _, r := range results {
			if err := writeJSON(w, r); err != nil {
				return err
			}
		}
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "trace\tpolicy\tdone\tof\tfailed\tgave up\tp50 s\tp95 s\tslowdown p95\tinteractive\tttft p95 ms\trefusals\trefused min\twasted cache\tcached\tdup\tlost\tunknown\tstore/s")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.0f\t%d\t%d\t%.3gM\t%.0f%%\t%d\t%d\t%d\t%.1f\n",
			r.Trace, r.Name(), r.Completed, r.Programs, r.Failed, r.GaveUp, r.LatencyMs.P50/1000, r.LatencyMs.P95/1000,
			r.Slowdown.P95, r.SlowdownByClass["interactive"].P95, r.TTFTMs.P95, r.Refusals, r.RefusedMinutes,
			r.WastedCacheTokens/1e6, 100*float64(r.CachedTokens)/float64(max(r.PromptTokens, 1)),
			r.DuplicateEffects, r.LostEffects, r.UnknownEffects, r.StoreCallsPerS)
	}
	return errors.Wrap(tw.Flush(), "write results")
}

func checkOutcomes(c *cli.Command, stated map[string]*trace.Outcomes, results []*replay.Result) error {
	if len(stated) == 0 {
		return nil
	}
	missed := 0
	for _, name := range sortedNames(stated) {
		misses, err := replay.Check(stated[name], results)
		if err != nil {
			return failure(err)
		}
		for _, m := range misses {
			missed++
			if _, err := fmt.Fprintf(os.Stderr, "missed: %s\n", m); err != nil {
				return failure(err)
			}
		}
	}
	if missed > 0 {
		return failure(errors.Errorf("%d stated outcomes were missed", missed))
	}
	if c.String("format") == "text" {
		fmt.Fprintf(out(c), "all stated outcomes of %d traces were met\n", len(stated))
	}
	return nil
}

func sortedNames(m map[string]*trace.Outcomes) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
