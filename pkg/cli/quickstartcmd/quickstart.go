// Package quickstartcmd holds the command that runs a whole deployment in one
// process on loopback.
package quickstartcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/deploy"
	"github.com/yuccaspindle/yuccaspindle/pkg/loadgen"
	"github.com/yuccaspindle/yuccaspindle/pkg/logging"
	"github.com/yuccaspindle/yuccaspindle/pkg/quickstart"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	loadTime     = 30 * time.Second // no program of the sample starts later
	parallel     = 64               // programs under way at the same time
)

// Commands returns quickstart.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "quickstart",
		Usage: "run a whole deployment on loopback in this process and send it a sample of a day",
		Description: `Starts the stand-ins of the platform, model engines and services with their
sidecars and one entry per failure domain, sends the first programs of a
recorded day through them over sockets, prints the results and stops.

Examples:
   yuccaspindle quickstart
   yuccaspindle quickstart --deployment brackenfield --programs 20 --format json
   yuccaspindle quickstart --serve --listen 127.0.0.1:8080

Exit codes: 0 every program completed, 1 a program failed or the run failed,
2 wrong usage.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: trace.Lango, Usage: "lango or brackenfield"},
			&cli.IntFlag{Name: "programs", Value: 40, Usage: "programs of the sample"},
			&cli.FloatFlag{Name: "speed", Value: 20, Usage: "factor by which engines, arrivals and pauses are faster than recorded"},
			&cli.BoolFlag{Name: "serve", Usage: "keep the deployment up for calls until a signal, without a sample"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "address of the first entry with --serve"},
			&cli.BoolFlag{Name: "verbose", Usage: "log events to standard error"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
		},
		Action: run,
	}}
}

func run(ctx context.Context, cmd *cli.Command) error {
	name := cmd.String("deployment")
	scenario, err := trace.ScenarioByName("ordinary")
	if err != nil {
		return cli.Exit(err, 1)
	}
	t, err := trace.Generate(name, scenario, 1)
	if err != nil {
		return cli.Exit(err, 2)
	}
	shared, err := deploy.Shared(name)
	if err != nil {
		return cli.Exit(err, 2)
	}
	speed := cmd.Float("speed")
	if cmd.Bool("serve") {
		speed = 1
	}
	opt := quickstart.FromTrace(t, shared, speed, logger(cmd))
	if cmd.Bool("serve") {
		opt.Entries[0].HTTPListen = cmd.String("listen")
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := quickstart.Start(startCtx, opt)
	if err != nil {
		return cli.Exit(errors.Wrap(err, "start deployment"), 1)
	}
	if cmd.Bool("serve") {
		return serve(ctx, cmd, d)
	}
	return sample(ctx, cmd, d, t, opt.Entries[0].Name, speed)
}

func logger(cmd *cli.Command) *slog.Logger {
	if cmd.Bool("verbose") {
		return logging.New(os.Stderr, slog.LevelInfo)
	}
	return logging.New(os.Stderr, slog.LevelError)
}

// serve keeps the deployment up until a signal.
func serve(ctx context.Context, cmd *cli.Command, d *quickstart.Deployment) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := cmd.Root().Writer
	fmt.Fprintln(out, "entries:")
	for _, name := range names(d) {
		fmt.Fprintf(out, "  %-10s http://%s\n", name, d.Entry(name).HTTPAddr())
	}
	fmt.Fprintln(out, "counts of each service's runs by key:")
	for _, name := range serviceNames(d) {
		fmt.Fprintf(out, "  %-12s http://%s/admin/runs\n", name, d.Services[name].Addr())
	}
	fmt.Fprintln(out, "stop with Ctrl-C")
	<-ctx.Done()
	return stopAll(context.WithoutCancel(ctx), d)
}

func stopAll(ctx context.Context, d *quickstart.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return cli.Exit(errors.Wrap(err, "stop deployment"), 1)
	}
	return nil
}

// sample sends the first programs of the trace through the deployment.
func sample(ctx context.Context, cmd *cli.Command, d *quickstart.Deployment, t *trace.Trace, entry string, speed float64) error {
	res, err := loadgen.Run(ctx, t, loadgen.Options{
		Target: "http://" + d.Entry(entry).HTTPAddr(), Programs: cmd.Int("programs"),
		Duration: loadTime, Speed: speed, Parallel: parallel, Seed: 1,
	})
	duplicates := countDuplicates(d)
	if stopErr := stopAll(ctx, d); err == nil {
		err = stopErr
	}
	if err != nil {
		return cli.Exit(err, 1)
	}
	if err := write(cmd, res, duplicates); err != nil {
		return cli.Exit(err, 1)
	}
	if res.Failed > 0 || duplicates > 0 {
		return cli.Exit(fmt.Sprintf("%d programs failed, %d keys ran more than once", res.Failed, duplicates), 1)
	}
	return nil
}

// countDuplicates returns the number of idempotency keys that ran more than
// once.
func countDuplicates(d *quickstart.Deployment) int {
	n := 0
	for _, s := range d.Services {
		for _, runs := range s.Runs() {
			if runs > 1 {
				n++
			}
		}
	}
	return n
}

func write(cmd *cli.Command, res *loadgen.Result, duplicates int) error {
	out := cmd.Root().Writer
	if cmd.String("format") == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(struct {
			*loadgen.Result
			Duplicates int `json:"duplicate_effects"`
		}{res, duplicates})
	}
	return table(out, res, duplicates)
}

func table(out io.Writer, res *loadgen.Result, duplicates int) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "trace\t%s\n", res.Trace)
	fmt.Fprintf(w, "programs\t%d started, %d completed, %d failed\n", res.Started, res.Completed, res.Failed)
	fmt.Fprintf(w, "calls\t%d, %d refused\n", res.Calls, res.Refusals)
	fmt.Fprintf(w, "effects\t%d duplicate, %d unknown\n", duplicates, res.Unknown)
	fmt.Fprintf(w, "program latency\tp50 %.0f ms, p95 %.0f ms\n", res.ProgramMs.P50, res.ProgramMs.P95)
	fmt.Fprintf(w, "first token\tp50 %.1f ms, p95 %.1f ms\n", res.TTFTMs.P50, res.TTFTMs.P95)
	fmt.Fprintf(w, "between tokens\tp50 %.1f ms, p95 %.1f ms\n", res.TokenMs.P50, res.TokenMs.P95)
	return w.Flush()
}

func names(d *quickstart.Deployment) []string {
	var out []string
	for name := range d.Entries {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func serviceNames(d *quickstart.Deployment) []string {
	var out []string
	for name := range d.Services {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
