package lease

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

// TestMain sets the number of explored histories and their seed, unless the command line does.
// A fixed seed gives the same verdict on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "1"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// simulation is one explored history of three nodes, one lease and one engine.
type simulation struct {
	t      *rapid.T
	script []uint32
	start  time.Time
	now    time.Time
	stored objects.Object
	older  objects.Object
	outage bool
	nodes  [3]*node
	calls  []call
	orders []order
	// enforcing tells whether the engine rejects old fencing numbers. Then orders may take any
	// time to arrive; else they arrive within Flight.
	enforcing bool
	applied   uint64
	holders   map[uint64]string
	counts    map[string]int
}

type node struct {
	name       string
	starts     int
	instance   string
	shouldHold bool
	// drift is how much the node's clock runs fast, in thousandths.
	drift int
	lease *Lease
}

type call struct {
	node     *node
	instance string
	action   Action
	answered *bool
}

type order struct {
	fencing uint64
	sentAt  time.Time
}

func newSimulation(t *rapid.T, script []uint32, counts map[string]int) *simulation {
	start := time.UnixMilli(1_800_000_000_000)
	sim := &simulation{t: t, script: script, start: start, now: start, holders: map[uint64]string{}, counts: counts}
	sim.enforcing = sim.choose(2) == 1
	for i := range sim.nodes {
		sim.nodes[i] = &node{name: fmt.Sprint("node-", i), drift: (i - 1) * 20, shouldHold: true}
		sim.nodes[i].restart()
	}
	return sim
}

func (n *node) restart() {
	n.starts++
	n.instance = fmt.Sprint(n.name, "/", n.starts)
	n.lease = New(n.name, n.instance)
}

func (sim *simulation) choose(n int) int {
	if len(sim.script) == 0 {
		return 0
	}
	v := int(sim.script[0]) % n
	sim.script = sim.script[1:]
	return v
}

// clock is the time that a node reads.
func (sim *simulation) clock(n *node) time.Time {
	passed := sim.now.Sub(sim.start)
	return sim.now.Add(passed * time.Duration(n.drift) / 1000)
}

func (sim *simulation) step() {
	n := sim.nodes[sim.choose(len(sim.nodes))]
	switch action := sim.choose(24); {
	case action < 4:
		sim.poll(n)
		sim.execute(len(sim.calls) - 1)
	case action < 6:
		sim.poll(n)
	case action < 9 && len(sim.calls) > 0:
		sim.execute(sim.choose(len(sim.calls)))
	case action == 9 && len(sim.calls) > 0:
		sim.timeout(sim.calls[sim.choose(len(sim.calls))])
	case action < 16:
		sim.send(n)
	case action == 16 && len(sim.orders) > 0:
		sim.arrive(sim.choose(len(sim.orders)))
	case action == 17:
		sim.disturb(n)
	default:
		jumps := []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 9 * time.Second, 12 * time.Second, 24 * time.Second, 36 * time.Second}
		sim.advance(jumps[sim.choose(len(jumps))])
	}
	sim.checkHolders()
}

func (sim *simulation) disturb(n *node) {
	switch sim.choose(4) {
	case 0:
		sim.counts["crash"]++
		n.restart()
	case 1:
		sim.outage = !sim.outage
	default:
		n.shouldHold = !n.shouldHold
	}
}

func (sim *simulation) poll(n *node) {
	if a := n.lease.Next(sim.clock(n), n.shouldHold, 0); a.Kind != None {
		sim.calls = append(sim.calls, call{node: n, instance: n.instance, action: a, answered: new(bool)})
	}
}

// execute makes a call take effect; its answer arrives, unless it is lost or given up already.
func (sim *simulation) execute(i int) {
	if i < 0 {
		return
	}
	c := sim.calls[i]
	sim.calls = append(sim.calls[:i:i], sim.calls[i+1:]...)
	o, err := sim.apply(c.action)
	if sim.choose(5) == 1 {
		sim.counts["answer lost"]++
		sim.timeout(c)
		return
	}
	sim.answer(c, o, err)
}

func (sim *simulation) timeout(c call) {
	sim.answer(c, objects.Object{}, fault.New(fault.PlatformUnavailable, "lost").WithWork(fault.Unknown))
}

func (sim *simulation) answer(c call, o objects.Object, err error) {
	if *c.answered || c.node.instance != c.instance {
		return
	}
	*c.answered = true
	if c.action.Kind == Read {
		if damaged := c.node.lease.ReadDone(o, err, sim.clock(c.node)); damaged != nil {
			sim.t.Fatalf("stored lease is damaged: %v", damaged)
		}
		return
	}
	c.node.lease.WriteDone(o.Version, err, sim.clock(c.node))
}

func (sim *simulation) apply(a Action) (objects.Object, error) {
	switch {
	case sim.outage:
		return objects.Object{}, fault.New(fault.PlatformUnavailable, "outage")
	case a.Kind == Read && sim.stored.Version == 0:
		return objects.Object{}, fault.New(fault.NotFound, "absent")
	case a.Kind == Read && sim.older.Version != 0 && sim.choose(5) == 1:
		return sim.older, nil
	case a.Kind == Read:
		return sim.stored, nil
	case a.IfVersion != sim.stored.Version:
		return objects.Object{}, fault.New(fault.Conflict, "conflict")
	}
	sim.older = sim.stored
	sim.stored = objects.Object{Version: sim.stored.Version + 1, Value: a.Value}
	r, err := DecodeRecord(a.Value)
	if err != nil {
		sim.t.Fatalf("stored lease is damaged: %v", err)
	}
	if by, used := sim.holders[r.FencingToken]; used && by != r.Instance {
		sim.t.Fatalf("fencing number %d of %s was given to %s", r.FencingToken, by, r.Instance)
	}
	sim.holders[r.FencingToken] = r.Instance
	return sim.stored, nil
}

func (sim *simulation) send(n *node) {
	if fencing, ok := n.lease.MaySend(sim.clock(n)); ok {
		sim.orders = append(sim.orders, order{fencing: fencing, sentAt: sim.now})
	}
}

func (sim *simulation) arrive(i int) {
	o := sim.orders[i]
	sim.orders = append(sim.orders[:i:i], sim.orders[i+1:]...)
	if o.fencing < sim.applied {
		if !sim.enforcing {
			sim.t.Fatalf("the engine followed number %d after number %d", o.fencing, sim.applied)
		}
		sim.counts["rejected"]++
		return
	}
	if o.fencing > sim.applied {
		sim.counts["new holder"]++
	}
	sim.applied = o.fencing
	sim.counts["applied"]++
}

// advance moves the time on. Orders to an engine that ignores the number arrive when they are due.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for i := 0; i < len(sim.orders) && !sim.enforcing; {
		if sim.now.Sub(sim.orders[i].sentAt) >= MaxDeliveryDelay {
			sim.arrive(i)
			continue
		}
		i++
	}
}

func (sim *simulation) checkHolders() {
	var holder string
	for _, n := range sim.nodes {
		if _, ok := n.lease.MaySend(sim.clock(n)); !ok {
			continue
		}
		if holder != "" {
			sim.t.Fatalf("%s and %s may send at the same time", holder, n.name)
		}
		holder = n.name
	}
}

// Guards against two holders that send at once, against a fencing number that is given twice, and
// against an old holder's order that an engine follows after a new holder's, over histories of
// paused and crashed holders, lost and late answers, stale reads, outages and drifting clocks.
// The number of histories is set with -rapid.checks.
func TestSingleHolderUnderFaults(t *testing.T) {
	counts := map[string]int{}
	histories := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 150, 500).Draw(rt, "script")
		sim := newSimulation(rt, script, counts)
		for len(sim.script) > 0 {
			sim.step()
		}
		histories++
	})
	t.Logf("%d histories: %v", histories, counts)
	for _, must := range []string{"applied", "new holder", "rejected", "crash", "answer lost"} {
		if counts[must] == 0 {
			t.Errorf("no history reached %q", must)
		}
	}
}
