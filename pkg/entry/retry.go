package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/retry"
)

// retries is the node's budget of retries on second engines. It is safe for concurrent use.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

// retryReserve is the batch of an engine: a crash cuts that many streams at once, each of which is
// continued once.
const retryReserve = 16

func newRetries(now time.Time) *retries {
	return &retries{budget: retry.NewBudget(now, retry.BudgetConfig{Reserve: retryReserve}), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// first notes a first attempt.
func (r *retries) first(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit(now)
}

// backoff returns the wait before a refused request is routed again.
func (r *retries) backoff() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff{}.Delay(r.random, time.Millisecond)
}

// next returns the wait before a retry and whether there may be one.
func (r *retries) next(now time.Time, isRetry bool, retryAfter time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := retry.Attempt{IsRetry: isRetry, Retriable: true, RetryAfter: retryAfter}
	return retry.Decide(now, attempt, r.budget, retry.Backoff{}, r.random)
}
