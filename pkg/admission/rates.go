package admission

import (
	"math"
	"time"
)

// rateGain is the weight of a new observation in the fitted service and step times.
const rateGain = 0.1

// prefillMemory is the number of prefilled tokens after which an observation of the prefill rate
// has lost half its weight.
const prefillMemory = 100_000.0

// minRateTokens is the smallest prefill that tells something about the rate. Shorter ones consist
// of fixed costs: one delay of 0.7 s on 68 tokens once made an engine seem five times slower.
const minRateTokens = 1000

// maxRateChange bounds the time per token of one observation, relative to the fitted one, so that
// a single delay does not change the rate much. An engine that stays slow is still followed.
const maxRateChange = 2.0

// priorTokens is the weight of the initial prefill rate.
const priorTokens = 4_000.0

// defaultService is the assumed time that a request occupies a slot before any was observed.
const defaultService = 2 * time.Second

// defaultStep is the assumed time of a decode step before any was observed.
const defaultStep = 20 * time.Millisecond

// Rates are fitted online from the outcomes of one engine's requests.
type Rates struct {
	// tokens and seconds are decaying sums over observed prefills; their ratio weighs long
	// prefills more, so that the fixed cost of a step does not distort the rate.
	tokens  float64
	seconds float64
	service float64
	step    float64
}

func newRates(prefillRate float64) Rates {
	return Rates{
		tokens:  priorTokens,
		seconds: priorTokens / prefillRate,
		service: defaultService.Seconds(),
		step:    defaultStep.Seconds(),
	}
}

// Prefill returns the prefill rate in tokens a second.
func (r *Rates) Prefill() float64 { return r.tokens / r.seconds }

// Service returns the mean time from first token to the end of a request.
func (r *Rates) Service() time.Duration { return time.Duration(r.service * float64(time.Second)) }

// Step returns the mean time of a decode step.
func (r *Rates) Step() time.Duration { return time.Duration(r.step * float64(time.Second)) }

// SetPrefill replaces the fitted prefill rate, for a new owner that learns it from the last one.
func (r *Rates) SetPrefill(tokensPerSecond float64) {
	if tokensPerSecond > 0 {
		r.tokens = priorTokens
		r.seconds = priorTokens / tokensPerSecond
	}
}

func (r *Rates) observePrefill(tokens int, d time.Duration) {
	if tokens < minRateTokens || d <= 0 {
		return
	}
	most := maxRateChange * float64(tokens) / r.Prefill()
	keep := math.Exp2(-float64(tokens) / prefillMemory)
	r.tokens = r.tokens*keep + float64(tokens)
	r.seconds = r.seconds*keep + min(d.Seconds(), most)
}

func (r *Rates) observeDecode(d time.Duration, outputTokens int, cut bool) {
	r.service += rateGain * (d.Seconds() - r.service)
	if !cut && outputTokens > 0 {
		r.step += rateGain * (d.Seconds()/float64(outputTokens) - r.step)
	}
}
