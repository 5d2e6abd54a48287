// Package retry decides whether and when to retry. It does no I/O and takes the time and its
// random source as arguments.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig sets a retry budget. Zero values take the defaults stated at each field.
type BudgetConfig struct {
	// Share is the number of retries per first attempt, in the long run. Default 0.1.
	Share float64
	// Burst is the number of retries that quiet traffic can save up. Default 10.
	Burst float64
	// Window is the time after which unused budget above the reserve is worth nothing. Default
	// 10 s.
	Window time.Duration
	// Reserve is the number of retries that the budget holds without traffic. It comes back
	// within a minute after use. Default 1.
	Reserve float64
}

// reserveRefill is the time in which a used reserve comes back.
const reserveRefill = time.Minute

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Share == 0 {
		c.Share = 0.1
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

// First notes a first attempt, which earns a share of a retry.
func (b *Budget) First(now time.Time) {
	b.expire(now)
	b.tokens = min(b.config.Burst, b.tokens+b.config.Share)
}

// Take reports whether a retry of a first attempt may be sent, and pays for it. Retries of
// retries are not sent; callers use Next, which holds that rule.
func (b *Budget) Take(now time.Time) bool {
	b.expire(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Refused returns the number of retries that the budget did not cover.
func (b *Budget) Refused() uint64 { return b.refused }

// expire lets unused budget fall linearly to the reserve within the window, and a used reserve come
// back, so that traffic too thin to earn a retry in the window can still retry.
func (b *Budget) expire(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	reserve := b.config.Reserve
	if b.tokens > reserve {
		lost := b.config.Burst * float64(elapsed) / float64(b.config.Window)
		b.tokens = max(reserve, b.tokens-lost)
		return
	}
	b.tokens = min(reserve, b.tokens+reserve*float64(elapsed)/float64(reserveRefill))
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
	// Max is the upper end of the wait, chosen evenly between 0 and Max. Default 100 ms.
	Max time.Duration
}

// defaultBackoff spreads the retries of a failed backend without using up much of a caller's
// patience.
const defaultBackoff = 100 * time.Millisecond

// Wait returns a wait with full jitter on top of least.
func (b Backoff) Wait(random *rand.Rand, least time.Duration) time.Duration {
	limit := b.Max
	if limit <= 0 {
		limit = defaultBackoff
	}
	return least + time.Duration(random.Int64N(int64(limit)+1))
}

// Next decides on a retry after a failed attempt and returns the wait before it. It takes from
// the budget only if the answer is yes.
func Next(now time.Time, a Attempt, budget *Budget, backoff Backoff, random *rand.Rand) (time.Duration, bool) {
	if a.IsRetry || !a.Retriable {
		return 0, false
	}
	wait := backoff.Wait(random, a.RetryAfter)
	if !a.Deadline.IsZero() && now.Add(wait).After(a.Deadline) {
		return 0, false
	}
	return wait, budget.Take(now)
}
