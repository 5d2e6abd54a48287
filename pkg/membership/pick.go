package membership

import "cassiawall.example/cassiawall/pkg/blackboard"

// Classes of probe targets by distance from this node.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distanceClasses
)

// Fractions of the probes by distance. Most probes stay within the data centre, where round trips
// are cheap and fast; the others carry updates between data centres.
const (
	dataCentreProbeShare = 0.75
	regionProbeShare     = 0.17
)

// fullShareMembers is the number of other members in this node's data centre from which on they
// get the full fraction of the probes. With fewer the fraction is proportionally smaller, so that
// one or two members do not get most of the probes.
const fullShareMembers = 3

// ring is the random order in which the members of one class are probed. Each is probed once per
// round, which bounds the time until a failed member is detected.
type ring struct {
	names []string
	next  int
}

func (m *Machine) isAlive(r *record) bool { return r.State == blackboard.MemberAlive }

func (m *Machine) distanceClass(r *record) int {
	switch {
	case r.DataCentre == m.self.DataCentre && r.Region == m.self.Region:
		return sameDataCentre
	case r.Region == m.self.Region:
		return sameRegion
	}
	return otherRegion
}

// nextTarget returns the next live member to probe, or nil if there is none.
func (m *Machine) nextTarget() *record {
	first := m.chooseClass()
	for i := range distanceClasses {
		if r := m.nextInClass((first + i) % distanceClasses); r != nil {
			return r
		}
	}
	return nil
}

func (m *Machine) chooseClass() int {
	var counts [distanceClasses]int
	for _, r := range m.records {
		if r != m.self && r.live() {
			counts[m.distanceClass(r)]++
		}
	}
	dataCentreShare := dataCentreProbeShare * min(1, float64(counts[sameDataCentre])/fullShareMembers)
	random := m.options.Rand.Float64()
	switch {
	case random < dataCentreShare:
		return sameDataCentre
	case random < dataCentreShare+regionProbeShare*(1-dataCentreShare)/(1-dataCentreProbeShare) && counts[sameRegion] > 0:
		return sameRegion
	}
	return otherRegion
}

// nextInClass returns the next live member of a class, or nil if there is none. It starts a new
// round with a new random order when a round is over.
func (m *Machine) nextInClass(class int) *record {
	order := &m.rings[class]
	for range 2 {
		for order.next < len(order.names) {
			r, ok := m.members[order.names[order.next]]
			order.next++
			if ok && r.live() && m.distanceClass(r) == class {
				return r
			}
		}
		m.startRound(order, class)
	}
	return nil
}

func (m *Machine) startRound(order *ring, class int) {
	order.names = order.names[:0]
	order.next = 0
	for _, r := range m.records {
		if r != m.self && r.live() && m.distanceClass(r) == class {
			order.names = append(order.names, r.Name)
		}
	}
	m.options.Rand.Shuffle(len(order.names), func(i, j int) { order.names[i], order.names[j] = order.names[j], order.names[i] })
}

// sampleAlive returns up to n distinct random members in state alive, other than this node, for
// which matches returns true.
func (m *Machine) sampleAlive(n int, matches func(*record) bool) []*record {
	return m.sample(n, func(r *record) bool { return m.isAlive(r) && matches(r) })
}

// sample returns up to n distinct random members other than this node for which matches returns
// true.
func (m *Machine) sample(n int, matches func(*record) bool) []*record {
	var candidates []*record
	for _, r := range m.records {
		if r != m.self && matches(r) {
			candidates = append(candidates, r)
		}
	}
	m.options.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// pingRequestTargets returns the members that probe target on behalf of this node. Where possible,
// one is in the target's data centre and one in a third data centre, so that a broken link between
// two data centres does not get members declared dead that other nodes reach.
func (m *Machine) pingRequestTargets(target *record) []*record {
	chosen := m.sampleAlive(1, func(r *record) bool { return r != target && r.DataCentre == target.DataCentre })
	chosen = append(chosen, m.sampleAlive(1, func(r *record) bool {
		return r != target && r.DataCentre != m.self.DataCentre && r.DataCentre != target.DataCentre
	})...)
	rest := m.sampleAlive(m.options.IndirectProbes, func(r *record) bool { return r != target && !contains(chosen, r) })
	chosen = append(chosen, rest...)
	return chosen[:min(len(chosen), m.options.IndirectProbes)]
}

func contains(records []*record, r *record) bool {
	for _, other := range records {
		if other == r {
			return true
		}
	}
	return false
}
