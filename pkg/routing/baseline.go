package routing

import (
	"context"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Names of the baseline policies for NewBaseline.
const (
	PolicyRoundRobin     = "round-robin"
	PolicyLeastLoaded    = "least-loaded"
	PolicyConsistentHash = "consistent-hash"
)

// boundedLoadFactor is the load of an engine, as a multiple of the mean, above which consistent
// hashing continues with the next engine of the order.
const boundedLoadFactor = 1.25

// Baseline is a simple policy that the bench compares the system with. It sends each request at
// once and leaves queueing to the engine. The load of an engine is its number of requests in flight
// from all nodes that share the Inflight, so a baseline sees loads without lag.
type Baseline struct {
	board    *blackboard.Board
	policy   string
	inflight *Inflight

	mu   sync.Mutex
	next int
}

// Inflight counts the requests in flight per engine. It is safe for concurrent use.
type Inflight struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewInflight returns a counter without requests.
func NewInflight() *Inflight { return &Inflight{counts: map[string]int{}} }

func (i *Inflight) add(engine string, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[engine] += n
}

func (i *Inflight) get(engine string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.counts[engine]
}

// NewBaseline returns the named policy over the engines of board, or an error if the name is unknown.
func NewBaseline(policy string, board *blackboard.Board, inflight *Inflight) (*Baseline, error) {
	switch policy {
	case PolicyRoundRobin, PolicyLeastLoaded, PolicyConsistentHash:
		return &Baseline{board: board, policy: policy, inflight: inflight}, nil
	}
	return nil, fault.New(fault.BadRequest, "policy %q is unknown; use %s, %s or %s",
		policy, PolicyRoundRobin, PolicyLeastLoaded, PolicyConsistentHash)
}

// Route implements Router.
func (b *Baseline) Route(_ context.Context, req *Request) (Slot, error) {
	engines := Candidates(b.board, req)
	if len(engines) == 0 {
		return nil, fault.New(fault.NoEngine, "no engine serves model %s version %s", req.Model.Name, req.Model.WeightsVersion)
	}
	e := b.pick(engines, req)
	b.inflight.add(e.ID, 1)
	return &baselineSlot{target: targetFor(&e), inflight: b.inflight}, nil
}

func targetFor(e *blackboard.EngineEntry) Target {
	return Target{Engine: e.ID, Address: e.Address, Incarnation: e.State.Incarnation}
}

func (b *Baseline) pick(engines []blackboard.EngineEntry, req *Request) blackboard.EngineEntry {
	switch b.policy {
	case PolicyLeastLoaded:
		return b.leastLoaded(engines)
	case PolicyConsistentHash:
		return b.consistentHash(engines, req)
	default:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.next++
		return engines[b.next%len(engines)]
	}
}

// leastLoaded starts its scan at a different engine each time, so that engines of equal load take
// turns.
func (b *Baseline) leastLoaded(engines []blackboard.EngineEntry) blackboard.EngineEntry {
	b.mu.Lock()
	b.next++
	start := b.next % len(engines)
	b.mu.Unlock()
	best := engines[start]
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if b.inflight.get(e.ID) < b.inflight.get(best.ID) {
			best = e
		}
	}
	return best
}

// consistentHash sends all requests of a workspace and first level to the same engine, up to the load
// bound.
func (b *Baseline) consistentHash(engines []blackboard.EngineEntry, req *Request) blackboard.EngineEntry {
	key := req.Workspace.Name + "/" + firstLevelKey(req)
	slices.SortFunc(engines, func(a, c blackboard.EngineEntry) int {
		if xxhash.Sum64String(key+a.ID) > xxhash.Sum64String(key+c.ID) {
			return -1
		}
		return 1
	})
	total := 1
	for i := range engines {
		total += b.inflight.get(engines[i].ID)
	}
	maxInflight := int(math.Ceil(boundedLoadFactor * float64(total) / float64(len(engines))))
	for i := range engines {
		if b.inflight.get(engines[i].ID) < maxInflight {
			return engines[i]
		}
	}
	return engines[0]
}

// firstLevelKey identifies the content of the whole first level.
func firstLevelKey(req *Request) string {
	key := uint64(0)
	for _, p := range req.Pieces {
		if p.Level != req.Pieces[0].Level {
			break
		}
		key = p.PrefixHash
	}
	return string([]byte{byte(key), byte(key >> 8), byte(key >> 16), byte(key >> 24),
		byte(key >> 32), byte(key >> 40), byte(key >> 48), byte(key >> 56)})
}

type baselineSlot struct {
	target   Target
	inflight *Inflight
	once     sync.Once
}

func (s *baselineSlot) Target() Target   { return s.target }
func (s *baselineSlot) FirstToken(Usage) {}
func (s *baselineSlot) Done(Outcome) {
	s.once.Do(func() { s.inflight.add(s.target.Engine, -1) })
}
