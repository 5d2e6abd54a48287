package rollout

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawall.example/cassiawall/pkg/lease"
)

// TestMain sets the number of generated histories and the seed of their scripts, unless the command line
// does. With the fixed seed, every run uses the same scripts.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "500", "rapid.seed": "1"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// badVersion is a version whose loads never finish.
const badVersion = "bad"

// simulation is one generated history of two models whose rollouts share the load slots. Every choice is
// read from script, so that rapid can shrink a failing history.
type simulation struct {
	t      *rapid.T
	script []uint32
	now    time.Time
	// stored is the rollout state in the object API, version its object version.
	stored  []byte
	version int
	engines []*engine
	// holders are the lease holders by model.
	holders map[string]*holder
	// delayedWrites are the writes of former holders that have not taken effect yet.
	delayedWrites []func()
	allowCrashes  bool
	// counts is the number of times that each kind of event occurred, over all histories.
	counts map[string]int
}

type engine struct {
	id, model, version, target string
	loading, up                bool
	// ticksLeft is the number of ticks until a load ends.
	ticksLeft int
	// loads counts the loads that were started, by version.
	loads map[string]int
}

// holder is the lease holder of a model's engines.
type holder struct {
	model        string
	fencingToken uint64
	target       string
	// pendingState is the state of a write in flight to the object API, pendingBase the object
	// version on which it is based.
	pendingState *State
	pendingBase  int
	orders       []sentOrder
}

// sentOrder is an order in flight to an engine.
type sentOrder struct {
	Order
	at time.Time
}

func newSimulation(t *rapid.T, script []uint32, counts map[string]int) *simulation {
	sim := &simulation{t: t, script: script, now: time.UnixMilli(1_800_000_000_000), holders: map[string]*holder{}, counts: counts}
	sim.allowCrashes = sim.choose(2) == 1
	for i := range 7 {
		model := []string{"a", "b"}[i/4]
		sim.engines = append(sim.engines, &engine{id: fmt.Sprint("e", i), model: model, version: "v1", target: "v1", up: true, loads: map[string]int{}})
	}
	for _, model := range []string{"a", "b"} {
		sim.holders[model] = &holder{model: model, fencingToken: 1, target: []string{"v1", "v2", "v2", badVersion}[sim.choose(4)]}
	}
	return sim
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

func (sim *simulation) settings(h *holder) Settings {
	return Settings{Target: h.target, MaxConcurrentLoads: 2, Canaries: 1, MinServing: 2, MaxErrorShare: 0.3}
}

func (sim *simulation) input(h *holder) Input {
	s := State{}
	if sim.stored != nil {
		var err error
		if s, err = Decode(sim.stored); err != nil {
			sim.t.Fatal(err)
		}
	}
	in := Input{Model: h.model, FencingToken: h.fencingToken, State: s, Settings: sim.settings(h), Now: sim.now}
	for _, e := range sim.engines {
		if e.model == h.model {
			in.Engines = append(in.Engines, Engine{ID: e.id, Reachable: e.up, Version: e.version, Loading: e.loading})
		}
	}
	return in
}

// decide reads the stored state and the engines and decides. The results take effect later.
func (sim *simulation) decide(h *holder) Decision {
	in := sim.input(h)
	if m, ok := in.State.Models[h.model]; ok && m.FencingToken > h.fencingToken {
		sim.t.Fatalf("holder with fencing token %d decides on the state of fencing token %d", h.fencingToken, m.FencingToken)
	}
	d := Decide(in)
	if d.Changed {
		h.pendingState, h.pendingBase = &d.State, sim.version
	} else {
		for _, o := range d.Orders {
			h.orders = append(h.orders, sentOrder{o, sim.now})
		}
	}
	if d.Blocked {
		sim.counts["blocked"]++
	}
	return d
}

// write stores a state if the stored version is still base, as a compare-and-swap does.
func (sim *simulation) write(pendingState *State, base int) {
	if pendingState == nil || base != sim.version {
		return
	}
	value, err := pendingState.Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.stored = value
	sim.version++
	if len(pendingState.Loads) > 2 {
		sim.t.Fatalf("%d load slots are in use, want at most 2: %v", len(pendingState.Loads), pendingState.Loads)
	}
	for _, m := range pendingState.Models {
		sim.counts[string(m.Phase)]++
	}
}

func (sim *simulation) step() {
	h := sim.holders[[]string{"a", "b"}[sim.choose(2)]]
	switch action := sim.choose(16); {
	case action < 4 && h.pendingState == nil:
		sim.decide(h)
	case action < 7:
		sim.write(h.pendingState, h.pendingBase)
		h.pendingState = nil
	case action < 10:
		sim.deliverOrders(h)
	case action == 10:
		sim.replaceHolder(h)
	case action == 11 && len(sim.delayedWrites) > 0:
		sim.delayedWrites[0]()
		sim.delayedWrites = sim.delayedWrites[1:]
	case action == 12 && sim.allowCrashes:
		sim.toggleCrash(sim.engines[sim.choose(len(sim.engines))])
	case action == 13 && sim.choose(4) == 1:
		h.target = []string{"v1", "v2", badVersion}[sim.choose(3)]
	default:
		sim.tick([]time.Duration{time.Second, 5 * time.Second, 20 * time.Second}[sim.choose(3)])
	}
	sim.checkInvariants()
}

// replaceHolder replaces a failed holder. The write of the failed one may still take effect. Its orders
// have arrived or are lost, because the successor waits until the lease has ended and all orders must
// have arrived.
func (sim *simulation) replaceHolder(h *holder) {
	sim.counts["holder failed"]++
	pendingState, base := h.pendingState, h.pendingBase
	sim.delayedWrites = append(sim.delayedWrites, func() { sim.write(pendingState, base) })
	if sim.choose(2) == 1 {
		sim.deliverOrders(h)
	}
	*h = holder{model: h.model, fencingToken: h.fencingToken + 1, target: h.target}
}

// deliverOrders delivers the orders in flight of a holder.
func (sim *simulation) deliverOrders(h *holder) {
	for _, o := range h.orders {
		i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.id == o.Engine })
		e := sim.engines[i]
		if !e.up || e.target == o.Version {
			continue
		}
		e.target, e.loading, e.ticksLeft = o.Version, true, 3
		e.loads[o.Version]++
		sim.counts["load"]++
	}
	h.orders = nil
}

// toggleCrash crashes an engine, or restarts a crashed one with v1.
func (sim *simulation) toggleCrash(e *engine) {
	if e.up = !e.up; e.up {
		e.version, e.target, e.loading = "v1", "v1", false
		e.loads = map[string]int{}
	} else {
		e.loading = false
	}
	sim.counts["engine crash"]++
}

// tick advances the time. Orders arrive at the latest after lease.MaxDeliveryDelay.
func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, model := range []string{"a", "b"} {
		if h := sim.holders[model]; len(h.orders) > 0 && sim.now.Sub(h.orders[0].at) >= lease.MaxDeliveryDelay {
			sim.deliverOrders(h)
		}
	}
	for _, e := range sim.engines {
		if e.loading && e.target != badVersion {
			if e.ticksLeft--; e.ticksLeft <= 0 {
				e.loading, e.version = false, e.target
			}
		}
	}
}

func (sim *simulation) checkInvariants() {
	loading := 0
	serving := map[string]int{}
	for _, e := range sim.engines {
		if e.loading {
			loading++
		} else if e.up {
			serving[e.model]++
		}
	}
	if loading > 2 {
		sim.t.Fatalf("%d engines load at the same time, want at most 2", loading)
	}
	if !sim.allowCrashes && (serving["a"] < 2 || serving["b"] < 2) {
		sim.t.Fatalf("fewer than 2 engines of a model serve: %v", serving)
	}
}

// runToEnd continues without faults until both rollouts have ended.
func (sim *simulation) runToEnd() {
	for _, e := range sim.engines {
		if !e.up {
			sim.toggleCrash(e)
		}
	}
	sim.delayedWrites = nil
	for range 3000 {
		active := false
		for _, model := range []string{"a", "b"} {
			h := sim.holders[model]
			sim.write(h.pendingState, h.pendingBase)
			h.pendingState = nil
			active = sim.decide(h).Active || active
			sim.write(h.pendingState, h.pendingBase)
			h.pendingState = nil
			sim.deliverOrders(h)
			sim.checkInvariants()
		}
		if !active {
			sim.checkFinalState()
			return
		}
		sim.tick(time.Second)
	}
	sim.t.Fatalf("rollout has not ended after 3000 ticks: %s", sim.stored)
}

func (sim *simulation) checkFinalState() {
	s, err := Decode(sim.stored)
	if err != nil {
		sim.t.Fatal(err)
	}
	for _, e := range sim.engines {
		m := s.Models[e.model]
		if e.version != m.DesiredVersion() || e.loading {
			sim.t.Fatalf("%s ended with %s (loading %v) in phase %s of %s", e.id, e.version, e.loading, m.Phase, m.Target)
		}
		if target := sim.holders[e.model].target; target != badVersion && m.Phase != Complete && m.Target != target {
			sim.t.Fatalf("rollout to %s ended in phase %s of %s", target, m.Phase, m.Target)
		}
	}
}

// Guards against more concurrent loads than allowed, against too few serving engines, and against a
// rollout that stalls or ends incomplete. The generated histories contain failed holders, delayed
// writes, crashed engines, versions that do not load and changes of the target. -rapid.checks sets
// their number.
func TestRolloutUnderFaults(t *testing.T) {
	counts := map[string]int{}
	histories := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 30, 250).Draw(rt, "script")
		sim := newSimulation(rt, script, counts)
		for len(sim.script) > 0 {
			sim.step()
		}
		sim.runToEnd()
		histories++
	})
	t.Logf("%d histories: %v", histories, counts)
	for _, required := range []string{"load", "holder failed", "engine crash", string(Canary), string(Rolling), string(Complete), string(RollingBack), string(RolledBack)} {
		if counts[required] == 0 {
			t.Errorf("no history reached %q", required)
		}
	}
}

// Guards against a successor that orders a load again that its failed predecessor has ordered.
func TestSuccessorRepeatsNoLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 30, 200).Draw(rt, "script")
		sim := newSimulation(rt, script, map[string]int{})
		sim.allowCrashes = false
		for _, h := range sim.holders {
			h.target = "v2"
		}
		for len(sim.script) > 0 {
			h := sim.holders[[]string{"a", "b"}[sim.choose(2)]]
			switch sim.choose(5) {
			case 0:
				sim.replaceHolder(h)
			case 1:
				sim.deliverOrders(h)
			case 2:
				sim.tick(time.Second)
			default:
				sim.decide(h)
				sim.write(h.pendingState, h.pendingBase)
				h.pendingState = nil
			}
		}
		sim.runToEnd()
		for _, e := range sim.engines {
			if e.loads["v2"] != 1 || e.loads["v1"] != 0 {
				rt.Fatalf("%s started loads %v, want one of v2", e.id, e.loads)
			}
		}
	})
}
