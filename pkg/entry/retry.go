package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/retry"
)

// retryBudget is the node's budget of retryBudget on second engines. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

// retryReserve is the batch of an engine: a crash cuts that many streams at once, each of which is
// continued once.
const retryReserve = 16

func newRetries(now time.Time) *retryBudget {
	return &retryBudget{budget: retry.NewBudget(now, retry.BudgetConfig{Reserve: retryReserve}), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// recordAttempt notes a recordAttempt attempt.
func (r *retryBudget) recordAttempt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit(now)
}

// rerouteDelay returns the wait before a refused request is routed again.
func (r *retryBudget) rerouteDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff{}.Delay(r.random, time.Millisecond)
}

// retryDelay returns the wait before a retry and whether there may be one.
func (r *retryBudget) retryDelay(now time.Time, isRetry bool, retryAfter time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := retry.Attempt{IsRetry: isRetry, Retriable: true, RetryAfter: retryAfter}
	return retry.Decide(now, attempt, r.budget, retry.Backoff{}, r.random)
}
