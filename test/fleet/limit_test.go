package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/platform/standin"
)

// The platform's bound: in any limitWindow, from settleTime after the limit is first stated, an engine gets at most
// limitFactor times what its limit allows, and limitExtra requests.
const (
	settleTime  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// Guards against nodes that do not keep to the limit of a backend server together, and against a node that gets too few of
// the requests that limits allow. Most requests reach the first node.
func TestNodesTogetherKeepToTheLimitOfABackendServer(t *testing.T) {
	t.Run("engines of which one has no limit", func(t *testing.T) {
		t.Parallel()
		// All requests have the same prefix, and so the same preferred engine.
		f := startFleet(t, 5, func(f *fleet) { f.addEngines(4) })
		f.checkLimits(f.engines[:3], 4, standin.Resumable, 50)
	})
	t.Run("servers that all have limits", func(t *testing.T) {
		t.Parallel()
		f := startFleet(t, 5, func(f *fleet) { f.addPlain(4) })
		f.checkLimits(f.engines, 8, standin.Safe, 20)
	})
}

// checkLimits lets servers state a limit in requests a second, and sends requests of a kind at a rate that the fleet can
// serve within the limits.
func (f *fleet) checkLimits(limited []*standin.Engine, limit float64, kind standin.Kind, rate int) {
	const duration = 10 * time.Second
	for _, e := range limited {
		e.SetLimit(limit)
	}
	began := time.Now()
	served, asked := f.load(kind, duration, time.Second/time.Duration(rate))
	assert.Greater(f.t, float64(served), 0.98*float64(asked), "requests that were served")
	for _, e := range limited {
		busiest := busiestWindow(f.startsAt(e.ID), began.Add(settleTime), limitWindow)
		assert.LessOrEqual(f.t, float64(busiest), limitFactor*limit*limitWindow.Seconds()+limitExtra, "%s: requests in %v", e.ID, limitWindow)
	}
}

// maxTries is the number of times that a client sends a request that was refused.
const maxTries = 3

// load sends requests for a duration, one each interval and most of them to the first node. Refused requests return after
// their Retry-After, as new ones. load returns how many were asked and how many served.
func (f *fleet) load(kind standin.Kind, duration, interval time.Duration) (served, asked int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); asked++ {
		<-ticker.C
		node := 0
		if asked%3 == 2 {
			node = asked / 3 % len(f.clientAddresses)
		}
		id := fmt.Sprintf("%s-%d", f.t.Name(), asked)
		wg.Go(func() {
			for try := range maxTries {
				r := f.send(node, kind, fmt.Sprintf("%s-%d", id, try))
				if r.Status == http.StatusOK && r.Complete {
					mu.Lock()
					served++
					mu.Unlock()
				}
				if r.Status != http.StatusServiceUnavailable {
					return
				}
				time.Sleep(r.RetryAfter)
			}
		})
	}
	wg.Wait()
	return served, asked
}

// startsAt returns the times at which an engine began requests, in order.
func (f *fleet) startsAt(engine string) []time.Time {
	var starts []time.Time
	for _, executions := range f.journal.Executions() {
		for _, e := range executions {
			if e.Engine == engine {
				starts = append(starts, e.StartedAt)
			}
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// busiestWindow returns the largest number of times in a window that begins at from or later.
func busiestWindow(times []time.Time, from time.Time, window time.Duration) int {
	busiest := 0
	for i, begin := range times {
		if begin.Before(from) {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if at.Sub(begin) < window {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	return busiest
}
