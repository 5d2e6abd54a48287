package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a store that each node of a large fleet calls by itself after a restart of all nodes and during an outage,
// against a store whose return is noticed late, and against entries that reach the nodes late without a leader.
func TestCallsOfAFleetThatRestartsAndLosesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 145)
		defer f.stop()
		phase := func(name string, seconds float64) (total int) {
			time.Sleep(time.Duration(seconds * float64(time.Second)))
			calls, total := f.store.totalCalls()
			t.Logf("%s: %d calls: %s", name, total, calls)
			return total
		}
		f.startAll(true)
		first := phase("first start", 5)
		f.killAll()
		time.Sleep(time.Second)
		f.startAll(false)
		assert.Less(t, f.until(3*time.Second, hasConfig(1)), 500*time.Millisecond)
		assert.Less(t, f.until(3*time.Second, lists(93)), time.Second)
		restarted := phase("restart", 3)
		f.store.setDown(true)
		down := phase("outage", 4.5)
		const lapsed = 10
		for i := range lapsed {
			f.store.remove("servers", fmt.Sprintf("server-%02d", i))
		}
		f.store.setDown(false)
		returned := time.Now()
		f.store.put("config", "main", "2")
		assert.Less(t, f.until(3*time.Second, hasConfig(2)), 1500*time.Millisecond)
		time.Sleep(time.Until(returned.Add(1500 * time.Millisecond)))
		for i := range lapsed {
			f.store.put("servers", fmt.Sprintf("server-%02d", i), "")
		}
		// A watch batches changes for 250 ms, and a node fetches at most every 290 ms.
		assert.Less(t, f.until(3*time.Second, lists(93)), 700*time.Millisecond)
		for i, n := range f.nodes {
			assert.Len(t, n.registry.ListedIDs(), 93, "node %d removed servers whose entries lapsed", i)
		}
		end := phase("return", 4)
		require.GreaterOrEqual(t, f.leader(), 0, "no leader after the return of the store")
		assert.Less(t, first, 700)
		assert.Less(t, restarted-first, 200)
		assert.Less(t, down-restarted, 800)
		// Waiting nodes whose probes succeed before a relay is in sync list the objects, a varying number.
		assert.Less(t, end-down, 1000)
	})
}

// Guards against nodes that rely on relays and miss a change, or apply it later than the change deadline allows, because the
// relays or the leader are down, cut off or do not reach the store themselves.
func TestChangeReachesAllNodesWithinTheDeadline(t *testing.T) {
	const nodes = 12
	isolated := func(f *simulatedFleet, i int) { f.network.setCut(simulatedAddress(i), true) }
	withoutStore := func(f *simulatedFleet, i int) { f.clients[i].set(func() { f.clients[i].cut = true }) }
	relays := func(f *simulatedFleet) (relays []int) {
		for i, n := range f.nodes {
			if n.controller.ActingLeader() || n.link.IsStandby() {
				relays = append(relays, i)
			}
		}
		return relays
	}
	tests := map[string]func(f *simulatedFleet){
		"no fault":                       func(*simulatedFleet) {},
		"leader killed":                  func(f *simulatedFleet) { f.kill(f.leader()) },
		"leader and relays killed":       func(f *simulatedFleet) { f.each(relays(f), f.kill) },
		"leader cut off from the store":  func(f *simulatedFleet) { withoutStore(f, f.leader()) },
		"relays cut off from the store":  func(f *simulatedFleet) { f.each(relays(f), func(i int) { withoutStore(f, i) }) },
		"nodes cut off from their peers": func(f *simulatedFleet) { f.each([]int{7, 8, 10}, func(i int) { isolated(f, i) }) },
		"seeds killed":                   func(f *simulatedFleet) { f.each([]int{0, 1, 2}, f.kill) },
		"restart of all nodes": func(f *simulatedFleet) {
			f.killAll()
			time.Sleep(time.Second)
			f.startAll(false)
		},
		"restart of all nodes, seeds down": func(f *simulatedFleet) {
			f.killAll()
			time.Sleep(time.Second)
			for i := 3; i < nodes; i++ {
				f.start(i, false)
			}
		},
		"restart of all nodes, seeds cut off from the store": func(f *simulatedFleet) {
			f.killAll()
			time.Sleep(time.Second)
			f.startAll(false)
			f.each([]int{0, 1, 2}, func(i int) { withoutStore(f, i) })
		},
		"restart of all nodes without the store": func(f *simulatedFleet) {
			f.killAll()
			f.store.setDown(true)
			time.Sleep(time.Second)
			f.startAll(false)
			time.Sleep(4 * time.Second)
			f.store.setDown(false)
		},
		"outage": func(f *simulatedFleet) {
			f.store.setDown(true)
			time.Sleep(4500 * time.Millisecond)
			f.store.setDown(false)
		},
		"nodes cut off from their peers in an outage": func(f *simulatedFleet) {
			f.store.setDown(true)
			f.each([]int{7, 8, 10}, func(i int) { isolated(f, i) })
			time.Sleep(4500 * time.Millisecond)
			f.store.setDown(false)
		},
	}
	for name, disturb := range tests {
		for _, missesChanges := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/watches miss changes=%v", name, missesChanges), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimulatedFleet(t, nodes)
					defer f.stop()
					f.startAll(true)
					time.Sleep(6 * time.Second)
					require.GreaterOrEqual(t, f.leader(), 0)
					disturb(f)
					f.store.mu.Lock()
					f.store.missesChanges = missesChanges
					f.store.mu.Unlock()
					_, before := f.store.totalCalls()
					// Changes are made at several times, because the nodes pass through several states after a fault.
					for version := 2; version < 6; version++ {
						f.store.put("config", "main", fmt.Sprint(version))
						f.store.remove("servers", fmt.Sprintf("server-%02d", version))
						took := max(f.until(4*time.Second, hasConfig(int64(version))), f.until(4*time.Second, lists(94-version)))
						assert.Less(t, took, 3*time.Second, "version %d", version)
						t.Logf("version %d after %v", version, took)
						time.Sleep(time.Duration(version) * 137 * time.Millisecond)
					}
					_, after := f.store.totalCalls()
					t.Logf("%d calls, leader %d", after-before, f.leader())
				})
			})
		}
	}
}

// Guards against several calls at a time to a store that does not respond, pauses that do not grow or grow beyond the change
// deadline, and a relay that notices the return of the store late.
func TestProbesOfAStoreThatDoesNotRespond(t *testing.T) {
	tests := map[storeRole]struct {
		// probes are the bounds of the number of probes in 10 s, and longest that of the pause between two.
		minProbes, maxProbes int
		longest              time.Duration
	}{
		roleRelay:    {20, 36, 500 * time.Millisecond},
		roleIsolated: {11, 20, time.Second},
		roleWaiting:  {5, 10, 2 * time.Second},
	}
	for role, test := range tests {
		c, start := newStoreCalls(), time.Unix(1000, 0)
		c.Done(true, role, start)
		for range 3 {
			c.Done(false, role, start)
		}
		probes, last := 0, start
		for now := start; now.Sub(start) < 10*time.Second; now = now.Add(10 * time.Millisecond) {
			if !c.MayCall(now) {
				assert.LessOrEqual(t, now.Sub(last), test.longest+10*time.Millisecond)
				continue
			}
			assert.False(t, c.MayCall(now), "a second call during the probe")
			assert.False(t, c.Done(false, role, now))
			probes, last = probes+1, now
		}
		assert.GreaterOrEqual(t, probes, test.minProbes, "role %d", role)
		assert.LessOrEqual(t, probes, test.maxProbes, "role %d", role)
		assert.True(t, c.Done(true, role, start.Add(11*time.Second)), "the end of the outage")
		assert.True(t, c.MayCall(start.Add(11*time.Second)))
		assert.True(t, c.MayCall(start.Add(11*time.Second)))
	}
}

// Guards against entries of all kinds that are in doubt because one connection was reset, and against a probe whose result is
// lost and that prevents all further calls.
func TestProbesAfterOneFailure(t *testing.T) {
	c, now := newStoreCalls(), time.Unix(1000, 0)
	c.Done(true, roleRelay, now)
	c.Done(false, roleRelay, now)
	now = now.Add(100 * time.Millisecond)
	require.True(t, c.MayCall(now))
	assert.False(t, c.Done(true, roleRelay, now.Add(5*time.Millisecond)))
	c.EndRelayed(roleWaiting, now)
	now = now.Add(firstProbeSpread)
	require.True(t, c.MayCall(now))
	assert.False(t, c.MayCall(now.Add(time.Second)))
	assert.True(t, c.MayCall(now.Add(maxProbeTime)))
}
