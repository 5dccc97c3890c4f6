// Command yuccaspindled runs the processes of the platform's deployment. It is
// apart from yuccaspindle, whose operators' commands and plots would cost each
// small instance memory and start-up time.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/daemon"
	"github.com/yuccaspindle/yuccaspindle/pkg/edge"
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
