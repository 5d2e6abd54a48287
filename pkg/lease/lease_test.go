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

// TestMain sets the number of generated histories and the seed of their scripts, unless the command line
// does. With the fixed seed, every run uses the same scripts.
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

// simulation is one generated history of three nodes, one lease and one engine. Every choice is read
// from script, so that rapid can shrink a failing history.
type simulation struct {
	t      *rapid.T
	script []uint32
	start  time.Time
	now    time.Time
	// stored is the lease object; previous is its value before the last write, for stale reads.
	stored   objects.Object
	previous objects.Object
	outage   bool
	nodes    [3]*node
	calls    []call
	orders   []order
	// enforcing is set if the engine rejects old fencing tokens. If so, orders may take any
	// time to arrive; otherwise they arrive within MaxDeliveryDelay.
	enforcing bool
	// applied is the fencing token of the last order that the engine followed.
	applied uint64
	// holders are the instances by the fencing token given to them.
	holders map[uint64]string
	// counts is the number of times that each kind of event occurred, over all histories.
	counts map[string]int
}

type node struct {
	name string
	// starts counts the starts of the node's process.
	starts     int
	instance   string
	shouldHold bool
	// drift is the rate by which the node's clock runs fast, in thousandths.
	drift int
	lease *Lease
}

// call is a call of the object API in flight.
type call struct {
	node     *node
	instance string
	action   Action
	// done is set when the node has received a response or timed out.
	done *bool
}

// order is an order in flight to the engine.
type order struct {
	fencingToken uint64
	sentAt       time.Time
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

// choose returns the next choice of the script, from 0 to n-1, or 0 if the script has ended.
func (sim *simulation) choose(n int) int {
	if len(sim.script) == 0 {
		return 0
	}
	v := int(sim.script[0]) % n
	sim.script = sim.script[1:]
	return v
}

// clock returns the time on a node's clock.
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
	case action == 4:
		n.lease.Recheck()
		sim.poll(n)
	case action < 6:
		sim.poll(n)
	case action < 9 && len(sim.calls) > 0:
		sim.execute(sim.choose(len(sim.calls)))
	case action == 9 && len(sim.calls) > 0:
		sim.timeout(sim.calls[sim.choose(len(sim.calls))])
	case action < 16:
		sim.send(n)
	case action == 16 && len(sim.orders) > 0:
		sim.deliverOrder(sim.choose(len(sim.orders)))
	case action == 17:
		sim.injectFault(n)
	default:
		jumps := []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 9 * time.Second, 12 * time.Second, 24 * time.Second, 36 * time.Second}
		sim.advance(jumps[sim.choose(len(jumps))])
	}
	sim.checkHolders()
}

// injectFault restarts a node, starts or ends an outage of the object API, or changes whether a node
// should hold the lease.
func (sim *simulation) injectFault(n *node) {
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
		sim.calls = append(sim.calls, call{node: n, instance: n.instance, action: a, done: new(bool)})
	}
}

// execute makes a call take effect. Its response arrives, unless it is lost or the node has timed out.
func (sim *simulation) execute(i int) {
	if i < 0 {
		return
	}
	c := sim.calls[i]
	sim.calls = append(sim.calls[:i:i], sim.calls[i+1:]...)
	o, err := sim.apply(c.action)
	if sim.choose(5) == 1 {
		sim.counts["response lost"]++
		sim.timeout(c)
		return
	}
	sim.respond(c, o, err)
}

func (sim *simulation) timeout(c call) {
	sim.respond(c, objects.Object{}, fault.New(fault.PlatformUnavailable, "response lost").WithWork(fault.Unknown))
}

func (sim *simulation) respond(c call, o objects.Object, err error) {
	if *c.done || c.node.instance != c.instance {
		return
	}
	*c.done = true
	if c.action.Kind == Read {
		if damaged := c.node.lease.ReadDone(o, err, sim.clock(c.node)); damaged != nil {
			sim.t.Fatalf("ReadDone reports a damaged lease: %v", damaged)
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
	case a.Kind == Read && sim.previous.Version != 0 && sim.choose(5) == 1:
		return sim.previous, nil
	case a.Kind == Read:
		return sim.stored, nil
	case a.IfVersion != sim.stored.Version:
		return objects.Object{}, fault.New(fault.Conflict, "conflict")
	}
	sim.previous = sim.stored
	sim.stored = objects.Object{Version: sim.stored.Version + 1, Value: a.Value}
	r, err := DecodeRecord(a.Value)
	if err != nil {
		sim.t.Fatalf("a node wrote a damaged lease: %v", err)
	}
	if by, used := sim.holders[r.FencingToken]; used && by != r.Instance {
		sim.t.Fatalf("fencing token %d of %s was also given to %s", r.FencingToken, by, r.Instance)
	}
	sim.holders[r.FencingToken] = r.Instance
	return sim.stored, nil
}

func (sim *simulation) send(n *node) {
	if token, ok := n.lease.MaySend(sim.clock(n)); ok {
		sim.orders = append(sim.orders, order{fencingToken: token, sentAt: sim.now})
	}
}

// deliverOrder delivers an order to the engine.
func (sim *simulation) deliverOrder(i int) {
	o := sim.orders[i]
	sim.orders = append(sim.orders[:i:i], sim.orders[i+1:]...)
	if o.fencingToken < sim.applied {
		if !sim.enforcing {
			sim.t.Fatalf("the engine followed an order with fencing token %d after one with %d", o.fencingToken, sim.applied)
		}
		sim.counts["rejected"]++
		return
	}
	if o.fencingToken > sim.applied {
		sim.counts["new holder"]++
	}
	sim.applied = o.fencingToken
	sim.counts["applied"]++
}

// advance advances the time. Orders to an engine that ignores fencing tokens arrive within
// MaxDeliveryDelay.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for i := 0; i < len(sim.orders) && !sim.enforcing; {
		if sim.now.Sub(sim.orders[i].sentAt) >= MaxDeliveryDelay {
			sim.deliverOrder(i)
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

// Guards against two nodes that may send at the same time, against a fencing token that is given to two
// holders, and against an engine that follows an old holder's order after a new holder's. The generated
// histories contain paused and crashed holders, lost and late responses, stale reads, outages and
// clock drift. -rapid.checks sets their number.
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
	for _, required := range []string{"applied", "new holder", "rejected", "crash", "response lost"} {
		if counts[required] == 0 {
			t.Errorf("no history reached %q", required)
		}
	}
}
