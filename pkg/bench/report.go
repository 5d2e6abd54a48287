package bench

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cassiawall.example/cassiawall/pkg/routing"
)

//go:embed report.html.tmpl
var reportPage string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.0f", v) },
	"number":  func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(reportPage))

// plotWidth and plotHeight are the size of a plot in the report.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// policyColours maps policies to the colours of their lines. Readers with a red-green deficiency
// can distinguish them.
var policyColours = map[string]color.Color{
	PolicyCassiawall:             color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	routing.PolicyRoundRobin:     color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	routing.PolicyLeastLoaded:    color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	routing.PolicyConsistentHash: color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
}

// reportData is the input of the report template.
type reportData struct {
	Result
	Names []string
	Plots []template.HTML
}

// WriteReport writes the result as an HTML page with embedded SVG plots.
func WriteReport(w io.Writer, result Result) error {
	data := reportData{Result: result}
	for _, name := range PolicyNames {
		if _, ok := result.Policies[name]; ok {
			data.Names = append(data.Names, name)
		}
	}
	for _, draw := range []func(*reportData) (*plot.Plot, error){plotTTFT, plotHitRate, plotWaste, plotLoad} {
		p, err := draw(&data)
		if err != nil {
			return err
		}
		svg, err := renderSVG(p)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return reportTemplate.Execute(w, data)
}

// legendHeadroom is the ratio of the upper end of the y axis to the largest value, so that the
// legend does not cover a line.
const legendHeadroom = 1.45

func renderSVG(p *plot.Plot) (template.HTML, error) {
	p.Y.Min = 0
	if p.Legend.Top {
		p.Y.Max *= legendHeadroom
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The XML declaration is not valid inside HTML.
	svg := out.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:]
	}
	return template.HTML(svg), nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = policyColours[name]
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// plotTTFT plots the cumulative distribution of the time to first token on a logarithmic time axis.
func plotTTFT(d *reportData) (*plot.Plot, error) {
	p := newPlot("Time to first token", "ms", "share of callers who stay, cumulative")
	p.Legend.Top = false
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for _, name := range d.Names {
		var points plotter.XYs
		sum := 0.0
		for _, b := range d.Policies[name].ttftBuckets {
			sum += b.share
			points = append(points, plotter.XY{X: b.toMS, Y: sum})
		}
		if err := addLine(p, name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// smoothingSamples is the window of the moving averages in the plots over time, in samples.
const smoothingSamples = 4

// movingRatio returns the ratio of the sums of numerator and denominator over a moving window of
// samples. Windows with a denominator of 0 have no point.
func movingRatio(samples []Sample, numerator, denominator func(*Sample) float64) plotter.XYs {
	var points plotter.XYs
	for i := range samples {
		partSum, wholeSum := 0.0, 0.0
		for j := max(0, i-smoothingSamples+1); j <= i; j++ {
			partSum += numerator(&samples[j])
			wholeSum += denominator(&samples[j])
		}
		if wholeSum > 0 {
			points = append(points, plotter.XY{X: samples[i].At.Seconds(), Y: partSum / wholeSum})
		}
	}
	return points
}

func plotHitRate(d *reportData) (*plot.Plot, error) {
	p := newPlot("Prefix hit rate over time", "s, warm-up included", "share of prompt tokens reused")
	for _, name := range d.Names {
		points := movingRatio(d.Policies[name].Samples,
			func(s *Sample) float64 { return float64(s.Reused) },
			func(s *Sample) float64 { return float64(s.Reused + s.Computed) })
		if err := addLine(p, name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func plotWaste(d *reportData) (*plot.Plot, error) {
	p := newPlot("Wasted work over time", "s, warm-up included", "share of engine tokens, cancelled requests")
	for _, name := range d.Names {
		points := movingRatio(d.Policies[name].Samples,
			func(s *Sample) float64 { return float64(s.Cancelled) },
			func(s *Sample) float64 { return float64(s.Computed + s.Decoded) })
		if err := addLine(p, name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// plotLoad plots the loads of the engines in descending order, so that imbalance shows as a slope.
func plotLoad(d *reportData) (*plot.Plot, error) {
	p := newPlot("Load of the engines", "engines, most loaded first", "load")
	for _, name := range d.Names {
		loads := slices.Clone(d.Policies[name].EngineLoads)
		slices.SortFunc(loads, func(a, b float64) int { return int(math.Copysign(1, b-a)) })
		var points plotter.XYs
		for i, l := range loads {
			points = append(points, plotter.XY{X: float64(i + 1), Y: l})
		}
		if err := addLine(p, name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// WriteTable writes the result as a plain-text table, one row per policy, followed by the limit.
func WriteTable(w io.Writer, result Result) error {
	const row = "%-16s %8v %8v %9v %7v %6v %8s %8s %8s %6s %7s %8s %7s %5s %5s\n"
	if _, err := fmt.Fprintf(w, row, "policy", "requests", "complete", "abandoned", "refused", "errors",
		"p50 ms", "p95 ms", "p99 ms", "hit", "wasted", "after ab", "recomp", "load", "cv"); err != nil {
		return err
	}
	for _, name := range PolicyNames {
		p, ok := result.Policies[name]
		if !ok {
			continue
		}
		if _, err := fmt.Fprintf(w, row, name, p.Requests, p.Complete, p.Abandoned, p.Refused, p.Errors+p.Crossed,
			number(p.TTFT.P50, 0), number(p.TTFT.P95, 0), number(p.TTFT.P99, 0), number(p.PrefixHitRate, 3),
			number(p.WastedTokensShare, 3), number(p.WastedAbandonedShare, 4), number(p.RecomputedShare, 3),
			number(p.EngineLoad, 2), number(p.EngineLoadCV, 2)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "limit: hit rate %.3f, p99 TTFT %.0f ms\n", result.Limit.PrefixHitRate, result.Limit.TTFT.P99)
	return err
}

func number(v float64, digits int) string { return fmt.Sprintf("%.*f", digits, v) }

// EstimatedDuration returns the approximate total time of a bench with these options: measured time
// and warm-up of all policies, without the start of the fleets.
func (o *Options) EstimatedDuration() time.Duration {
	return time.Duration(float64(len(o.Policies)) * (1 + warmUpShare) * float64(o.Duration))
}
