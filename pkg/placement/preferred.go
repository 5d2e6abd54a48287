package placement

import (
	"math"

	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// demandHeadroom is the number of preferred engines per engine's worth of demand for a prefix. Above
// 1, a prefix alone does not saturate its preferred engines.
const demandHeadroom = 1.25

// preferredEngines lists the engines that are preferred for a prompt, in order.
type preferredEngines struct {
	order [orderLength]int32
	count int
	// width is the number of leading engines that the demand for the deepest shared level needs.
	width int
}

// preferredEnginesFor selects engines level by level. The first shared level selects a set of engines;
// each deeper level selects a subset of the level above it, down to one engine for the deepest one.
// Nested prefixes therefore stay on their parent's engines: a shared level is computed on few
// engines, and its children spread over them instead of all using the same one. A level whose demand
// needs more engines gets more.
func (p *Placer) preferredEnginesFor(g *group, pieces []prefix.Piece) preferredEngines {
	var preferred preferredEngines
	if g == nil || len(pieces) == 0 {
		return preferred
	}
	levels := countSharedLevels(pieces)
	level := 0
	started := false
	for i := range pieces {
		if !isLevelEnd(pieces, i) {
			continue
		}
		level++
		width := p.levelWidth(g, pieces[i].PrefixHash, levels-level, levels)
		switch {
		case !started && width > orderLength && level < levels:
			continue
		case !started:
			preferred.init(p.fleet.order(g, pieces[i].PrefixHash), width)
			started = true
		default:
			preferred.narrow(p.fleet, pieces[i].PrefixHash, width)
		}
	}
	private := firstPrivatePiece(pieces)
	if !started {
		preferred.init(p.fleet.order(g, pieces[min(private, len(pieces)-1)].PrefixHash), 1)
		return preferred
	}
	if private < len(pieces) {
		preferred.narrow(p.fleet, pieces[private].PrefixHash, preferred.width)
	}
	return preferred
}

func (e *preferredEngines) init(order []int32, width int) {
	e.count = copy(e.order[:], order)
	e.width = min(width, e.count)
}

// narrow sorts the engines inside the current width by their score for a deeper level's prefix hash
// and reduces the width.
func (e *preferredEngines) narrow(f *fleet, hash uint64, width int) {
	var scores [orderLength]uint64
	for i := range e.width {
		scores[i] = rendezvous.Score(f.engines[e.order[i]].hash, hash)
	}
	for i := 1; i < e.width; i++ {
		for j := i; j > 0 && scores[j] > scores[j-1]; j-- {
			scores[j], scores[j-1] = scores[j-1], scores[j]
			e.order[j], e.order[j-1] = e.order[j-1], e.order[j]
		}
	}
	e.width = min(width, e.width)
}

// fanOutExponent sets the number of preferred engines of an outermost level, as a power of the number
// of engines. At 0.5, 20 engines give 5 preferred ones and 130 engines 12: enough to spread the
// children of one parent, and few enough to keep copies of the parent rare.
const fanOutExponent = 0.5

// levelWidth returns the number of preferred engines of a shared level that has below levels under
// it. A minimum that does not depend on demand lets a node without state find the same engines.
func (p *Placer) levelWidth(g *group, hash uint64, below, levels int) int {
	n := float64(len(g.members))
	minimum := 1.0
	if below > 0 {
		minimum = math.Ceil(math.Pow(n, fanOutExponent*float64(below)/float64(levels-1)))
	}
	needed := 1 + math.Floor(p.demand.share(hash)*n*demandHeadroom)
	return int(max(minimum, needed))
}

func countSharedLevels(pieces []prefix.Piece) int {
	n := 0
	for i := range pieces {
		if isLevelEnd(pieces, i) {
			n++
		}
	}
	return n
}

// isLevelEnd reports whether piece i ends a shared level.
func isLevelEnd(pieces []prefix.Piece, i int) bool {
	if !pieces[i].Shared {
		return false
	}
	return i+1 == len(pieces) || pieces[i+1].Level != pieces[i].Level
}

// firstPrivatePiece returns the index of the first piece that only one caller uses.
func firstPrivatePiece(pieces []prefix.Piece) int {
	for i := range pieces {
		if !pieces[i].Shared {
			return i
		}
	}
	return len(pieces)
}
