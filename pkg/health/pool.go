package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
)

// PoolConfig configures the health rules of a pool. Zero values take the defaults stated at each
// field.
type PoolConfig struct {
	Breaker BreakerConfig
	// MaxEjectedShare bounds the share of the pool that circuit breakers and outlier ejection may
	// remove together, rounded down, but at least one backend in a pool of two or more. Default
	// 0.3.
	MaxEjectedShare float64
	// HalfLife is the time in which a result loses half its weight. Default 10 s.
	HalfLife time.Duration
	// MinRequestVolume is the sum of the weights of a backend's results below which its failure
	// rate is not evaluated. Default 5.
	MinRequestVolume float64
	// OutlierMargin is how far a failure rate must exceed the pool's median to be an outlier, so
	// that a fault that all backends share ejects none. Default 0.3.
	OutlierMargin float64
	// BaseEjectionTime is the duration of a first ejection. It doubles with each further one, up to
	// MaxEjectionTime. Defaults 5 s and 2 min.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// SlowStartDuration is the time in which the weight of a new or returning backend rises from
	// SlowStartWeight to 1. Defaults 10 s and 0.1.
	SlowStartDuration time.Duration
	SlowStartWeight   float64
}

func (c PoolConfig) withDefaults() PoolConfig {
	defaults.Set(&c.MaxEjectedShare, 0.3)
	defaults.Set(&c.HalfLife, 10*time.Second)
	defaults.Set(&c.MinRequestVolume, 5)
	defaults.Set(&c.OutlierMargin, 0.3)
	defaults.Set(&c.BaseEjectionTime, 5*time.Second)
	defaults.Set(&c.MaxEjectionTime, 2*time.Minute)
	defaults.Set(&c.SlowStartDuration, 10*time.Second)
	defaults.Set(&c.SlowStartWeight, 0.1)
	return c
}

// Reason states why a backend receives no requests, or that it is healthy.
type Reason string

// Reasons of a verdict.
const (
	Healthy     Reason = "healthy"
	BreakerOpen Reason = "breaker_open"
	Outlier     Reason = "outlier"
)

// Verdict is the decision whether a backend receives requests.
type Verdict struct {
	ID     string
	Usable bool
	// Weight scales the share of requests of a usable backend, above 0 and up to 1. It is 0 for
	// other backends.
	Weight float64
	Reason Reason
	// Breaker is the state of the backend's circuit breaker.
	Breaker BreakerState
	// FailureRate is the weighted share of failed requests, 0 to 1.
	FailureRate float64
}

// Pool evaluates the backends of one pool by the results of their requests. It is not safe for
// concurrent use.
type Pool struct {
	config    PoolConfig
	breaker   BreakerConfig
	members   map[string]*member
	sortedIDs []string
}

type member struct {
	id      string
	breaker *Breaker
	// ok and failed are the decayed numbers of results as of updated.
	ok, failed float64
	updated    time.Time

	ejections    int
	ejectedUntil time.Time
	// ejected is set if the last verdict removed the backend, keptByCap if only MaxEjectedShare
	// kept it in use.
	ejected, keptByCap bool
	// slowStartAt is the start of the slow start; zero if there is none.
	slowStartAt time.Time
}

// NewPool returns a pool without members.
func NewPool(config PoolConfig) *Pool {
	config = config.withDefaults()
	return &Pool{config: config, breaker: config.Breaker, members: map[string]*member{}}
}

// SetMembers replaces the members. Backends that join a non-empty pool get a slow start.
func (p *Pool) SetMembers(now time.Time, ids []string) {
	initial := len(p.members) == 0
	members := make(map[string]*member, len(ids))
	for _, id := range ids {
		m := p.members[id]
		if m == nil {
			m = &member{id: id, breaker: NewBreaker(p.breaker)}
			if !initial {
				m.slowStartAt = now
			}
		}
		members[id] = m
	}
	p.members = members
	p.sortedIDs = slices.Sorted(maps.Keys(members))
}

// RecordRestart discards the results of a backend that has restarted, and gives it a slow start.
func (p *Pool) RecordRestart(now time.Time, id string) {
	if p.members[id] != nil {
		p.members[id] = &member{id: id, breaker: NewBreaker(p.breaker), slowStartAt: now}
	}
}

// BeginSlowStart gives a backend a slow start, for example when it no longer counts as leaving.
func (p *Pool) BeginSlowStart(now time.Time, id string) {
	if m := p.members[id]; m != nil {
		m.slowStartAt = now
	}
}

// RecordResult records the result of a request. Unknown backends are ignored.
func (p *Pool) RecordResult(now time.Time, id string, ok bool) {
	m := p.members[id]
	if m == nil {
		return
	}
	m.decay(now, p.config.HalfLife)
	if ok {
		m.ok++
	} else {
		m.failed++
	}
	m.breaker.Record(now, ok)
}

// Allow reports whether a request may be sent to a backend whose verdict is usable. It counts the
// request as the probe of a half-open breaker. A backend that only the cap keeps in use is always
// allowed, an unknown one never.
func (p *Pool) Allow(now time.Time, id string) bool {
	m := p.members[id]
	if m == nil {
		return false
	}
	return m.keptByCap || m.breaker.Allow(now)
}

func (m *member) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(m.updated); elapsed > 0 && !m.updated.IsZero() {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		m.ok *= factor
		m.failed *= factor
	}
	m.updated = now
}

func (m *member) failureRate() float64 {
	if m.ok+m.failed == 0 {
		return 0
	}
	return m.failed / (m.ok + m.failed)
}

// Assess evaluates all members and returns their verdicts sorted by id.
func (p *Pool) Assess(now time.Time) []Verdict {
	for _, m := range p.members {
		m.decay(now, p.config.HalfLife)
	}
	ejections := p.selectEjections(now)
	verdicts := make([]Verdict, 0, len(p.sortedIDs))
	for _, id := range p.sortedIDs {
		m := p.members[id]
		reason, ejected := ejections[id]
		if m.ejected && !ejected {
			m.slowStartAt = now
		}
		m.ejected = ejected
		verdicts = append(verdicts, p.verdict(now, m, reason))
	}
	return verdicts
}

func (p *Pool) verdict(now time.Time, m *member, reason Reason) Verdict {
	v := Verdict{ID: m.id, Breaker: m.breaker.State(now), FailureRate: m.failureRate(), Reason: reason}
	if reason == "" {
		v.Reason = Healthy
		v.Usable = true
		v.Weight = p.slowStartWeight(now, m)
	}
	return v
}

// slowStartWeight returns the weight of a usable member, which rises linearly over the slow start.
func (p *Pool) slowStartWeight(now time.Time, m *member) float64 {
	if m.slowStartAt.IsZero() {
		return 1
	}
	progress := float64(now.Sub(m.slowStartAt)) / float64(p.config.SlowStartDuration)
	if progress >= 1 {
		m.slowStartAt = time.Time{}
		return 1
	}
	return p.config.SlowStartWeight + (1-p.config.SlowStartWeight)*max(0, progress)
}

// selectEjections returns the backends that receive no requests, with the reasons. If they exceed
// the cap, those that compareForEjection orders last stay in use.
func (p *Pool) selectEjections(now time.Time) map[string]Reason {
	median := p.medianFailureRate()
	var candidates []*member
	reasons := map[string]Reason{}
	for _, id := range p.sortedIDs {
		m := p.members[id]
		m.keptByCap = false
		if reason := p.ejectionReason(now, m, median); reason != "" {
			reasons[id] = reason
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, compareForEjection)
	limit := min(len(candidates), p.maxEjected())
	for _, m := range candidates[limit:] {
		delete(reasons, m.id)
		m.keptByCap = true
		m.ejectedUntil = time.Time{}
	}
	for _, m := range candidates[:limit] {
		if reasons[m.id] == Outlier && !now.Before(m.ejectedUntil) {
			p.eject(now, m)
		}
	}
	return reasons
}

// compareForEjection orders members by falling failure rate. Members that are ejected already come
// first, so that the cap does not alternate between members with equal rates.
func compareForEjection(a, b *member) int {
	if a.ejected != b.ejected {
		if a.ejected {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.failureRate(), a.failureRate())
}

func (p *Pool) maxEjected() int {
	n := len(p.members)
	limit := int(float64(n) * p.config.MaxEjectedShare)
	if n >= 2 {
		return max(1, limit)
	}
	return 0
}

// ejectionReason returns why a backend should receive no requests, or "" if it should.
func (p *Pool) ejectionReason(now time.Time, m *member, median float64) Reason {
	if m.breaker.State(now) == Open {
		return BreakerOpen
	}
	if now.Before(m.ejectedUntil) {
		return Outlier
	}
	enough := m.ok+m.failed >= p.config.MinRequestVolume
	if enough && m.failureRate() > median+p.config.OutlierMargin {
		return Outlier
	}
	return ""
}

// eject starts an ejection. It discards the results that led to it, so that they do not lead to the
// next one.
func (p *Pool) eject(now time.Time, m *member) {
	if now.Sub(m.ejectedUntil) > p.config.MaxEjectionTime {
		m.ejections = 0
	}
	duration := p.config.BaseEjectionTime << min(m.ejections, 16)
	m.ejections++
	m.ejectedUntil = now.Add(min(duration, p.config.MaxEjectionTime))
	m.ok, m.failed = 0, 0
}

// medianFailureRate returns the median failure rate of the members with at least MinRequestVolume
// results, or 0 if there are none.
func (p *Pool) medianFailureRate() float64 {
	var rates []float64
	for _, id := range p.sortedIDs {
		m := p.members[id]
		if m.ok+m.failed >= p.config.MinRequestVolume {
			rates = append(rates, m.failureRate())
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}
