package admission

import (
	"math"
	"time"
)

// smoothingFactor is the weight of a new observation in the moving averages of the decode time and
// the step time.
const smoothingFactor = 0.1

// prefillHalfLifeTokens is the number of prefilled tokens after which an observation of the prefill
// rate has lost half its weight.
const prefillHalfLifeTokens = 100_000.0

// minRateTokens is the smallest prefill from which the rate is estimated. Shorter ones consist of
// fixed costs: a delay of 0.7 s in a prefill of 68 tokens makes an engine appear five times slower.
const minRateTokens = 1000

// maxRateChange bounds the time per token of one observation to this multiple of the estimate, so
// that a single delay does not change the rate much. The estimate still follows an engine that
// stays slow.
const maxRateChange = 2.0

// priorTokens is the weight of the initial prefill rate, in prefilled tokens.
const priorTokens = 4_000.0

// defaultDecodeTime is the assumed time from the first token to the end of a request until one is
// observed.
const defaultDecodeTime = 2 * time.Second

// defaultStepTime is the assumed time of a decode step until one is observed.
const defaultStepTime = 20 * time.Millisecond

// Rates estimates the prefill rate, the decode time and the step time of one engine from its
// requests.
type Rates struct {
	// prefillTokens and prefillSeconds are decaying sums over the observed prefills. Their ratio
	// gives long prefills more weight, so that the fixed cost of a step does not distort the rate.
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

// PrefillRate returns the estimated prefill rate, in tokens per second.
func (r *Rates) PrefillRate() float64 { return r.prefillTokens / r.prefillSeconds }

// DecodeTime returns the mean time from the first token to the end of a request.
func (r *Rates) DecodeTime() time.Duration {
	return time.Duration(r.decodeSeconds * float64(time.Second))
}

// StepTime returns the mean time of a decode step.
func (r *Rates) StepTime() time.Duration { return time.Duration(r.stepSeconds * float64(time.Second)) }

// SetPrefillRate replaces the estimated prefill rate. A new owner of the engine passes the rate
// that the previous owner published. Values of 0 or less are ignored.
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
