package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cassiawall.example/cassiawall/pkg/burn"
)

// JSON writes r as indented JSON.
func JSON(w io.Writer, r burn.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Text writes r as a table.
func Text(w io.Writer, r burn.Report) error {
	fmt.Fprintln(w, heading(r))
	for _, note := range limitations(r) {
		fmt.Fprintln(w, "note:", note)
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "workspace\tobjective\ttarget\trequests\tbad\tbudget left\tburn 5m\t1h\t6h\talert\ttop cause")
	for _, workspace := range r.Workspaces {
		for _, o := range workspace.Objectives {
			fmt.Fprintf(table, "%s\t%s\t%g\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", workspace.Name, objectiveText(o), o.Target, o.Requests, o.Bad,
				percent(o.BudgetLeft), burnRateText(o, 5*time.Minute), burnRateText(o, time.Hour), burnRateText(o, 6*time.Hour), o.Alert, topCause(workspace))
		}
	}
	return table.Flush()
}

func heading(r burn.Report) string {
	return fmt.Sprintf("Burn report of %s over %d nodes; time to first token p50 %d ms, p95 %d ms, p99 %d ms",
		r.At.Format(time.RFC3339), r.Nodes, r.TTFT.P50, r.TTFT.P95, r.TTFT.P99)
}

// limitations describes what a report lacks: a period shorter than the budget period, missing nodes and
// omitted workspaces.
func limitations(r burn.Report) []string {
	var list []string
	if period := burn.Windows[len(burn.Windows)-1]; r.At.Sub(r.Since) < period {
		list = append(list, fmt.Sprintf("the nodes have counted for %s, less than the budget period of %s", r.At.Sub(r.Since).Round(time.Second), period))
	}
	if len(r.MissingNodes) > 0 {
		list = append(list, "no answer from "+strings.Join(r.MissingNodes, ", "))
	}
	if r.TruncatedNodes > 0 {
		list = append(list, fmt.Sprintf("%d nodes left out workspaces with few misses; a workspace can have up to %d more", r.TruncatedNodes, r.UncountedMisses))
	}
	return list
}

func objectiveText(o burn.ObjectiveReport) string {
	if o.Bound == 0 {
		return o.Objective
	}
	return fmt.Sprintf("%s <= %d ms", o.Objective, o.Bound)
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", share*100) }

func burnRateText(o burn.ObjectiveReport, window time.Duration) string {
	for _, b := range o.Burn {
		if b.WindowSeconds == int64(window/time.Second) {
			return fmt.Sprintf("%.1f", b.Rate)
		}
	}
	return "-"
}

func topCause(w burn.WorkspaceReport) string {
	if len(w.Causes) == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (%d)", w.Causes[0].Cause, w.Causes[0].Count)
}
