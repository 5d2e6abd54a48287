// Package retry decides whether and when to retry. It does no I/O and takes the time and its
// random source as arguments.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig sets a retry budget. Zero values take the defaults stated at each field.
type BudgetConfig struct {
	// RetryRatio is the number of retries per first attempt, in the long run. Default 0.1.
	RetryRatio float64
	// Burst is the number of retries that quiet traffic can save up. Default 10.
	Burst float64
	// Window is the time after which unused budget above the reserve is worth nothing. Default
	// 10 s.
	Window time.Duration
	// Reserve is the number of retries that the budget holds without traffic. It comes back
	// within a minute after use. Default 1.
	Reserve float64
}

// reserveRefillTime is the time in which a used reserve comes back.
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

// Budget bounds retries to a share of the traffic, so that retries cannot multiply the load of
// failing backends. A new budget holds its reserve. It is not safe for concurrent use.
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

// Deposit notes a first attempt, which earns a share of a retry.
func (b *Budget) Deposit(now time.Time) {
	b.updateBalance(now)
	b.tokens = min(b.config.Burst, b.tokens+b.config.RetryRatio)
}

// TryWithdraw reports whether a retry of a first attempt may be sent, and pays for it. Retries of
// retries are not sent; callers use Next, which holds that rule.
func (b *Budget) TryWithdraw(now time.Time) bool {
	b.updateBalance(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Refused returns the number of retries that the budget did not cover.
func (b *Budget) Refused() uint64 { return b.refused }

// updateBalance lets unused budget fall linearly to the reserve within the window, and a used reserve come
// back, so that traffic too thin to earn a retry in the window can still retry.
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

// Attempt describes an attempt that has failed.
type Attempt struct {
	// IsRetry says that the attempt was itself a retry, here or at the caller.
	IsRetry bool
	// Retriable says that sending the request again is safe and can help.
	Retriable bool
	// RetryAfter is the least wait that the backend asked for, or zero.
	RetryAfter time.Duration
	// Deadline is the latest useful start of a retry. Zero means that there is none.
	Deadline time.Time
}

// Backoff sets the wait before a retry. Zero values take the defaults stated at each field.
type Backoff struct {
	// MaxDelay is the upper end of the wait, chosen evenly between 0 and MaxDelay. Default 100 ms.
	MaxDelay time.Duration
}

// defaultMaxDelay spreads the retries of a failed backend without using up much of a caller's
// patience.
const defaultMaxDelay = 100 * time.Millisecond

// Delay returns a wait with full jitter on top of least.
func (b Backoff) Delay(random *rand.Rand, minDelay time.Duration) time.Duration {
	maxDelay := b.MaxDelay
	if maxDelay <= 0 {
		maxDelay = defaultMaxDelay
	}
	return minDelay + time.Duration(random.Int64N(int64(maxDelay)+1))
}

// Decide decides on a retry after a failed attempt and returns the wait before it. It takes from
// the budget only if the answer is yes.
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
