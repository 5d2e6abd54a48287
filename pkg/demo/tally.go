package demo

import (
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/localfleet"
	"cassiawall.example/cassiawall/pkg/openai"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Report sums up a run.
type Report struct {
	Requests  int `json:"requests"`
	Complete  int `json:"complete"`
	Abandoned int `json:"abandoned"`
	Refused   int `json:"refused"`
	// Errors counts answers that were cut, with or without a typed error.
	Errors int `json:"errors"`
	// Crossed counts answers with text that is not of their own request.
	Crossed int `json:"crossed"`
	// DoubleRuns counts non-idempotent requests that a backend server ran more than once.
	DoubleRuns    int     `json:"double_runs"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// WastedTokensShare is the share of the engines' tokens that no caller got.
	WastedTokensShare float64     `json:"wasted_tokens_share"`
	TTFT              Percentiles `json:"ttft_ms"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// OK reports whether no answer was cut, crossed or run twice.
func (r *Report) OK() bool { return r.Errors == 0 && r.Crossed == 0 && r.DoubleRuns == 0 }

// Bounds of the histogram of times to first token, in microseconds.
const (
	minMicros        = 1
	maxMicros        = 120_000_000
	significantDigit = 3
)

// tally counts what the callers see.
type tally struct {
	fleet *localfleet.Fleet
	mu    sync.Mutex
	sum   Report
	ttft  *hdrhistogram.Histogram
}

func newTally(fleet *localfleet.Fleet) *tally {
	return &tally{fleet: fleet, ttft: hdrhistogram.New(minMicros, maxMicros, significantDigit)}
}

// chatDone counts a chat. A caller that left may have got any prefix of its answer.
func (t *tally) chatDone(chat *loadgen.Chat, r loadgen.Result, left bool) {
	expected := enginestandin.Answer(openai.ChatText(chat.Messages), chat.Seed, chat.MaxTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Requests++
	if r.TTFT > 0 {
		// Values above the histogram's range cannot occur: calls are bounded by callTimeout.
		_ = t.ttft.RecordValue(r.TTFT.Microseconds())
	}
	if !strings.HasPrefix(expected, r.Text) {
		t.sum.Crossed++
	}
	switch {
	case r.Complete && r.Text == expected:
		t.sum.Complete++
	case left:
		t.sum.Abandoned++
	case r.Kind != "" && r.Text == "":
		t.sum.Refused++
	default:
		t.sum.Errors++
	}
}

// bookingDone counts a booking by the calls that its caller made. It is complete if each call got
// the service's answer, and crossed if the answers differ.
func (t *tally) bookingDone(results []loadgen.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Requests++
	answered, refused := 0, 0
	for _, r := range results {
		switch {
		case r.Complete:
			answered++
		case r.Work == fault.NotRun:
			refused++
		}
		if r.Complete && results[0].Complete && r.Text != results[0].Text {
			t.sum.Crossed++
		}
	}
	switch {
	case answered == len(results):
		t.sum.Complete++
	case answered+refused == len(results):
		t.sum.Refused++
	default:
		t.sum.Errors++
	}
}

// report returns the counts so far.
func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sum
	const perMillisecond = 1000.0
	r.TTFT.P50 = float64(t.ttft.ValueAtQuantile(50)) / perMillisecond
	r.TTFT.P95 = float64(t.ttft.ValueAtQuantile(95)) / perMillisecond
	r.TTFT.P99 = float64(t.ttft.ValueAtQuantile(99)) / perMillisecond
	reused, computed, wasted, total := 0, 0, 0, 0
	for _, e := range t.fleet.Engines {
		c := e.Counters()
		reused += c.ReusedTokens
		computed += c.ComputedTokens
		wasted += c.CancelledTokens
		total += c.ComputedTokens + c.DecodedTokens
	}
	for _, ledger := range t.fleet.Platform.Services {
		r.DoubleRuns += ledger.DoubleRuns()
	}
	r.PrefixHitRate = share(reused, reused+computed)
	r.WastedTokensShare = share(wasted, total)
	return r
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
