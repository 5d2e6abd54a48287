package placement

import (
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// homeHeadroom is the number of engines a prefix gets per engine's worth of demand. Above 1, the
// homes of a prefix are not saturated by that prefix alone.
const homeHeadroom = 1.25

// homes is the order in which engines serve as homes of a prompt.
type homes struct {
	order [homeOrder]int32
	count int
	// width is the number of leading engines that the demand on the deepest shared level needs.
	width int
}

// homesOf narrows the homes level by level. The first shared level chooses a set of engines whose
// size follows its demand; each deeper level orders the engines inside the set of the level above
// it. Nested prefixes therefore stay inside their parent's homes, so a shared level is computed
// on few engines, and a parent with much demand gets more engines instead of overloading one.
func (p *Placer) homesOf(g *group, pieces []prefix.Piece) homes {
	var h homes
	if g == nil || len(pieces) == 0 {
		return h
	}
	started := false
	for i := range pieces {
		if !isBoundary(pieces, i) {
			continue
		}
		width := p.widthOf(g, pieces[i].Key)
		switch {
		case !started && width > homeOrder && i < lastShared(pieces):
			continue
		case !started:
			h.start(p.fleet.order(g, pieces[i].Key), width)
			started = true
		default:
			h.narrow(p.fleet, pieces[i].Key, width)
		}
	}
	private := firstPrivate(pieces)
	if !started {
		h.start(p.fleet.order(g, pieces[min(private, len(pieces)-1)].Key), 1)
		return h
	}
	if private < len(pieces) {
		h.narrow(p.fleet, pieces[private].Key, h.width)
	}
	return h
}

func (h *homes) start(order []int32, width int) {
	h.count = copy(h.order[:], order)
	h.width = min(width, h.count)
}

// narrow sorts the engines inside the current width by their score for a deeper key.
func (h *homes) narrow(f *fleet, key uint64, width int) {
	var scores [homeOrder]uint64
	for i := range h.width {
		scores[i] = rendezvous.Score(f.engines[h.order[i]].hash, key)
	}
	for i := 1; i < h.width; i++ {
		for j := i; j > 0 && scores[j] > scores[j-1]; j-- {
			scores[j], scores[j-1] = scores[j-1], scores[j]
			h.order[j], h.order[j-1] = h.order[j-1], h.order[j]
		}
	}
	h.width = min(width, h.width)
}

// widthOf returns the number of homes that the demand on a key needs.
func (p *Placer) widthOf(g *group, key uint64) int {
	needed := p.demand.share(key) * float64(len(g.members)) * homeHeadroom
	return 1 + int(needed)
}

// isBoundary reports whether piece i ends a shared level.
func isBoundary(pieces []prefix.Piece, i int) bool {
	if !pieces[i].Shared {
		return false
	}
	return i+1 == len(pieces) || pieces[i+1].Level != pieces[i].Level
}

// firstPrivate returns the index of the first piece that only one caller uses.
func firstPrivate(pieces []prefix.Piece) int {
	for i := range pieces {
		if !pieces[i].Shared {
			return i
		}
	}
	return len(pieces)
}

// lastShared returns the index of the last shared piece, or -1.
func lastShared(pieces []prefix.Piece) int { return firstPrivate(pieces) - 1 }
