package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/localfleet"
	"cassiawall.example/cassiawall/pkg/openai"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

const (
	// requestTimeout ends a request that nothing else ends, so that a slice cannot hang.
	requestTimeout = 60 * time.Second
	// sampleInterval is the resolution of the figures over time.
	sampleInterval = 500 * time.Millisecond
	// idleConnections is the number of idle connections kept per node.
	idleConnections = 512
)

// policyRun runs one policy's share of the slices on its own fleet.
type policyRun struct {
	policy     string
	trace      *requestTrace
	fleet      *localfleet.Fleet
	ledger     *enginestandin.Ledger
	httpClient *http.Client
	// measureFrom is the trace time at which results begin to count.
	measureFrom time.Duration

	mu     sync.Mutex
	counts resultCounts
	ttft   *hdr.Histogram
	// warmUpTotals holds the engines' figures at the end of the warm-up.
	warmUpTotals engineTotals
	samples      []Sample
	measuredTime time.Duration
	// engineFaults are the faults in force; only the slice that runs changes them.
	engineFaults enginestandin.Faults
	actionErr    error
}

// resultCounts sums up what callers saw.
type resultCounts struct {
	requests, complete, abandoned, refused, errors, crossed int
	errorKinds                                              map[fault.Kind]int
}

// engineTotals are sums over the engines of a fleet.
type engineTotals struct {
	computed, reused, decoded, cancelled int
	ledger                               enginestandin.LedgerTotals
	// busySeconds is the engine time spent, per engine.
	busySeconds []float64
}

// Sample holds the figures of a short time. At is the trace time at its end.
type Sample struct {
	At       time.Duration `json:"at_ns"`
	Computed int           `json:"computed_tokens"`
	Reused   int           `json:"reused_tokens"`
	Decoded  int           `json:"decoded_tokens"`
	// Cancelled is work on requests that were cancelled in this time.
	Cancelled int `json:"cancelled_tokens"`
	// AfterAbandonment is work on requests whose callers had left.
	AfterAbandonment int64 `json:"after_abandonment_tokens"`
}

// HitRate returns the share of prompt tokens that came from a cache.
func (s *Sample) HitRate() float64 { return loadgen.Ratio(s.Reused, s.Reused+s.Computed) }

func newPolicyRun(policy string, trace *requestTrace, fleet *localfleet.Fleet, ledger *enginestandin.Ledger, measureFrom time.Duration) *policyRun {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &policyRun{
		policy:      policy,
		trace:       trace,
		fleet:       fleet,
		ledger:      ledger,
		httpClient:  &http.Client{Transport: transport},
		measureFrom: measureFrom,
		ttft:        loadgen.NewHistogram(),
		counts:      resultCounts{errorKinds: map[fault.Kind]int{}},
	}
}

// runSlice sends the arrivals of a slice at their times and returns when all have ended.
func (r *policyRun) runSlice(ctx context.Context, s traceSlice, actions []faultAction) {
	if s.from == r.measureFrom {
		r.warmUpTotals = r.engineTotals()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var background, requests sync.WaitGroup
	background.Go(func() { r.recordSamples(ctx, s, start) })
	background.Go(func() { r.runFaultActions(ctx, s, start, actions) })
	for i := range s.arrivals {
		a := &s.arrivals[i]
		if !sleepUntil(ctx, start.Add(a.at-s.from)) {
			break
		}
		messages := r.trace.messages(a)
		requests.Go(func() { r.sendRequest(ctx, a, messages) })
	}
	sleepUntil(ctx, start.Add(s.to-s.from))
	if s.from >= r.measureFrom {
		r.measuredTime += time.Since(start)
	}
	requests.Wait()
	cancel()
	background.Wait()
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends one request as its caller does and notes what the caller saw.
func (r *policyRun) sendRequest(ctx context.Context, a *arrival, messages []openai.Message) {
	timeout := requestTimeout
	if a.cancelAfter > 0 {
		timeout = a.cancelAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	prompt := openai.ChatText(messages)
	if a.cancelAfter > 0 {
		stop := context.AfterFunc(ctx, func() { r.ledger.Abandon(prompt) })
		defer stop()
	}
	result := r.sendWithFailover(ctx, a, messages)
	disconnected := a.cancelAfter > 0 && ctx.Err() != nil
	if a.at >= r.measureFrom {
		r.recordResult(a, prompt, disconnected, &result)
	}
}

// sendWithFailover tries the nodes in the order of the load balancer, which passes over nodes that refuse
// connections.
func (r *policyRun) sendWithFailover(ctx context.Context, a *arrival, messages []openai.Message) loadgen.Result {
	chat := &loadgen.Chat{
		APIKey:    apiKey(a.workspace),
		Caller:    fmt.Sprintf("caller-%v", a.path),
		Model:     r.trace.profile.Model,
		MaxTokens: a.maxTokens,
		Seed:      a.seed,
		Messages:  messages,
	}
	nodes := r.fleet.Nodes()
	var result loadgen.Result
	for i := range nodes {
		n := nodes[(int(a.nodeIndex)+i)%len(nodes)]
		client := loadgen.Client{BaseURL: n.CallersURL(), HTTP: r.httpClient}
		result = client.Stream(ctx, chat)
		if result.Responded || ctx.Err() != nil {
			break
		}
	}
	return result
}

// recordResult counts a result. Only callers who stay count for the time to first token, because those
// who leave early would hide the slowest answers. A request without an answer counts with the
// deadline.
func (r *policyRun) recordResult(a *arrival, prompt string, disconnected bool, result *loadgen.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.requests++
	if a.cancelAfter == 0 {
		ttft := result.TTFT
		if ttft == 0 {
			ttft = config.DefaultDeadline
		}
		loadgen.Record(r.ttft, ttft)
	}
	switch {
	case result.Complete && result.Text == enginestandin.Answer(prompt, a.seed, a.maxTokens):
		r.counts.complete++
	case result.Complete:
		r.counts.crossed++
	case disconnected:
		r.counts.abandoned++
	case result.Kind != "" && result.Work == fault.NotRun:
		r.counts.refused++
		r.counts.errorKinds[result.Kind]++
	default:
		r.counts.errors++
		r.counts.errorKinds[result.Kind]++
	}
}

// engineTotals sums up the engines.
func (r *policyRun) engineTotals() engineTotals {
	f := engineTotals{ledger: r.ledger.Totals()}
	for i, e := range r.fleet.Engines {
		c := e.Counters()
		f.computed += c.ComputedTokens
		f.reused += c.ReusedTokens
		f.decoded += c.DecodedTokens
		f.cancelled += c.CancelledTokens
		work := r.trace.profile.engineConfig(i).Work(c.ComputedTokens, c.DecodedTokens)
		f.busySeconds = append(f.busySeconds, work.Seconds())
	}
	return f
}

// recordSamples records the figures over time while a slice sends arrivals.
func (r *policyRun) recordSamples(ctx context.Context, s traceSlice, start time.Time) {
	last := r.engineTotals()
	for at := s.from + sampleInterval; at <= s.to; at += sampleInterval {
		if !sleepUntil(ctx, start.Add(at-s.from)) {
			return
		}
		now := r.engineTotals()
		r.samples = append(r.samples, Sample{
			At:               at,
			Computed:         now.computed - last.computed,
			Reused:           now.reused - last.reused,
			Decoded:          now.decoded - last.decoded,
			Cancelled:        now.cancelled - last.cancelled,
			AfterAbandonment: now.ledger.AfterAbandonment - last.ledger.AfterAbandonment,
		})
		last = now
	}
}

// close ends the fleet.
func (r *policyRun) close() error {
	r.httpClient.CloseIdleConnections()
	return r.fleet.Close()
}
