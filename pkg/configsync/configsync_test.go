package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/blackboard"
)

func fleet(count int) []blackboard.MemberEntry {
	members := make([]blackboard.MemberEntry, count)
	for i := range members {
		members[i] = blackboard.MemberEntry{
			Name: fmt.Sprint("n", i), RPCAddress: fmt.Sprint("rpc", i), DataCentre: fmt.Sprint("dc", i%3),
			Region: fmt.Sprint("r", i%3/2), State: blackboard.MemberAlive,
		}
	}
	return members
}

func watchers(members []blackboard.MemberEntry) map[string][]string {
	chosen := map[string][]string{}
	for _, m := range members {
		if canWatch(m) && IsWatcher(m.Name, m.DataCentre, members) {
			chosen[m.DataCentre] = append(chosen[m.DataCentre], m.Name)
		}
	}
	return chosen
}

// Guards against data centres without a watcher, and against a number of object API calls that grows
// with the fleet.
func TestTwoWatchersPerDataCentre(t *testing.T) {
	members := fleet(60)
	first := watchers(members)
	for dc := range 3 {
		assert.Len(t, first[fmt.Sprint("dc", dc)], WatchersPerDataCentre)
	}
	gone := map[string]blackboard.MemberState{first["dc0"][0]: blackboard.MemberDead, first["dc1"][0]: blackboard.MemberLeft}
	for i := range members {
		if state, ok := gone[members[i].Name]; ok {
			members[i].State = state
		}
		members[i].Draining = members[i].Name == first["dc2"][0]
	}
	for dc, names := range watchers(members) {
		assert.Len(t, names, WatchersPerDataCentre, dc)
		assert.Contains(t, names, first[dc][1], "the other watcher must not change")
	}
}

// Guards against a return to an older configuration version.
func TestVersionRule(t *testing.T) {
	assert.Equal(t, Newer, CompareVersions(5, 6))
	assert.Equal(t, Same, CompareVersions(5, 5))
	assert.Equal(t, Stale, CompareVersions(5, 4))
}

// Guards against fetches from peers that have no newer version, from peers to be avoided, and from
// distant peers while a near one has the version.
func TestPickSource(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	never := func(string) bool { return false }
	self := fleet(1)[0]
	members := fleet(9)
	_, ok := PickSource(r, self, 4, members, never)
	assert.False(t, ok)
	members[1].ConfigVersion = 5 // same region, other data centre
	members[2].ConfigVersion = 9 // other region
	m, ok := PickSource(r, self, 4, members, never)
	assert.True(t, ok)
	assert.Equal(t, "n1", m.Name)
	m, _ = PickSource(r, self, 4, members, func(name string) bool { return name == "n1" })
	assert.Equal(t, "n2", m.Name)
	members[3].ConfigVersion = 5
	members[6].ConfigVersion = 5
	seen := map[string]bool{}
	for range 50 {
		m, _ = PickSource(r, self, 4, members, never)
		seen[m.Name] = true
	}
	assert.Equal(t, map[string]bool{"n3": true, "n6": true}, seen, "load must be spread over the nearest members")
	members[3].State = blackboard.MemberDead
	m, _ = PickSource(r, self, 4, members, never)
	assert.Equal(t, "n6", m.Name)
}

// Guards against a starting node that serves with an outdated configuration or never becomes ready.
func TestReadiness(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, testCase := range map[string]struct {
		startup Startup
		after   time.Duration
		ready   bool
	}{
		"no version in force":                              {Startup{StoreResponded: true, PeersResponded: 3}, time.Hour, false},
		"a peer has a configuration":                       {Startup{InForce: 3, PeersResponded: 2, PeersWithConfig: 1}, 0, true},
		"requests to others pending":                       {Startup{InForce: 3, PeersResponded: 2, PeersWithConfig: 1, RequestsPending: true}, 0, false},
		"only the API responded, before the peer timeout":  {Startup{InForce: 3, StoreResponded: true}, PeerDiscoveryTimeout - 1, false},
		"only the API responded, after the peer timeout":   {Startup{InForce: 3, StoreResponded: true}, PeerDiscoveryTimeout, true},
		"only the API responded, peers are listed":         {Startup{InForce: 3, StoreResponded: true, PeersListed: true}, ListedPeerTimeout - 1, false},
		"listed peers did not respond in time":             {Startup{InForce: 3, StoreResponded: true, PeersListed: true}, ListedPeerTimeout, true},
		"API and a peer without a configuration responded": {Startup{InForce: 3, StoreResponded: true, PeersResponded: 1}, 0, true},
		"no responses": {Startup{InForce: 3}, time.Hour, false},
	} {
		testCase.startup.Started = start
		assert.Equal(t, testCase.ready, testCase.startup.Ready(start.Add(testCase.after)), name)
	}
}
