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
	WastedTokensShare float64           `json:"wasted_tokens_share"`
	TTFT              loadgen.Quantiles `json:"ttft_ms"`
}

// OK reports whether no answer was cut, crossed or run twice.
func (r *Report) OK() bool { return r.Errors == 0 && r.Crossed == 0 && r.DoubleRuns == 0 }

// tally counts what the callers see.
type tally struct {
	fleet *localfleet.Fleet
	mu    sync.Mutex
	sum   Report
	ttft  *hdrhistogram.Histogram
}

func newTally(fleet *localfleet.Fleet) *tally {
	return &tally{fleet: fleet, ttft: loadgen.NewHistogram()}
}

// chatDone counts a chat. A caller that left may have got any prefix of its answer.
func (t *tally) chatDone(chat *loadgen.Chat, r loadgen.Result, left bool) {
	expected := enginestandin.Completion(openai.ChatText(chat.Messages), chat.Seed, chat.MaxTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Requests++
	if r.TTFT > 0 {
		loadgen.Record(t.ttft, r.TTFT)
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
	r.TTFT = loadgen.QuantilesOf(t.ttft)
	reused, computed, wasted, total := 0, 0, 0, 0
	for _, e := range t.fleet.Engines {
		c := e.Counters()
		reused += c.ReusedTokens
		computed += c.ComputedTokens
		wasted += c.CancelledTokens
		total += c.ComputedTokens + c.DecodedTokens
	}
	for _, ledger := range t.fleet.Platform.Services {
		r.DoubleRuns += ledger.DuplicateExecutions()
	}
	r.PrefixHitRate = loadgen.Ratio(reused, reused+computed)
	r.WastedTokensShare = loadgen.Ratio(wasted, total)
	return r
}
