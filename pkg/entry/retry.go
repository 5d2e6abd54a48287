package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/retry"
)

// retryBudget limits the retries of this node on second engines. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

// retryReserve is the number of retries that are possible without earlier traffic. It equals the
// batch size of an engine: a crash interrupts that many streams at once, and each is retried once.
const retryReserve = 16

func newRetries(now time.Time) *retryBudget {
	return &retryBudget{budget: retry.NewBudget(now, retry.BudgetConfig{Reserve: retryReserve}), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// recordAttempt records a first attempt, which adds to the budget.
func (r *retryBudget) recordAttempt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit(now)
}

// rerouteDelay returns the delay before a refused request is routed again. It does not use the budget.
func (r *retryBudget) rerouteDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff{}.Delay(r.random, time.Millisecond)
}

// retryDelay returns the delay before a retry on a second engine and whether the budget allows it.
// isRetry means that the request has been retried already; retryAfter is the minimum delay that the
// failed engine stated, or zero.
func (r *retryBudget) retryDelay(now time.Time, isRetry bool, retryAfter time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := retry.Attempt{IsRetry: isRetry, Retriable: true, RetryAfter: retryAfter}
	return retry.Decide(now, attempt, r.budget, retry.Backoff{}, r.random)
}
