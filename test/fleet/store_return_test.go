package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

// Guards against servers that nodes give up when the store returns from an outage, because their entries have lapsed in it and
// are not written again yet. Only the node that lists the objects for the others may know of the outage.
func TestServersWhoseEntriesLapsedInAnOutageAreUsedUntilTheyAreListedAgain(t *testing.T) {
	t.Parallel()
	const (
		nodes = 3
		// unlisted is the time from the return of the store until the engines write their entries again.
		unlisted        = time.Second
		requestInterval = 25 * time.Millisecond
	)
	// A short outage is known to the leader alone; in a long one all nodes call the store.
	outages := []time.Duration{1200 * time.Millisecond, 2 * time.Second, 3 * time.Second}
	f := startFleet(t, nodes, func(f *fleet) { f.addPlain(3) })
	require.Eventually(t, func() bool { return strings.Count(f.logs.String(), "follower=true") >= nodes-1 }, startTimeout, 20*time.Millisecond)
	for i, outage := range outages {
		f.store.SetFault(standin.StoreUnavailable)
		time.Sleep(outage)
		for _, e := range f.engines {
			f.store.Delete(platform.KindServers, e.ID)
		}
		f.store.SetFault(standin.StoreHealthy)
		var sending sync.WaitGroup
		for n, end := 0, time.Now().Add(unlisted); time.Now().Before(end); n++ {
			sending.Go(func() {
				node := n % nodes
				r := f.send(node, standin.Safe, fmt.Sprintf("%s-%d-%d", t.Name(), i, n))
				assert.Equal(t, http.StatusOK, r.Status, "outage of %v, node %d: %s", outage, node, r.Body)
			})
			time.Sleep(requestInterval)
		}
		for _, e := range f.engines {
			e.Heartbeat()
		}
		sending.Wait()
		time.Sleep(time.Second)
	}
}
