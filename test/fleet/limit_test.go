package fleet

import (
	"fmt"
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

// Guards against nodes that do not keep to the limit of a backend server together, and against not using what it allows.
// Most requests reach one of the nodes.
func TestNodesTogetherKeepToTheLimitOfABackendServer(t *testing.T) {
	t.Run("streams with one prefix", func(t *testing.T) {
		t.Parallel()
		// All requests have the same preferred engine, so that the others may get none.
		checkLimit(t, standin.Resumable, (*fleet).addEngines, 0)
	})
	t.Run("plain requests", func(t *testing.T) {
		t.Parallel()
		checkLimit(t, standin.Safe, (*fleet).addPlain, 0.4)
	})
}

// checkLimit sends requests of a kind to five nodes and four backend servers that add adds. Three of them state a limit and
// must get at least minUse of the requests that it allows.
func checkLimit(t *testing.T, kind standin.Kind, add func(f *fleet, n int), minUse float64) {
	const (
		limit          = 4.0
		limitedEngines = 3
		interval       = 20 * time.Millisecond
		duration       = 10 * time.Second
	)
	f := startFleet(t, 5, func(f *fleet) { add(f, limitedEngines+1) })
	for _, e := range f.engines[:limitedEngines] {
		e.SetLimit(limit)
	}
	began := time.Now()
	served, asked := f.load(kind, duration, interval)
	assert.Greater(t, float64(served), 0.98*float64(asked), "requests that were served; the engine without a limit has the capacity for all")
	for _, e := range f.engines[:limitedEngines] {
		starts := f.startsAt(e.ID)
		busiest := busiestWindow(starts, began.Add(settleTime), limitWindow)
		assert.LessOrEqual(t, float64(busiest), limitFactor*limit*limitWindow.Seconds()+limitExtra, "%s: requests in %v", e.ID, limitWindow)
		late := slices.DeleteFunc(starts, func(at time.Time) bool { return at.Before(began.Add(settleTime)) })
		assert.GreaterOrEqual(t, float64(len(late)), minUse*limit*(duration-settleTime).Seconds(), "%s: requests within the limit", e.ID)
	}
}

// load sends requests for a duration, one each interval and most of them to the first node. It returns how many were asked
// and how many served.
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
			if r := f.send(node, kind, id); r.Status == 200 && r.Complete {
				mu.Lock()
				served++
				mu.Unlock()
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
