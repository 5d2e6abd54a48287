package report

import (
	"bytes"
	"fmt"
	"html/template"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cassiawall.example/cassiawall/pkg/burn"
)

// Sizes of the plots. At most plotWorkspaces fit side by side; the table lists all workspaces.
const (
	plotWidth      = 24 * vg.Centimeter
	plotHeight     = 8 * vg.Centimeter
	plotWorkspaces = 16
	plotLines      = 6
	barWidth       = 0.35 * vg.Centimeter
)

// plots renders the plots of a report as SVG.
func plots(r burn.Report) ([]template.HTML, error) {
	var rendered []template.HTML
	for _, draw := range []func(burn.Report) (*plot.Plot, error){plotBudget, plotBurn, plotTTFT} {
		p, err := draw(r)
		if err != nil {
			return nil, err
		}
		writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
		if err != nil {
			return nil, err
		}
		var svg bytes.Buffer
		if _, err := writer.WriteTo(&svg); err != nil {
			return nil, err
		}
		// The XML declaration in front of the element is not valid inside HTML.
		element := svg.Bytes()[max(bytes.Index(svg.Bytes(), []byte("<svg")), 0):]
		rendered = append(rendered, template.HTML(element))
	}
	return rendered, nil
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.Legend.Top = true
	return p
}

// plottedWorkspaces returns the workspaces that fit into a plot, the worst first.
func plottedWorkspaces(r burn.Report) []burn.WorkspaceReport {
	return r.Workspaces[:min(len(r.Workspaces), plotWorkspaces)]
}

func labelWorkspaces(p *plot.Plot, workspaces []burn.WorkspaceReport) {
	names := make([]string, len(workspaces))
	for i, w := range workspaces {
		names[i] = w.Name
	}
	if len(names) > 0 {
		p.NominalX(names...)
		reserveLegendSpace(p, len(names))
	}
}

// legendShare is the width that is kept free for the legend, relative to the width of the data.
const legendShare = 0.25

// reserveLegendSpace widens the axis beyond the last of count positions, because the legend is drawn
// over the right end of the plot.
func reserveLegendSpace(p *plot.Plot, count int) {
	p.X.Min = -0.5
	p.X.Max = float64(count)*(1+legendShare) - 0.5
}

// addBars adds one bar per value with the colour of the given index. offset shifts the bars sideways by
// a number of bar widths, so that bars of several calls stand side by side.
func addBars(p *plot.Plot, name string, values plotter.Values, index int, offset float64) error {
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(index)
	bars.Offset = vg.Length(offset) * barWidth
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

// plotBudget shows the error budget left by workspace and objective. Values below -100% are shown as
// -100%, so that the other bars stay visible.
func plotBudget(r burn.Report) (*plot.Plot, error) {
	p := newPlot("Error budget left in 24 h", "%")
	workspaces := plottedWorkspaces(r)
	for i, objective := range objectives(workspaces) {
		values := make(plotter.Values, len(workspaces))
		for j, w := range workspaces {
			values[j] = 100
			for _, o := range w.Objectives {
				if o.Objective == objective {
					values[j] = max(o.BudgetLeft, -1) * 100
				}
			}
		}
		if err := addBars(p, objective, values, i, float64(i)-1.5); err != nil {
			return nil, err
		}
	}
	labelWorkspaces(p, workspaces)
	return p, nil
}

// objectives returns the names of all objectives in the order of their first use.
func objectives(workspaces []burn.WorkspaceReport) []string {
	var names []string
	seen := map[string]bool{}
	for _, w := range workspaces {
		for _, o := range w.Objectives {
			if !seen[o.Objective] {
				seen[o.Objective] = true
				names = append(names, o.Objective)
			}
		}
	}
	return names
}

// plotBurn shows the burn rates by window, for the first plotLines objectives with misses. Workspaces
// are sorted by urgency.
func plotBurn(r burn.Report) (*plot.Plot, error) {
	p := newPlot("Burn rate by window (1 uses the budget exactly)", "burn rate")
	labels := make([]string, len(burn.Windows))
	for i, window := range burn.Windows {
		labels[i] = windowText(window)
	}
	p.NominalX(labels...)
	lines := 0
	for _, w := range r.Workspaces {
		for _, o := range w.Objectives {
			if o.Bad == 0 || lines == plotLines {
				continue
			}
			points := make(plotter.XYs, len(o.Burn))
			for i, b := range o.Burn {
				points[i] = plotter.XY{X: float64(i), Y: b.Rate}
			}
			line, dots, err := plotter.NewLinePoints(points)
			if err != nil {
				return nil, err
			}
			line.Color, dots.Color = plotutil.Color(lines), plotutil.Color(lines)
			p.Add(line, dots)
			p.Legend.Add(w.Name+" "+o.Objective, line, dots)
			lines++
		}
	}
	reserveLegendSpace(p, len(labels))
	p.Y.Min = 0
	return p, nil
}

// windowText formats a window without zero units, such as 5m.
func windowText(window time.Duration) string {
	if window >= time.Hour {
		return fmt.Sprintf("%dh", window/time.Hour)
	}
	return fmt.Sprintf("%dm", window/time.Minute)
}

// plotTTFT shows quantiles of the time to first token by workspace.
func plotTTFT(r burn.Report) (*plot.Plot, error) {
	p := newPlot("Time to first token in the last one to two hours", "ms")
	workspaces := plottedWorkspaces(r)
	for i, quantile := range []struct {
		name string
		of   func(burn.Quantiles) int64
	}{
		{"p50", func(q burn.Quantiles) int64 { return q.P50 }},
		{"p95", func(q burn.Quantiles) int64 { return q.P95 }},
		{"p99", func(q burn.Quantiles) int64 { return q.P99 }},
	} {
		values := make(plotter.Values, len(workspaces))
		for j, w := range workspaces {
			values[j] = float64(quantile.of(w.TTFT))
		}
		if err := addBars(p, quantile.name, values, i, float64(i)-1); err != nil {
			return nil, err
		}
	}
	labelWorkspaces(p, workspaces)
	return p, nil
}
