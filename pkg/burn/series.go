package burn

import "time"

// series keeps counts in time buckets of equal width. Only buckets with requests are stored, so a
// workspace with little traffic costs little memory.
type series struct {
	width     time.Duration
	retention time.Duration
	buckets   []bucket
}

// bucket is the counts of one span of time.
type bucket struct {
	index  int64
	counts tallies
}

func (s *series) index(t time.Time) int64 { return t.UnixNano() / int64(s.width) }

// add counts a request at now. A time before the newest bucket counts in the newest bucket.
func (s *series) add(now time.Time, counts tallies) {
	index := s.index(now)
	last := len(s.buckets) - 1
	if last < 0 || s.buckets[last].index < index {
		s.expire(now)
		s.buckets = append(s.buckets, bucket{index: index})
		last = len(s.buckets) - 1
	}
	s.buckets[last].counts.add(counts)
}

// expire removes the buckets that are older than the retention.
func (s *series) expire(now time.Time) {
	oldest := s.index(now.Add(-s.retention))
	first := 0
	for first < len(s.buckets) && s.buckets[first].index < oldest {
		first++
	}
	s.buckets = append(s.buckets[:0], s.buckets[first:]...)
}

// sum returns the counts since now minus window. The bucket in which the window starts is counted in
// full, so up to one bucket width before the window is included.
func (s *series) sum(now time.Time, window time.Duration) tallies {
	var total tallies
	oldest := s.index(now.Add(-window))
	for i := len(s.buckets) - 1; i >= 0 && s.buckets[i].index >= oldest; i-- {
		total.add(s.buckets[i].counts)
	}
	return total
}

// Bucket widths: fineWidth for windows of up to an hour, coarseWidth for longer ones.
const (
	fineWidth   = time.Minute
	coarseWidth = time.Hour
)

// history holds the counts of one workspace for all windows.
type history struct {
	fine, coarse series
}

func newHistory() history {
	return history{
		fine:   series{width: fineWidth, retention: Windows[window1h]},
		coarse: series{width: coarseWidth, retention: Windows[window24h]},
	}
}

func (h *history) add(now time.Time, counts tallies) {
	h.fine.add(now, counts)
	h.coarse.add(now, counts)
}

func (h *history) sums(now time.Time) [windowCount]tallies {
	var sums [windowCount]tallies
	for i, window := range Windows {
		if window <= h.fine.retention {
			sums[i] = h.fine.sum(now, window)
		} else {
			sums[i] = h.coarse.sum(now, window)
		}
	}
	return sums
}
