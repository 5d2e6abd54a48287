package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/localfleet"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	"cassiawall.example/cassiawall/pkg/wait"
)

// Sizes of the demo.
const (
	nodeCount       = 3
	enginesPerModel = 3
	// cacheBlocks is the KV cache size of an engine in blocks. The working set of a model does not fit
	// into one engine's cache, but into those of its three engines together.
	cacheBlocks            = 64
	prefillTokensPerSecond = 200_000
	stepTime               = 4 * time.Millisecond
	meanRequestInterval    = 40 * time.Millisecond
	startTimeout           = 20 * time.Second
	// callTimeout is the timeout of one request of the workload.
	callTimeout = 30 * time.Second
)

// Options configures a run.
type Options struct {
	// Requests is the number of requests to send; 0 means no limit until the context ends.
	Requests int
	Seed     uint64
	// Config replaces the demo's own configuration.
	Config *config.Config
	// Progress receives status lines, if set.
	Progress io.Writer
	Logger   *slog.Logger
}

// Demo is a running demo.
type Demo struct {
	opt      Options
	fleet    *localfleet.Fleet
	targets  []target
	workload *workload
	http     *http.Client
	tally    *tally
}

// Start starts the stand-ins and the nodes and waits until the nodes are ready.
func Start(ctx context.Context, opt Options) (*Demo, error) {
	c := opt.Config
	if c == nil {
		c = defaultConfig()
	}
	c = localConfig(c)
	targets := selectTargets(c)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, localfleet.Options{
		Nodes: nodeCount, DataCentres: []string{"dar-a", "dar-b", "dar-c"}, Engines: engineConfigs(c, opt.Seed), Config: c, Logger: opt.Logger, Seed: opt.Seed,
	})
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(opt.Seed, 0x64656d6f))
	return &Demo{
		opt: opt, fleet: fleet, targets: targets, tally: newTally(fleet),
		workload: &workload{random: random, targets: targets, nodes: nodeCount, meanRequestInterval: meanRequestInterval},
		http:     &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 256}},
	}, nil
}

func engineConfigs(c *config.Config, seed uint64) []enginestandin.Config {
	var list []enginestandin.Config
	for _, m := range c.Models {
		for i := range enginesPerModel {
			list = append(list, enginestandin.Config{
				ID: fmt.Sprintf("%s-%d", m.Name, i+1), Model: m.Name, WeightsVersion: m.WeightsVersion, Seed: seed + uint64(len(list)),
				CacheBlocks: cacheBlocks, PrefillTokensPerSecond: prefillTokensPerSecond, StepTime: stepTime, BytesPerToken: m.BytesPerToken,
			})
		}
	}
	return list
}

// selectTargets returns the workspaces with a model, which the workload sends requests for.
func selectTargets(c *config.Config) []target {
	vocabularies := [][]string{
		{"darasa", "saa", "mwalimu", "jumatatu", "nafasi", "shule", "mzazi", "chumba"},
		{"gutter", "ladder", "district", "visit", "frost", "downpipe", "crew", "gate"},
	}
	var targets []target
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if len(w.Models) == 0 {
			continue
		}
		t := target{apiKey: apiKey(w.Name), model: w.Models[0], bookingPath: bookingPath(c, w), words: vocabularies[i%len(vocabularies)]}
		if len(w.Prompts) > 0 {
			t.prompt = w.Prompts[0].Name
		}
		targets = append(targets, t)
	}
	return targets
}

// bookingPath returns the path of a non-idempotent POST route that the workspace may use, or "".
func bookingPath(c *config.Config, w *config.Workspace) string {
	for _, name := range w.Services {
		service, ok := c.Service(name)
		if !ok {
			continue
		}
		for _, route := range service.Routes {
			if route.NonIdempotent && (len(route.Methods) == 0 || slices.Contains(route.Methods, http.MethodPost)) {
				return route.Path
			}
		}
	}
	return ""
}

// CurlCommand returns a command that sends one request to the demo.
func (d *Demo) CurlCommand() string {
	t := d.targets[0]
	return fmt.Sprintf(`curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"Habari, nataka nafasi ya kesho"}]}'`,
		d.fleet.Nodes()[0].CallersURL(), t.apiKey, t.model)
}

// OperatorsURLs returns the base URLs of the operators' listeners.
func (d *Demo) OperatorsURLs() []string {
	var urls []string
	for _, n := range d.fleet.Nodes() {
		urls = append(urls, n.OperatorsURL())
	}
	return urls
}

// FaultCommand returns a command that slows one engine down, so that the burn report shows it.
func (d *Demo) FaultCommand() string {
	return fmt.Sprintf(`curl -X POST %s/admin/faults -d '{"slow_factor":100}'`, d.fleet.Engines[0].URL())
}

// Run sends the workload and returns the report.
func (d *Demo) Run(ctx context.Context) Report {
	status, stopStatus := context.WithCancel(ctx)
	var printing sync.WaitGroup
	printing.Go(func() { d.printStatus(status) })
	var calls sync.WaitGroup
	for i := 0; (d.opt.Requests == 0 || i < d.opt.Requests) && ctx.Err() == nil; i++ {
		a := d.workload.nextAction()
		calls.Go(func() { d.execute(ctx, &a) })
		wait.Pause(ctx, a.interval)
	}
	calls.Wait()
	stopStatus()
	printing.Wait()
	return d.tally.report()
}

// Close stops the nodes and the stand-ins.
func (d *Demo) Close() error {
	d.http.CloseIdleConnections()
	return d.fleet.Close()
}

func (d *Demo) client(i int) *loadgen.Client {
	nodes := d.fleet.Nodes()
	return &loadgen.Client{BaseURL: nodes[i%len(nodes)].CallersURL(), HTTP: d.http}
}

// execute sends the request of an action. It ignores the cancellation of ctx, so that requests in
// progress when the demo is interrupted finish instead of being counted as errors.
func (d *Demo) execute(ctx context.Context, a *action) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if a.booking != nil {
		d.sendBooking(ctx, a)
		return
	}
	if a.abandonAfter == 0 {
		d.tally.recordChat(a.chat, d.client(a.node).Stream(ctx, a.chat), false)
		return
	}
	abandonCtx, cancelAbandon := context.WithTimeout(ctx, a.abandonAfter)
	defer cancelAbandon()
	result := d.client(a.node).Stream(abandonCtx, a.chat)
	d.tally.recordChat(a.chat, result, abandonCtx.Err() != nil)
}

// sendBooking sends a booking. It sends a duplicate booking through two nodes at the same time.
func (d *Demo) sendBooking(ctx context.Context, a *action) {
	var calls sync.WaitGroup
	results := make([]loadgen.Result, 1, 2)
	if a.duplicate {
		results = results[:2]
	}
	for i := range results {
		calls.Go(func() { results[i] = d.sendBookingOnce(ctx, a, a.node+i) })
	}
	calls.Wait()
	d.tally.recordBooking(results)
}

// retryDelay is the delay before a booking is sent again that was refused because it is in progress.
const retryDelay = 50 * time.Millisecond

func (d *Demo) sendBookingOnce(ctx context.Context, a *action, node int) loadgen.Result {
	for {
		result := d.client(node).CallService(ctx, a.booking)
		if result.Kind != fault.InProgress || ctx.Err() != nil {
			return result
		}
		wait.Pause(ctx, retryDelay)
	}
}

// statusInterval is the interval between status lines.
const statusInterval = time.Second

func (d *Demo) printStatus(ctx context.Context) {
	if d.opt.Progress == nil {
		return
	}
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintln(d.opt.Progress)
			return
		case <-ticker.C:
			r := d.tally.report()
			fmt.Fprintf(d.opt.Progress, "\r%d requests, %d complete, %d abandoned, %d refused, %d errors, hit rate %.2f, TTFT p50 %.0f ms p99 %.0f ms ",
				r.Requests, r.Complete, r.Abandoned, r.Refused, r.Errors, r.PrefixHitRate, r.TTFT.P50, r.TTFT.P99)
		}
	}
}
