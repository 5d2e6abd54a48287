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

// world is one explored history of three nodes, one lease and one engine.
type world struct {
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
	seen      map[string]int
}

type node struct {
	name     string
	starts   int
	instance string
	wanted   bool
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

func newWorld(t *rapid.T, script []uint32, seen map[string]int) *world {
	start := time.UnixMilli(1_800_000_000_000)
	w := &world{t: t, script: script, start: start, now: start, holders: map[uint64]string{}, seen: seen}
	w.enforcing = w.choose(2) == 1
	for i := range w.nodes {
		w.nodes[i] = &node{name: fmt.Sprint("node-", i), drift: (i - 1) * 20, wanted: true}
		w.nodes[i].restart()
	}
	return w
}

func (n *node) restart() {
	n.starts++
	n.instance = fmt.Sprint(n.name, "/", n.starts)
	n.lease = New(n.name, n.instance)
}

func (w *world) choose(n int) int {
	if len(w.script) == 0 {
		return 0
	}
	v := int(w.script[0]) % n
	w.script = w.script[1:]
	return v
}

// clock is the time that a node reads.
func (w *world) clock(n *node) time.Time {
	passed := w.now.Sub(w.start)
	return w.now.Add(passed * time.Duration(n.drift) / 1000)
}

func (w *world) step() {
	n := w.nodes[w.choose(len(w.nodes))]
	switch action := w.choose(24); {
	case action < 4:
		w.poll(n)
		w.execute(len(w.calls) - 1)
	case action < 6:
		w.poll(n)
	case action < 9 && len(w.calls) > 0:
		w.execute(w.choose(len(w.calls)))
	case action == 9 && len(w.calls) > 0:
		w.timeout(w.calls[w.choose(len(w.calls))])
	case action < 16:
		w.send(n)
	case action == 16 && len(w.orders) > 0:
		w.arrive(w.choose(len(w.orders)))
	case action == 17:
		w.disturb(n)
	default:
		jumps := []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 9 * time.Second, 12 * time.Second, 24 * time.Second, 36 * time.Second}
		w.advance(jumps[w.choose(len(jumps))])
	}
	w.checkHolders()
}

func (w *world) disturb(n *node) {
	switch w.choose(4) {
	case 0:
		w.seen["crash"]++
		n.restart()
	case 1:
		w.outage = !w.outage
	default:
		n.wanted = !n.wanted
	}
}

func (w *world) poll(n *node) {
	if a := n.lease.Next(w.clock(n), n.wanted, 0); a.Kind != None {
		w.calls = append(w.calls, call{node: n, instance: n.instance, action: a, answered: new(bool)})
	}
}

// execute makes a call take effect; its answer arrives, unless it is lost or given up already.
func (w *world) execute(i int) {
	if i < 0 {
		return
	}
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	o, err := w.apply(c.action)
	if w.choose(5) == 1 {
		w.seen["answer lost"]++
		w.timeout(c)
		return
	}
	w.answer(c, o, err)
}

func (w *world) timeout(c call) {
	w.answer(c, objects.Object{}, fault.New(fault.PlatformUnavailable, "lost").WithWork(fault.Unknown))
}

func (w *world) answer(c call, o objects.Object, err error) {
	if *c.answered || c.node.instance != c.instance {
		return
	}
	*c.answered = true
	if c.action.Kind == Read {
		if damaged := c.node.lease.ReadDone(o, err, w.clock(c.node)); damaged != nil {
			w.t.Fatalf("stored lease is damaged: %v", damaged)
		}
		return
	}
	c.node.lease.WriteDone(o.Version, err, w.clock(c.node))
}

func (w *world) apply(a Action) (objects.Object, error) {
	switch {
	case w.outage:
		return objects.Object{}, fault.New(fault.PlatformUnavailable, "outage")
	case a.Kind == Read && w.stored.Version == 0:
		return objects.Object{}, fault.New(fault.NotFound, "absent")
	case a.Kind == Read && w.older.Version != 0 && w.choose(5) == 1:
		return w.older, nil
	case a.Kind == Read:
		return w.stored, nil
	case a.IfVersion != w.stored.Version:
		return objects.Object{}, fault.New(fault.Conflict, "conflict")
	}
	w.older = w.stored
	w.stored = objects.Object{Version: w.stored.Version + 1, Value: a.Value}
	r, err := DecodeRecord(a.Value)
	if err != nil {
		w.t.Fatalf("stored lease is damaged: %v", err)
	}
	if by, used := w.holders[r.Fencing]; used && by != r.Instance {
		w.t.Fatalf("fencing number %d of %s was given to %s", r.Fencing, by, r.Instance)
	}
	w.holders[r.Fencing] = r.Instance
	return w.stored, nil
}

func (w *world) send(n *node) {
	if fencing, ok := n.lease.MaySend(w.clock(n)); ok {
		w.orders = append(w.orders, order{fencing: fencing, sentAt: w.now})
	}
}

func (w *world) arrive(i int) {
	o := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	if o.fencing < w.applied {
		if !w.enforcing {
			w.t.Fatalf("the engine followed number %d after number %d", o.fencing, w.applied)
		}
		w.seen["rejected"]++
		return
	}
	if o.fencing > w.applied {
		w.seen["new holder"]++
	}
	w.applied = o.fencing
	w.seen["applied"]++
}

// advance moves the time on. Orders to an engine that ignores the number arrive when they are due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i := 0; i < len(w.orders) && !w.enforcing; {
		if w.now.Sub(w.orders[i].sentAt) >= Flight {
			w.arrive(i)
			continue
		}
		i++
	}
}

func (w *world) checkHolders() {
	var holder string
	for _, n := range w.nodes {
		if _, ok := n.lease.MaySend(w.clock(n)); !ok {
			continue
		}
		if holder != "" {
			w.t.Fatalf("%s and %s may send at the same time", holder, n.name)
		}
		holder = n.name
	}
}

// Guards against two holders that send at once, against a fencing number that is given twice, and
// against an old holder's order that an engine follows after a new holder's, over histories of
// paused and crashed holders, lost and late answers, stale reads, outages and drifting clocks.
// The number of histories is set with -rapid.checks.
func TestExploration(t *testing.T) {
	seen := map[string]int{}
	histories := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 150, 500).Draw(rt, "script")
		w := newWorld(rt, script, seen)
		for len(w.script) > 0 {
			w.step()
		}
		histories++
	})
	t.Logf("%d histories: %v", histories, seen)
	for _, must := range []string{"applied", "new holder", "rejected", "crash", "answer lost"} {
		if seen[must] == 0 {
			t.Errorf("no history reached %q", must)
		}
	}
}
