// Package speed models the time from sending a prompt to an engine until the first event of its response. Each node fits
// a model of each service to its own samples: a base time, a time for each token that the engine has to read, and a time
// for each request that runs there. What one engine takes more or less than the model is its factor. A node sees an engine
// too seldom to know its factor, so the nodes report what they observed and the leader combines the reports and announces
// the factors. The package makes decisions only: messages and clocks are the callers'.
package speed

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an engine from one start to the next, so that an engine that restarts begins with a factor of 1. started
// is the time of the start as listed, or 0 if it is not known. Keys may collide: two engines then share a factor.
func Key(id string, started int64) uint32 {
	return uint32(xxhash.Sum64String(id + "\x00" + strconv.FormatInt(started, 10)))
}

const (
	// recentHalfLife is the time in which the weight of a sample halves while the leader announces factors, and
	// lastingHalfLife the same without a leader: a node of a large fleet sends to an engine once in ten seconds.
	recentHalfLife  = 4 * time.Second
	lastingHalfLife = 30 * time.Second
	// announcementTTL is the time without a message of the leader after which the announced factors lose weight, by half
	// in each recentHalfLife.
	announcementTTL = 1500 * time.Millisecond
	// factorTTL is the time after which a factor that the leader no longer announces counts as 1.
	factorTTL = 40 * time.Second
	// announcedSamples is the weight of an announced factor in own samples.
	announcedSamples = 16.0
	// unknownSamples is the weight of the assumption that an engine without an announced factor is like the others.
	unknownSamples = 2.0
	// minOwnSamples is the least weight of own samples that may change an announced factor.
	minOwnSamples = 3.0
	// significance is the deviation from which a difference counts, in standard errors. Samples of a few requests that
	// wait in the same queue are not independent: with 3, twice as many engines under high load got a factor.
	significance = 4.0
	// minDifference is the difference from 1, in octaves, from which a factor counts. 0.25 is 19%: with 0.2, engines with
	// three times the load of the others got factors of 1.19 in a replay.
	minDifference = 0.25
	// maxRatio bounds the ratio of a sample, in octaves.
	maxRatio = 3.0
	// varianceSamples is the weight of the variance of the service in that of one engine.
	varianceSamples = 8.0
	// maxEngines and maxServices bound the memory of a tracker. Engines without a sample or announcement for engineTTL
	// are dropped.
	maxEngines  = 4096
	maxServices = 64
	engineTTL   = 5 * time.Minute
)

// average is a decaying mean of samples in octaves.
type average struct {
	sum, weight float64
	at          time.Time
}

func (a *average) decay(halfLife time.Duration, now time.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		f := math.Exp2(-float64(elapsed) / float64(halfLife))
		a.sum *= f
		a.weight *= f
		a.at = now
	}
}

func (a *average) add(x, weight float64, halfLife time.Duration, now time.Time) {
	a.decay(halfLife, now)
	a.sum += x * weight
	a.weight += weight
}

func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// Tracker is the state of one node. It is safe for concurrent use. Times are on any monotonic clock, the same for all
// calls.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*serviceModel
	engines  map[uint32]*engineState
	// announcedAt is the time of the last announcement of the leader.
	announcedAt time.Time
	prunedAt    time.Time
}

// engineState is what a node knows about one engine.
type engineState struct {
	// recent and lasting average the ratios of the observed time to that of the service's model, and squares what the
	// factor leaves unexplained of them, squared.
	recent, lasting, squares average
	// model is that of the engine's service, or nil before the first sample.
	model *serviceModel
	// pendingSum and pendingCount are the samples since the last report.
	pendingSum   float64
	pendingCount int
	// announced is the factor of the leader in octaves, at the time announcedAt.
	announced   float64
	announcedAt time.Time
	usedAt      time.Time
}

// NewTracker returns a tracker without samples.
func NewTracker() *Tracker {
	return &Tracker{services: map[string]*serviceModel{}, engines: map[uint32]*engineState{}}
}

// Observe records that an engine took that time until the first event of a prompt, of which it had to read that many tokens
// while that many requests ran there.
func (t *Tracker) Observe(service string, engine uint32, tokensToRead, running int, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	model := t.services[service]
	if model == nil {
		if len(t.services) >= maxServices {
			return
		}
		model = newServiceModel()
		t.services[service] = model
	}
	e := t.engineLocked(engine, now)
	if e == nil {
		return
	}
	e.usedAt, e.model = now, model
	ms := float64(took) / float64(time.Millisecond)
	x := newFeatures(tokensToRead, running)
	octaves := t.octavesLocked(e, now)
	if model.ready() {
		ratio := min(max(math.Log2(ms/model.predict(x)), -maxRatio), maxRatio)
		rest := ratio - octaves
		e.squares.add(rest*rest, 1, lastingHalfLife, now)
		e.lasting.add(ratio, 1, lastingHalfLife, now)
		e.recent.add(ratio, 1, recentHalfLife, now)
		if e.pendingCount < math.MaxUint8 {
			e.pendingSum += ratio
			e.pendingCount++
		}
	}
	model.add(x, ms/math.Exp2(octaves))
}

// Expect returns the expected time until the first event of a prompt, and its standard deviation. Before the first samples
// of a service both are 0.
func (t *Tracker) Expect(service string, engine uint32, tokensToRead, running int, now time.Time) (expected, deviation time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	model := t.services[service]
	if model == nil {
		return 0, 0
	}
	octaves, variance := 0.0, model.variance
	if e := t.engines[engine]; e != nil {
		octaves = t.octavesLocked(e, now)
		variance = (e.squares.sum + varianceSamples*variance) / (e.squares.weight + varianceSamples)
	}
	ms := model.predict(newFeatures(tokensToRead, running)) * math.Exp2(octaves)
	return time.Duration(ms * float64(time.Millisecond)), time.Duration(ms * math.Ln2 * math.Sqrt(variance) * float64(time.Millisecond))
}

// Factor returns how many times longer than the others of its service an engine takes, or 1 if that is not known.
func (t *Tracker) Factor(engine uint32, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[engine]
	if e == nil {
		return 1
	}
	return math.Exp2(t.octavesLocked(e, now))
}

// Announced returns the factor that the leader announced for an engine in the last factorTTL, or 1.
func (t *Tracker) Announced(engine uint32, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.engines[engine]; e != nil && now.Sub(e.announcedAt) < factorTTL {
		return math.Exp2(e.announced)
	}
	return 1
}

// octavesLocked returns the factor of an engine in octaves.
func (t *Tracker) octavesLocked(e *engineState, now time.Time) float64 {
	confidence := 0.0
	if !t.announcedAt.IsZero() {
		confidence = math.Exp2(-float64(max(now.Sub(t.announcedAt)-announcementTTL, 0)) / float64(recentHalfLife))
	}
	announced := 0.0
	if now.Sub(e.announcedAt) < factorTTL {
		announced = e.announced * confidence
	}
	own, halfLife := e.recent, recentHalfLife
	if confidence < 0.5 {
		own, halfLife = e.lasting, lastingHalfLife
	}
	own.decay(halfLife, now)
	if e.model == nil || own.weight < minOwnSamples {
		return announced
	}
	difference := math.Abs(own.mean() - announced)
	if difference < max(minDifference, significance*math.Sqrt(e.model.variance/own.weight)) {
		return announced
	}
	weight := max(announcedSamples*confidence, unknownSamples)
	return (weight*announced + own.sum) / (weight + own.weight)
}

// engineLocked returns the state of an engine, or nil if there are too many.
func (t *Tracker) engineLocked(engine uint32, now time.Time) *engineState {
	e := t.engines[engine]
	if e == nil {
		if len(t.engines) >= maxEngines {
			return nil
		}
		e = &engineState{usedAt: now}
		t.engines[engine] = e
	}
	return e
}

// pruneLocked drops engines that are no longer in use.
func (t *Tracker) pruneLocked(now time.Time) {
	if now.Sub(t.prunedAt) < engineTTL/10 {
		return
	}
	t.prunedAt = now
	for key, e := range t.engines {
		if now.Sub(e.usedAt) > engineTTL {
			delete(t.engines, key)
		}
	}
}
