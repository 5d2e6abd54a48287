package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against retries that exceed their share of the traffic, and against a budget that never
// allows a retry when there is little traffic.
func TestBudget(t *testing.T) {
	cases := []struct {
		name          string
		firstAttempts int
		seconds       float64
		retries       int
	}{
		{"no traffic allows one retry", 0, 0, 1},
		{"a share of steady traffic", 48, 0, 7},
		{"not more than the burst", 100_000, 0, 10},
		{"not more than the burst, less what expires in the last second", 2000, 2000, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBudget(at(0), BudgetConfig{RetryRatio: 0.125, Burst: 10, Window: 1000 * time.Second})
			for i := range tc.firstAttempts {
				b.Deposit(at(tc.seconds * float64(i) / float64(tc.firstAttempts)))
			}
			granted := 0
			for range 1000 {
				if b.TryWithdraw(at(tc.seconds)) {
					granted++
				}
			}
			assert.Equal(t, tc.retries, granted)
			assert.Equal(t, uint64(1000-tc.retries), b.Refused())
		})
	}
}

// Guards against retrying every first attempt in a total outage.
func TestBudgetHoldsRetryRatioDuringOutage(t *testing.T) {
	b := NewBudget(at(0), BudgetConfig{RetryRatio: 0.1})
	granted := 0
	for i := range 10_000 {
		now := at(float64(i) / 100)
		b.Deposit(now)
		if b.TryWithdraw(now) {
			granted++
		}
	}
	assert.InDelta(t, 1000, granted, 2)
}

// Guards against a balance that was saved up earlier and allows a burst of retries after a quiet
// time.
func TestUnusedBudgetExpires(t *testing.T) {
	b := NewBudget(at(0), BudgetConfig{RetryRatio: 0.1, Burst: 10, Window: 10 * time.Second})
	for range 1000 {
		b.Deposit(at(0))
	}
	granted := 0
	for b.TryWithdraw(at(60)) {
		granted++
	}
	assert.Equal(t, 1, granted)
}

// Guards against retries of retries, retries of unsafe requests and retries after the deadline.
func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"first attempt", Attempt{Retriable: true}, true},
		{"a retry is not retried", Attempt{Retriable: true, IsRetry: true}, false},
		{"not retriable", Attempt{}, false},
		{"deadline before the requested delay", Attempt{Retriable: true, RetryAfter: time.Second, Deadline: at(0.5)}, false},
		{"deadline after the longest delay", Attempt{Retriable: true, RetryAfter: time.Second, Deadline: at(1.1)}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			b := NewBudget(at(0), BudgetConfig{})
			delay, ok := Decide(at(0), tc.attempt, b, Backoff{}, random)
			assert.Equal(t, tc.want, ok)
			if ok {
				assert.GreaterOrEqual(t, delay, tc.attempt.RetryAfter)
				return
			}
			assert.True(t, b.TryWithdraw(at(0)), "a refused retry withdraws nothing")
		})
	}
}

// Guards against delays that cluster, which sends retries in waves.
func TestDelayHasFullJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var quarters [4]int
	for range 4000 {
		delay := Backoff{MaxDelay: time.Second}.Delay(random, 0)
		quarters[min(3, int(4*delay/time.Second))]++
	}
	for _, n := range quarters {
		assert.InDelta(t, 1000, n, 100)
	}
}

// Guards against streams that a crash interrupts and that are not continued because little traffic
// has earned few retries, and against a reserve that refills so fast that it acts as a constant
// extra rate.
func TestReserveCoversOneCrash(t *testing.T) {
	now := time.Unix(0, 0)
	budget := NewBudget(now, BudgetConfig{Reserve: 4})
	for range 4 {
		assert.True(t, budget.TryWithdraw(now))
	}
	assert.False(t, budget.TryWithdraw(now))
	assert.False(t, budget.TryWithdraw(now.Add(reserveRefillTime/8)))
	now = now.Add(reserveRefillTime)
	for range 4 {
		assert.True(t, budget.TryWithdraw(now))
	}
	assert.False(t, budget.TryWithdraw(now))
}
