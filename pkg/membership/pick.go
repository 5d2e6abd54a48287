package membership

import "cassiawall.example/cassiawall/pkg/blackboard"

// Classes of probe targets by distance.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	classes
)

// Shares of probes by distance. Most stay within the data centre, where they are cheap and
// quick; the rest keep the data centres' views together.
const (
	shareDataCentre = 0.75
	shareRegion     = 0.17
)

// smallClass is the number of members below which a data centre gets a smaller share of the
// probes, so that one or two neighbours are not probed all the time.
const smallClass = 3

// ring is a random order in which the members of one class are probed. Each is probed once in
// a round, which bounds the time until a dead member is noticed.
type ring struct {
	names []string
	next  int
}

func (m *Machine) isAlive(r *record) bool { return r.State == blackboard.MemberAlive }

func (m *Machine) class(r *record) int {
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
	for i := range classes {
		if r := m.nextOf((first + i) % classes); r != nil {
			return r
		}
	}
	return nil
}

func (m *Machine) chooseClass() int {
	var count [classes]int
	for _, r := range m.list {
		if r != m.self && r.live() {
			count[m.class(r)]++
		}
	}
	near := shareDataCentre * min(1, float64(count[sameDataCentre])/smallClass)
	x := m.o.Rand.Float64()
	switch {
	case x < near:
		return sameDataCentre
	case x < near+shareRegion*(1-near)/(1-shareDataCentre) && count[sameRegion] > 0:
		return sameRegion
	}
	return otherRegion
}

// nextOf returns the next live member of a class. It makes a new order when a round is over.
func (m *Machine) nextOf(class int) *record {
	g := &m.rings[class]
	for range 2 {
		for g.next < len(g.names) {
			r, ok := m.members[g.names[g.next]]
			g.next++
			if ok && r.live() && m.class(r) == class {
				return r
			}
		}
		m.shuffle(g, class)
	}
	return nil
}

func (m *Machine) shuffle(g *ring, class int) {
	g.names = g.names[:0]
	g.next = 0
	for _, r := range m.list {
		if r != m.self && r.live() && m.class(r) == class {
			g.names = append(g.names, r.Name)
		}
	}
	m.o.Rand.Shuffle(len(g.names), func(i, j int) { g.names[i], g.names[j] = g.names[j], g.names[i] })
}

// pick returns up to n different random live members other than this node that fit.
func (m *Machine) pick(n int, fits func(*record) bool) []*record {
	return m.sample(n, func(r *record) bool { return m.isAlive(r) && fits(r) })
}

// sample returns up to n different random members other than this node that fit.
func (m *Machine) sample(n int, fits func(*record) bool) []*record {
	var all []*record
	for _, r := range m.list {
		if r != m.self && fits(r) {
			all = append(all, r)
		}
	}
	m.o.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// helpers returns the members that probe target for this node. One is in the target's data
// centre and one outside this node's, so that a broken link between two places does not kill
// members that others reach.
func (m *Machine) helpers(target *record) []*record {
	chosen := m.pick(1, func(r *record) bool { return r != target && r.DataCentre == target.DataCentre })
	chosen = append(chosen, m.pick(1, func(r *record) bool {
		return r != target && r.DataCentre != m.self.DataCentre && r.DataCentre != target.DataCentre
	})...)
	rest := m.pick(m.o.IndirectProbes, func(r *record) bool { return r != target && !contains(chosen, r) })
	chosen = append(chosen, rest...)
	return chosen[:min(len(chosen), m.o.IndirectProbes)]
}

func contains(records []*record, r *record) bool {
	for _, other := range records {
		if other == r {
			return true
		}
	}
	return false
}
