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

// Report contains the results of a run.
type Report struct {
	Requests  int `json:"requests"`
	Complete  int `json:"complete"`
	Abandoned int `json:"abandoned"`
	Refused   int `json:"refused"`
	// Errors counts the other requests: those whose response was cut, differed from the expected text or
	// did not arrive.
	Errors int `json:"errors"`
	// Crossed counts responses with text that does not belong to their request.
	Crossed int `json:"crossed"`
	// DoubleRuns counts non-idempotent requests that the backend servers ran more than once.
	DoubleRuns    int     `json:"double_runs"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// WastedTokensShare is the share of computed and decoded tokens that engines spent on requests that
	// were cancelled or lost.
	WastedTokensShare float64           `json:"wasted_tokens_share"`
	TTFT              loadgen.Quantiles `json:"ttft_ms"`
}

// OK reports whether there were no errors, crossed responses or double runs.
func (r *Report) OK() bool { return r.Errors == 0 && r.Crossed == 0 && r.DoubleRuns == 0 }

// tally collects the results of the workload's requests.
type tally struct {
	fleet  *localfleet.Fleet
	mu     sync.Mutex
	counts Report
	ttft   *hdrhistogram.Histogram
}

func newTally(fleet *localfleet.Fleet) *tally {
	return &tally{fleet: fleet, ttft: loadgen.NewHistogram()}
}

// recordChat records the result of a chat. An abandoned chat may have received any prefix of the
// expected text.
func (t *tally) recordChat(chat *loadgen.Chat, r loadgen.Result, abandoned bool) {
	expected := enginestandin.Completion(openai.ChatText(chat.Messages), chat.Seed, chat.MaxTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	if r.TTFT > 0 {
		loadgen.Record(t.ttft, r.TTFT)
	}
	if !strings.HasPrefix(expected, r.Text) {
		t.counts.Crossed++
	}
	switch {
	case r.Complete && r.Text == expected:
		t.counts.Complete++
	case abandoned:
		t.counts.Abandoned++
	case r.Kind != "" && r.Text == "":
		t.counts.Refused++
	default:
		t.counts.Errors++
	}
}

// recordBooking records a booking with the results of all calls that sent it. It is complete if each
// call got the service's response, and crossed if the responses differ.
func (t *tally) recordBooking(results []loadgen.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	completed, refused := 0, 0
	for _, r := range results {
		switch {
		case r.Complete:
			completed++
		case r.Work == fault.NotRun:
			refused++
		}
		if r.Complete && results[0].Complete && r.Text != results[0].Text {
			t.counts.Crossed++
		}
	}
	switch {
	case completed == len(results):
		t.counts.Complete++
	case completed+refused == len(results):
		t.counts.Refused++
	default:
		t.counts.Errors++
	}
}

// report returns the results so far.
func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.counts
	r.TTFT = loadgen.QuantilesOf(t.ttft)
	reused, computed, wasted, total := 0, 0, 0, 0
	for _, e := range t.fleet.Engines {
		c := e.Counters()
		reused += c.ReusedTokens
		computed += c.ComputedTokens
		wasted += c.CancelledTokens
		total += c.ComputedTokens + c.DecodedTokens
	}
	for _, ledger := range t.fleet.Platform.Ledgers {
		r.DoubleRuns += ledger.DuplicateExecutions()
	}
	r.PrefixHitRate = loadgen.Ratio(reused, reused+computed)
	r.WastedTokensShare = loadgen.Ratio(wasted, total)
	return r
}
