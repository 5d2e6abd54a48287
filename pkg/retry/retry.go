// Package retry decides whether a failed attempt is retried, and after which delay. It does no I/O
// and takes the time and its random source as arguments.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig configures a retry budget. Zero values take the defaults stated at each field.
type BudgetConfig struct {
	// RetryRatio is the number of retries per first attempt, in the long run. Default 0.1.
	RetryRatio float64
	// Burst is the maximum balance: the number of retries that can be saved up. Default 10.
	Burst float64
	// Window is the time in which a full unused balance expires down to the reserve. Default 10 s.
	Window time.Duration
	// Reserve is the number of retries that the budget holds without traffic. After use it refills
	// within a minute. Default 1.
	Reserve float64
}

// reserveRefillTime is the time in which a used reserve refills.
const reserveRefillTime = time.Minute

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.RetryRatio == 0 {
		c.RetryRatio = 0.1
	}
	if c.Burst == 0 {
		c.Burst = 10
	}
	if c.Window == 0 {
		c.Window = 10 * time.Second
	}
	if c.Reserve == 0 {
		c.Reserve = 1
	}
	c.Burst = max(c.Burst, c.Reserve)
	return c
}

// Budget is a retry budget: a token bucket that limits retries to a share of the traffic, so that
// retries cannot multiply the load of failing backends. A new budget holds its reserve. It is not
// safe for concurrent use.
type Budget struct {
	config  BudgetConfig
	tokens  float64
	updated time.Time
	refused uint64
}

// NewBudget returns a budget that starts at now.
func NewBudget(now time.Time, config BudgetConfig) *Budget {
	config = config.withDefaults()
	return &Budget{config: config, tokens: config.Reserve, updated: now}
}

// Deposit records a first attempt, which adds RetryRatio to the balance.
func (b *Budget) Deposit(now time.Time) {
	b.updateBalance(now)
	b.tokens = min(b.config.Burst, b.tokens+b.config.RetryRatio)
}

// TryWithdraw reports whether the balance covers a retry of a first attempt, and deducts the retry
// if so. Retries of retries are not sent; callers use Decide, which enforces that.
func (b *Budget) TryWithdraw(now time.Time) bool {
	b.updateBalance(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Refused returns the number of retries that the budget refused.
func (b *Budget) Refused() uint64 { return b.refused }

// updateBalance lets the balance above the reserve expire linearly over the window and refills a
// used reserve, so that traffic too sparse to earn a retry within the window can still retry.
func (b *Budget) updateBalance(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	reserve := b.config.Reserve
	if b.tokens > reserve {
		expired := b.config.Burst * float64(elapsed) / float64(b.config.Window)
		b.tokens = max(reserve, b.tokens-expired)
		return
	}
	b.tokens = min(reserve, b.tokens+reserve*float64(elapsed)/float64(reserveRefillTime))
}

// Attempt describes a failed attempt.
type Attempt struct {
	// IsRetry is set if the attempt was itself a retry, by this node or by the caller.
	IsRetry bool
	// Retriable is set if sending the request again is safe and can succeed.
	Retriable bool
	// RetryAfter is the minimum delay that the backend requested; zero for none.
	RetryAfter time.Duration
	// Deadline is the latest useful start of a retry; zero for none.
	Deadline time.Time
}

// Backoff configures the delay before a retry. Zero values take the defaults stated at each field.
type Backoff struct {
	// MaxDelay is the upper bound of the random delay, which is uniform between 0 and MaxDelay.
	// Default 100 ms.
	MaxDelay time.Duration
}

// defaultMaxDelay spreads the retries after a failure of a backend without taking up much of the
// time that callers wait.
const defaultMaxDelay = 100 * time.Millisecond

// Delay returns minDelay plus a random delay of up to MaxDelay (full jitter).
func (b Backoff) Delay(random *rand.Rand, minDelay time.Duration) time.Duration {
	maxDelay := b.MaxDelay
	if maxDelay <= 0 {
		maxDelay = defaultMaxDelay
	}
	return minDelay + time.Duration(random.Int64N(int64(maxDelay)+1))
}

// Decide reports whether to retry after a failed attempt, and the delay before the retry. It
// withdraws from the budget only if it allows the retry.
func Decide(now time.Time, attempt Attempt, budget *Budget, backoff Backoff, random *rand.Rand) (time.Duration, bool) {
	if attempt.IsRetry || !attempt.Retriable {
		return 0, false
	}
	delay := backoff.Delay(random, attempt.RetryAfter)
	if !attempt.Deadline.IsZero() && now.Add(delay).After(attempt.Deadline) {
		return 0, false
	}
	return delay, budget.TryWithdraw(now)
}
