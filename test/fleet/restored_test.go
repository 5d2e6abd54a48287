package fleet

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

func (f *fleet) configure(version int64, extra bool) {
	standin.Configure(f.store, standin.Config{Version: version, Extra: extra, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
}

// servesExtra reports whether a node serves the route that Config.Extra adds.
func (f *fleet) servesExtra(node int, id string) bool {
	request := standin.Request{ID: id, Kind: standin.Safe, Path: standin.ExtraPath(id), Key: "key-north", Deadline: 3 * time.Second}
	return standin.Send(context.Background(), f.client, f.clientAddresses[node], request).Status == http.StatusOK
}

// configureEvery configures the next version from 3 on, with and without the added route in turns, at each interval until the
// returned function is called.
func (f *fleet) configureEvery(interval, timeout time.Duration) (stop func()) {
	var configuring sync.WaitGroup
	ended := make(chan struct{})
	configuring.Go(func() {
		for version := int64(3); ; version++ {
			select {
			case <-ended:
				return
			case <-time.After(interval):
				standin.Configure(f.store, standin.Config{Version: version, Extra: version%2 == 0, Timeout: timeout, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
			}
		}
	})
	return func() {
		close(ended)
		configuring.Wait()
	}
}

// setTimeout configures another timeout of the routes and waits until all nodes use it, however busy the machine is.
func (f *fleet) setTimeout(timeout time.Duration) {
	f.t.Helper()
	standin.Configure(f.store, standin.Config{Version: 2, Extra: true, Timeout: timeout, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	for node := range f.clientAddresses {
		tries := 0
		require.Eventually(f.t, func() bool {
			tries++
			return f.servesExtra(node, fmt.Sprintf("%s-timeout-%d-%d", f.t.Name(), node, tries))
		}, startTimeout, 20*time.Millisecond, "node %d has the configuration", node)
	}
}

// requireExtra checks that all nodes serve the added route within the platform's bound from now.
func (f *fleet) requireExtra(what string) {
	f.t.Helper()
	acknowledged := time.Now()
	for node := range f.clientAddresses {
		tries := 0
		require.Eventually(f.t, func() bool {
			tries++
			return f.servesExtra(node, fmt.Sprintf("%s-%s-%d-%d", f.t.Name(), what, node, tries))
		}, time.Until(acknowledged.Add(standin.ConfigBound)), 20*time.Millisecond, "%s: node %d serves the route in time", what, node)
	}
}

// Guards against a configuration that is not in force in time because the store came back from a copy and gave out its
// revision before, and against an older one that is in force again.
func TestConfigurationIsInForceAfterTheStoreWasRestored(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4, func(f *fleet) { f.addPlain(2) })
	before := f.store.Copy()
	for version := int64(2); version <= 12; version++ {
		f.configure(version, true)
	}
	f.requireExtra("before")
	f.store.SetFault(standin.StoreUnavailable)
	time.Sleep(time.Second)
	f.store.Restore(before)
	f.store.SetFault(standin.StoreHealthy)
	for try := range 20 {
		for node := range f.clientAddresses {
			assert.True(t, f.servesExtra(node, fmt.Sprintf("%s-meanwhile-%d-%d", t.Name(), node, try)), "the confirmed configuration stays in force")
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.configure(13, false)
	require.Eventually(t, func() bool {
		for node := range f.clientAddresses {
			if f.servesExtra(node, fmt.Sprintf("%s-removed-%d-%d", t.Name(), node, time.Now().UnixNano())) {
				return false
			}
		}
		return true
	}, standin.ConfigBound, 20*time.Millisecond, "a configuration stored after the return is in force in time")
	f.configure(14, true)
	f.requireExtra("after")
}

// relistTime is the time for which a server that had left must stay unused although it is listed: the platform removes the
// entry of a server that is silent for three heartbeats, and nodes wait 6 s for that. Store never removes it, so a server
// may be used afterwards.
const relistTime = 6 * time.Second

// nodesThatLogged returns the number of nodes with a log line of one of the events in which pattern matches the attributes.
func (f *fleet) nodesThatLogged(pattern string, events ...event.Event) int {
	nodes := map[string]bool{}
	for _, e := range events {
		lines := regexp.MustCompile(fmt.Sprintf(`msg=%q node=(\S+) .*%s`, e.Name, pattern))
		for _, match := range lines.FindAllStringSubmatch(f.logs.String(), -1) {
			nodes[match[1]] = true
		}
	}
	return len(nodes)
}

// Guards against requests to an engine that has announced that it will stop, or is no longer listed, because a copy of the
// store lists it as ready.
func TestEngineThatLeftStaysUnusedAfterTheStoreWasRestored(t *testing.T) {
	t.Parallel()
	const nodes, minSends = 3, 60
	f := startFleet(t, nodes, func(f *fleet) { f.addPlain(4) })
	// A node is ready before it knows the servers, and one that first lists them after a departure cannot know of it.
	for _, e := range f.engines {
		require.Eventually(t, func() bool {
			return f.nodesThatLogged(`backend=`+e.ID+` .*leaving=false`, event.BackendListed) == nodes
		}, startTimeout, 20*time.Millisecond, e.ID)
	}
	before := f.store.Copy()
	leaving, gone := f.engines[0], f.engines[1]
	leaving.Drain()
	f.store.Delete(platform.KindServers, gone.ID)
	time.Sleep(standin.DrainBound)
	require.Equal(t, nodes, f.nodesThatLogged(`backend=`+leaving.ID+` .*leaving=true`, event.BackendListed), "nodes that know in time that %s will stop", leaving.ID)
	require.Equal(t, nodes, f.nodesThatLogged(gone.ID+`\b`, event.BackendGone, event.BackendsInDoubt), "nodes that know in time that %s is no longer listed", gone.ID)
	// No node can see the copy before this time, nor admit a listed server before relistTime has passed since then.
	restored := time.Now()
	f.store.Restore(before)
	servedInTime := make([]int, len(f.clientAddresses))
	for try := 0; try < minSends || time.Since(restored) < relistTime; try++ {
		node := try % len(f.clientAddresses)
		r := f.send(node, standin.Safe, fmt.Sprintf("%s-%d", t.Name(), try))
		if r.Status == http.StatusOK && time.Since(restored) < relistTime {
			servedInTime[node]++
		}
		time.Sleep(50 * time.Millisecond)
	}
	for node, served := range servedInTime {
		assert.Positive(t, served, "requests that node %d served within %v of the return", node, relistTime)
	}
	for _, at := range f.startsAt(leaving.ID) {
		assert.True(t, at.Before(restored), "%s, which announced that it will stop, got a request %v after the return", leaving.ID, at.Sub(restored))
	}
	for _, at := range f.startsAt(gone.ID) {
		since := at.Sub(restored)
		assert.True(t, since < 0 || since >= relistTime, "%s, which was no longer listed, got a request %v after the return", gone.ID, since)
	}
}

// Guards against fencing tokens that two lease holders use, and against a rollout that stops, because the store has lost
// the lease.
func TestLeaseSurvivesARestoredStore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, func(f *fleet) { f.addEngines(3) })
	before := f.store.Copy()
	loaded := func(version int) func() bool {
		return func() bool {
			for _, e := range f.engines {
				if e.Version() != version {
					return false
				}
			}
			return true
		}
	}
	standin.SetDesiredVersion(f.store, 2)
	require.Eventually(t, loaded(2), 15*time.Second, 20*time.Millisecond)
	f.store.Restore(before)
	standin.SetDesiredVersion(f.store, 2)
	standin.SetDesiredVersion(f.store, 3)
	require.Eventually(t, loaded(3), 20*time.Second, 20*time.Millisecond)
	holders := map[int64]string{}
	last := int64(0)
	for _, o := range f.journal.Orders() {
		if holders[o.FencingToken] == "" {
			holders[o.FencingToken] = o.Holder
		}
		assert.Equal(t, holders[o.FencingToken], o.Holder, "two holders with the fencing token %d", o.FencingToken)
		assert.GreaterOrEqual(t, o.FencingToken, last, "a lower fencing token after a higher one")
		last = o.FencingToken
	}
}
