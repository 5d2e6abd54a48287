package scale

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/limits"
)

func init() {
	Register(Role{
		Name:       "configuration",
		SizeUnit:   "workspaces",
		TargetSize: 18_000,
		Sizes:      []int{500, 1000, 2000, 4000, 8000},
		Measure:    measureConfiguration,
	})
	Register(Role{
		Name:       "limits",
		SizeUnit:   "active workspaces",
		TargetSize: 18_000,
		Sizes:      []int{500, 1000, 2000, 4000, 8000},
		Measure:    measureLimits,
	})
}

// measureConfiguration measures the cost of one change of the configuration at a node: CPU time and
// heap of parsing, and the bytes to transfer. cpu_percent_1500 is the CPU use with 1500 changes a
// day.
func measureConfiguration(ctx context.Context, size int) (map[string]float64, error) {
	document := configDocument(size, "")
	changed := configDocument(size, "    weight: 3\n")
	heapBefore := liveHeapBytes()
	cpuBefore := cpuTime()
	parsed, err := config.Parse(document)
	if err != nil {
		return nil, err
	}
	parseTime := cpuTime() - cpuBefore
	heapBytes := liveHeapBytes() - heapBefore
	runtime.KeepAlive(parsed)
	return map[string]float64{
		"document_bytes":   float64(len(document)),
		"heap_bytes":       heapBytes,
		"parse_cpu_s":      parseTime.Seconds(),
		"change_bytes":     float64(changedPartBytes(document, changed)),
		"bootstrap_bytes":  float64(len(configsync.Compress(document))),
		"parts":            float64(len(configsync.Split(document))),
		"manifest_bytes":   float64(manifestBytes(document)),
		"cpu_percent_1500": 100 * parseTime.Seconds() * 1500 / (24 * time.Hour).Seconds(),
	}, ctx.Err()
}

// configDocument returns a configuration document. extra is added to the workspace in the middle.
func configDocument(workspaces int, extra string) []byte {
	var b bytes.Buffer
	b.WriteString("models:\n  - {name: m, weights_version: v1}\nworkspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "  - name: workspace-%05d\n    api_key_hashes: [%s]\n    models: [m]\n", i, configsync.IDOf([]byte(fmt.Sprint(i))))
		fmt.Fprintf(&b, "    limits: {requests_per_second: %d, concurrency: %d}\n", 5+i%40, 2+i%30)
		b.WriteString("    prompts:\n      - name: p\n        levels: [{name: school, shared: true}, {name: family}]\n")
		if i == workspaces/2 {
			b.WriteString(extra)
		}
	}
	return b.Bytes()
}

// changedPartBytes returns the compressed size of the parts that a node has to fetch after a change.
func changedPartBytes(before, after []byte) int {
	unchanged := map[configsync.PartID]bool{}
	for _, p := range configsync.Split(before) {
		unchanged[p.ID] = true
	}
	total := 0
	for _, p := range configsync.Split(after) {
		if !unchanged[p.ID] {
			total += len(configsync.Compress(p.Content))
		}
	}
	return total
}

func manifestBytes(document []byte) int {
	manifest, _ := configsync.NewManifest(document)
	return len(manifest.Encode())
}

// allowCalls is the number of calls of Limiter.Allow per measurement.
const allowCalls = 200_000

// measureLimits measures a limiter with size active workspaces: its heap, the CPU time of one call
// of Allow, and that of one call of Reports.
func measureLimits(ctx context.Context, size int) (map[string]float64, error) {
	budgets := map[string]limits.Budget{}
	names := make([]string, size)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%05d", i)
		budgets[names[i]] = limits.Budget{Requests: 50, Tokens: 20_000, Concurrency: 20}
	}
	heapBefore := liveHeapBytes()
	limiter := limits.NewLimiter()
	limiter.SetBudgets(budgets)
	limiter.SetLiveNodes(400)
	now := time.Now()
	for _, name := range names {
		limiter.Allow(now, name, 100)
	}
	heapBytes := liveHeapBytes() - heapBefore
	cpuBefore := cpuTime()
	for i := range allowCalls {
		now = now.Add(time.Millisecond)
		limiter.Allow(now, names[i*7919%size], 100)
	}
	allowTime := cpuTime() - cpuBefore
	cpuBefore = cpuTime()
	limiter.Reports(now)
	reportTime := cpuTime() - cpuBefore
	runtime.KeepAlive(limiter)
	return map[string]float64{
		"heap_bytes":   heapBytes,
		"allow_cpu_ns": float64(allowTime.Nanoseconds()) / allowCalls,
		"demand_cpu_s": reportTime.Seconds(),
	}, ctx.Err()
}
