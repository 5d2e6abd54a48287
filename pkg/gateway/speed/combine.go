package speed

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// typicalRank is the rank of the engine with a factor of 1 among those of its service, from the fastest (0) to the
	// slowest (1). Below one half, so that the fast half counts as typical if half of the engines are slow.
	typicalRank = 0.4
	// minCombined is the weight in samples from which the factor of an engine is used.
	minCombined = 2.0
	// priorSamples is the weight of the assumption that an engine is like the others.
	priorSamples = 1.0
	// seedSamples is the weight that a new leader gives to a factor of its predecessor.
	seedSamples = 8.0
	// combinedHalfLife is the time in which the weight of a report halves.
	combinedHalfLife = 8 * time.Second
	// clipAbove and clipBelow bound the difference of a report from the mean of its engine, in standard deviations. Above,
	// the bound is tight: a prompt may wait for much longer than usual, behind others or in a pause, but never takes much
	// less time.
	clipAbove, clipBelow = 1.5, 2.5
	// shiftReports in a row that differ by shiftDifference octaves and by shiftDeviations standard deviations to the same
	// side over minShiftTime show that the speed has changed. Waiting behind one long prompt, or a pause of 0.6 s, lasts
	// for less.
	shiftReports    = 8
	shiftDifference = 0.3
	shiftDeviations = 1.0
	minShiftTime    = 2 * time.Second
	// shiftSamples is the weight of the new mean, which the next samples correct: it is the report of the run that differs
	// least.
	shiftSamples = 3.0
	// minVariance keeps the variance, in octaves squared, above the resolution of reports.
	minVariance = 0.01
	// minChange is the change in octaves from which an announced factor is changed, and changeErrors the same in standard
	// errors. returnShare is the share of the difference from 1 that an announcement takes to which the difference must
	// fall for the factor to return to 1.
	minChange    = 0.1
	changeErrors = 2.0
	// maxChange is the change that always counts: without samples the standard error grows, and the factor returns to 1.
	maxChange   = 0.3
	returnShare = 0.5
	// takeoverGap is the time without an announcement after which the state of an earlier leadership is out of date.
	takeoverGap = 5 * time.Second
	// changeRepeats is the number of further announcements with a changed factor, because messages may be lost.
	changeRepeats = 2
	// usualFactor is the factor below which an engine no longer counts as slow.
	usualFactor = 1.4
)

// SlowFactor is the factor above which an engine counts as slow.
const SlowFactor = 1.5

// Combiner combines the reports of all nodes at the leader. It is safe for concurrent use.
type Combiner struct {
	mu          sync.Mutex
	engines     map[uint32]*combined
	announcedAt time.Time
	round       int
	// variance is that of single samples around the mean of their engine, in octaves squared.
	variance float64
}

// combined is what the leader knows about one engine.
type combined struct {
	average
	// announced is the announced factor in octaves, in the announcement of the given round.
	announced float64
	round     int
	repeats   int
	slow      bool
	// runLength is the number of reports in a row that are all above or all below the mean, since runSince. runNearest is
	// the one nearest to it.
	runLength  int
	runAbove   bool
	runSince   time.Time
	runNearest float64
}

// Change is an engine that has become slow or is no longer slow.
type Change struct {
	Engine uint32
	Slow   bool
	Factor float64
	// Samples is the weight of the samples behind the factor.
	Samples float64
}

// NewCombiner returns a combiner without reports.
func NewCombiner() *Combiner {
	return &Combiner{engines: map[uint32]*combined{}, variance: initialVariance}
}

// Merge adds the report of a node, also that of the leader itself.
func (c *Combiner) Merge(report []byte, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range decodeReport(report) {
		e := c.engines[s.engine]
		if e == nil {
			if len(c.engines) >= maxEngines {
				continue
			}
			e = &combined{}
			c.engines[s.engine] = e
		}
		e.add(s, &c.variance, now)
	}
}

// add adds what one node has observed. variance is the moving average of that of single samples.
func (e *combined) add(s sample, variance *float64, now time.Time) {
	e.decay(combinedHalfLife, now)
	weight := float64(s.count)
	if e.weight < minCombined {
		e.average.add(s.octaves, weight, combinedHalfLife, now)
		return
	}
	difference := s.octaves - e.mean()
	if e.hasShifted(s, difference, max(shiftDifference, shiftDeviations*math.Sqrt(*variance)), now) {
		e.sum, e.weight = e.runNearest*shiftSamples, shiftSamples
		e.runLength = 0
		return
	}
	deviation := math.Sqrt(*variance/weight + *variance/e.weight)
	difference = min(max(difference, -clipBelow*deviation), clipAbove*deviation)
	share := e.weight / (e.weight + weight)
	*variance = max(*variance+varianceWeight*(weight*share*difference*difference-*variance), minVariance)
	e.average.add(e.mean()+difference, weight, combinedHalfLife, now)
}

// hasShifted reports whether a run of reports on the same side of the mean shows that the engine's speed has changed.
func (e *combined) hasShifted(s sample, difference, least float64, now time.Time) bool {
	if math.Abs(difference) < least {
		e.runLength = 0
		return false
	}
	if above := difference > 0; e.runLength == 0 || above != e.runAbove {
		e.runLength, e.runAbove, e.runSince, e.runNearest = 0, above, now, s.octaves
	}
	e.runLength++
	if e.runAbove == (s.octaves < e.runNearest) {
		e.runNearest = s.octaves
	}
	return e.runLength >= shiftReports && now.Sub(e.runSince) >= minShiftTime
}

// Announce returns the encoded factors for a message of the leader, and the engines that have become slow or are no longer.
// services holds the service of each engine by its key; others are dropped. known returns the factor that the previous
// leader announced.
func (c *Combiner) Announce(services map[uint32]string, known func(engine uint32, now time.Time) float64, now time.Time) (announcement []byte, changes []Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.announcedAt) > takeoverGap {
		c.seedLocked(services, known, now)
	}
	c.announcedAt = now
	c.round++
	typical := c.typicalLocked(services, now)
	var due, unchanged []uint32
	for key, service := range services {
		e := c.engines[key]
		if e == nil {
			continue
		}
		if c.updateLocked(e, typical[service]) {
			e.repeats = changeRepeats + 1
		}
		factor := math.Exp2(e.announced)
		if slow := factor > SlowFactor || e.slow && factor > usualFactor; slow != e.slow {
			e.slow = slow
			changes = append(changes, Change{Engine: key, Slow: slow, Factor: factor, Samples: e.weight})
		}
		switch {
		case e.repeats > 0:
			due = append(due, key)
		case e.announced != 0:
			unchanged = append(unchanged, key)
		}
	}
	return c.encodeLocked(due, unchanged), changes
}

// seedLocked replaces the state by the factors that the previous leader announced.
func (c *Combiner) seedLocked(services map[uint32]string, known func(engine uint32, now time.Time) float64, now time.Time) {
	clear(c.engines)
	for key := range services {
		e := &combined{announced: decodeOctaves(encodeOctaves(math.Log2(known(key, now))))}
		e.slow = math.Exp2(e.announced) > SlowFactor
		e.average.add(e.announced, seedSamples, combinedHalfLife, now)
		c.engines[key] = e
	}
}

// typicalLocked returns the mean of the typical engine of each service, and drops engines that are not listed.
func (c *Combiner) typicalLocked(services map[uint32]string, now time.Time) map[string]float64 {
	means := map[string][]float64{}
	for key, e := range c.engines {
		service, listed := services[key]
		if !listed {
			delete(c.engines, key)
			continue
		}
		e.decay(combinedHalfLife, now)
		if e.weight >= minCombined {
			means[service] = append(means[service], e.mean())
		}
	}
	typical := make(map[string]float64, len(means))
	for service, list := range means {
		slices.Sort(list)
		typical[service] = list[int(typicalRank*float64(len(list)-1))]
	}
	return typical
}

// updateLocked sets the announced factor of an engine and reports whether it has changed. Noise alone changes none.
func (c *Combiner) updateLocked(e *combined, typical float64) bool {
	octaves := (e.sum - typical*e.weight) / (e.weight + priorSamples)
	deviation := math.Sqrt(c.variance / (e.weight + priorSamples))
	enter := max(minDifference, significance*deviation)
	difference := math.Abs(octaves)
	next := decodeOctaves(encodeOctaves(octaves))
	switch {
	case e.announced == 0 && difference < enter, difference < returnShare*minDifference, e.weight < minCombined && difference < minDifference:
		next = 0
	case e.announced != 0 && math.Abs(octaves-e.announced) < min(max(minChange, changeErrors*deviation), maxChange):
		next = e.announced
	}
	changed := next != e.announced
	e.announced = next
	return changed
}

// encodeLocked encodes the changed factors and some of the unchanged ones, those sent longest ago first.
func (c *Combiner) encodeLocked(due, unchanged []uint32) []byte {
	byRound := func(a, b uint32) int {
		return cmp.Or(cmp.Compare(c.engines[a].round, c.engines[b].round), cmp.Compare(a, b))
	}
	slices.SortFunc(due, byRound)
	slices.SortFunc(unchanged, byRound)
	due = due[:min(len(due), maxAnnounced)]
	unchanged = unchanged[:min(len(unchanged), maxRefreshed, maxAnnounced-len(due))]
	data := append(make([]byte, 0, 1+(len(due)+len(unchanged))*factorBytes), formatVersion)
	for _, key := range append(due, unchanged...) {
		e := c.engines[key]
		e.round, e.repeats = c.round, max(e.repeats-1, 0)
		data = binary.BigEndian.AppendUint32(data, key)
		data = append(data, encodeOctaves(e.announced))
	}
	return data
}
