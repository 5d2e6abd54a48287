package service

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net"
	"slices"

	"cassiawall.example/cassiawall/pkg/blackboard"
)

// Tiers of backend servers. Lower tiers are tried first.
const (
	tierLocal = iota
	tierRemote
	tierUnreachable
)

// candidate is a backend server and its tier.
type candidate struct {
	address string
	tier    int
}

// rankBackends returns the backend servers of a service in the order in which to try them: reachable
// ones in the local data centre, other reachable ones, unreachable ones; in random order within
// each tier. Backend servers that are marked as leaving are omitted, unless all of them are: then
// the VM list, from which the marks come, is assumed to be wrong.
func rankBackends(entries map[blackboard.ServiceKey]blackboard.Entry[blackboard.ServiceEntry], service, dataCentre string, random *rand.Rand) []candidate {
	var staying, leaving []candidate
	for key, e := range entries {
		if key.Service != service {
			continue
		}
		c := candidate{address: key.Address, tier: tierOf(e.Value, dataCentre)}
		if e.Value.Leaving {
			leaving = append(leaving, c)
			continue
		}
		staying = append(staying, c)
	}
	if len(staying) == 0 {
		staying = leaving
	}
	// The iteration order of maps is random. Sorting first makes the order depend on the seed only.
	slices.SortFunc(staying, func(a, b candidate) int { return cmp.Compare(a.address, b.address) })
	random.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	slices.SortStableFunc(staying, func(a, b candidate) int { return cmp.Compare(a.tier, b.tier) })
	return staying
}

func tierOf(e blackboard.ServiceEntry, dataCentre string) int {
	switch {
	case !e.Reachable:
		return tierUnreachable
	case e.DataCentre == dataCentre:
		return tierLocal
	default:
		return tierRemote
	}
}

// isDialError reports whether err occurred while connecting, before any byte was sent on that
// connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
