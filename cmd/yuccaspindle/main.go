// Command yuccaspindle is the scheduler's only binary: it runs the daemons, the
// stand-ins, the replay and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/cli/configcmd"
	"github.com/yuccaspindle/yuccaspindle/pkg/cli/daemoncmd"
	"github.com/yuccaspindle/yuccaspindle/pkg/cli/opscmd"
	"github.com/yuccaspindle/yuccaspindle/pkg/cli/quickstartcmd"
	"github.com/yuccaspindle/yuccaspindle/pkg/cli/replaycmd"
)

// version is set by the linker: -ldflags "-X main.version=1.2.3".
var version = "dev"

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "yuccaspindle: %v\n", err)
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	app := &cli.Command{
		Name:  "yuccaspindle",
		Usage: "scheduler for agent programs",
		Description: `Runs between the callers and the upstreams of agent programs.

Try it on this machine:
   yuccaspindle quickstart`,
		Version: version,
		Commands: []*cli.Command{{
			Name:  "version",
			Usage: "print the version",
			Action: func(_ context.Context, cmd *cli.Command) error {
				_, err := fmt.Fprintln(cmd.Root().Writer, "yuccaspindle", version)
				return err
			},
		}},
	}
	app.Commands = append(app.Commands, quickstartcmd.Commands()...)
	app.Commands = append(app.Commands, daemoncmd.Commands()...)
	app.Commands = append(app.Commands, configcmd.Commands()...)
	app.Commands = append(app.Commands, opscmd.Commands()...)
	app.Commands = append(app.Commands, replaycmd.Commands()...)
	return app
}
