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

// world is one explored history of two models whose rollouts share the places to load.
type world struct {
	t       *rapid.T
	script  []uint32
	now     time.Time
	stored  []byte
	version int
	engines []*engine
	holders map[string]*holder
	late    []func()
	crashes bool
	seen    map[string]int
}

type engine struct {
	id, model, version, target string
	loading, up                bool
	// left is the number of ticks until a load ends. Bad weights never load.
	left  int
	loads map[string]int
}

// holder is the lease holder of a model's engines.
type holder struct {
	model   string
	fencing uint64
	target  string
	// put is the state on its way to the object API, orders are those on their way to engines.
	put     *State
	putBase int
	orders  []sentOrder
}

type sentOrder struct {
	Order
	at time.Time
}

func newWorld(t *rapid.T, script []uint32, seen map[string]int) *world {
	w := &world{t: t, script: script, now: time.UnixMilli(1_800_000_000_000), holders: map[string]*holder{}, seen: seen}
	w.crashes = w.choose(2) == 1
	for i := range 7 {
		model := []string{"a", "b"}[i/4]
		w.engines = append(w.engines, &engine{id: fmt.Sprint("e", i), model: model, version: "v1", target: "v1", up: true, loads: map[string]int{}})
	}
	for _, model := range []string{"a", "b"} {
		w.holders[model] = &holder{model: model, fencing: 1, target: []string{"v1", "v2", "v2", badVersion}[w.choose(4)]}
	}
	return w
}

func (w *world) choose(n int) int {
	if len(w.script) == 0 {
		return 0
	}
	v := int(w.script[0]) % n
	w.script = w.script[1:]
	return v
}

func (w *world) settings(h *holder) Settings {
	return Settings{Target: h.target, MaxLoads: 2, Canaries: 1, MinServing: 2, MaxErrorShare: 0.3}
}

func (w *world) input(h *holder) Input {
	s := State{}
	if w.stored != nil {
		var err error
		if s, err = Decode(w.stored); err != nil {
			w.t.Fatal(err)
		}
	}
	in := Input{Model: h.model, Fencing: h.fencing, State: s, Settings: w.settings(h), Now: w.now}
	for _, e := range w.engines {
		if e.model == h.model {
			in.Engines = append(in.Engines, Engine{ID: e.id, Known: e.up, Version: e.version, Loading: e.loading})
		}
	}
	return in
}

// decide reads everything and decides. The results take effect later.
func (w *world) decide(h *holder) Decision {
	in := w.input(h)
	if m, ok := in.State.Models[h.model]; ok && m.Fencing > h.fencing {
		w.t.Fatalf("holder %d works on the state of holder %d", h.fencing, m.Fencing)
	}
	d := Decide(in)
	if d.Changed {
		h.put, h.putBase = &d.State, w.version
	} else {
		for _, o := range d.Orders {
			h.orders = append(h.orders, sentOrder{o, w.now})
		}
	}
	if d.Blocked {
		w.seen["blocked"]++
	}
	return d
}

// write lets the state on its way take effect, if nothing else was stored since it was read.
func (w *world) write(put *State, base int) {
	if put == nil || base != w.version {
		return
	}
	value, err := put.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	w.stored = value
	w.version++
	if len(put.Loads) > 2 {
		w.t.Fatalf("%d places are taken: %v", len(put.Loads), put.Loads)
	}
	for _, m := range put.Models {
		w.seen[string(m.Phase)]++
	}
}

func (w *world) step() {
	h := w.holders[[]string{"a", "b"}[w.choose(2)]]
	switch action := w.choose(16); {
	case action < 4 && h.put == nil:
		w.decide(h)
	case action < 7:
		w.write(h.put, h.putBase)
		h.put = nil
	case action < 10:
		w.arrive(h)
	case action == 10:
		w.replace(h)
	case action == 11 && len(w.late) > 0:
		w.late[0]()
		w.late = w.late[1:]
	case action == 12 && w.crashes:
		w.crash(w.engines[w.choose(len(w.engines))])
	case action == 13 && w.choose(4) == 1:
		h.target = []string{"v1", "v2", badVersion}[w.choose(3)]
	default:
		w.tick([]time.Duration{time.Second, 5 * time.Second, 20 * time.Second}[w.choose(3)])
	}
	w.check()
}

// replace loses a holder. Its write may still take effect; its orders have arrived or are lost,
// because the next holder waits for the lease and the flight of orders to end.
func (w *world) replace(h *holder) {
	w.seen["holder lost"]++
	put, base := h.put, h.putBase
	w.late = append(w.late, func() { w.write(put, base) })
	if w.choose(2) == 1 {
		w.arrive(h)
	}
	*h = holder{model: h.model, fencing: h.fencing + 1, target: h.target}
}

func (w *world) arrive(h *holder) {
	for _, o := range h.orders {
		i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == o.Engine })
		e := w.engines[i]
		if !e.up || e.target == o.Version {
			continue
		}
		e.target, e.loading, e.left = o.Version, true, 3
		e.loads[o.Version]++
		w.seen["load"]++
	}
	h.orders = nil
}

func (w *world) crash(e *engine) {
	if e.up = !e.up; e.up {
		e.version, e.target, e.loading = "v1", "v1", false
		e.loads = map[string]int{}
	} else {
		e.loading = false
	}
	w.seen["engine crash"]++
}

// tick moves the time on. Orders arrive at the latest after lease.Flight.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, model := range []string{"a", "b"} {
		if h := w.holders[model]; len(h.orders) > 0 && w.now.Sub(h.orders[0].at) >= lease.Flight {
			w.arrive(h)
		}
	}
	for _, e := range w.engines {
		if e.loading && e.target != badVersion {
			if e.left--; e.left <= 0 {
				e.loading, e.version = false, e.target
			}
		}
	}
}

func (w *world) check() {
	loading := 0
	serving := map[string]int{}
	for _, e := range w.engines {
		if e.loading {
			loading++
		} else if e.up {
			serving[e.model]++
		}
	}
	if loading > 2 {
		w.t.Fatalf("%d engines load at once", loading)
	}
	if !w.crashes && (serving["a"] < 2 || serving["b"] < 2) {
		w.t.Fatalf("too few engines serve: %v", serving)
	}
}

// finish runs without faults until both rollouts rest.
func (w *world) finish() {
	for _, e := range w.engines {
		if !e.up {
			w.crash(e)
		}
	}
	w.late = nil
	for range 3000 {
		active := false
		for _, model := range []string{"a", "b"} {
			h := w.holders[model]
			w.write(h.put, h.putBase)
			h.put = nil
			active = w.decide(h).Active || active
			w.write(h.put, h.putBase)
			h.put = nil
			w.arrive(h)
			w.check()
		}
		if !active {
			w.checkEnd()
			return
		}
		w.tick(time.Second)
	}
	w.t.Fatalf("rollout is stuck: %s", w.stored)
}

func (w *world) checkEnd() {
	s, err := Decode(w.stored)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range w.engines {
		m := s.Models[e.model]
		if e.version != m.Goal() || e.loading {
			w.t.Fatalf("%s ended with %s (loading %v) in phase %s of %s", e.id, e.version, e.loading, m.Phase, m.Target)
		}
		if target := w.holders[e.model].target; target != badVersion && m.Phase != Complete && m.Target != target {
			w.t.Fatalf("rollout to %s ended in phase %s of %s", target, m.Phase, m.Target)
		}
	}
}

// Guards against more loads at once than allowed, against too few serving engines, and against a
// rollout that is stuck or half done after lost holders, late writes, crashed engines, weights
// that do not load and changes of the target. The number of histories is set with -rapid.checks.
func TestExploration(t *testing.T) {
	seen := map[string]int{}
	histories := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 30, 250).Draw(rt, "script")
		w := newWorld(rt, script, seen)
		for len(w.script) > 0 {
			w.step()
		}
		w.finish()
		histories++
	})
	t.Logf("%d histories: %v", histories, seen)
	for _, must := range []string{"load", "holder lost", "engine crash", string(Canary), string(Rolling), string(Complete), string(RollingBack), string(RolledBack)} {
		if seen[must] == 0 {
			t.Errorf("no history reached %q", must)
		}
	}
}

// Guards against a successor that orders a second load of what its lost predecessor has ordered.
func TestSuccessorLoadsNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 30, 200).Draw(rt, "script")
		w := newWorld(rt, script, map[string]int{})
		w.crashes = false
		for _, h := range w.holders {
			h.target = "v2"
		}
		for len(w.script) > 0 {
			h := w.holders[[]string{"a", "b"}[w.choose(2)]]
			switch w.choose(5) {
			case 0:
				w.replace(h)
			case 1:
				w.arrive(h)
			case 2:
				w.tick(time.Second)
			default:
				w.decide(h)
				w.write(h.put, h.putBase)
				h.put = nil
			}
		}
		w.finish()
		for _, e := range w.engines {
			if e.loads["v2"] != 1 || e.loads["v1"] != 0 {
				rt.Fatalf("%s loaded %v", e.id, e.loads)
			}
		}
	})
}
