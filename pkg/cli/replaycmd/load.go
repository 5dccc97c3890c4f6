package replaycmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/loadgen"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "run a trace over real sockets against an entry",
		ArgsUsage: "TRACE",
		Description: `The run starts programs at their times in the trace, divided by --speed, and
is bounded by --programs, --duration and --drain. It measures with HdrHistogram.

Examples:
   yuccaspindle load --target http://127.0.0.1:8080 traces/lango-ordinary.jsonl
   yuccaspindle load --speed 10 --programs 200 --duration 30s --format json traces/lango-peak.jsonl

Exit codes: 0 every program that was started completed and no effect is
unknown; 1 otherwise; 2 wrong arguments.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Value: "http://127.0.0.1:8080", Usage: "base URL of an entry"},
			&cli.StringFlag{Name: "key", Usage: "bearer key; without it the caller's name is sent in Yucca-Caller", Sources: cli.EnvVars("YUCCA_KEY")},
			&cli.IntFlag{Name: "programs", Value: 200, Usage: "most programs to start"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "time in which programs start"},
			&cli.DurationFlag{Name: "drain", Value: time.Minute, Usage: "time for programs under way after that; the others are cut off"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "factor by which arrivals and pauses are shortened"},
			&cli.IntFlag{Name: "parallel", Value: 256, Usage: "most programs under way"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the retry times"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if err := checkFormat(c.String("format"), "text", "json"); err != nil {
		return err
	}
	if c.Args().Len() != 1 {
		return usageError("want exactly one trace, got %d", c.Args().Len())
	}
	t, err := trace.Load(c.Args().First())
	if err != nil {
		return failure(err)
	}
	res, err := loadgen.Run(ctx, t, loadgen.Options{
		Target: c.String("target"), Key: c.String("key"), Programs: c.Int("programs"), Duration: c.Duration("duration"), Drain: c.Duration("drain"),
		Speed: c.Float("speed"), Parallel: c.Int("parallel"), Seed: c.Uint64("seed"),
	})
	if err != nil {
		return usageError("%v", err)
	}
	if c.String("format") == "json" {
		if err := writeJSON(out(c), res); err != nil {
			return failure(err)
		}
	} else if err := printLoad(c, res); err != nil {
		return failure(err)
	}
	if res.Completed < res.Started || res.Unknown > 0 {
		return failure(fmt.Errorf("%d of %d programs completed, %d unknown effects", res.Completed, res.Started, res.Unknown))
	}
	return nil
}

func printLoad(c *cli.Command, r *loadgen.Result) error {
	tw := tabwriter.NewWriter(out(c), 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "%s against %s, %.1f s: %d programs started, %d completed, %d failed, %d cut off, %d late; %d calls, %d refusals, %d unknown effects\n",
		r.Trace, r.Target, r.Seconds, r.Started, r.Completed, r.Failed, r.CutOff, r.Late, r.Calls, r.Refusals, r.Unknown)
	for code, n := range r.Errors {
		fmt.Fprintf(tw, "error %s\t%d\n", code, n)
	}
	fmt.Fprintln(tw, "ms\tcount\tp50\tp95\tp99\tmax")
	for _, row := range []struct {
		name string
		l    loadgen.Latencies
	}{{"program", r.ProgramMs}, {"call", r.CallMs}, {"first token", r.TTFTMs}, {"between tokens", r.TokenMs}} {
		fmt.Fprintf(tw, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", row.name, row.l.Count, row.l.P50, row.l.P95, row.l.P99, row.l.Max)
	}
	return tw.Flush()
}
