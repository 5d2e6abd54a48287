package placement

import (
	"cmp"
	"slices"

	"cassiawall.example/cassiawall/pkg/rendezvous"
)

const (
	// orderLength is the length of the rendezvous order that is kept per bucket of prefix hashes.
	orderLength = 32
	// orderBuckets is the number of prefix hash buckets with their own order. Two hot prefixes
	// share an order with probability 1 in 4096.
	orderBuckets = 4096
)

// engineState is an engine with the load that this node has added to it.
type engineState struct {
	EngineView
	hash uint64
	// number is the interned number of the engine's id. It does not change with the set of engines.
	number int32
	// incarnationHash identifies the incarnation in the prefix index.
	incarnationHash uint64
	// dispatchedTokens and dispatchedRequests count the work that this node has sent since the
	// last load summary.
	dispatchedTokens   int
	dispatchedRequests int
}

// group holds the engines of one model in one region and the rendezvous orders over them. Orders
// depend only on the set of engines and are computed on first use.
type group struct {
	members []int32
	orders  [orderBuckets][]int32
}

type groupKey struct {
	model  string
	region string
}

// fleet is the set of engines of this node's view.
type fleet struct {
	engines []engineState
	byID    map[string]int32
	// byNumber maps an interned number to an index in engines, or to noEngine.
	byNumber []int32
	groups   map[groupKey]*group
}

const noEngine = int32(-1)

// interner gives engine ids small numbers that stay the same when the set of engines changes.
type interner map[string]int32

func (n interner) number(id string) int32 {
	i, ok := n[id]
	if !ok {
		i = int32(len(n))
		n[id] = i
	}
	return i
}

func newFleet(views []EngineView, ids interner, old *fleet) *fleet {
	f := &fleet{byID: make(map[string]int32, len(views)), groups: map[groupKey]*group{}}
	sorted := slices.Clone(views)
	slices.SortFunc(sorted, func(a, b EngineView) int { return cmp.Compare(a.ID, b.ID) })
	for i, v := range sorted {
		e := engineState{EngineView: v, hash: rendezvous.Hash(v.ID), number: ids.number(v.ID)}
		e.incarnationHash = rendezvous.Hash(v.Incarnation)
		if old != nil {
			e.inheritState(old)
		}
		f.engines = append(f.engines, e)
		f.byID[v.ID] = int32(i)
	}
	f.byNumber = make([]int32, len(ids))
	for i := range f.byNumber {
		f.byNumber[i] = noEngine
	}
	for i := range f.engines {
		f.byNumber[f.engines[i].number] = int32(i)
	}
	f.buildGroups()
	return f
}

// inheritState keeps the newer load and the dispatched work of an engine when the set of engines
// changes.
func (e *engineState) inheritState(old *fleet) {
	i, ok := old.byID[e.ID]
	if !ok {
		return
	}
	previous := &old.engines[i]
	if previous.Incarnation == e.Incarnation && previous.hasNewerLoad(e.Load) {
		e.Load = previous.Load
	}
	e.dispatchedTokens = previous.dispatchedTokens
	e.dispatchedRequests = previous.dispatchedRequests
}

func (e *engineState) hasNewerLoad(l LoadView) bool {
	return e.Load.Owner == l.Owner && e.Load.Version > l.Version
}

// buildGroups lists the engines per model and region. An engine whose model is not known yet is in
// the groups of all models; it refuses a request for a model that it does not serve.
func (f *fleet) buildGroups() {
	models := map[string]bool{"": true}
	for i := range f.engines {
		models[f.engines[i].Model] = true
	}
	for i := range f.engines {
		e := &f.engines[i]
		for m := range models {
			if e.Model != m && e.Model != "" {
				continue
			}
			f.addToGroup(groupKey{m, e.Region}, int32(i))
			f.addToGroup(groupKey{m, ""}, int32(i))
		}
	}
}

func (f *fleet) addToGroup(key groupKey, i int32) {
	g, ok := f.groups[key]
	if !ok {
		g = &group{}
		f.groups[key] = g
	}
	if n := len(g.members); n == 0 || g.members[n-1] != i {
		g.members = append(g.members, i)
	}
}

// groupFor returns the engines of a model in a region, or in all regions if the region has none.
func (f *fleet) groupFor(model, region string) *group {
	if g, ok := f.groups[groupKey{model, region}]; ok {
		return g
	}
	if g, ok := f.groups[groupKey{model, ""}]; ok {
		return g
	}
	return f.groups[groupKey{"", ""}]
}

// sameEngines reports whether views describe the same engines with the same placement identity, so
// that only loads need an update.
func (f *fleet) sameEngines(views []EngineView) bool {
	if len(views) != len(f.engines) {
		return false
	}
	for i := range views {
		j, ok := f.byID[views[i].ID]
		if !ok {
			return false
		}
		e := &f.engines[j]
		if e.Model != views[i].Model || e.Region != views[i].Region {
			return false
		}
	}
	return true
}

// update applies new views of the same engines.
func (f *fleet) update(views []EngineView) {
	for _, v := range views {
		e := &f.engines[f.byID[v.ID]]
		if e.Incarnation == v.Incarnation && e.hasNewerLoad(v.Load) {
			v.Load = e.Load
		}
		if v.Load.Version != e.Load.Version || v.Load.Owner != e.Load.Owner {
			e.dispatchedTokens = 0
			e.dispatchedRequests = 0
		}
		e.EngineView = v
		e.incarnationHash = rendezvous.Hash(v.Incarnation)
	}
}

// order returns the first engines of a group in the rendezvous order of a prefix hash's bucket.
func (f *fleet) order(g *group, hash uint64) []int32 {
	bucket := hash % orderBuckets
	if order := g.orders[bucket]; order != nil {
		return order
	}
	order := f.computeOrder(g, bucket)
	g.orders[bucket] = order
	return order
}

func (f *fleet) computeOrder(g *group, bucket uint64) []int32 {
	type scoredMember struct {
		score uint64
		index int32
	}
	all := make([]scoredMember, len(g.members))
	for i, m := range g.members {
		all[i] = scoredMember{rendezvous.Score(f.engines[m].hash, bucket+1), int32(m)}
	}
	slices.SortFunc(all, func(a, b scoredMember) int { return cmp.Compare(b.score, a.score) })
	n := min(orderLength, len(all))
	order := make([]int32, n)
	for i := range order {
		order[i] = all[i].index
	}
	return order
}
