package replaycmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/replay"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
)

func isNotExist(err error) bool { return stderrors.Is(err, fs.ErrNotExist) }

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "reports for operators",
		Commands: []*cli.Command{{
			Name:      "burn",
			Usage:     "refused minutes, error budget and burn rates from recorded outcomes",
			ArgsUsage: "FILE...",
			Description: `FILE is an event file of the entry daemon or of replay --events, or a result
of replay --format json --with-events. docs/burn-report.md explains the figures.

Examples:
   yuccaspindle report burn /var/lib/yuccaspindle/outcomes.jsonl
   yuccaspindle report burn --format html --output burn.html outcomes.jsonl
   yuccaspindle report burn --objective 0.9995 --latency interactive=45s outcomes.jsonl

Exit codes: 0 the error budget is not overdrawn and no effect is unknown;
1 otherwise, or the file could not be read; 2 wrong arguments.`,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or html"},
				&cli.StringFlag{Name: "output", Usage: "write to `FILE` instead of standard output"},
				&cli.FloatFlag{Name: "objective", Value: 0.999, Usage: "share of caller-minutes without a refusal"},
				&cli.DurationFlag{Name: "window", Value: 30 * 24 * time.Hour, Usage: "period of the error budget, before the last event"},
				&cli.FloatFlag{Name: "latency-objective", Value: 0.95, Usage: "share of programs within the target of their class"},
				&cli.StringSliceFlag{Name: "latency", Usage: "target of a class as CLASS=DURATION, repeatable"},
				&cli.IntFlag{Name: "worst", Value: 10, Usage: "number of worst minutes listed"},
				&cli.StringFlag{Name: "title", Value: "Burn report", Usage: "title of the page"},
			},
			Action: runBurn,
		}},
	}
}

func runBurn(_ context.Context, c *cli.Command) error {
	if err := checkFormat(c.String("format"), "text", "json", "html"); err != nil {
		return err
	}
	if c.Args().Len() == 0 {
		return usageError("no event file given")
	}
	o := report.DefaultOptions()
	o.Objective, o.LatencyObjective = c.Float("objective"), c.Float("latency-objective")
	o.Window, o.Worst = c.Duration("window"), max(c.Int("worst"), 0)
	for _, target := range c.StringSlice("latency") {
		class, text, _ := strings.Cut(target, "=")
		d, err := time.ParseDuration(text)
		if err != nil || class == "" || d <= 0 {
			return usageError("latency target %q is not of the form CLASS=DURATION", target)
		}
		o.LatencyTargets[class] = d
	}
	var events []report.Event
	for _, path := range c.Args().Slice() {
		e, err := readOutcomes(path)
		if err != nil {
			return failure(err)
		}
		events = append(events, e...)
	}
	if len(events) == 0 {
		return failure(errors.New("the files hold no events"))
	}
	b, err := report.Compute(events, o)
	if err != nil {
		return usageError("%v", err)
	}
	write := func(w io.Writer) error {
		switch c.String("format") {
		case "json":
			return b.WriteJSON(w)
		case "html":
			return b.WriteHTML(w, c.String("title"))
		}
		return b.WriteText(w)
	}
	if path := c.String("output"); path != "" {
		err = writeFile(path, write)
	} else {
		err = write(out(c))
	}
	switch {
	case err != nil:
		return failure(err)
	case b.Total.BudgetSpent > 1:
		return failure(errors.Errorf("the error budget is overdrawn: %d refused caller-minutes, %.1f allowed", b.Total.RefusedMinutes, b.Total.BudgetMinutes))
	case b.Total.Unknown > 0:
		return failure(errors.Errorf("%d effects are unknown", b.Total.Unknown))
	}
	return nil
}

// readOutcomes reads an event file, or the events of replay results.
func readOutcomes(path string) ([]report.Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open events")
	}
	defer f.Close()
	br := bufio.NewReader(f)
	head, err := br.Peek(10)
	if err != nil && err != io.EOF {
		return nil, errors.Wrap(err, "read events")
	}
	if bytes.HasPrefix(bytes.TrimSpace(head), []byte(`{"policy"`)) {
		return resultEvents(path, br)
	}
	events, torn, err := report.ReadEvents(br)
	if err != nil {
		return nil, errors.Wrapf(err, "events %s", path)
	}
	if torn {
		fmt.Fprintf(os.Stderr, "%s: the last line is incomplete and was left out\n", path)
	}
	return events, nil
}

func resultEvents(path string, r io.Reader) ([]report.Event, error) {
	var events []report.Event
	d := json.NewDecoder(r)
	for {
		var res replay.Result
		err := d.Decode(&res)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "replay result %s", path)
		}
		if len(res.Events) == 0 {
			return nil, errors.Errorf("replay result %s has no events; run replay --format json --with-events", path)
		}
		events = append(events, res.Events...)
	}
}
