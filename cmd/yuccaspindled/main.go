// Command yuccaspindled runs the processes of the platform's deployment. It is
// apart from yuccaspindle, whose operators' commands and plots would cost each
// small instance memory and start-up time.
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
		Usage:   "processes of the scheduler on the users' platform",
		Version: version,
		Commands: []*cli.Command{
			{
				Name:   "edge",
				Usage:  "run the process that callers reach; " + platform.SettingsVariable + " names its settings",
				Action: func(context.Context, *cli.Command) error { return daemon.Run(edge.New) },
			},
			{
				Name:   "storage",
				Usage:  "run the process that keeps history and budgets on a disk; " + platform.SettingsVariable + " names its settings",
				Action: func(context.Context, *cli.Command) error { return daemon.Run(storage.New) },
			},
			{
				Name:      "explain",
				Usage:     "collect from log files what concerns one request",
				ArgsUsage: "REQUEST-ID FILE...",
				Action:    explainRequest,
			},
			{
				Name:      "status",
				Usage:     "print what a running entry believes: configuration, upstreams and why one is out, suspects",
				ArgsUsage: "METRICS-ADDRESS",
				Action:    printStatus,
			},
			{
				Name:      "release",
				Usage:     "let a request run again that was refused because upstreams crashed with it on board",
				ArgsUsage: "METRICS-ADDRESS FINGERPRINT",
				Action:    releaseRequest,
			},
			{
				Name:      "check",
				Usage:     "check a settings file and print what it says",
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

// explainRequest prints the lines of a request in order, each behind the name
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
		return cli.Exit("no file has a line of request "+args[0], 1)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(cmd.Root().Writer, "%s: %s\n", l.Source, l.Text); err != nil {
			return err
		}
	}
	return nil
}
