package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a fleet of nodes that send prompts to engines, in steps of 5 ms. Engines read prompts in chunks that are
// interleaved with the decode steps of other requests.
type simulation struct {
	random *rand.Rand
	// tokensPerMS and step are the speed of an engine with a factor of 1.
	tokensPerMS float64
	step        time.Duration
	// rate is the arrivals per engine and second, over the time since the start.
	rate func(elapsed time.Duration) float64
	// slowness is the true factor of an engine at a time.
	slowness func(engine int, elapsed time.Duration) float64
	// pinned is the share of the requests that go to the first tenth of the engines.
	pinned float64
	// misses is the share of the prompts of which an engine reads four times as much as the node assumes, because it no
	// longer has the leading parts.
	misses float64
	// leaderless is set if no messages are exchanged.
	leaderless bool
	// warmUp is the time before errors count.
	warmUp time.Duration

	nodes    []*simulatedNode
	engines  []*simulatedEngine
	services map[uint32]string
	combiner *Combiner
	// now is the time of the last heartbeat.
	now    time.Time
	errors []float64
	// changes are the log lines of the leader.
	changes int
	// onHeartbeat is called after each heartbeat, if it is set.
	onHeartbeat func(elapsed time.Duration)
}

type simulatedNode struct {
	tracker *Tracker
	// running counts the node's requests by engine.
	running []int
}

type simulatedEngine struct {
	at       time.Duration
	waiting  []*simulatedRequest
	decoding []*simulatedRequest
	// announced are the running requests in the last heartbeat.
	announced int
}

type simulatedRequest struct {
	node             *simulatedNode
	engine           int
	prompt, running  int
	unread, toDecode int
	sentAt           time.Duration
	expected         time.Duration
}

const (
	simulatedChunk = 2048
	simulatedSlots = 32
	heartbeatGap   = 400 * time.Millisecond
	service        = "s"
)

func engineKey(engine int) uint32 { return Key(fmt.Sprint("e", engine), 1) }

func newSimulation(seed uint64, nodes, engines int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), tokensPerMS: 110, step: 6080 * time.Microsecond, warmUp: 20 * time.Second,
		rate:     func(time.Duration) float64 { return 7 },
		slowness: func(int, time.Duration) float64 { return 1 },
		services: map[uint32]string{}, combiner: NewCombiner(),
	}
	for range nodes {
		s.nodes = append(s.nodes, &simulatedNode{tracker: NewTracker(), running: make([]int, engines)})
	}
	for i := range engines {
		s.engines = append(s.engines, &simulatedEngine{})
		s.services[engineKey(i)] = service
	}
	return s
}

func (s *simulation) run(duration time.Duration) {
	const tick = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		for i := range s.engines {
			s.advance(i, elapsed)
		}
		if elapsed%heartbeatGap == 0 {
			s.exchange(start.Add(elapsed))
			if s.onHeartbeat != nil {
				s.onHeartbeat(elapsed)
			}
		}
		for arrivals := s.rate(elapsed) * float64(len(s.engines)) * tick.Seconds(); s.random.Float64() < arrivals; arrivals-- {
			s.send(elapsed)
		}
	}
}

func (s *simulation) exchange(now time.Time) {
	s.now = now
	for _, e := range s.engines {
		e.announced = len(e.waiting) + len(e.decoding)
	}
	if s.leaderless {
		return
	}
	for _, n := range s.nodes {
		s.combiner.Merge(n.tracker.Report(now), now)
	}
	announcement, changes := s.combiner.Announce(s.services, s.nodes[0].tracker.Announced, now)
	s.changes += len(changes)
	for _, n := range s.nodes {
		n.tracker.Apply(announcement, now, now)
	}
}

// send sends a prompt to the better of two random engines, as backends.Registry.Pick compares them.
func (s *simulation) send(elapsed time.Duration) {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	prompt := int(min(math.Exp(6.8+1.1*s.random.NormFloat64()), 30_000))
	var best *simulatedRequest
	var lowest time.Duration
	for range 2 {
		engine := s.random.IntN(len(s.engines))
		if s.random.Float64() < s.pinned {
			engine = s.random.IntN(len(s.engines) / 10)
		}
		running := max(node.running[engine]+1, s.engines[engine].announced)
		expected, _ := node.tracker.Expect(service, engineKey(engine), prompt, running, start.Add(elapsed))
		if cost := time.Duration(running) * expected; best == nil || cost < lowest {
			lowest = cost
			best = &simulatedRequest{node: node, engine: engine, prompt: prompt, running: running, unread: prompt, sentAt: elapsed, expected: expected}
		}
	}
	if s.random.Float64() < s.misses {
		best.unread *= 4
	}
	best.toDecode = 1 + int(60*s.random.ExpFloat64())
	node.running[best.engine]++
	s.engines[best.engine].waiting = append(s.engines[best.engine].waiting, best)
}

// advance runs the steps of an engine until a time.
func (s *simulation) advance(engine int, until time.Duration) {
	e := s.engines[engine]
	for e.at < until {
		if len(e.waiting)+len(e.decoding) == 0 {
			e.at = until
			return
		}
		var first []*simulatedRequest
		budget, read := simulatedChunk, 0
		for len(e.waiting) > 0 && budget > 0 && len(e.decoding)+len(first) < simulatedSlots {
			r := e.waiting[0]
			n := min(r.unread, budget)
			r.unread -= n
			budget -= n
			read += n
			if r.unread > 0 {
				break
			}
			first = append(first, r)
			e.waiting = e.waiting[1:]
		}
		took := s.step + time.Duration(float64(read)/s.tokensPerMS*float64(time.Millisecond))
		e.at += time.Duration(float64(took) * s.slowness(engine, e.at))
		e.decoding = slices.DeleteFunc(e.decoding, func(r *simulatedRequest) bool {
			r.toDecode--
			if r.toDecode <= 0 {
				r.node.running[engine]--
			}
			return r.toDecode <= 0
		})
		for _, r := range first {
			s.firstEvent(r, e.at)
		}
		e.decoding = append(e.decoding, first...)
	}
}

// firstEvent records the first event of a request. The network takes 3 ms.
func (s *simulation) firstEvent(r *simulatedRequest, at time.Duration) {
	took := at - r.sentAt + 3*time.Millisecond
	r.node.tracker.Observe(service, engineKey(r.engine), r.prompt, r.running, took, start.Add(at))
	if r.sentAt >= s.warmUp {
		s.errors = append(s.errors, math.Abs(float64(r.expected-took))/float64(took))
	}
}

func (s *simulation) medianError() float64 {
	slices.Sort(s.errors)
	return s.errors[len(s.errors)/2]
}

// factors returns the announced factors.
func (s *simulation) factors() []float64 {
	factors := make([]float64, len(s.engines))
	for i := range s.engines {
		factors[i] = s.nodes[1].tracker.Announced(engineKey(i), s.now)
	}
	return factors
}

func isSlowThird(engine int) bool { return engine%3 == 0 }

// loadPatterns are the fleets of the tests.
var loadPatterns = []struct {
	name   string
	change func(s *simulation)
}{
	{"even", func(*simulation) {}},
	{"even, slower reading", func(s *simulation) {
		s.tokensPerMS, s.step = 38.4, 5230*time.Microsecond
		s.rate = func(time.Duration) float64 { return 5 }
	}},
	{"a third slower", func(s *simulation) {
		s.slowness = func(engine int, _ time.Duration) float64 {
			if isSlowThird(engine) {
				return 2.4
			}
			return 1
		}
	}},
	{"pauses", func(s *simulation) {
		s.slowness = func(engine int, elapsed time.Duration) float64 {
			if isSlowThird(engine) && (elapsed+time.Duration(engine)*731*time.Millisecond)%(6*time.Second) < 600*time.Millisecond {
				return 2.5
			}
			return 1
		}
	}},
	{"changing load", func(s *simulation) {
		s.rate = func(elapsed time.Duration) float64 { return 9 * (1 + 0.5*math.Sin(elapsed.Seconds()/3)) }
	}},
	{"a tenth loaded", func(s *simulation) { s.pinned = 0.2 }},
}

// Guards against an expectation that is far from what a prompt then takes, for each load pattern.
func TestMedianErrorOfTheExpectedFirstEvent(t *testing.T) {
	for _, p := range loadPatterns {
		t.Run(p.name, func(t *testing.T) {
			s := newSimulation(1, 20, 30)
			p.change(s)
			s.run(60 * time.Second)
			t.Logf("median error %.3f of %d prompts", s.medianError(), len(s.errors))
			assert.Less(t, s.medianError(), 0.2)
		})
	}
}

// Guards against an expectation that follows the prompts of which an engine has to read more than the node assumes. The
// error is higher than with the patterns of the requirement: 0.20 in the mean of 20 seeds, and up to 0.22.
func TestMedianErrorIfLeadingPartsAreNoLongerCached(t *testing.T) {
	s := newSimulation(1, 20, 30)
	s.misses = 0.1
	s.run(60 * time.Second)
	t.Logf("median error %.3f of %d prompts", s.medianError(), len(s.errors))
	assert.Less(t, s.medianError(), 0.25)
}

// Guards against factors that follow from noise, pauses or load: placement would avoid engines that are as fast as the
// others, and load them unevenly.
func TestOnlySlowEnginesGetAFactor(t *testing.T) {
	for _, p := range loadPatterns {
		t.Run(p.name, func(t *testing.T) {
			s := newSimulation(2, 20, 30)
			p.change(s)
			usual, changed, highest := 0, 0, 1.0
			s.onHeartbeat = func(elapsed time.Duration) {
				for i, f := range s.factors() {
					if elapsed < s.warmUp {
						continue
					}
					if p.name == "a third slower" && isSlowThird(i) {
						assert.Greater(t, f, SlowFactor, "engine %d after %v", i, elapsed)
						continue
					}
					usual++
					if f != 1 {
						changed++
					}
					highest = max(highest, f)
				}
			}
			s.run(60 * time.Second)
			t.Logf("%d of %d factors of usual engines are not 1, highest %.2f", changed, usual, highest)
			assert.Less(t, float64(changed), 0.02*float64(usual))
			assert.Less(t, highest, SlowFactor)
		})
	}
}

// Guards against a factor that follows a change of an engine's speed too late, and one that never returns.
func TestFactorFollowsTheSpeed(t *testing.T) {
	s := newSimulation(3, 20, 30)
	s.slowness = func(engine int, elapsed time.Duration) float64 {
		if engine == 7 && elapsed >= 30*time.Second && elapsed < 60*time.Second {
			return 2.4
		}
		return 1
	}
	s.onHeartbeat = func(elapsed time.Duration) {
		f := s.factors()[7]
		switch {
		case elapsed >= 35*time.Second && elapsed < 60*time.Second:
			assert.Greater(t, f, 1.5, "after %v", elapsed)
		case elapsed < 30*time.Second, elapsed >= 75*time.Second:
			assert.Less(t, f, 1.3, "after %v", elapsed)
		}
	}
	s.run(90 * time.Second)
	assert.Equal(t, 2, s.changes, "the log has one line for each direction")
}

// Guards against nodes that know no factors while there is no leader.
func TestOwnSamplesCountWithoutALeader(t *testing.T) {
	s := newSimulation(4, 4, 12)
	s.leaderless = true
	s.slowness = func(engine int, _ time.Duration) float64 {
		if isSlowThird(engine) {
			return 2.4
		}
		return 1
	}
	s.run(60 * time.Second)
	slow, usual := 0.0, 0.0
	for _, n := range s.nodes {
		for i := range s.engines {
			if f := n.tracker.Factor(engineKey(i), start.Add(time.Minute)); isSlowThird(i) {
				slow += math.Log(f) / 16
			} else {
				usual += math.Log(f) / 32
			}
		}
	}
	t.Logf("median error %.3f; slow engines %.2f, others %.2f", s.medianError(), math.Exp(slow), math.Exp(usual))
	assert.Greater(t, math.Exp(slow-usual), 1.5)
	assert.Less(t, s.medianError(), 0.2)
}
