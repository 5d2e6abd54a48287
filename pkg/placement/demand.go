package placement

import "math"

// demand estimates the share of requests that use a prefix, from this node's own requests. The
// load balancer spreads requests over the nodes, so all nodes estimate about the same share.
// Counters live in a count-min sketch of fixed size.
type demand struct {
	rows         [demandRows][demandWidth]float32
	total        float64
	sinceHalving int
}

const (
	demandRows  = 2
	demandWidth = 4096
	// demandHalvingRequests is the number of requests after which all counts are halved, so that
	// shares follow changes of the hot prefixes.
	demandHalvingRequests = 2000
	// minDemandRequests is the number of counted requests below which share returns 0.
	minDemandRequests = 50
)

func (d *demand) observe(hashes []uint64) {
	for _, hash := range hashes {
		for r := range d.rows {
			d.rows[r][columnOf(hash, r)]++
		}
	}
	d.total++
	d.sinceHalving++
	if d.sinceHalving < demandHalvingRequests {
		return
	}
	d.sinceHalving = 0
	d.total /= 2
	for r := range d.rows {
		for i := range d.rows[r] {
			d.rows[r][i] /= 2
		}
	}
}

// share returns the share of requests that use the prefix, or 0 if too few were counted.
func (d *demand) share(hash uint64) float64 {
	if d.total < minDemandRequests {
		return 0
	}
	count := math.Inf(1)
	for r := range d.rows {
		count = min(count, float64(d.rows[r][columnOf(hash, r)]))
	}
	return min(1, count/d.total)
}

func columnOf(hash uint64, row int) int {
	return int((hash >> (row * 16)) % demandWidth)
}
