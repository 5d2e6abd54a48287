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
	policy string
	trace  *trace
	fleet  *localfleet.Fleet
	ledger *enginestandin.Ledger
	http   *http.Client
	// measureFrom is the trace time at which results begin to count.
	measureFrom time.Duration

	mu     sync.Mutex
	counts counts
	ttft   *hdr.Histogram
	// before holds the engines' figures at the end of the warm-up.
	before  figures
	samples []Sample
	active  time.Duration
	// engineFaults are the faults in force; only the slice that runs changes them.
	engineFaults enginestandin.Faults
	actionErr    error
}

// counts sums up what callers saw.
type counts struct {
	requests, complete, abandoned, refused, errors, crossed int
	kinds                                                   map[fault.Kind]int
}

// figures are sums over the engines of a fleet.
type figures struct {
	computed, reused, decoded, cancelled int
	ledger                               enginestandin.LedgerTotals
	// work is the engine time spent, per engine.
	work []float64
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

func newPolicyRun(policy string, t *trace, fleet *localfleet.Fleet, ledger *enginestandin.Ledger, from time.Duration) *policyRun {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &policyRun{
		policy:      policy,
		trace:       t,
		fleet:       fleet,
		ledger:      ledger,
		http:        &http.Client{Transport: transport},
		measureFrom: from,
		ttft:        loadgen.NewHistogram(),
		counts:      counts{kinds: map[fault.Kind]int{}},
	}
}

// runSlice sends the arrivals of a slice at their times and returns when all have ended.
func (r *policyRun) runSlice(ctx context.Context, s slice, actions []action) {
	if s.from == r.measureFrom {
		r.before = r.figures()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	var background, requests sync.WaitGroup
	background.Go(func() { r.sample(ctx, s, begin) })
	background.Go(func() { r.act(ctx, s, begin, actions) })
	for i := range s.arrivals {
		a := &s.arrivals[i]
		if !sleepUntil(ctx, begin.Add(a.at-s.from)) {
			break
		}
		messages := r.trace.messages(a)
		requests.Go(func() { r.request(ctx, a, messages) })
	}
	sleepUntil(ctx, begin.Add(s.to-s.from))
	if s.from >= r.measureFrom {
		r.active += time.Since(begin)
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

// request sends one request as its caller does and notes what the caller saw.
func (r *policyRun) request(ctx context.Context, a *arrival, messages []openai.Message) {
	limit := requestTimeout
	if a.patience > 0 {
		limit = a.patience
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	text := openai.ChatText(messages)
	if a.patience > 0 {
		stop := context.AfterFunc(ctx, func() { r.ledger.MarkAbandoned(text) })
		defer stop()
	}
	result := r.send(ctx, a, messages)
	left := a.patience > 0 && ctx.Err() != nil
	if a.at >= r.measureFrom {
		r.note(a, text, left, &result)
	}
}

// send tries the nodes in the order of the load balancer, which passes over nodes that refuse
// connections.
func (r *policyRun) send(ctx context.Context, a *arrival, messages []openai.Message) loadgen.Result {
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
		n := nodes[(int(a.node)+i)%len(nodes)]
		client := loadgen.Client{BaseURL: n.CallersURL(), HTTP: r.http}
		result = client.Stream(ctx, chat)
		if result.Responded || ctx.Err() != nil {
			break
		}
	}
	return result
}

// note counts a result. Only callers who stay count for the time to first token, because those
// who leave early would hide the slowest answers. A request without an answer counts with the
// deadline.
func (r *policyRun) note(a *arrival, text string, left bool, result *loadgen.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.requests++
	if a.patience == 0 {
		ttft := result.TTFT
		if ttft == 0 {
			ttft = config.DefaultDeadline
		}
		loadgen.Record(r.ttft, ttft)
	}
	switch {
	case result.Complete && result.Text == enginestandin.Completion(text, a.seed, a.maxTokens):
		r.counts.complete++
	case result.Complete:
		r.counts.crossed++
	case left:
		r.counts.abandoned++
	case result.Kind != "" && result.Work == fault.NotRun:
		r.counts.refused++
		r.counts.kinds[result.Kind]++
	default:
		r.counts.errors++
		r.counts.kinds[result.Kind]++
	}
}

// figures sums up the engines.
func (r *policyRun) figures() figures {
	f := figures{ledger: r.ledger.Totals()}
	for i, e := range r.fleet.Engines {
		c := e.Counters()
		f.computed += c.ComputedTokens
		f.reused += c.ReusedTokens
		f.decoded += c.DecodedTokens
		f.cancelled += c.CancelledTokens
		work := r.trace.profile.engineConfig(i).ServiceTime(c.ComputedTokens, c.DecodedTokens)
		f.work = append(f.work, work.Seconds())
	}
	return f
}

// sample records the figures over time while a slice sends arrivals.
func (r *policyRun) sample(ctx context.Context, s slice, begin time.Time) {
	last := r.figures()
	for at := s.from + sampleInterval; at <= s.to; at += sampleInterval {
		if !sleepUntil(ctx, begin.Add(at-s.from)) {
			return
		}
		now := r.figures()
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
	r.http.CloseIdleConnections()
	return r.fleet.Close()
}
