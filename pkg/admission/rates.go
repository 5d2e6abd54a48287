package admission

import (
	"math"
	"time"
)

// smoothingFactor is the weight of a new observation in the fitted service and step times.
const smoothingFactor = 0.1

// prefillHalfLifeTokens is the number of prefilled tokens after which an observation of the prefill rate
// has lost half its weight.
const prefillHalfLifeTokens = 100_000.0

// minRateTokens is the smallest prefill that tells something about the rate. Shorter ones consist
// of fixed costs: one delay of 0.7 s on 68 tokens once made an engine seem five times slower.
const minRateTokens = 1000

// maxRateChange bounds the time per token of one observation, relative to the fitted one, so that
// a single delay does not change the rate much. An engine that stays slow is still followed.
const maxRateChange = 2.0

// priorTokens is the weight of the initial prefill rate.
const priorTokens = 4_000.0

// defaultDecodeTime is the assumed time that a request occupies a slot before any was observed.
const defaultDecodeTime = 2 * time.Second

// defaultStepTime is the assumed time of a decode step before any was observed.
const defaultStepTime = 20 * time.Millisecond

// Rates are fitted online from the outcomes of one engine's requests.
type Rates struct {
	// prefillTokens and seconds are decaying sums over observed prefills; their ratio weighs long
	// prefills more, so that the fixed cost of a step does not distort the rate.
	prefillTokens  float64
	prefillSeconds float64
	decodeSeconds  float64
	stepSeconds    float64
}

func newRates(prefillRate float64) Rates {
	return Rates{
		prefillTokens:  priorTokens,
		prefillSeconds: priorTokens / prefillRate,
		decodeSeconds:  defaultDecodeTime.Seconds(),
		stepSeconds:    defaultStepTime.Seconds(),
	}
}

// PrefillRate returns the prefill rate in tokens a second.
func (r *Rates) PrefillRate() float64 { return r.prefillTokens / r.prefillSeconds }

// DecodeTime returns the mean time from first token to the end of a request.
func (r *Rates) DecodeTime() time.Duration {
	return time.Duration(r.decodeSeconds * float64(time.Second))
}

// StepTime returns the mean time of a decode step.
func (r *Rates) StepTime() time.Duration { return time.Duration(r.stepSeconds * float64(time.Second)) }

// SetPrefillRate replaces the fitted prefill rate, for a new owner that learns it from the last one.
func (r *Rates) SetPrefillRate(tokensPerSecond float64) {
	if tokensPerSecond > 0 {
		r.prefillTokens = priorTokens
		r.prefillSeconds = priorTokens / tokensPerSecond
	}
}

func (r *Rates) observePrefill(tokens int, elapsed time.Duration) {
	if tokens < minRateTokens || elapsed <= 0 {
		return
	}
	maxSeconds := maxRateChange * float64(tokens) / r.PrefillRate()
	decay := math.Exp2(-float64(tokens) / prefillHalfLifeTokens)
	r.prefillTokens = r.prefillTokens*decay + float64(tokens)
	r.prefillSeconds = r.prefillSeconds*decay + min(elapsed.Seconds(), maxSeconds)
}

func (r *Rates) observeDecode(elapsed time.Duration, outputTokens int, truncated bool) {
	r.decodeSeconds += smoothingFactor * (elapsed.Seconds() - r.decodeSeconds)
	if !truncated && outputTokens > 0 {
		r.stepSeconds += smoothingFactor * (elapsed.Seconds()/float64(outputTokens) - r.stepSeconds)
	}
}
