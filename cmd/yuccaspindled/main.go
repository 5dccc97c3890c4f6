// Command yuccaspindled runs the edge and storage processes of a deployment on the
// platform. It is separate from yuccaspindle because the operator commands and plots of
// that command would cost memory and start-up time on each small instance.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/daemon"
	"github.com/yuccaspindle/yuccaspindle/pkg/edge"
	"github.com/yuccaspindle/yuccaspindle/pkg/explain"
	"github.com/yuccaspindle/yuccaspindle/pkg/storage"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// version is set by the linker: -ldflags "-X main.version=1.2.3".
var version = "dev"

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "yuccaspindled: %v\n", err)
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:    "yuccaspindled",
		Usage:   "run the edge and storage processes of the scheduler",
		Version: version,
		Commands: []*cli.Command{
			{
				Name:   "edge",
				Usage:  "run an edge process, which serves callers; " + platform.SettingsVariable + " holds the path of its settings file",
				Action: func(context.Context, *cli.Command) error { return daemon.Run(edge.New) },
			},
			{
				Name:   "storage",
				Usage:  "run a storage process, which stores history and budgets on disk; " + platform.SettingsVariable + " holds the path of its settings file",
				Action: func(context.Context, *cli.Command) error { return daemon.Run(storage.New) },
			},
			{
				Name:      "explain",
				Usage:     "print the lines of log files that concern a request",
				ArgsUsage: "REQUEST-ID FILE...",
				Action:    explainRequest,
			},
			{
				Name:      "status",
				Usage:     "print the status of a running edge: configuration, upstreams, why upstreams are unavailable, suspected requests",
				ArgsUsage: "METRICS-ADDRESS",
				Action:    printStatus,
			},
			{
				Name:      "release",
				Usage:     "lift the quarantine of a request that was suspected of crashing upstreams",
				ArgsUsage: "METRICS-ADDRESS FINGERPRINT",
				Action:    releaseRequest,
			},
			{
				Name:      "check",
				Usage:     "validate a settings file and print the settings",
				ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					s, err := platform.LoadSettings(cmd.Args().First())
					if err != nil {
						return cli.Exit(err, 2)
					}
					_, err = fmt.Fprintf(cmd.Root().Writer, "%+v\n", *s)
					return err
				},
			},
		},
	}
}

// explainRequest prints the log lines of a request in order, each prefixed with the name
// of its file.
func explainRequest(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return cli.Exit("usage: yuccaspindled explain REQUEST-ID FILE...", 2)
	}
	var sources []explain.Source
	for _, path := range args[1:] {
		f, err := os.Open(path)
		if err != nil {
			return cli.Exit(err, 2)
		}
		defer f.Close()
		sources = append(sources, explain.Source{Name: filepath.Base(path), R: f})
	}
	lines, err := explain.Request(args[0], sources...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return cli.Exit("no log line found for request "+args[0], 1)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(cmd.Root().Writer, "%s: %s\n", l.Source, l.Text); err != nil {
			return err
		}
	}
	return nil
}
