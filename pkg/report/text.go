package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// maxCallerRows bounds the callers listed in text and HTML; JSON has all.
const maxCallerRows = 20

// WriteJSON writes the whole report as one JSON object.
func (b *Burn) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(b), "encode burn report")
}

// WriteText writes the report for a terminal.
func (b *Burn) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	const stamp = "2006-01-02 15:04:05"
	fmt.Fprintf(tw, "Burn report, %s to %s UTC, %d events\n", b.From.Format(stamp), b.To.Format(stamp), b.Events)
	fmt.Fprintf(tw, "Objective: %s of caller-minutes without a refusal; %s of programs within their latency target\n\n", percent(b.Objective), percent(b.LatencyObjective))
	table := func(title string, rows []Row) {
		fmt.Fprintf(tw, "%s\tcaller-min\trefused min\tbudget spent\tleft\tburn 5m\t1h\t6h\t3d\tunknown\tfailed\tprograms\tp95\tin target\n", title)
		for _, r := range rows {
			fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", r.Name, r.Minutes, r.RefusedMinutes,
				percent(r.BudgetSpent), percent(r.BudgetLeft), rate(r, 0), rate(r, 1), rate(r, 2), rate(r, 3),
				r.Unknown, r.Failed, r.Programs, seconds(r.LatencyP95Ms), percent(r.LatencyMet)+mark(r.LatencyOK))
		}
		fmt.Fprintln(tw)
	}
	table("all", []Row{b.Total})
	table("profile", b.Profiles)
	table("caller", b.Callers[:min(maxCallerRows, len(b.Callers))])
	if n := len(b.Callers) - maxCallerRows; n > 0 {
		fmt.Fprintf(tw, "%d more callers; --format json lists all\n\n", n)
	}
	if len(b.Worst) > 0 {
		fmt.Fprintf(tw, "worst minute (UTC)\trefused callers\tof\tcauses\n")
	}
	for _, m := range b.Worst {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\n", m.Time.Format("2006-01-02 15:04"), m.Refused, m.Active, m.CauseText())
	}
	return errors.Wrap(tw.Flush(), "write burn report")
}

// CauseText lists the causes with their counts.
func (m Minute) CauseText() string {
	var parts []string
	for _, c := range m.Causes {
		parts = append(parts, fmt.Sprintf("%s ×%d", c.Cause, c.Count))
	}
	return strings.Join(parts, ", ")
}

// percent keeps three decimals of small shares and none of large ones.
func percent(f float64) string {
	if math.Abs(f) >= 10 {
		return fmt.Sprintf("%.0f%%", 100*f)
	}
	return fmt.Sprintf("%.4g%%", 100*f)
}

func seconds(ms float64) string { return fmt.Sprintf("%.1fs", ms/1000) }

// rate states the present and the highest burn rate of a window.
func rate(r Row, i int) string {
	return fmt.Sprintf("%s (max %s)", short(r.Burn[i].Now), short(r.Burn[i].Max))
}

func mark(ok bool) string {
	if ok {
		return ""
	}
	return " MISSED"
}

func short(f float64) string {
	if f >= 100 {
		return fmt.Sprintf("%.0f", f)
	}
	return fmt.Sprintf("%.3g", f)
}
