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

// TestMain sets the number of explored histories and their seed, unless the command line does.
// A fixed seed gives the same verdict on every run.
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

const badVersion = "bad"

// simulation is one explored history of two models whose rollouts share the places to load.
type simulation struct {
	t             *rapid.T
	script        []uint32
	now           time.Time
	stored        []byte
	version       int
	engines       []*engine
	holders       map[string]*holder
	delayedWrites []func()
	allowCrashes  bool
	counts        map[string]int
}

type engine struct {
	id, model, version, target string
	loading, up                bool
	// ticksLeft is the number of ticks until a load ends. Bad weights never load.
	ticksLeft int
	loads     map[string]int
}

// holder is the lease holder of a model's engines.
type holder struct {
	model   string
	fencing uint64
	target  string
	// pendingState is the state on its way to the object API, orders are those on their way to engines.
	pendingState *State
	pendingBase  int
	orders       []sentOrder
}

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
		sim.holders[model] = &holder{model: model, fencing: 1, target: []string{"v1", "v2", "v2", badVersion}[sim.choose(4)]}
	}
	return sim
}

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
	in := Input{Model: h.model, FencingToken: h.fencing, State: s, Settings: sim.settings(h), Now: sim.now}
	for _, e := range sim.engines {
		if e.model == h.model {
			in.Engines = append(in.Engines, Engine{ID: e.id, Reachable: e.up, Version: e.version, Loading: e.loading})
		}
	}
	return in
}

// decide reads everything and decides. The results take effect later.
func (sim *simulation) decide(h *holder) Decision {
	in := sim.input(h)
	if m, ok := in.State.Models[h.model]; ok && m.FencingToken > h.fencing {
		sim.t.Fatalf("holder %d works on the state of holder %d", h.fencing, m.FencingToken)
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

// write lets the state on its way take effect, if nothing else was stored since it was read.
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
		sim.t.Fatalf("%d places are taken: %v", len(pendingState.Loads), pendingState.Loads)
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
		sim.arrive(h)
	case action == 10:
		sim.replaceHolder(h)
	case action == 11 && len(sim.delayedWrites) > 0:
		sim.delayedWrites[0]()
		sim.delayedWrites = sim.delayedWrites[1:]
	case action == 12 && sim.allowCrashes:
		sim.crash(sim.engines[sim.choose(len(sim.engines))])
	case action == 13 && sim.choose(4) == 1:
		h.target = []string{"v1", "v2", badVersion}[sim.choose(3)]
	default:
		sim.tick([]time.Duration{time.Second, 5 * time.Second, 20 * time.Second}[sim.choose(3)])
	}
	sim.checkInvariants()
}

// replace loses a holder. Its write may still take effect; its orders have arrived or are lost,
// because the next holder waits for the lease and the flight of orders to end.
func (sim *simulation) replaceHolder(h *holder) {
	sim.counts["holder lost"]++
	pendingState, base := h.pendingState, h.pendingBase
	sim.delayedWrites = append(sim.delayedWrites, func() { sim.write(pendingState, base) })
	if sim.choose(2) == 1 {
		sim.arrive(h)
	}
	*h = holder{model: h.model, fencing: h.fencing + 1, target: h.target}
}

func (sim *simulation) arrive(h *holder) {
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

func (sim *simulation) crash(e *engine) {
	if e.up = !e.up; e.up {
		e.version, e.target, e.loading = "v1", "v1", false
		e.loads = map[string]int{}
	} else {
		e.loading = false
	}
	sim.counts["engine crash"]++
}

// tick moves the time on. Orders arrive at the latest after lease.Flight.
func (sim *simulation) tick(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, model := range []string{"a", "b"} {
		if h := sim.holders[model]; len(h.orders) > 0 && sim.now.Sub(h.orders[0].at) >= lease.MaxDeliveryDelay {
			sim.arrive(h)
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
		sim.t.Fatalf("%d engines load at once", loading)
	}
	if !sim.allowCrashes && (serving["a"] < 2 || serving["b"] < 2) {
		sim.t.Fatalf("too few engines serve: %v", serving)
	}
}

// finish runs without faults until both rollouts rest.
func (sim *simulation) runToEnd() {
	for _, e := range sim.engines {
		if !e.up {
			sim.crash(e)
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
			sim.arrive(h)
			sim.checkInvariants()
		}
		if !active {
			sim.checkFinalState()
			return
		}
		sim.tick(time.Second)
	}
	sim.t.Fatalf("rollout is stuck: %s", sim.stored)
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

// Guards against more loads at once than allowed, against too few serving engines, and against a
// rollout that is stuck or half done after lost holders, delayedWrites writes, crashed engines, weights
// that do not load and changes of the target. The number of histories is set with -rapid.checks.
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
	for _, must := range []string{"load", "holder lost", "engine crash", string(Canary), string(Rolling), string(Complete), string(RollingBack), string(RolledBack)} {
		if counts[must] == 0 {
			t.Errorf("no history reached %q", must)
		}
	}
}

// Guards against a successor that orders a second load of what its lost predecessor has ordered.
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
				sim.arrive(h)
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
				rt.Fatalf("%s loaded %v", e.id, e.loads)
			}
		}
	})
}
