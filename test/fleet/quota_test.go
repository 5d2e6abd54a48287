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

// Guards against nodes that together exceed the quota of a workspace, admit far less than it allows, or run a request that
// they have refused with 429. The quota is in requests; twice as many arrive.
func TestNodesTogetherKeepToTheQuotaOfAWorkspace(t *testing.T) {
	t.Parallel()
	const rate, duration, window = 30, 10 * time.Second, 8 * time.Second
	f := startFleet(t, 4, func(f *fleet) {
		f.quotas = true
		f.addPlain(3)
		standin.Configure(f.store, standin.Config{Version: 2, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north", RatePerS: rate, Burst: rate}}})
	})
	// The parts of the quotas have their holders.
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, refused := 0, []string{}
	ticker := time.NewTicker(time.Second / (2 * rate))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		<-ticker.C
		id := fmt.Sprintf("quota-%d", i)
		wg.Go(func() {
			r := f.send(i*i%4, standin.Safe, id)
			mu.Lock()
			defer mu.Unlock()
			switch r.Status {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests:
				refused = append(refused, id)
				assert.Positive(t, r.RetryAfter)
			}
		})
	}
	wg.Wait()
	assert.Greater(t, float64(served), 0.9*rate*duration.Seconds())
	assert.NotEmpty(t, refused)
	var starts []time.Time
	for _, e := range f.engines {
		starts = append(starts, f.startsAt(e.ID)...)
	}
	slices.SortFunc(starts, time.Time.Compare)
	assert.LessOrEqual(t, float64(busiestWindow(starts, time.Time{}, window)), 1.1*(rate*window.Seconds()+rate))
	for _, id := range refused {
		assert.Empty(t, f.journal.Executions()[id], "a refused request must not run")
	}
	t.Logf("served %d, refused %d", served, len(refused))
}
