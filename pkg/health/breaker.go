// Package health decides which backends receive requests: circuit breakers, outlier detection, slow
// start and detection of leaving backends, which announce their shutdown or are reported as leaving
// by the VM list. It does no I/O and takes the time as an argument.
package health

import "cassiawall.example/cassiawall/pkg/defaults"

import "time"

// BreakerConfig configures a circuit breaker. Zero values take the defaults stated at each field.
type BreakerConfig struct {
	// FailureThreshold is the number of consecutive failures that open the breaker. Default 5.
	FailureThreshold int
	// OpenDuration is how long the breaker stays open at first. It doubles with each failed probe,
	// up to MaxOpenDuration. Defaults 1 s and 30 s.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
	// ProbeTimeout is the time after which a probe without a result no longer blocks the next
	// probe. Default 10 s.
	ProbeTimeout time.Duration
}

func (c BreakerConfig) withDefaults() BreakerConfig {
	defaults.Set(&c.FailureThreshold, 5)
	defaults.Set(&c.OpenDuration, time.Second)
	defaults.Set(&c.MaxOpenDuration, 30*time.Second)
	defaults.Set(&c.ProbeTimeout, 10*time.Second)
	return c
}

// BreakerState is the state of a circuit breaker.
type BreakerState int

// States of a circuit breaker. A half-open breaker admits one probe.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// String returns the state's name for logs and reports.
func (s BreakerState) String() string { return [...]string{"closed", "open", "half-open"}[s] }

// Breaker is the circuit breaker of one backend: it stops requests after consecutive failures. It
// is not safe for concurrent use.
type Breaker struct {
	config       BreakerConfig
	state        BreakerState
	failures     int
	openDuration time.Duration
	// until is the end of the open state, or of the wait for a probe's result.
	until time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) *Breaker { return &Breaker{config: config.withDefaults()} }

// State returns the state at now.
func (b *Breaker) State(now time.Time) BreakerState {
	if b.state == Open && !now.Before(b.until) {
		return HalfOpen
	}
	return b.state
}

// Allow reports whether a request may be sent. After the open state it admits one request as the
// probe. The sender reports the result with Record.
func (b *Breaker) Allow(now time.Time) bool {
	if b.state == Closed {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.state = HalfOpen
	b.until = now.Add(b.config.ProbeTimeout)
	return true
}

// Record applies the result of a request. Results that arrive while the breaker is open belong to
// earlier requests and are ignored.
func (b *Breaker) Record(now time.Time, ok bool) {
	switch {
	case b.state == Open:
	case ok:
		b.state = Closed
		b.failures = 0
		b.openDuration = 0
	case b.state == HalfOpen:
		b.open(now)
	default:
		b.failures++
		if b.failures >= b.config.FailureThreshold {
			b.open(now)
		}
	}
}

func (b *Breaker) open(now time.Time) {
	b.openDuration = min(max(b.config.OpenDuration, 2*b.openDuration), b.config.MaxOpenDuration)
	b.state = Open
	b.until = now.Add(b.openDuration)
}
