package replaycmd

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "generate and validate traces",
		Commands: []*cli.Command{
			{
				Name:  "generate",
				Usage: "write traces of a deployment with their stated outcomes",
				Description: `Examples:
   yuccaspindle trace generate --dir traces
   yuccaspindle trace generate --deployment lango --scenario peak --seed 7 --dir /tmp/traces

Exit codes: 0 written; 1 a file could not be written; 2 wrong arguments.`,
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "deployment", Usage: fmt.Sprintf("repeatable; one of %v; all by default", trace.Deployments())},
					&cli.StringSliceFlag{Name: "scenario", Usage: fmt.Sprintf("repeatable; one of %v; all by default", scenarioNames())},
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the generator"},
					&cli.StringFlag{Name: "dir", Value: "traces", Usage: "directory to write to"},
				},
				Action: runGenerate,
			},
			{
				Name:      "validate",
				Usage:     "check traces and their stated outcomes",
				ArgsUsage: "TRACE...",
				Description: `Examples:
   yuccaspindle trace validate traces/*.jsonl

Exit codes: 0 all are valid; 1 a trace is not valid, the error names the line;
2 wrong arguments.`,
				Action: runValidate,
			},
		},
	}
}

func scenarioNames() []string {
	var names []string
	for _, s := range trace.Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

func runGenerate(_ context.Context, c *cli.Command) error {
	deployments, scenarios := c.StringSlice("deployment"), c.StringSlice("scenario")
	if len(deployments) == 0 {
		deployments = trace.Deployments()
	}
	if len(scenarios) == 0 {
		scenarios = scenarioNames()
	}
	for _, d := range deployments {
		if !slices.Contains(trace.Deployments(), d) {
			return usageError("unknown deployment %q, want one of %v", d, trace.Deployments())
		}
	}
	for _, d := range deployments {
		for _, name := range scenarios {
			s, err := trace.ScenarioByName(name)
			if err != nil {
				return usageError("%v", err)
			}
			t, err := trace.Generate(d, s, c.Uint64("seed"))
			if err != nil {
				return failure(err)
			}
			path := filepath.Join(c.String("dir"), t.Header.Name+".jsonl")
			if err := writeFile(path, func(w io.Writer) error { return trace.Encode(w, t) }); err != nil {
				return failure(err)
			}
			text, err := trace.StatedOutcomes(d, s).Encode()
			if err != nil {
				return failure(err)
			}
			if err := writeFile(trace.OutcomesPath(path), func(w io.Writer) error { _, err := w.Write(text); return err }); err != nil {
				return failure(err)
			}
			fmt.Fprintf(out(c), "%s: %d programs, engines %.1f%% busy with perfect prefix reuse\n", path, len(t.Programs), 100*t.BusyFraction())
		}
	}
	return nil
}

func runValidate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usageError("no trace given")
	}
	for _, path := range c.Args().Slice() {
		t, err := trace.Load(path)
		if err != nil {
			return failure(err)
		}
		bounds := "no stated outcomes"
		if o, err := trace.LoadOutcomes(trace.OutcomesPath(path)); err == nil {
			bounds = fmt.Sprintf("%d stated outcomes", len(o.Bounds))
		} else if !isNotExist(err) {
			return failure(err)
		}
		fmt.Fprintf(out(c), "%s: valid, %d programs, %d faults, engines %.1f%% busy with perfect prefix reuse, %s\n",
			path, len(t.Programs), len(t.Faults), 100*t.BusyFraction(), bounds)
	}
	return nil
}
