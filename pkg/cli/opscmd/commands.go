package opscmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/eventlog"
)

const exitCodes = `

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 the entry cannot be reached.`

// Commands returns status, program, drain, quarantine and eventlog.
func Commands() []*cli.Command {
	return []*cli.Command{statusCommand(), programCommand(), drainCommand(), quarantineCommand(), eventlogCommand()}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show every process that an entry reaches, with its configuration version",
		Description: `Examples:
   yuccaspindle status --address http://10.20.1.11:8080 --key "$OPERATOR_KEY"
   yuccaspindle status --format json` + exitCodes,
		Flags:  clientFlags(),
		Action: status,
	}
}

// processStatus holds the fields that the table shows; the JSON form has all.
type processStatus struct {
	Instance      string `json:"instance"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	ConfigVersion uint64 `json:"config_version"`
	SlotsOwned    int    `json:"slots_owned"`
	CallsPending  int    `json:"calls_pending"`
	Attempts      int    `json:"attempts_running"`
	Draining      bool   `json:"draining"`
	Error         string `json:"error"`
}

func status(ctx context.Context, cmd *cli.Command) error {
	body, err := do(ctx, cmd, http.MethodGet, "/v1/admin/fleet")
	if err != nil {
		return err
	}
	if cmd.String("format") == "json" {
		return printJSON(cmd.Root().Writer, body)
	}
	var fleet struct {
		Self  processStatus            `json:"self"`
		Peers map[string]processStatus `json:"peers"`
	}
	if err := json.Unmarshal(body, &fleet); err != nil {
		return cli.Exit(errors.Wrap(err, "decode status"), exitFailed)
	}
	names := make([]string, 0, len(fleet.Peers))
	for name := range fleet.Peers {
		names = append(names, name)
	}
	sort.Strings(names)
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tROLE\tREGION\tFAILURE DOMAIN\tCONFIG\tSLOTS\tCALLS\tATTEMPTS\tSTATE")
	writeRow(w, fleet.Self.Instance, fleet.Self)
	for _, name := range names {
		writeRow(w, name, fleet.Peers[name])
	}
	return w.Flush()
}

func writeRow(w io.Writer, name string, s processStatus) {
	state := "serving"
	switch {
	case s.Error != "":
		state = s.Error
	case s.Draining:
		state = "draining"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
		name, s.Role, s.Region, s.FailureDomain, s.ConfigVersion, s.SlotsOwned, s.CallsPending, s.Attempts, state)
}

func programCommand() *cli.Command {
	return &cli.Command{
		Name:  "program",
		Usage: "look at programs",
		Commands: []*cli.Command{{
			Name:      "show",
			Usage:     "show the state of a program: turns, budget, calls under way",
			ArgsUsage: "PROGRAM",
			Description: `A program is shown to the caller that owns it.

Example:
   yuccaspindle program show --caller lango-app p011-7c1e` + exitCodes,
			Flags: clientFlags(),
			Action: func(ctx context.Context, cmd *cli.Command) error {
				id := cmd.Args().First()
				if id == "" {
					return cli.Exit("program show: the argument PROGRAM is missing", 2)
				}
				body, err := do(ctx, cmd, http.MethodGet, "/v1/programs/"+url.PathEscape(id))
				if err != nil {
					return err
				}
				return printJSON(cmd.Root().Writer, body)
			},
		}},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "hand over the slots of an entry, or let an entry take over a region",
		Description: `Without --region the entry at --address hands over its slots, finishes what runs
and reports itself not ready; stop the process afterwards. With --region the entry
may succeed the lost owners of that region, which otherwise happens only after the
instance list has reported them gone for 60 s.

Examples:
   yuccaspindle drain --address http://10.20.1.11:8080
   yuccaspindle drain --region arusha-north --address http://10.20.1.12:8080` + exitCodes,
		Flags: append(clientFlags(), &cli.StringFlag{Name: "region", Usage: "region to take over"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := "/v1/admin/drain"
			if region := cmd.String("region"); region != "" {
				path = "/v1/admin/adopt/" + url.PathEscape(region)
			}
			return order(ctx, cmd, path)
		},
	}
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "requests that are refused because they crashed upstreams",
		Commands: []*cli.Command{{
			Name:      "release",
			Usage:     "let a refused request run again",
			ArgsUsage: "FINGERPRINT",
			Description: `The fingerprint is in the refusal and in the log line of the quarantine.

Example:
   yuccaspindle quarantine release 9f86d081884c7d65` + exitCodes,
			Flags: clientFlags(),
			Action: func(ctx context.Context, cmd *cli.Command) error {
				fp := cmd.Args().First()
				if fp == "" {
					return cli.Exit("quarantine release: the argument FINGERPRINT is missing", 2)
				}
				return order(ctx, cmd, "/v1/admin/quarantine/"+url.PathEscape(fp)+"/release")
			},
		}},
	}
}

// order sends an order and prints the answer.
func order(ctx context.Context, cmd *cli.Command, path string) error {
	body, err := do(ctx, cmd, http.MethodPost, path)
	if err != nil {
		return err
	}
	return printJSON(cmd.Root().Writer, body)
}

func printJSON(w io.Writer, body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return cli.Exit(errors.Wrap(err, "decode answer"), exitFailed)
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(w)
	return err
}

func eventlogCommand() *cli.Command {
	return &cli.Command{
		Name:  "eventlog",
		Usage: "recorded events of an entry's decision core",
		Commands: []*cli.Command{{
			Name:      "verify",
			Usage:     "run the core again on a recorded log and compare the effects",
			ArgsUsage: "FILE",
			Description: `The file must begin with the start of the process; a rotated file cannot be
verified on its own.

Example:
   yuccaspindle eventlog verify /var/lib/yuccaspindle/events.jsonl

Exit codes: 0 the effects are the same, 1 they differ or the file cannot be
read, 2 wrong usage.`,
			Action: verifyEventLog,
		}},
	}
}

func verifyEventLog(_ context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	if name == "" {
		return cli.Exit("eventlog verify: the argument FILE is missing", 2)
	}
	f, err := os.Open(name)
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	defer f.Close()
	n, err := eventlog.Verify(f)
	if err != nil {
		return cli.Exit(errors.Wrap(err, name), exitFailed)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%d events, same effects\n", n)
	return err
}
