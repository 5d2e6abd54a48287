package owner

import (
	"cmp"
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
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// workload describes the requests of a trial: three nested levels, of which two are shared.
type workload struct {
	engines, blocks, entries int
	// counts are the texts per text of the level above, the first one per workspace.
	counts [3]int
	skew   [3]float64
	// pieces are the pieces of a shared text; tailTokens the size of the caller's own text.
	pieces     [2]int
	tailTokens int
	rate       float64
	output     int
	patience   time.Duration
	duration   time.Duration
	lostEvents float64
	// restartAt replaces half of the entries' placers and the owner; 0 for never.
	restartAt time.Duration
}

// workspaceShares has three large and five small workspaces.
var workspaceShares = []float64{0.30, 0.22, 0.16, 0.08, 0.07, 0.06, 0.06, 0.05}

// shiftEvery is the time between shifts of the hot prefixes.
const shiftEvery = 10 * time.Second

func kilele() workload {
	return workload{engines: 20, blocks: 48, entries: 6, counts: [3]int{5, 4, 30}, skew: [3]float64{1.3, 1.2, 1.05},
		pieces: [2]int{2, 3}, tailTokens: 1600, rate: 28, output: 100, patience: 1200 * time.Millisecond, duration: 40 * time.Second}
}

func tuul() workload {
	return workload{engines: 10, blocks: 48, entries: 4, counts: [3]int{3, 12, 12}, skew: [3]float64{1.3, 1.1, 1.05},
		pieces: [2]int{1, 2}, tailTokens: 2000, rate: 14, output: 75, patience: 1500 * time.Millisecond, duration: 40 * time.Second}
}

// result is what a trial measured after its warm-up.
type result struct {
	p50, p99            time.Duration
	hit, limit          float64
	recomputed          float64
	wasted              float64
	load                float64
	requests, refused   int
	hitBefore, hitAfter float64
	asked               float64
	ranks               [6]int
	believed, actual    int
	verdicts, declined  [8]int
}

func (r result) String() string {
	return fmt.Sprintf("p50=%v p99=%v hit=%.3f limit=%.3f recomputed=%.3f wasted=%.3f load=%.2f n=%d refused=%d before=%.3f after=%.3f asked=%.2f ranks=%v believed=%d actual=%d verdicts=%v declinedByDepth=%v",
		r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.hit, r.limit, r.recomputed, r.wasted, r.load,
		r.requests, r.refused, r.hitBefore, r.hitAfter, r.asked, r.ranks, r.believed, r.actual, r.verdicts, r.declined)
}

// pool is a fleet of fake engines with one owner and several entry nodes.
type pool struct {
	w       workload
	engines []*fakeEngine
	byID    map[string]*fakeEngine
	owner   *Owner
	// stopOwner ends the current owner.
	stopOwner             func()
	board                 *blackboard.Board
	policy                string
	mu                    sync.Mutex
	placers               []*placement.Placer
	feeders               []*engineview.Feeder
	inUse                 map[string]int
	turn                  int
	ttft                  []time.Duration
	result                result
	started               time.Time
	prompt, reused, ideal int
	reusedBy              [2][2]int
	seen                  map[uint64]bool
	asks                  int
}

const warmUp = 12 * time.Second

func runTrial(t *testing.T, policy string, w workload, seed uint64) result {
	var r result
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPool(ctx, policy, w)
		p.drive(ctx, rand.New(rand.NewPCG(seed, 1)))
		r = p.finish()
		cancel()
		// Lets loops that sleep notice the end.
		time.Sleep(time.Minute)
	})
	return r
}

func newPool(ctx context.Context, policy string, w workload) *pool {
	p := &pool{w: w, policy: policy, board: blackboard.New(), inUse: map[string]int{}, seen: map[uint64]bool{}, started: time.Now()}
	byID := map[string]*fakeEngine{}
	p.board.Members.Put("n", blackboard.MemberEntry{Name: "n", DataCentre: "a", Region: "r", State: blackboard.MemberAlive}, blackboard.Evidence{})
	for i := range w.engines {
		f := newFakeEngine(fmt.Sprintf("e%02d", i), w.blocks)
		f.lost = w.lostEvents
		p.engines = append(p.engines, f)
		byID[f.id] = f
		p.board.Engines.Put(f.id, blackboard.EngineEntry{ID: f.id, DataCentre: "a", Reachable: true}, blackboard.Evidence{})
		go f.run(ctx)
	}
	p.byID = byID
	p.startOwner(ctx)
	for i := range w.entries {
		p.placers = append(p.placers, nil)
		p.feeders = append(p.feeders, nil)
		p.restart(i)
	}
	go every(ctx, 250*time.Millisecond, func(context.Context) { p.refresh() })
	time.Sleep(time.Second)
	return p
}

// startOwner replaces the owner by one without state.
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

// request is a prompt of three levels and its caller's patience.
type request struct {
	workspace string
	pieces    []prefix.Piece
	leaves    time.Duration
}

func (p *pool) make(rng *rand.Rand, at time.Duration) request {
	workspace := 0
	for u := rng.Float64(); workspace < len(workspaceShares)-1 && u > workspaceShares[workspace]; workspace++ {
		u -= workspaceShares[workspace]
	}
	r := request{workspace: fmt.Sprint(workspace), leaves: time.Hour}
	path := r.workspace
	for level := range 3 {
		zipf := rand.NewZipf(rng, p.w.skew[level], 1, uint64(p.w.counts[level]-1))
		text := (int(zipf.Uint64()) + int(at/shiftEvery)) % p.w.counts[level]
		path += fmt.Sprint("/", text)
		piece := prefix.Piece{Tokens: p.w.tailTokens, Level: fmt.Sprint(level)}
		n := 1
		if level < 2 {
			piece.Tokens, piece.Shared = 4000, true
			n = p.w.pieces[level]
		}
		for i := range n {
			piece.Key = rendezvous.Hash(fmt.Sprint(path, "#", i))
			r.pieces = append(r.pieces, piece)
		}
	}
	if rng.Float64() < 0.6 {
		r.leaves = time.Duration(rng.ExpFloat64()*float64(p.w.patience)) + time.Millisecond
	}
	return r
}

func (p *pool) drive(ctx context.Context, rng *rand.Rand) {
	start := time.Now()
	restarted := false
	var all sync.WaitGroup
	for time.Since(start) < p.w.duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / p.w.rate * float64(time.Second)))
		at := time.Since(start)
		if p.w.restartAt > 0 && at > p.w.restartAt && !restarted {
			restarted = true
			p.mu.Lock()
			for i := range p.w.entries / 2 {
				p.restart(i)
			}
			p.startOwner(ctx)
			p.mu.Unlock()
		}
		r := p.make(rng, at)
		entry := rng.IntN(p.w.entries)
		id := fmt.Sprint(at.Nanoseconds())
		all.Go(func() { p.serve(ctx, id, entry, r, at) })
	}
	all.Wait()
}

func (p *pool) serve(ctx context.Context, id string, entry int, r request, at time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.leaves)
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
	run := f.submit(prefix.Keys(r.pieces), tokens, p.w.output)
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
		if p.seen[piece.Key] {
			ideal += piece.Tokens
		}
		p.seen[piece.Key] = true
	}
	if at < warmUp {
		return
	}
	if p.w.restartAt > 0 && at > p.w.restartAt-5*time.Second && at < p.w.restartAt+5*time.Second {
		after := 0
		if at > p.w.restartAt {
			after = 1
		}
		p.reusedBy[after][0] += run.reused
		p.reusedBy[after][1] += total
	}
	p.ttft = append(p.ttft, ttft)
	p.prompt += total
	p.reused += run.reused
	p.ideal += ideal
}

func (p *pool) finish() result {
	r := p.result
	slices.Sort(p.ttft)
	n := len(p.ttft)
	r.requests = n
	r.p50 = p.ttft[n/2]
	r.p99 = p.ttft[int(math.Ceil(float64(n)*0.99))-1]
	r.hit = float64(p.reused) / float64(p.prompt)
	r.limit = float64(p.ideal) / float64(p.prompt)
	r.recomputed = float64(p.ideal-p.reused) / float64(p.prompt)
	busy, computed, wasted := time.Duration(0), 0, 0
	for _, f := range p.engines {
		busy += f.busy
		computed += f.computed
		wasted += f.wasted
	}
	r.wasted = float64(wasted) / float64(max(1, computed))
	r.load = float64(busy) / float64(time.Since(p.started)) / float64(len(p.engines))
	r.asked = float64(p.asks) / float64(n)
	r.hitBefore = float64(p.reusedBy[0][0]) / float64(max(1, p.reusedBy[0][1]))
	r.hitAfter = float64(p.reusedBy[1][0]) / float64(max(1, p.reusedBy[1][1]))
	return r
}

type doneFunc func(run *fakeRun, abandoned bool)

func (p *pool) choose(ctx context.Context, id string, entry int, r request, began time.Time) (*fakeEngine, doneFunc) {
	if p.policy != "cassiawall" && p.policy != "home" {
		return p.baseline(r)
	}
	p.mu.Lock()
	placer := p.placers[entry]
	p.mu.Unlock()
	q := &placement.Request{Pieces: r.pieces, Model: "m", MaxTokens: p.w.output}
	attempt := placer.Begin(time.Now(), q)
	for c, ok := attempt.Next(); ok; c, ok = attempt.Next() {
		if p.policy == "home" {
			c, _ = placer.Home(q)
		}
		reply := p.ask(ctx, id, placer, c, r, began, uint32(c.DeclineOver.Milliseconds()))
		if reply == nil {
			return nil, nil
		}
		if reply.GetVerdict() == peerpb.AcquireReply_GRANTED {
			return p.use(placer, c, r, reply)
		}
		if reply.GetVerdict() != peerpb.AcquireReply_DECLINED {
			continue
		}
		attempt.Declined(time.Duration(reply.GetPredictedMs())*time.Millisecond, int(reply.GetCachedPieces()))
	}
	p.mu.Lock()
	p.result.refused++
	p.mu.Unlock()
	return nil, nil
}

func (p *pool) ask(ctx context.Context, id string, placer *placement.Placer, c placement.Candidate, r request, began time.Time, decline uint32) *peerpb.AcquireReply {
	time.Sleep(time.Millisecond)
	request := &peerpb.AcquireRequest{RequestId: id, Engine: c.Engine, Workspace: r.workspace, Keys: prefix.Keys(r.pieces),
		MaxOutputTokens: uint32(p.w.output), DeadlineMs: 30_000, DeclineOverMs: decline, AgeMs: uint32(time.Since(began).Milliseconds())}
	for _, piece := range r.pieces {
		request.PieceTokens = append(request.PieceTokens, uint32(piece.Tokens))
	}
	placer.Dispatched(c.Engine, c.MissingTokens)
	reply, err := p.currentOwner().Acquire(ctx, request)
	if time.Since(p.started) > warmUp+time.Second {
		p.mu.Lock()
		p.asks++
		p.result.verdicts[reply.GetVerdict()]++
		if reply.GetVerdict() == peerpb.AcquireReply_DECLINED {
			p.result.declined[min(int(reply.GetCachedPieces()), 7)]++
		}
		p.mu.Unlock()
	}
	if err != nil {
		return nil
	}
	if reply.GetSummary() == nil {
		return reply
	}
	placer.SetLoad(c.Engine, reply.GetIncarnation(), engineview.LoadOf(reply.GetSummary()))
	placer.ObserveDepth(time.Now(), c.Engine, reply.GetIncarnation(), r.pieces, int(reply.GetCachedPieces()))
	return reply
}

func (p *pool) use(placer *placement.Placer, c placement.Candidate, r request, reply *peerpb.AcquireReply) (*fakeEngine, doneFunc) {
	i := slices.IndexFunc(p.engines, func(f *fakeEngine) bool { return f.id == c.Engine })
	p.mu.Lock()
	p.result.ranks[min(c.Rank+1, 5)]++
	p.result.believed += c.CachedPieces
	p.result.actual += int(reply.GetCachedPieces())
	p.mu.Unlock()
	return p.engines[i], func(run *fakeRun, abandoned bool) {
		release := &peerpb.ReleaseRequest{Slot: reply.GetSlot(), Engine: c.Engine, Stage: peerpb.ReleaseRequest_DONE, Abandoned: abandoned}
		if run != nil {
			prefill := time.Since(run.started)
			release.Stage = peerpb.ReleaseRequest_FIRST_TOKEN
			release.ReusedTokens = uint32(run.reused)
			release.ComputedTokens = uint32(run.computed)
			release.PrefillMs = uint32(prefill.Milliseconds())
			placer.Observe(time.Now(), placement.Feedback{Pieces: r.pieces, Engine: c.Engine, Incarnation: reply.GetIncarnation(),
				ReusedTokens: run.reused, ComputedTokens: run.computed, PrefillTime: prefill})
		}
		time.Sleep(500 * time.Microsecond)
		done, _ := p.currentOwner().Release(context.Background(), release)
		if done.GetSummary() == nil {
			return
		}
		placer.SetLoad(c.Engine, done.GetSummary().GetIncarnation(), engineview.LoadOf(done.GetSummary()))
	}
}

// baseline chooses with exact knowledge of all requests in flight.
func (p *pool) baseline(r request) (*fakeEngine, doneFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	order := slices.Clone(p.engines)
	p.turn++
	key := r.pieces[p.w.pieces[0]-1].Key
	bound := math.MaxInt
	if p.policy == "consistent-hash" {
		total := 1
		for _, n := range p.inUse {
			total += n
		}
		bound = int(math.Ceil(1.25 * float64(total) / float64(len(order))))
		slices.SortFunc(order, func(a, b *fakeEngine) int {
			return cmp.Compare(rendezvous.Score(rendezvous.Hash(b.id), key), rendezvous.Score(rendezvous.Hash(a.id), key))
		})
	} else {
		slices.SortStableFunc(order, func(a, b *fakeEngine) int { return cmp.Compare(p.inUse[a.id], p.inUse[b.id]) })
	}
	f := order[0]
	for _, e := range order {
		if p.inUse[e.id] < bound {
			f = e
			break
		}
	}
	p.inUse[f.id]++
	return f, func(run *fakeRun, _ bool) {
		if run != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inUse[f.id]--
	}
}

// The figures of these trials come from a model of engines and are no benchmark results.
const (
	policyLoad = "least-loaded"
	policyHash = "consistent-hash"
	policyOurs = "cassiawall"
)

func TestPolicyTrial(t *testing.T) {
	for name, w := range map[string]workload{"kilele": kilele(), "tuul": tuul()} {
		for _, policy := range []string{policyLoad, policyHash, "home", policyOurs} {
			t.Logf("trial %s %-16s %s", name, policy, runTrial(t, policy, w, 1))
		}
	}
}

func TestFaultTrial(t *testing.T) {
	for name, w := range map[string]workload{"kilele": kilele(), "tuul": tuul()} {
		none := runTrial(t, policyOurs, w, 1)
		w.lostEvents = 0.33
		lost := runTrial(t, policyOurs, w, 1)
		w.lostEvents = 0
		w.restartAt = 25 * time.Second
		restart := runTrial(t, policyOurs, w, 1)
		t.Logf("trial %s none %s", name, none)
		t.Logf("trial %s lost %s", name, lost)
		t.Logf("trial %s restart %s", name, restart)
	}
}
