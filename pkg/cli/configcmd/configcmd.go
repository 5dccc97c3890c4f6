// Package configcmd holds the operators' commands for the shared configuration.
package configcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/user"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// The exit codes of the commands.
const (
	ExitOK          = 0
	ExitFailed      = 1 // wrong use or another failure
	ExitInvalid     = 2 // the text is not valid
	ExitConflict    = 3 // another change came first
	ExitUnavailable = 4 // the store does not answer; an apply may have taken effect
	ExitDiffers     = 5 // diff found differences
)

const exitHelp = `
Exit codes: 0 success, 1 wrong use or another failure, 2 invalid text,
3 another change came first, 4 the store does not answer (an apply or rollback
may have taken effect: look at "config history"), 5 diff found differences.`

// Commands returns the commands config and profile.
func Commands() []*cli.Command {
	// Each command has flags of its own, because a flag holds the value that
	// was parsed.
	store := func() cli.Flag {
		return &cli.StringFlag{Name: "store", Usage: "address of the object API", Sources: cli.EnvVars("YUCCASPINDLE_STORE")}
	}
	who := func() cli.Flag {
		return &cli.StringFlag{Name: "who", Usage: "name recorded with the change", Value: login()}
	}
	why := &cli.StringFlag{Name: "why", Usage: "reason recorded with the change", Required: true}
	base := &cli.Uint64Flag{Name: "base", Usage: "version on which the change is based", Required: true}
	process := &cli.BoolFlag{Name: "process", Usage: "the file holds the settings of a process"}

	cmd := func(name, usage, args, help string, run cli.ActionFunc, flags ...cli.Flag) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Description: help + "\n" + exitHelp,
			Flags: append([]cli.Flag{formatFlag()}, flags...), Action: run}
	}
	return []*cli.Command{
		{Name: "config", Usage: "check, compare and change the shared configuration", Commands: []*cli.Command{
			cmd("check", "validate a file", "FILE", `Reports every fault with file, line, key and what was expected.

Examples:
  yuccaspindle config check deploy/lango/shared.ini
  yuccaspindle config check --process deploy/lango/entry.ini`, check, process),
			cmd("diff", "compare two files, or a file with the version in force", "FILE [FILE]", `Examples:
  yuccaspindle config diff old.ini new.ini
  yuccaspindle config diff --store 10.20.0.5:8400 new.ini`, diff, store()),
			cmd("apply", "put a file in force", "FILE", `Validates the file and replaces the version named by --base. Base 0 puts the
first version in force. If another change came first, nothing changes and the
error names it.

Examples:
  yuccaspindle config apply --store 10.20.0.5:8400 --base 0 --why "first version" shared.ini
  yuccaspindle config apply --store 10.20.0.5:8400 --base 41 --who asha --why "longer cache pauses" shared.ini`, apply, store(), base, who(), why),
			cmd("history", "list the versions", " ", `Example:
  yuccaspindle config history --store 10.20.0.5:8400 --format json`, history, store()),
			cmd("rollback", "put the text of an earlier version in force, as a new version", "VERSION", `Example:
  yuccaspindle config rollback --store 10.20.0.5:8400 40`, rollback, store(), who()),
		}},
		{Name: "profile", Usage: "show the profiles in force or in a file", Commands: []*cli.Command{
			cmd("list", "list the profiles", "[FILE]", `Examples:
  yuccaspindle profile list deploy/lango/shared.ini
  yuccaspindle profile list --store 10.20.0.5:8400`, profileList, store()),
			cmd("show", "show one profile with all defaults, as a section of a file", "NAME [FILE]", `Examples:
  yuccaspindle profile show diagnose deploy/lango/shared.ini
  yuccaspindle profile show --store 10.20.0.5:8400 diagnose`, profileShow, store()),
		}},
	}
}

func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: "text", Usage: "`FORMAT` of the output: text or json",
		Validator: func(v string) error {
			if v != "text" && v != "json" {
				return errors.New("want text or json")
			}
			return nil
		}}
}

// login returns the name of the operating system's user.
func login() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// fail gives an error its exit code.
func fail(err error) error {
	if err == nil {
		return nil
	}
	code := ExitFailed
	var conflict *config.ConflictError
	var slots *config.SlotCountError
	switch {
	case errors.As(err, &conflict):
		code = ExitConflict
	case len(config.Errors(err)) > 0, errors.As(err, &slots):
		code = ExitInvalid
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRateLimited),
		errors.Is(err, context.DeadlineExceeded):
		code = ExitUnavailable
	}
	return cli.Exit(err.Error(), code)
}

func usage(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), ExitFailed)
}

func out(c *cli.Command) io.Writer { return c.Root().Writer }

// print writes v as JSON, or calls text for the text format.
func print(c *cli.Command, v any, text func(w io.Writer)) error {
	if c.String("format") == "json" {
		enc := json.NewEncoder(out(c))
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(out(c))
	return nil
}

// args checks the number of arguments.
func args(c *cli.Command, lo, hi int) error {
	if n := c.Args().Len(); n < lo || n > hi {
		return usage("%s: got %d arguments, want %d to %d", c.FullName(), n, lo, hi)
	}
	return nil
}

func openStore(c *cli.Command) (*config.Store, func(), error) {
	addr := c.String("store")
	if addr == "" {
		return nil, nil, usage("%s: --store or YUCCASPINDLE_STORE must name the object API", c.FullName())
	}
	client, err := objectapi.Dial(objectapi.ClientConfig{Address: addr, Name: "operator"})
	if err != nil {
		return nil, nil, fail(err)
	}
	return config.NewStore(client), client.Close, nil
}
