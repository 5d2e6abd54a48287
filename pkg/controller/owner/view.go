package owner

import (
	"cmp"
	"maps"
	"slices"

	"cassiawall.example/cassiawall/pkg/blackboard"
)

// ownershipView is the part of the board that determines ownership. Most changes of members and
// engines, such as a new configuration version, do not change it.
type ownershipView struct {
	// members are the members that may own engines, ordered by name.
	members []blackboard.MemberEntry
	// engines is keyed by engine id.
	engines map[string]engineLocation
}

type engineLocation struct {
	address    string
	dataCentre string
}

func (o *Owner) readView() ownershipView {
	v := ownershipView{engines: map[string]engineLocation{}}
	for _, m := range o.options.Board.Members.Snapshot() {
		if mayOwn(&m.Value) {
			v.members = append(v.members, m.Value)
		}
	}
	slices.SortFunc(v.members, func(a, b blackboard.MemberEntry) int { return cmp.Compare(a.Name, b.Name) })
	for id, e := range o.options.Board.Engines.Snapshot() {
		v.engines[id] = engineLocation{address: e.Value.Address, dataCentre: e.Value.DataCentre}
	}
	return v
}

func (v *ownershipView) equal(other *ownershipView) bool {
	same := func(a, b blackboard.MemberEntry) bool { return a.Name == b.Name && a.DataCentre == b.DataCentre }
	return slices.EqualFunc(v.members, other.members, same) && maps.Equal(v.engines, other.engines)
}
