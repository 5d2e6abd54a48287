// Package configsync decides how the configuration in force moves between the object API and
// the nodes: which versions are accepted, which nodes watch the object API, from which peer a
// node fetches, and when a restarted node has a configuration that it can serve with.
//
// The package does no I/O and reads no clock.
package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// CurrentObjectName is the name of the object that holds the configuration.
const CurrentObjectName = "config/current"

// WatchersPerDataCentre is the number of nodes of a data centre that watch the object API. The
// second one covers the time until a dead watcher is noticed.
const WatchersPerDataCentre = 2

// Verdict is the result of the version rule.
type VersionOrder int

// Verdicts of Judge.
const (
	// Newer means that the offered version goes into force.
	Newer VersionOrder = iota + 1
	// Same means that there is nothing to do.
	Same
	// Stale means that the offer is ignored and counted.
	Stale
)

// CompareVersions applies the version rule: a node only moves to higher versions.
func CompareVersions(inForce, offered uint64) VersionOrder {
	switch {
	case offered > inForce:
		return Newer
	case offered == inForce:
		return Same
	}
	return Stale
}

// IsWatcher reports whether the node watches the object API. It is chosen by rendezvous hashing
// over the live members of its data centre, so that all nodes choose the same ones without a
// message. A node that is not in members chooses among them and itself.
func IsWatcher(node, dataCentre string, members []blackboard.MemberEntry) bool {
	names := []string{node}
	for _, m := range members {
		if m.Name != node && m.DataCentre == dataCentre && canWatch(m) {
			names = append(names, m.Name)
		}
	}
	key := rendezvous.Hash(CurrentObjectName)
	higher := 0
	own := rendezvous.Score(rendezvous.Hash(node), key)
	for _, name := range names[1:] {
		score := rendezvous.Score(rendezvous.Hash(name), key)
		if score > own || score == own && name < node {
			higher++
		}
	}
	return higher < WatchersPerDataCentre
}

// usable reports whether a member can watch or serve. Suspected members count, because most
// suspicions are refuted.
func canWatch(m blackboard.MemberEntry) bool {
	return !m.Draining && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

// PickSource returns the member to fetch a newer configuration from: a random one of the nearest
// that announce a higher version than inForce. Random choice spreads the load over all nodes
// that have it already.
func PickSource(r *rand.Rand, self blackboard.MemberEntry, inForce uint64, members []blackboard.MemberEntry, avoid func(name string) bool) (blackboard.MemberEntry, bool) {
	var nearest []blackboard.MemberEntry
	nearestDistance := beyondFarthest
	for _, m := range members {
		if m.Name == self.Name || m.ConfigVersion <= inForce || !acceptsCalls(m) || avoid(m.Name) {
			continue
		}
		d := distance(self, m)
		if d > nearestDistance {
			continue
		}
		if d < nearestDistance {
			nearest = nearest[:0]
			nearestDistance = d
		}
		nearest = append(nearest, m)
	}
	if len(nearest) == 0 {
		return blackboard.MemberEntry{}, false
	}
	sortByName(nearest)
	return nearest[r.IntN(len(nearest))], true
}

// PickBootstrapPeers returns up to n random members that a restarted node asks, near ones first.
func PickBootstrapPeers(r *rand.Rand, self blackboard.MemberEntry, members []blackboard.MemberEntry, n int) []blackboard.MemberEntry {
	var candidates []blackboard.MemberEntry
	for _, m := range members {
		if m.Name != self.Name && acceptsCalls(m) {
			candidates = append(candidates, m)
		}
	}
	sortByName(candidates)
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b blackboard.MemberEntry) int { return distance(self, a) - distance(self, b) })
	return candidates[:min(n, len(candidates))]
}

// sortByName makes the choice depend on the inputs only, not on their order.
func sortByName(members []blackboard.MemberEntry) {
	slices.SortFunc(members, func(a, b blackboard.MemberEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// answers reports whether a member answers calls. Draining members do.
func acceptsCalls(m blackboard.MemberEntry) bool {
	return m.RPCAddress != "" && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

const beyondFarthest = 3

func distance(a, b blackboard.MemberEntry) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.DataCentre != b.DataCentre:
		return 1
	}
	return 0
}

// PeerGrace is how long a node that starts waits for peers before it serves with what the object
// API alone says. Gossip finds peers within about a second.
const PeerDiscoveryTimeout = 2 * time.Second

// Startup is what a starting node has found out.
type Startup struct {
	Started time.Time
	// InForce is the version in force, 0 for none.
	InForce uint64
	// PeersResponded and PeersOffered count peers that answered at all and those that had a
	// configuration.
	PeersResponded  int
	PeersWithConfig int
	// StoreResponded tells that the object API answered, even if it holds no configuration.
	StoreResponded bool
	// RequestsPending tells that calls of the current round are still open.
	RequestsPending bool
}

// Ready reports whether the node can serve: it has the highest version that the reachable peers
// and the object API offered.
func (s Startup) Ready(now time.Time) bool {
	if s.InForce == 0 || s.RequestsPending {
		return false
	}
	if s.PeersWithConfig > 0 {
		return true
	}
	return s.StoreResponded && (s.PeersResponded > 0 || now.Sub(s.Started) >= PeerDiscoveryTimeout)
}
