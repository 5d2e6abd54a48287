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

// Object is the name of the object that holds the configuration.
const Object = "config/current"

// WatchersPerDataCentre is the number of nodes of a data centre that watch the object API. The
// second one covers the time until a dead watcher is noticed.
const WatchersPerDataCentre = 2

// Verdict is the result of the version rule.
type Verdict int

// Verdicts of Judge.
const (
	// Newer means that the offered version goes into force.
	Newer Verdict = iota + 1
	// Same means that there is nothing to do.
	Same
	// Stale means that the offer is ignored and counted.
	Stale
)

// Judge applies the version rule: a node only moves to higher versions.
func Judge(inForce, offered uint64) Verdict {
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
		if m.Name != node && m.DataCentre == dataCentre && usable(m) {
			names = append(names, m.Name)
		}
	}
	key := rendezvous.Hash(Object)
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
func usable(m blackboard.MemberEntry) bool {
	return !m.Draining && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

// Source returns the member to fetch a newer configuration from: a random one of the nearest
// that announce a higher version than inForce. Random choice spreads the load over all nodes
// that have it already.
func Source(r *rand.Rand, self blackboard.MemberEntry, inForce uint64, members []blackboard.MemberEntry, avoid func(name string) bool) (blackboard.MemberEntry, bool) {
	var best []blackboard.MemberEntry
	nearest := farthest
	for _, m := range members {
		if m.Name == self.Name || m.ConfigVersion <= inForce || !answers(m) || avoid(m.Name) {
			continue
		}
		d := distance(self, m)
		if d > nearest {
			continue
		}
		if d < nearest {
			best = best[:0]
			nearest = d
		}
		best = append(best, m)
	}
	if len(best) == 0 {
		return blackboard.MemberEntry{}, false
	}
	sortByName(best)
	return best[r.IntN(len(best))], true
}

// Peers returns up to n random members that a restarted node asks, near ones first.
func Peers(r *rand.Rand, self blackboard.MemberEntry, members []blackboard.MemberEntry, n int) []blackboard.MemberEntry {
	var found []blackboard.MemberEntry
	for _, m := range members {
		if m.Name != self.Name && answers(m) {
			found = append(found, m)
		}
	}
	sortByName(found)
	r.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b blackboard.MemberEntry) int { return distance(self, a) - distance(self, b) })
	return found[:min(n, len(found))]
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
func answers(m blackboard.MemberEntry) bool {
	return m.RPCAddress != "" && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

const farthest = 3

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
const PeerGrace = 2 * time.Second

// Startup is what a starting node has found out.
type Startup struct {
	Started time.Time
	// InForce is the version in force, 0 for none.
	InForce uint64
	// PeersAnswered and PeersOffered count peers that answered at all and those that had a
	// configuration.
	PeersAnswered int
	PeersOffered  int
	// StoreAnswered tells that the object API answered, even if it holds no configuration.
	StoreAnswered bool
	// Asking tells that calls of the current round are still open.
	Asking bool
}

// Ready reports whether the node can serve: it has the highest version that the reachable peers
// and the object API offered.
func (s Startup) Ready(now time.Time) bool {
	if s.InForce == 0 || s.Asking {
		return false
	}
	if s.PeersOffered > 0 {
		return true
	}
	return s.StoreAnswered && (s.PeersAnswered > 0 || now.Sub(s.Started) >= PeerGrace)
}
