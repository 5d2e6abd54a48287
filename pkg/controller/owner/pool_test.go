package owner

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/wait"
)

// result holds the measurements of a trial after its warm-up.
type result struct {
	// p50 and p99 are percentiles of the time to first token.
	p50, p99 time.Duration
	// hitRate is the share of prompt tokens that were reused, maxHitRate the share that an unlimited
	// cache shared by all engines would reuse, recomputed the difference between them.
	hitRate, maxHitRate float64
	recomputed          float64
	// wasted is the share of computed tokens whose caller had disconnected, load the share of time
	// in which engines were busy.
	wasted            float64
	load              float64
	requests, refused int
	// hitRateBefore and hitRateAfter are the hit rates in the 5 s before and after a restart.
	hitRateBefore, hitRateAfter float64
	acquiresPerRequest          float64
}

func (r result) String() string {
	return fmt.Sprintf("p50=%v p99=%v hit=%.3f limit=%.3f recomputed=%.3f wasted=%.3f load=%.2f n=%d refused=%d before=%.3f after=%.3f asked=%.2f",
		r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.hitRate, r.maxHitRate, r.recomputed, r.wasted, r.load,
		r.requests, r.refused, r.hitRateBefore, r.hitRateAfter, r.acquiresPerRequest)
}

// pool is a set of fake engines with one owner and several entry nodes.
type pool struct {
	workload workload
	engines  []*fakeEngine
	byID     map[string]*fakeEngine
	owner    *Owner
	// stopOwner ends the current owner.
	stopOwner                               func()
	board                                   *blackboard.Board
	policy                                  string
	mu                                      sync.Mutex
	placers                                 []*placement.Placer
	feeders                                 []*engineview.Feeder
	inFlight                                map[string]int
	choices                                 int
	ttft                                    []time.Duration
	result                                  result
	started                                 time.Time
	promptTokens, reusedTokens, idealTokens int
	// reuseAroundRestart holds the reused and all prompt tokens, before and after a restart.
	reuseAroundRestart [2][2]int
	seen               map[uint64]bool
	acquireCalls       int
}

// warmUp is the time at the start of a trial in which the caches fill. Its requests do not count for
// latencies and hit rates.
const warmUp = 12 * time.Second

func runTrial(t *testing.T, policy string, w workload, seed uint64) result {
	var r result
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPool(ctx, policy, w)
		p.generateRequests(ctx, rand.New(rand.NewPCG(seed, 1)))
		r = p.finish()
		cancel()
		// Sleeping loops check the context only when they wake.
		time.Sleep(time.Minute)
	})
	return r
}

func newPool(ctx context.Context, policy string, w workload) *pool {
	p := &pool{workload: w, policy: policy, board: blackboard.New(), inFlight: map[string]int{}, seen: map[uint64]bool{}, started: time.Now()}
	byID := map[string]*fakeEngine{}
	p.board.Members.Put("n", blackboard.MemberEntry{Name: "n", DataCentre: "a", Region: "r", State: blackboard.MemberAlive}, blackboard.Evidence{})
	for i := range w.engines {
		f := newFakeEngine(fmt.Sprintf("e%02d", i), w.blocks)
		f.lostEventRate = w.lostEvents
		p.engines = append(p.engines, f)
		byID[f.id] = f
		p.board.Engines.Put(f.id, blackboard.EngineEntry{ID: f.id, DataCentre: "a", Reachable: true}, blackboard.Evidence{})
		go f.run(ctx)
	}
	p.byID = byID
	p.board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Config: &config.Config{Policy: w.policy}}, blackboard.Evidence{})
	p.startOwner(ctx)
	for i := range w.entryNodes {
		p.placers = append(p.placers, nil)
		p.feeders = append(p.feeders, nil)
		p.restart(i)
	}
	go wait.Every(ctx, 250*time.Millisecond, func(context.Context) { p.refresh() })
	time.Sleep(time.Second)
	return p
}

// startOwner replaces the owner by a new one without state, as a restart of its node does.
func (p *pool) startOwner(ctx context.Context) {
	if p.stopOwner != nil {
		p.stopOwner()
	}
	ctx, p.stopOwner = context.WithCancel(ctx)
	o := New(Options{Board: p.board, Self: "n", Engines: func(id string) engine.Reporter { return p.byID[id] }})
	p.owner = o
	go func() { _ = o.Run(ctx) }()
}

func (p *pool) currentOwner() *Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner
}

// restart replaces the placer of an entry node by one without state.
func (p *pool) restart(i int) {
	placer, err := placement.New(placement.Options{Region: "r", Rand: rand.New(rand.NewPCG(uint64(i), 3))})
	if err != nil {
		panic(err)
	}
	p.placers[i] = placer
	p.feeders[i] = engineview.New(engineview.Options{Board: p.board, DataCentre: "a", Region: "r"}, placer)
	p.feeders[i].Refresh()
}

func (p *pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.feeders {
		f.Refresh()
	}
}

// generateRequests sends requests at Poisson arrival times and waits until all have ended.
func (p *pool) generateRequests(ctx context.Context, rng *rand.Rand) {
	start := time.Now()
	restarted := false
	var all sync.WaitGroup
	for time.Since(start) < p.workload.duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / p.workload.rate * float64(time.Second)))
		at := time.Since(start)
		if p.workload.restartAt > 0 && at > p.workload.restartAt && !restarted {
			restarted = true
			p.mu.Lock()
			for i := range p.workload.entryNodes / 2 {
				p.restart(i)
			}
			p.startOwner(ctx)
			p.mu.Unlock()
		}
		r := p.newRequest(rng, at)
		entry := rng.IntN(p.workload.entryNodes)
		id := fmt.Sprint(at.Nanoseconds())
		all.Go(func() { p.serve(ctx, id, entry, r, at) })
	}
	all.Wait()
}

func (p *pool) serve(ctx context.Context, id string, entry int, r request, at time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.cancelAfter)
	defer cancel()
	began := time.Now()
	f, done := p.choose(ctx, id, entry, r, began)
	if f == nil {
		return
	}
	time.Sleep(500 * time.Microsecond)
	tokens := make([]int, len(r.pieces))
	for i := range tokens {
		tokens[i] = r.pieces[i].Tokens
	}
	run := f.submit(prefix.Hashes(r.pieces), tokens, p.workload.output)
	select {
	case <-run.first:
	case <-ctx.Done():
		time.Sleep(time.Millisecond)
		f.stopRun(run)
		done(nil, true)
		return
	}
	p.record(run, r, at, time.Since(began))
	done(run, false)
	select {
	case <-run.done:
		done(nil, false)
	case <-ctx.Done():
		f.stopRun(run)
		done(nil, true)
	}
}

func (p *pool) record(run *fakeRun, r request, at, ttft time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := prefix.Tokens(r.pieces)
	ideal := 0
	for _, piece := range r.pieces {
		if p.seen[piece.PrefixHash] {
			ideal += piece.Tokens
		}
		p.seen[piece.PrefixHash] = true
	}
	if at < warmUp {
		return
	}
	if p.workload.restartAt > 0 && at > p.workload.restartAt-5*time.Second && at < p.workload.restartAt+5*time.Second {
		after := 0
		if at > p.workload.restartAt {
			after = 1
		}
		p.reuseAroundRestart[after][0] += run.reused
		p.reuseAroundRestart[after][1] += total
	}
	p.ttft = append(p.ttft, ttft)
	p.promptTokens += total
	p.reusedTokens += run.reused
	p.idealTokens += ideal
}

func (p *pool) finish() result {
	r := p.result
	slices.Sort(p.ttft)
	n := len(p.ttft)
	r.requests = n
	r.p50 = p.ttft[n/2]
	r.p99 = p.ttft[int(math.Ceil(float64(n)*0.99))-1]
	r.hitRate = float64(p.reusedTokens) / float64(p.promptTokens)
	r.maxHitRate = float64(p.idealTokens) / float64(p.promptTokens)
	r.recomputed = float64(p.idealTokens-p.reusedTokens) / float64(p.promptTokens)
	busy, computed, wasted := time.Duration(0), 0, 0
	for _, f := range p.engines {
		busy += f.busy
		computed += f.computed
		wasted += f.wasted
	}
	r.wasted = float64(wasted) / float64(max(1, computed))
	r.load = float64(busy) / float64(time.Since(p.started)) / float64(len(p.engines))
	r.acquiresPerRequest = float64(p.acquireCalls) / float64(n)
	r.hitRateBefore = float64(p.reuseAroundRestart[0][0]) / float64(max(1, p.reuseAroundRestart[0][1]))
	r.hitRateAfter = float64(p.reuseAroundRestart[1][0]) / float64(max(1, p.reuseAroundRestart[1][1]))
	return r
}
