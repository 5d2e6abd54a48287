// Package metrics holds the process's metrics in a go-metrics registry and exports them in the
// Prometheus text format, version 0.0.4.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Prefix starts the name of every exported metric.
const Prefix = "cassiawall_"

// sampleSize and sampleAlpha are the values that go-metrics documents for an exponentially decaying
// sample that is weighted to the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Registry creates metrics by name and labels. Equal names and labels yield the same metric. It is
// safe for concurrent use.
type Registry struct {
	registry gometrics.Registry
}

// New returns an empty registry.
func New() *Registry { return &Registry{registry: gometrics.NewRegistry()} }

// Counter returns a counter. Labels are alternating names and values. Label values must come from a
// bounded set, because each series stays in memory until the process ends.
func (r *Registry) Counter(name string, labels ...string) gometrics.Counter {
	return r.registry.GetOrRegister(seriesKey(name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns a gauge. Labels have the form described at Counter.
func (r *Registry) Gauge(name string, labels ...string) gometrics.GaugeFloat64 {
	return r.registry.GetOrRegister(seriesKey(name, labels), gometrics.NewGaugeFloat64).(gometrics.GaugeFloat64)
}

// GaugeFunc registers a gauge whose value is read at each export. A second registration of the
// same name and labels replaces the first.
func (r *Registry) GaugeFunc(name string, read func() float64, labels ...string) {
	k := seriesKey(name, labels)
	r.registry.Unregister(k)
	// Register fails only for a duplicate, which Unregister has removed.
	_ = r.registry.Register(k, gometrics.NewFunctionalGaugeFloat64(read))
}

// Histogram returns a histogram over about the last five minutes. Labels have the form described at
// Counter.
func (r *Registry) Histogram(name string, labels ...string) gometrics.Histogram {
	return r.registry.GetOrRegister(seriesKey(name, labels), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
}

// seriesKey returns the exported name of a series without the prefix, as in name{a="b"}.
func seriesKey(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, labels[i]+`="`+escapeLabelValue(labels[i+1])+`"`)
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escapeLabelValue(value string) string { return labelEscaper.Replace(value) }

// ServeHTTP writes all metrics in the Prometheus text format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	var text bytes.Buffer
	r.Write(&text)
	// A failed write means that the client closed the connection.
	_, _ = w.Write(text.Bytes())
}

// Write writes all metrics in the Prometheus text format, sorted by name.
func (r *Registry) Write(w io.Writer) {
	families := map[string]*family{}
	r.registry.Each(func(k string, metric any) {
		name, labels := splitSeriesKey(k)
		f, ok := families[name]
		if !ok {
			f = &family{kind: kindOf(metric)}
			families[name] = f
		}
		f.lines = append(f.lines, formatSamples(Prefix+name, labels, metric)...)
	})
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "# TYPE %s%s %s\n", Prefix, name, families[name].kind)
		slices.Sort(families[name].lines)
		fmt.Fprintln(w, strings.Join(families[name].lines, "\n"))
	}
}

// family is all series of one name.
type family struct {
	kind  string
	lines []string
}

func splitSeriesKey(k string) (name, labels string) {
	name, labels, _ = strings.Cut(k, "{")
	return name, strings.TrimSuffix(labels, "}")
}

func kindOf(metric any) string {
	switch metric.(type) {
	case gometrics.Counter:
		return "counter"
	case gometrics.Histogram:
		return "summary"
	}
	return "gauge"
}

var exportedQuantiles = []float64{0.5, 0.95, 0.99}

func formatSamples(name, labels string, metric any) []string {
	switch m := metric.(type) {
	case gometrics.Counter:
		return []string{formatSample(name, labels, float64(m.Count()))}
	case gometrics.GaugeFloat64:
		return []string{formatSample(name, labels, m.Value())}
	case gometrics.Histogram:
		return formatSummary(name, labels, m.Snapshot())
	}
	return nil
}

func formatSummary(name, labels string, h gometrics.Histogram) []string {
	lines := make([]string, 0, len(exportedQuantiles)+1)
	values := h.Percentiles(exportedQuantiles)
	for i, q := range exportedQuantiles {
		quantile := fmt.Sprintf(`quantile="%g"`, q)
		if labels != "" {
			quantile = labels + "," + quantile
		}
		lines = append(lines, formatSample(name, quantile, values[i]))
	}
	// The sample discards old values, so the sum over all values is not available and _sum is omitted.
	return append(lines, formatSample(name+"_count", labels, float64(h.Count())))
}

func formatSample(name, labels string, value float64) string {
	if labels != "" {
		name += "{" + labels + "}"
	}
	return fmt.Sprintf("%s %v", name, value)
}
