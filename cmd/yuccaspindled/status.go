package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/edge"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
)

// statusTimeout bounds a request to an edge.
const statusTimeout = 5 * time.Second

// printStatus prints the status of the edge with the given metrics address.
func printStatus(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("usage: yuccaspindled status METRICS-ADDRESS", 2)
	}
	s, err := fetchStatus(ctx, cmd.Args().First())
	if err != nil {
		return cli.Exit(err, 1)
	}
	return writeStatus(cmd.Root().Writer, s)
}

// fetchStatus requests the status of the edge at address.
func fetchStatus(ctx context.Context, address string) (*edge.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+edge.StatusPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status of %s: %s", address, resp.Status)
	}
	s := &edge.Status{}
	return s, errors.Wrapf(json.NewDecoder(resp.Body).Decode(s), "status of %s", address)
}

// writeStatus writes the status as tables.
func writeStatus(w io.Writer, s *edge.Status) error {
	source := fmt.Sprintf("follows %s, %d entries from the store, sure of %v ago", s.Follows, s.Hops, s.CheckedAgo.Round(time.Millisecond))
	if s.WatchesStore {
		source = fmt.Sprintf("watches the store, sure of %v ago", s.CheckedAgo.Round(time.Millisecond))
	}
	if !s.Live {
		source = "hears of no changes"
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "node\t%s in %s, draining %v\n", s.Node, s.FailureDomain, s.Draining)
	fmt.Fprintf(tw, "configuration\t%d, %s\n", s.Configuration, source)
	writeWorkspaces(tw, s.Workspaces)
	fmt.Fprintf(tw, "feeds\t%d %v\n", len(s.Followers), s.Followers)
	fmt.Fprintf(tw, "entries\t%d\nstorage\t%v\n", s.Edges, s.Storage)
	fmt.Fprintf(tw, "in transit\t%d of %d bytes, %d times refused\n\n", s.Transit.Used, s.Transit.Limit, s.Transit.Refused)
	fmt.Fprintln(tw, "UPSTREAM\tSERVICE\tVERSION\tADDRESS\tDOMAIN\tIN FLIGHT\tLOAD\tSLOTS\tFAILURES\tLIMIT\tOUT")
	for _, u := range s.Upstreams {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%d\t%.2f\t%s\t%s\n",
			u.ID, u.Service, cmp.Or(u.Version, "-"), u.Address, u.FailureDomain, u.InFlight, u.Load, u.Slots, u.FailureRate, rateLimit(u), u.UnavailableReason)
	}
	writeLimits(tw, s.Limits)
	for _, q := range s.Suspects {
		quarantine := "may run"
		if !q.Until.IsZero() {
			quarantine = "refused until " + q.Until.Format(time.RFC3339)
		}
		fmt.Fprintf(tw, "request %v\ton board of %d crashes %v, %s\n", q.Fingerprint, q.Crashes, q.Upstreams, quarantine)
	}
	return errors.Wrap(tw.Flush(), "write status")
}

// writeWorkspaces writes whether requests with keys are accepted.
func writeWorkspaces(w io.Writer, s edge.WorkspaceStatus) {
	if s.Known == 0 {
		return
	}
	keys := "keys accepted"
	if !s.AcceptsKeys {
		keys = "keys refused"
	}
	if s.Limit > 0 {
		keys += fmt.Sprintf(", configuration checked %v ago, refused from %v on", s.CheckedAgo.Round(time.Millisecond), s.Limit)
	}
	fmt.Fprintf(w, "workspaces\t%d, %s\n", s.Known, keys)
}

// writeLimits writes which part of the rate limits the entry may use.
func writeLimits(w io.Writer, l edge.LimitStatus) {
	if l.Known == 0 {
		return
	}
	source := "equal shares, no coordinator is reached"
	if l.Coordinator != "" {
		source = "divided by " + l.Coordinator
	}
	fmt.Fprintf(w, "rate limits\t%d, %s\n", l.Known, source)
	for _, region := range slices.Sorted(maps.Keys(l.Shares)) {
		fmt.Fprintf(w, "share of limits in %s\t%.1f%%\n", region, 100*l.Shares[region])
	}
}

// rateLimit formats the limit of an upstream and the requests of this entry in the last
// seconds.
func rateLimit(u fleet.Health) string {
	if u.RateLimit == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s, %d sent", *u.RateLimit, u.RecentRequests)
}
