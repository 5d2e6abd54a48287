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
	// requestTimeout is the timeout of a request whose caller stays, so that a slice cannot hang.
	requestTimeout = 60 * time.Second
	// sampleInterval is the time between two samples.
	sampleInterval = 500 * time.Millisecond
	// idleConnections is the maximum number of idle HTTP connections per node.
	idleConnections = 512
)

// policyRun runs the slices of a bench for one policy, on a fleet of its own.
type policyRun struct {
	policy     string
	trace      *requestTrace
	fleet      *localfleet.Fleet
	ledger     *enginestandin.Ledger
	httpClient *http.Client
	// measureFrom is the trace time at which the warm-up ends and results begin to count.
	measureFrom time.Duration

	mu     sync.Mutex
	counts resultCounts
	ttft   *hdr.Histogram
	// warmUpTotals are the totals of the engines at the end of the warm-up.
	warmUpTotals engineTotals
	samples      []Sample
	// measuredTime is the sum of the durations of the measured slices.
	measuredTime time.Duration
	// engineFaults are the faults in force. Only runFaultActions accesses them, for one slice at a
	// time, and so without mu.
	engineFaults enginestandin.Faults
	// actionErr is the last error of a fault action.
	actionErr error
}

// resultCounts counts requests by their outcome for the caller.
type resultCounts struct {
	requests, complete, abandoned, refused, errors, crossed int
	errorKinds                                              map[fault.Kind]int
}

// engineTotals are sums over the engines of a fleet, in tokens.
type engineTotals struct {
	computed, reused, decoded, cancelled int
	ledger                               enginestandin.LedgerTotals
	// busySeconds is the computing time of each engine.
	busySeconds []float64
}

// Sample holds the figures of one sample interval. At is the trace time at its end.
type Sample struct {
	At       time.Duration `json:"at_ns"`
	Computed int           `json:"computed_tokens"`
	Reused   int           `json:"reused_tokens"`
	Decoded  int           `json:"decoded_tokens"`
	// Cancelled is the work on requests that were cancelled or lost in a crash in the interval,
	// including their work in earlier intervals.
	Cancelled int `json:"cancelled_tokens"`
	// AfterAbandonment is the work in the interval on requests whose callers had disconnected.
	AfterAbandonment int64 `json:"after_abandonment_tokens"`
}

// HitRate returns the share of prompt tokens that came from a cache, or 0 without prompt tokens.
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

// runSlice sends the requests of a slice at their arrival times, runs the fault actions, and
// returns when all requests have ended.
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

// sleepUntil sleeps until a time. It returns false if ctx ends first.
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

// sendRequest sends one request, disconnects when the caller's patience ends, and records the
// outcome if the request belongs to the measured time.
func (r *policyRun) sendRequest(ctx context.Context, a *arrival, messages []openai.Message) {
	timeout := requestTimeout
	if a.cancelAfter > 0 {
		timeout = a.cancelAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	prompt := openai.ChatText(messages)
	if a.cancelAfter > 0 {
		stop := context.AfterFunc(ctx, func() { r.ledger.MarkAbandoned(prompt) })
		defer stop()
	}
	result := r.sendWithFailover(ctx, a, messages)
	disconnected := a.cancelAfter > 0 && ctx.Err() != nil
	if a.at >= r.measureFrom {
		r.recordResult(a, prompt, disconnected, &result)
	}
}

// sendWithFailover sends a request to the node that the load balancer chose, and to the next node
// while a node does not respond, as a load balancer skips nodes that refuse connections.
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

// recordResult counts the outcome of a request. The time to first token includes only callers who
// stay, because callers who disconnect cut off the slowest responses. A request without a first
// token counts with the default deadline.
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
	case result.Complete && result.Text == enginestandin.Completion(prompt, a.seed, a.maxTokens):
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

// engineTotals returns the sums of the engines' counters since the start of the fleet.
func (r *policyRun) engineTotals() engineTotals {
	f := engineTotals{ledger: r.ledger.Totals()}
	for i, e := range r.fleet.Engines {
		c := e.Counters()
		f.computed += c.ComputedTokens
		f.reused += c.ReusedTokens
		f.decoded += c.DecodedTokens
		f.cancelled += c.CancelledTokens
		work := r.trace.profile.engineConfig(i).ServiceTime(c.ComputedTokens, c.DecodedTokens)
		f.busySeconds = append(f.busySeconds, work.Seconds())
	}
	return f
}

// recordSamples records a sample per sample interval until the end of a slice.
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

// close closes idle connections and stops the fleet.
func (r *policyRun) close() error {
	r.httpClient.CloseIdleConnections()
	return r.fleet.Close()
}
