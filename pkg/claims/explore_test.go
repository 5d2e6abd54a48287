package claims

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
)

const (
	exploredNodes = 3
	exploredKeys  = 3
	exploredKeep  = time.Hour
)

// world is one explored history: three nodes, one journal and the messages between them. Every
// choice comes from script, so that rapid can shrink a failure.
type world struct {
	t       *rapid.T
	script  []uint32
	now     time.Time
	outage  bool
	stored  map[string]objects.Object
	older   map[string]objects.Object
	version uint64
	nodes   [exploredNodes]*node
	pending []event
	keys    [exploredKeys]keyState
	ids     int
	seen    map[string]int
}

// keyState is what the backend saw of one key.
type keyState struct {
	runs    int
	ranBy   string
	startAt time.Time
}

type node struct {
	epoch   int
	skew    time.Duration
	writer  *Writer
	waiting map[uint64]func(Reply)
}

// event is a message, timer or call in flight. It can run at any time, be lost or be repeated.
type event struct {
	run       func()
	lose      func()
	repeat    bool
	unanswers func()
}

func newWorld(t *rapid.T, script []uint32, seen map[string]int) *world {
	w := &world{t: t, script: script, stored: map[string]objects.Object{}, older: map[string]objects.Object{}, now: time.UnixMilli(1_800_000_000_000), seen: seen}
	for i := range w.nodes {
		w.nodes[i] = &node{skew: time.Duration(i-1) * 2 * time.Minute}
		w.nodes[i].restart()
	}
	return w
}

func (n *node) restart() {
	n.epoch++
	n.writer = NewWriter(0)
	// Claims move to segments as soon as they can.
	n.writer.sealBytes, n.writer.sealAge = 1, 0
	n.waiting = map[uint64]func(Reply){}
}

func (w *world) choose(n int) int {
	if len(w.script) == 0 {
		return 0
	}
	v := int(w.script[0]) % n
	w.script = w.script[1:]
	return v
}

func (w *world) post(e event) { w.pending = append(w.pending, e) }

func (w *world) take(i int) event {
	e := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	return e
}

// during wraps f so that it runs only while the node is in the given epoch, which a crash ends.
func (n *node) during(epoch int, f func()) func() {
	return func() {
		if n.epoch == epoch {
			f()
		}
	}
}

func (w *world) explore() {
	for len(w.script) > 0 {
		w.step()
	}
	w.outage = false
	for range 400 {
		if len(w.pending) == 0 {
			return
		}
		w.take(0).run()
	}
}

func (w *world) step() {
	action := w.choose(20)
	if len(w.pending) == 0 && action < 13 {
		action = 13
	}
	switch {
	case action < 10:
		w.take(w.choose(len(w.pending))).run()
	case action == 10:
		if e := w.take(w.choose(len(w.pending))); e.lose != nil {
			e.lose()
		}
	case action == 11:
		if e := w.pending[w.choose(len(w.pending))]; e.repeat {
			e.run()
		}
	case action == 12:
		if e := w.pending[w.choose(len(w.pending))]; e.unanswers != nil {
			e.unanswers()
		}
	case action <= 15:
		w.request(w.choose(exploredNodes), w.choose(exploredKeys), w.choose(8) == 0)
	case action == 16:
		w.nodes[w.choose(exploredNodes)].restart()
		w.seen["crash"]++
	case action == 17:
		w.outage = !w.outage
	default:
		jumps := []time.Duration{time.Millisecond, 600 * time.Millisecond, 20 * time.Second, 40 * time.Second, 25 * time.Minute, 2 * time.Hour}
		w.now = w.now.Add(jumps[w.choose(len(jumps))])
	}
}

// submit hands op to a node's writer; reply is called at most once, unless the node crashes.
func (w *world) submit(n int, op Op, reply func(Reply)) {
	w.ids++
	op.Ticket = uint64(w.ids)
	target := w.nodes[n]
	if r, ok := target.writer.Submit(op, w.now.Add(target.skew)); ok {
		reply(r)
		return
	}
	target.waiting[op.Ticket] = reply
	w.pump(n)
}

func (w *world) pump(n int) {
	target := w.nodes[n]
	for {
		planned := target.writer.Peek(w.now.Add(target.skew))
		action, replies := target.writer.Next(w.now.Add(target.skew))
		if planned != action.Kind {
			w.t.Fatalf("planned call %d, made call %d", planned, action.Kind)
		}
		w.deliver(target, replies)
		if action.Kind != None {
			w.call(n, action)
			return
		}
		if len(replies) == 0 {
			return
		}
	}
}

func (w *world) deliver(target *node, replies []Reply) {
	for _, r := range replies {
		reply := target.waiting[r.Ticket]
		delete(target.waiting, r.Ticket)
		reply(r)
	}
}

// call puts a call of the object API in flight. The writer can see a timeout while the call is
// still under way, and the call can take effect after that.
func (w *world) call(n int, action Action) {
	answered, epoch := false, w.nodes[n].epoch
	result := func(o objects.Object, version uint64, err error) func() {
		return w.nodes[n].during(epoch, func() {
			if answered {
				return
			}
			answered = true
			now := w.now.Add(w.nodes[n].skew)
			var replies []Reply
			var damaged error
			switch action.Kind {
			case Read:
				replies, damaged = w.nodes[n].writer.ReadDone(o, err, now)
			case Write:
				replies = w.nodes[n].writer.WriteDone(version, err, now)
			default:
				w.nodes[n].writer.DeleteDone()
			}
			if damaged != nil {
				w.t.Fatalf("%s is damaged: %v", action.Name, damaged)
			}
			w.deliver(w.nodes[n], replies)
			w.pump(n)
		})
	}
	lost := result(objects.Object{}, 0, fault.New(fault.PlatformUnavailable, "lost").WithWork(fault.Unknown))
	run := func() {
		o, version, err := w.execute(action)
		w.post(event{run: result(o, version, err), lose: func() { w.seen["answer lost"]++; lost() }})
	}
	w.post(event{run: run, lose: lost, unanswers: lost})
}

func (w *world) execute(action Action) (objects.Object, uint64, error) {
	stored, older := w.stored[action.Name], w.older[action.Name]
	switch {
	case w.outage:
		return objects.Object{}, 0, fault.New(fault.PlatformUnavailable, "outage")
	case action.Kind == Read && older.Version != 0 && w.choose(6) == 1:
		return older, 0, nil
	case action.Kind == Read && stored.Version == 0:
		return objects.Object{}, 0, fault.New(fault.NotFound, "absent")
	case action.Kind == Read:
		return stored, 0, nil
	case action.Kind == Delete:
		w.seen["segment deleted"]++
		delete(w.stored, action.Name)
		return objects.Object{}, 0, nil
	case action.IfVersion != stored.Version:
		w.seen["conflict"]++
		return objects.Object{}, 0, fault.New(fault.Conflict, "conflict")
	}
	if action.Name != ObjectName(0) {
		w.seen["segment"]++
	}
	w.version++
	w.older[action.Name] = stored
	w.stored[action.Name] = objects.Object{Version: w.version, Value: action.Value}
	return w.stored[action.Name], w.version, nil
}

// Guards against two runs of one key and against a not_run that ran, over histories of pauses,
// lost answers, crashes, takeovers, repeated messages, stale reads, clock skew and outages.
// The number of histories is set with -rapid.checks.
func TestAtMostOnceExploration(t *testing.T) {
	seen := map[string]int{}
	histories := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 60, 240).Draw(rt, "script")
		newWorld(rt, script, seen).explore()
		histories++
	})
	t.Logf("%d histories: %v", histories, seen)
	for _, must := range []string{"run", "crash", "segment", "segment deleted", "answer lost", "conflict", "backend refused",
		fmt.Sprint("verdict ", int(Recorded)), fmt.Sprint("verdict ", int(InProgress)), fmt.Sprint("verdict ", int(Unknown)),
		fmt.Sprint("verdict ", int(BodyConflict)), fmt.Sprint("verdict ", int(Unavailable))} {
		if seen[must] == 0 {
			t.Errorf("no history reached %q", must)
		}
	}
}
