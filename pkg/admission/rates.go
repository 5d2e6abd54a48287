package admission

import "time"

// rateGain is the weight of a new observation in the fitted rates.
const rateGain = 0.1

// minRateTokens is the smallest prefill that tells something about the rate; shorter ones are
// dominated by fixed costs.
const minRateTokens = 200

// defaultService is the assumed time that a request occupies a slot before any was observed.
const defaultService = 2 * time.Second

// defaultStep is the assumed time of a decode step before any was observed.
const defaultStep = 20 * time.Millisecond

// Rates are fitted online from the outcomes of one engine's requests.
type Rates struct {
	// secondsPerToken is averaged instead of its inverse, because times add up over requests.
	secondsPerToken float64
	service         float64
	step            float64
}

func newRates(prefillRate float64) Rates {
	return Rates{
		secondsPerToken: 1 / prefillRate,
		service:         defaultService.Seconds(),
		step:            defaultStep.Seconds(),
	}
}

// Prefill returns the prefill rate in tokens a second.
func (r *Rates) Prefill() float64 { return 1 / r.secondsPerToken }

// Service returns the mean time from first token to the end of a request.
func (r *Rates) Service() time.Duration { return time.Duration(r.service * float64(time.Second)) }

// Step returns the mean time of a decode step.
func (r *Rates) Step() time.Duration { return time.Duration(r.step * float64(time.Second)) }

// SetPrefill replaces the fitted prefill rate, for a new owner that learns it from the last one.
func (r *Rates) SetPrefill(tokensPerSecond float64) {
	if tokensPerSecond > 0 {
		r.secondsPerToken = 1 / tokensPerSecond
	}
}

func (r *Rates) observePrefill(tokens int, d time.Duration) {
	if tokens < minRateTokens || d <= 0 {
		return
	}
	r.secondsPerToken += rateGain * (d.Seconds()/float64(tokens) - r.secondsPerToken)
}

func (r *Rates) observeDecode(d time.Duration, outputTokens int, cut bool) {
	r.service += rateGain * (d.Seconds() - r.service)
	if !cut && outputTokens > 0 {
		r.step += rateGain * (d.Seconds()/float64(outputTokens) - r.step)
	}
}
