package placement

import "math"

// demand estimates the share of requests that use a prefix, from this node's own requests. The
// load balancer spreads requests over the nodes, so all nodes estimate about the same share.
// Counters live in a count-min sketch of fixed size.
type demand struct {
	rows  [demandRows][demandWidth]float32
	total float64
	seen  int
}

const (
	demandRows  = 2
	demandWidth = 4096
	// demandHalfEvery is the number of requests after which all counts are halved, so that
	// shares follow shifts of the hot prefixes.
	demandHalfEvery = 2000
	// minDemandTotal is the number of requests below which no share is stated.
	minDemandTotal = 50
)

func (d *demand) observe(keys []uint64) {
	for _, k := range keys {
		for r := range d.rows {
			d.rows[r][slotOf(k, r)]++
		}
	}
	d.total++
	d.seen++
	if d.seen < demandHalfEvery {
		return
	}
	d.seen = 0
	d.total /= 2
	for r := range d.rows {
		for i := range d.rows[r] {
			d.rows[r][i] /= 2
		}
	}
}

// share returns the share of requests that use the key, or 0 if too few were seen.
func (d *demand) share(key uint64) float64 {
	if d.total < minDemandTotal {
		return 0
	}
	least := math.Inf(1)
	for r := range d.rows {
		least = min(least, float64(d.rows[r][slotOf(key, r)]))
	}
	return min(1, least/d.total)
}

func slotOf(key uint64, row int) int {
	return int((key >> (row * 16)) % demandWidth)
}
