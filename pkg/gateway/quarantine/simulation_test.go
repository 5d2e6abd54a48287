package quarantine

import (
	"cmp"
	"container/heap"
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fleet simulates nodes that forward requests to engines and exchange evidence, in simulated time.
type fleet struct {
	fleetOptions
	random *rand.Rand
	now    time.Time
	tasks  taskQueue
	order  int
	tables []*Table
	// incarnations are those of the engines, and down the engines that restart.
	incarnations []uint32
	down         []bool
	running      []map[*simRequest]bool

	crashes []time.Duration
	// badSends are the times at which requests with a bad part reached an engine.
	badSends            map[Part][]time.Duration
	sound, settledSound int
	settledServed       int
	everQuarantined     map[Part]bool
	refusedSound        int
}

type fleetOptions struct {
	nodes, engines int
	// interval is the time between messages, and lossRate the share of lost ones. Each repeated one arrives again after
	// up to repeatDelay.
	interval    time.Duration
	lossRate    float64
	repeatDelay time.Duration
	// soundPerS and badPerS are rates of requests over all nodes. Bad ones hold one of badParts.
	// Bad ones begin at badFrom.
	soundPerS, badPerS float64
	badFrom            time.Duration
	badParts           int
	subjects           int
	duration           time.Duration
	// leaderLostAt is the time from which the first leader is silent, for leaderGap, or 0.
	leaderLostAt, leaderGap time.Duration
	// resets are the times at which all connections of node 1 end, and massCrashes those at which all engines crash.
	resets, massCrashes []time.Duration
	// greyRate is the share of the sends to every fifth engine whose connection ends without an event.
	greyRate float64
}

type simRequest struct {
	parts          []Part
	bad            Part
	node, attempts int
	clientRetries  int
	engine         int
	number         int
}

type task struct {
	at    time.Time
	order int
	run   func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simContact  = 3 * time.Second
	simAttempts = 2
	// simMessageBytes is the evidence that a message may hold.
	simMessageBytes = 960
)

var seeds = flag.Uint64("seeds", 2, "number of seeds of each simulation")

var simStart = time.Unix(1000, 0)

func newFleet(seed uint64, o fleetOptions) *fleet {
	f := &fleet{
		fleetOptions: o, random: rand.New(rand.NewPCG(seed, 1)), now: simStart, incarnations: make([]uint32, o.engines),
		down: make([]bool, o.engines), badSends: map[Part][]time.Duration{}, everQuarantined: map[Part]bool{},
	}
	for range o.nodes {
		f.tables = append(f.tables, NewTable())
	}
	for e := range o.engines {
		f.incarnations[e] = f.random.Uint32()
		f.running = append(f.running, map[*simRequest]bool{})
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.tasks, task{at: f.now.Add(d), order: f.order, run: run})
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(simStart) }

func (f *fleet) leader() int {
	if f.leaderLostAt == 0 || f.elapsed() < f.leaderLostAt {
		return 0
	}
	if f.elapsed() < f.leaderLostAt+f.leaderGap {
		return -1
	}
	return f.nodes - 1
}

// send delivers the evidence of a node to another one.
func (f *fleet) send(from, to int, relay bool) {
	data, _ := f.tables[from].Encode(All, 0, simMessageBytes, f.now)
	if len(data) == 0 || f.random.Float64() < f.lossRate {
		return
	}
	deliver := func() {
		if f.tables[to].Merge(data, relay, 0, f.now) {
			f.applied(to)
		}
	}
	f.after(5*time.Millisecond, deliver)
	if f.repeatDelay > 0 {
		f.after(time.Duration(f.random.Int64N(int64(f.repeatDelay))), deliver)
	}
}

// applied cancels the sends of a node whose requests are refused now, and passes on news of the leader.
func (f *fleet) applied(node int) {
	for _, s := range f.tables[node].Suspects() {
		// Of several parts that explain the crashes equally, none is refused without the others.
		if s.Alternatives == 0 {
			f.everQuarantined[s.Part] = true
		}
	}
	for _, running := range f.running {
		for _, r := range inOrder(running) {
			if r.node == node && f.tables[node].Judge(r.parts, false, f.now).Refuse {
				delete(running, r)
				f.fail(r, true)
			}
		}
	}
	if node == f.leader() {
		f.after(f.interval/5, func() { f.heartbeat(node) })
	}
}

func (f *fleet) heartbeat(from int) {
	for to := range f.tables {
		if to != from {
			f.send(from, to, false)
		}
	}
}

func (f *fleet) report(from int) {
	if leader := f.leader(); leader >= 0 {
		if leader != from {
			f.send(from, leader, true)
		}
		return
	}
	for range 2 {
		if to := f.random.IntN(f.nodes); to != from {
			f.send(from, to, true)
		}
	}
}

func (f *fleet) run() {
	for node := range f.tables {
		var tick func()
		tick = func() {
			f.tables[node].Expire(f.now)
			if node == f.leader() {
				f.heartbeat(node)
			} else {
				f.report(node)
			}
			f.after(f.interval, tick)
		}
		f.after(time.Duration(f.random.Int64N(int64(f.interval))), tick)
	}
	f.arrivals(0, f.soundPerS, func() *simRequest { return &simRequest{} })
	f.arrivals(f.badFrom, f.badPerS, func() *simRequest { return &simRequest{bad: Part(1 + f.random.IntN(max(f.badParts, 1)))} })
	for _, at := range f.resets {
		f.after(at, f.resetNode)
	}
	for _, at := range f.massCrashes {
		f.after(at, func() {
			for e := range f.engines {
				f.crash(e)
			}
		})
	}
	for len(f.tasks) > 0 && f.tasks[0].at.Before(simStart.Add(f.duration)) {
		next := heap.Pop(&f.tasks).(task)
		f.now = next.at
		next.run()
	}
}

// arrivals starts requests with random shared parts: one of four that begin prompts, and a subject.
func (f *fleet) arrivals(from time.Duration, perS float64, create func() *simRequest) {
	if perS == 0 {
		return
	}
	var arrive func()
	arrive = func() {
		r := create()
		f.order++
		r.node, r.number = f.random.IntN(f.nodes), f.order
		r.parts = []Part{Part(100 + f.random.IntN(4)), Part(1000 + f.random.IntN(f.subjects))}
		if r.bad != 0 {
			r.parts = append([]Part{r.bad}, r.parts...)
		} else {
			f.sound++
			if f.settled() {
				f.settledSound++
			}
		}
		f.forward(r)
		f.after(time.Duration(f.random.ExpFloat64()/perS*float64(time.Second)), arrive)
	}
	f.after(from+time.Duration(f.random.ExpFloat64()/perS*float64(time.Second)), arrive)
}

// settled reports whether the fleet has had its time to react: twice the time of contact since the fifth crash.
func (f *fleet) settled() bool {
	return len(f.crashes) >= 5 && f.elapsed() > f.crashes[4]+2*simContact || len(f.crashes) < 5 && f.elapsed() > f.duration/2
}

func (f *fleet) forward(r *simRequest) {
	if f.tables[r.node].Judge(r.parts, r.node == f.leader(), f.now).Refuse {
		if r.bad == 0 {
			f.refusedSound++
		}
		return
	}
	r.attempts++
	r.engine = f.random.IntN(f.engines)
	if f.down[r.engine] {
		r.attempts--
		f.after(10*time.Millisecond, func() { f.forward(r) })
		return
	}
	if r.bad != 0 {
		f.badSends[r.bad] = append(f.badSends[r.bad], f.elapsed())
	}
	engine, incarnation := r.engine, f.incarnations[r.engine]
	f.running[engine][r] = true
	f.after(50*time.Millisecond+time.Duration(f.random.Int64N(int64(400*time.Millisecond))), func() {
		if f.incarnations[engine] != incarnation || !f.running[engine][r] {
			return
		}
		switch {
		case r.bad != 0:
			f.crash(engine)
		case engine%5 == 0 && f.random.Float64() < f.greyRate:
			delete(f.running[engine], r)
			f.end(r, incarnation)
		default:
			f.serve(r)
		}
	})
}

func (f *fleet) serve(r *simRequest) {
	delete(f.running[r.engine], r)
	if f.tables[r.node].RecordSuccess(r.parts, f.now) {
		f.applied(r.node)
	}
	if f.settled() {
		f.settledServed++
	}
}

// crash ends an engine under all of its requests. It is back after three seconds.
func (f *fleet) crash(engine int) {
	f.crashes = append(f.crashes, f.elapsed())
	requests := f.running[engine]
	incarnation := f.incarnations[engine]
	f.running[engine], f.down[engine] = map[*simRequest]bool{}, true
	f.incarnations[engine] = f.random.Uint32()
	f.after(3*time.Second, func() { f.down[engine] = false })
	for _, r := range inOrder(requests) {
		f.end(r, incarnation)
	}
}

func inOrder(requests map[*simRequest]bool) []*simRequest {
	return slices.SortedFunc(maps.Keys(requests), func(a, b *simRequest) int { return cmp.Compare(a.number, b.number) })
}

// resetNode ends all connections of node 1.
func (f *fleet) resetNode() {
	for engine, running := range f.running {
		for _, r := range inOrder(running) {
			if r.node == 1 {
				delete(running, r)
				f.end(r, f.incarnations[engine])
			}
		}
	}
}

// end ends a request's connection without an event.
func (f *fleet) end(r *simRequest, incarnation uint32) {
	if f.tables[r.node].RecordCrash(r.parts, Crash{Engine: incarnation, Observer: uint8(r.node)}, f.now) {
		f.applied(r.node)
	}
	node := r.node
	f.after(f.interval/8, func() { f.report(node) })
	f.fail(r, f.tables[r.node].InDoubt(r.parts, incarnation, f.now))
}

// fail sends a request again, or lets its client do so once.
func (f *fleet) fail(r *simRequest, final bool) {
	if !final && r.attempts < simAttempts {
		f.forward(r)
		return
	}
	if r.clientRetries++; r.clientRetries == 1 {
		r.node, r.attempts = f.random.IntN(f.nodes), 0
		f.after(100*time.Millisecond, func() { f.forward(r) })
	}
}

// lateBadSends returns the highest number of sends with one bad part later than the time of contact after the fifth
// crash.
func (f *fleet) lateBadSends() int {
	if len(f.crashes) < 5 {
		return 0
	}
	most := 0
	for _, sends := range f.badSends {
		late := len(slices.DeleteFunc(slices.Clone(sends), func(at time.Duration) bool { return at <= f.crashes[4]+simContact }))
		most = max(most, late)
	}
	return most
}

// Guards against prompt parts that crash one engine after the other, and against sound parts that are refused because
// they were in doubt beside them or because connections ended for other reasons.
func TestFleetQuarantinesOnlyPartsThatCrashEngines(t *testing.T) {
	base := fleetOptions{nodes: 15, engines: 18, interval: 200 * time.Millisecond, lossRate: 0.02, soundPerS: 160, badPerS: 8, badFrom: 3 * time.Second, badParts: 1, subjects: 430, duration: 40 * time.Second}
	with := func(change func(*fleetOptions)) fleetOptions {
		o := base
		change(&o)
		return o
	}
	const allowedLateSends, minServed, maxCrashes = 3, 0.9, 20
	tests := map[string]fleetOptions{
		"a twentieth of the requests": base,
		"one request in two seconds":  with(func(o *fleetOptions) { o.badPerS = 0.5 }),
		"one request in ten seconds":  with(func(o *fleetOptions) { o.badPerS, o.duration = 0.1, 3*time.Minute }),
		"a fifth of the requests":     with(func(o *fleetOptions) { o.badPerS = 40 }),
		"two parts at once":           with(func(o *fleetOptions) { o.badParts = 2 }),
		"few sound requests":          with(func(o *fleetOptions) { o.soundPerS, o.badPerS = 10, 2 }),
		"from the start":              with(func(o *fleetOptions) { o.badFrom = 0 }),
		"few subjects":                with(func(o *fleetOptions) { o.subjects = 12 }),
		"large fleet": with(func(o *fleetOptions) {
			o.nodes, o.engines, o.interval, o.soundPerS, o.badPerS, o.duration = 295, 250, 800*time.Millisecond, 1500, 75, 15*time.Second
		}),
		"large fleet from the start": with(func(o *fleetOptions) {
			o.nodes, o.engines, o.interval, o.soundPerS, o.badPerS, o.badFrom, o.duration = 295, 250, 800*time.Millisecond, 1500, 75, 0, 15*time.Second
		}),
		"leader lost": with(func(o *fleetOptions) { o.leaderLostAt, o.leaderGap = 3500*time.Millisecond, 3*time.Second }),
		"late and repeated messages": with(func(o *fleetOptions) {
			o.lossRate, o.repeatDelay = 0.2, 4*time.Second
		}),
		"connections of a node are reset": with(func(o *fleetOptions) {
			o.badPerS = 0
			for i := range 12 {
				o.resets = append(o.resets, 5*time.Second+time.Duration(i)*2500*time.Millisecond)
			}
		}),
		"connections of a node are reset again and again": with(func(o *fleetOptions) {
			o.badPerS = 0
			for i := range 40 {
				o.resets = append(o.resets, 5*time.Second+time.Duration(i)*300*time.Millisecond)
			}
		}),
		"all engines crash at once": with(func(o *fleetOptions) {
			o.badPerS, o.massCrashes = 0, []time.Duration{5 * time.Second, 9 * time.Second, 13 * time.Second}
		}),
		"engines end connections": with(func(o *fleetOptions) { o.badPerS, o.greyRate = 0, 0.3 }),
	}
	for name, o := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				f := newFleet(seed, o)
				f.run()
				served := float64(f.settledServed) / float64(max(f.settledSound, 1))
				soundQuarantined := 0
				for part := range f.everQuarantined {
					if part >= 100 {
						soundQuarantined++
					}
				}
				t.Logf("seed %d: %d crashes, %d sends with bad parts after the fifth crash, %.3f of sound requests served, %d sound parts quarantined, %d sound requests refused",
					seed, len(f.crashes), f.lateBadSends(), served, soundQuarantined, f.refusedSound)
				assert.LessOrEqual(t, f.lateBadSends(), allowedLateSends, "seed %d", seed)
				assert.GreaterOrEqual(t, served, minServed)
				if o.badPerS > 0 && o.engines < 100 {
					assert.LessOrEqual(t, len(f.crashes), maxCrashes)
				}
				for part := range f.everQuarantined {
					// Before their first success, popular parts are like any other.
					popular := part >= 100 && part < 1000 && o.badFrom > 0
					assert.Falsef(t, popular, "the popular part %d was quarantined", part)
				}
				assert.LessOrEqual(t, float64(f.refusedSound), 0.01*float64(f.sound))
			}
		})
	}
}
