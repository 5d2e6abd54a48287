package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms. Two significant digits keep quantiles within 1%.
const (
	lowestMillis       = 1
	highestMillis      = int64(10 * time.Minute / time.Millisecond)
	significantFigures = 2
)

// Histogram counts times in milliseconds. The zero value is empty; its buckets are allocated when the
// first time is recorded.
type Histogram struct {
	counts *hdrhistogram.Histogram
}

func (h *Histogram) record(d time.Duration) {
	h.allocate()
	millis := min(max(d.Milliseconds(), lowestMillis), highestMillis)
	// RecordValue fails only for values out of range, and millis is clamped to the range.
	_ = h.counts.RecordValue(millis)
}

func (h *Histogram) allocate() {
	if h.counts == nil {
		h.counts = hdrhistogram.New(lowestMillis, highestMillis, significantFigures)
	}
}

func (h *Histogram) merge(other *Histogram) {
	if other.counts == nil {
		return
	}
	h.allocate()
	h.counts.Merge(other.counts)
}

// Count returns the number of recorded times.
func (h *Histogram) Count() int64 {
	if h.counts == nil {
		return 0
	}
	return h.counts.TotalCount()
}

// Quantile returns the quantile q, from 0 to 1, of the recorded times in milliseconds, or 0 if there
// are none.
func (h *Histogram) Quantile(q float64) int64 {
	if h.counts == nil {
		return 0
	}
	return h.counts.ValueAtPercentile(q * 100)
}

// sparse is the wire form of a histogram, a pair of numbers for each bucket that is not empty: the
// distance of its index from the index of the pair before (from 0 for the first), and its count.
type sparse []int64

func (h *Histogram) sparse() sparse {
	if h.counts == nil {
		return nil
	}
	var pairs sparse
	last := 0
	for i, count := range h.counts.Export().Counts {
		if count > 0 {
			pairs = append(pairs, int64(i-last), count)
			last = i
		}
	}
	return pairs
}

// coarseGroup is the number of neighbouring buckets that coarsen merges. It must be a power of two.
const coarseGroup = 4

// coarsen merges each group of neighbouring buckets into its highest bucket, which overstates times
// by at most 3% or 3 ms, whichever is more.
func (s sparse) coarsen() sparse {
	var pairs sparse
	index, last := int64(0), int64(0)
	for i := 0; i+1 < len(s); i += 2 {
		index += s[i]
		group := index | (coarseGroup - 1)
		if len(pairs) > 0 && group == last {
			pairs[len(pairs)-1] += s[i+1]
			continue
		}
		pairs = append(pairs, group-last, s[i+1])
		last = group
	}
	return pairs
}

// bucketCount is the number of buckets of a histogram.
var bucketCount = int64(len(hdrhistogram.New(lowestMillis, highestMillis, significantFigures).Export().Counts))

// valid reports whether s consists of whole pairs with bucket indexes and counts in range.
func (s sparse) valid() bool {
	index := int64(0)
	for i := 0; i+1 < len(s); i += 2 {
		distance, count := s[i], s[i+1]
		if distance < 0 || count < 0 || count > maxCount || distance >= bucketCount-index {
			return false
		}
		index += distance
	}
	return len(s)%2 == 0
}

// histogramSum is the sum of sparse histograms. The zero value is empty.
type histogramSum struct {
	counts []int64
}

// add adds s, which must be valid.
func (t *histogramSum) add(s sparse) {
	if len(s) > 0 && t.counts == nil {
		t.counts = make([]int64, bucketCount)
	}
	index := int64(0)
	for i := 0; i+1 < len(s); i += 2 {
		index += s[i]
		t.counts[index] += s[i+1]
	}
}

// histogram returns the sum as a histogram.
func (t *histogramSum) histogram() Histogram {
	if t.counts == nil {
		return Histogram{}
	}
	snapshot := hdrhistogram.New(lowestMillis, highestMillis, significantFigures).Export()
	copy(snapshot.Counts, t.counts)
	return Histogram{counts: hdrhistogram.Import(snapshot)}
}

// maxCount bounds each count from another node, so that sums over all nodes cannot overflow.
const maxCount = 1 << 40
