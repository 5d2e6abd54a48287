package weights

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a leader that waits until loadTimeout for an order that the engine has lost in a restart.
func TestOrderLostInARestartIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, &wg, f.node("a"))
		time.Sleep(time.Second)
		f.versions.Add("m", 2, 0, time.Now())
		version := func() int {
			f.engines.mu.Lock()
			defer f.engines.mu.Unlock()
			return f.engines.versions["e0"]
		}
		for version() != 2 {
			time.Sleep(10 * time.Millisecond)
		}
		f.engines.restart("e0", 1)
		restartedAt := time.Now()
		for version() != 2 {
			time.Sleep(10 * time.Millisecond)
		}
		// Loads of the other engines, one at a time, may come first.
		assert.Less(t, time.Since(restartedAt), loadTimeout/2)
		cancel()
		wg.Wait()
	})
}

// Guards against an order of a node whose lease expired between planning the order and sending it.
func TestOrderRequiresLeaseWhenSent(t *testing.T) {
	f := newFleet()
	reply, _, err := f.node("a").sendOrder(t.Context(), Target{ID: "e0"}, "m", 2, 0)
	require.NoError(t, err)
	assert.Equal(t, Fenced, reply)
	assert.Empty(t, f.engines.received)
}

// Guards against a rollout that is not complete before older weights expire, because each order without a response
// keeps its engine and a load slot idle until the call times out, and the engine then waits for all others.
func TestUnansweredOrdersAreRepeatedSoon(t *testing.T) {
	for name, unanswered := range map[string]int{"each second order": 1, "two of three": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.engines.unanswered, f.engines.lateBy = map[string]int{}, 5*time.Second
				for i := range 6 {
					f.engines.unanswered[fmt.Sprint("e", i)] = unanswered
				}
				var wg sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				run(ctx, &wg, f.node("a"))
				time.Sleep(time.Second)
				f.versions.Add("m", 2, 0, time.Now())
				// Two engines load at a time, in 0.7 s, so that three loads follow one another.
				time.Sleep(3 * time.Second)
				f.engines.mu.Lock()
				for id, v := range f.engines.versions {
					assert.Equal(t, 2, v, id)
				}
				f.engines.mu.Unlock()
				// The first orders arrive late and must not be carried out once more.
				time.Sleep(10 * time.Second)
				f.engines.mu.Lock()
				for id, n := range f.engines.orders {
					assert.Equal(t, int64(1), n, id)
				}
				f.engines.mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}

// Guards against an engine that gets no requests for seconds because of an order that it never received, and against
// an engine that restarts between two tries of an order.
func TestConflictAfterAnUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.engines.unanswered, f.engines.lateBy = map[string]int{"e0": 1}, time.Hour
		f.engines.orders["e0"] = 7
		c := f.node("a")
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, &wg, c)
		time.Sleep(time.Second)
		f.versions.Add("m", 2, 0, time.Now())
		time.Sleep(150 * time.Millisecond)
		f.engines.mu.Lock()
		f.engines.orders["e0"] = 0
		f.engines.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.engines.mu.Lock()
		assert.Equal(t, 2, f.engines.versions["e0"])
		f.engines.mu.Unlock()
		cancel()
		wg.Wait()
	})
}

// Guards against an engine that carries out an order of before its restart and is not ordered to load the newest weights
// again, because the leader still counts it as having them.
func TestEngineThatHasGoneBackIsOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, &wg, f.node("a"))
		time.Sleep(time.Second)
		f.versions.Add("m", 2, 0, time.Now())
		time.Sleep(5 * time.Second)
		f.engines.mu.Lock()
		require.Equal(t, 2, f.engines.versions["e0"])
		// The engine restarts with its version, and the late order is carried out before any listing of it is known.
		f.engines.orders["e0"], f.engines.versions["e0"] = 1, 1
		f.engines.mu.Unlock()
		// The platform judges after 1.5 times the limit for older versions.
		time.Sleep(12 * time.Second)
		f.engines.mu.Lock()
		assert.Equal(t, 2, f.engines.versions["e0"])
		f.engines.mu.Unlock()
		cancel()
		wg.Wait()
	})
}

// Guards against an engine whose order has failed once and that gets no further one while new versions go on being set: the
// other engines are then always outdated, too.
func TestEngineWithAFailedOrderIsOrderedAgainWhileVersionsGoOn(t *testing.T) {
	// Two of the six engines load at a time, for 0.7 s, so that some are outdated at all times.
	const bumpInterval, oldVersionLimit = time.Second, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		// The calls of one order.
		f.engines.unanswered, f.engines.lateBy = map[string]int{"e0": 3}, time.Hour
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, &wg, f.node("a"))
		time.Sleep(time.Second)
		started := time.Now()
		lastLoad, longest, last := started, time.Duration(0), 1
		for version := 2; time.Since(started) < 40*time.Second; version++ {
			f.versions.Add("m", version, 0, time.Now())
			for range bumpInterval / (50 * time.Millisecond) {
				time.Sleep(50 * time.Millisecond)
				f.engines.mu.Lock()
				if v := f.engines.versions["e0"]; v != last {
					lastLoad, last = time.Now(), v
				}
				f.engines.mu.Unlock()
				longest = max(longest, time.Since(lastLoad))
			}
		}
		assert.Less(t, longest, oldVersionLimit)
		cancel()
		wg.Wait()
	})
}
