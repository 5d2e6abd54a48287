// Package configsync contains the rules by which the configuration spreads from the object API to
// the nodes: which versions a node accepts, which nodes watch the object API, from which peer a
// node fetches a newer version, and when a starting node has a configuration recent enough to
// serve requests. The configuration in force on a node is the one that it currently uses.
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

// CurrentObjectName is the name of the object that holds the current configuration or, if that is
// stored in parts, its manifest.
const CurrentObjectName = "config/current"

// WatchersPerDataCentre is the number of nodes of a data centre that watch the object API. With two,
// changes still arrive while the failure of one watcher is not yet detected.
const WatchersPerDataCentre = 2

// VersionOrder is the relation of an offered version to the version in force.
type VersionOrder int

// Results of CompareVersions.
const (
	// Newer means that the offered version is to be applied.
	Newer VersionOrder = iota + 1
	// Same means that the offered version is already in force.
	Same
	// Stale means that the offered version is older. It is ignored, and counted in the metric
	// config_stale_total.
	Stale
)

// CompareVersions compares an offered version with the one in force. A node only ever moves to a
// higher version.
func CompareVersions(inForce, offered uint64) VersionOrder {
	switch {
	case offered > inForce:
		return Newer
	case offered == inForce:
		return Same
	}
	return Stale
}

// IsWatcher reports whether the node watches the object API. Watchers are selected by rendezvous
// hashing over the live members of the data centre, so that all nodes select the same ones without
// messages. The node itself counts as a live member even if members does not list it.
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

// canWatch reports whether a member can be a watcher: it is live and not draining. Suspected members
// count as live, because most suspicions are refuted.
func canWatch(m blackboard.MemberEntry) bool {
	return !m.Draining && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

// PickSource returns the member to fetch a newer configuration from: a random one of the nearest
// members that announce a version above inForce and for which avoid returns false. The random choice
// spreads the load over all nodes that already have the version. It reports false if there is none.
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

// PickBootstrapPeers returns up to n random members from which a starting node requests the
// configuration, the nearest ones first.
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

// sortByName makes a random choice from members independent of their order in the input.
func sortByName(members []blackboard.MemberEntry) {
	slices.SortFunc(members, func(a, b blackboard.MemberEntry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// acceptsCalls reports whether a member serves RPCs. Draining members still do.
func acceptsCalls(m blackboard.MemberEntry) bool {
	return m.RPCAddress != "" && (m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect)
}

// beyondFarthest is greater than every result of distance.
const beyondFarthest = 3

// distance returns 0 within a data centre, 1 within a region and 2 between regions.
func distance(a, b blackboard.MemberEntry) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.DataCentre != b.DataCentre:
		return 1
	}
	return 0
}

const (
	// PeerDiscoveryTimeout is how long a starting node without known seeds waits for a peer to respond
	// before it serves with the configuration from the object API alone.
	PeerDiscoveryTimeout = 2 * time.Second
	// ListedPeerTimeout replaces PeerDiscoveryTimeout while the VM list or the settings name other nodes.
	// The object API may return an older configuration than these nodes have. The timeout covers four
	// probes of seeds, which are at most 1.5 s apart, and a round of calls to peers.
	ListedPeerTimeout = 8 * time.Second
)

// Startup is the progress of a starting node towards a configuration to serve with.
type Startup struct {
	Started time.Time
	// InForce is the version in force. Zero means none.
	InForce uint64
	// PeersResponded counts the responses of peers, and PeersWithConfig those of them that
	// contained a configuration.
	PeersResponded  int
	PeersWithConfig int
	// StoreResponded is set once the object API has responded, even if it holds no configuration.
	StoreResponded bool
	// PeersListed is set while the VM list or the settings name other nodes.
	PeersListed bool
	// RequestsPending is set while requests of the current round are in progress.
	RequestsPending bool
}

// Ready reports whether the node can serve: it has the highest version offered by the peers and
// the object API that responded. Without a configuration from a peer it needs a response of the object API
// and either a response of a peer or the end of the time for which it waits for peers.
func (s Startup) Ready(now time.Time) bool {
	if s.InForce == 0 || s.RequestsPending {
		return false
	}
	if s.PeersWithConfig > 0 {
		return true
	}
	return s.StoreResponded && (s.PeersResponded > 0 || now.Sub(s.Started) >= PeerTimeout(s.PeersListed))
}

// PeerTimeout returns how long a starting node waits for its peers.
func PeerTimeout(peersListed bool) time.Duration {
	if peersListed {
		return ListedPeerTimeout
	}
	return PeerDiscoveryTimeout
}
