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
	simulatedNodes     = 3
	simulatedKeys      = 3
	simulatedRetention = time.Hour
)

// simulation is one generated history of three nodes, one journal and the messages between them. Every
// choice is read from script, so that rapid can shrink a failing history.
type simulation struct {
	t      *rapid.T
	script []uint32
	now    time.Time
	outage bool
	// stored are the objects by name; previous are their values before the last write, for stale
	// reads.
	stored   map[string]objects.Object
	previous map[string]objects.Object
	version  uint64
	nodes    [simulatedNodes]*node
	pending  []event
	keys     [simulatedKeys]keyState
	ids      int
	// counts is the number of times that each kind of event occurred, over all histories.
	counts map[string]int
}

// keyState is what the backend server observed of one key.
type keyState struct {
	executions int
	executedBy string
	// firstAt is the time of the caller's first request.
	firstAt time.Time
}

type node struct {
	// epoch counts the starts of the node's process.
	epoch  int
	skew   time.Duration
	writer *Writer
	// waiting are the handlers of outstanding replies by ticket.
	waiting map[uint64]func(Reply)
}

// event is a message or a call in flight.
type event struct {
	// run delivers the event.
	run func()
	// drop is called if the event is lost, if it is not nil.
	drop func()
	// repeat is set if the event may be delivered more than once.
	repeat bool
	// timeOut makes the sender time out while the event stays in flight, if it is not nil.
	timeOut func()
}

func newSimulation(t *rapid.T, script []uint32, counts map[string]int) *simulation {
	sim := &simulation{t: t, script: script, stored: map[string]objects.Object{}, previous: map[string]objects.Object{}, now: time.UnixMilli(1_800_000_000_000), counts: counts}
	for i := range sim.nodes {
		sim.nodes[i] = &node{skew: time.Duration(i-1) * 2 * time.Minute}
		sim.nodes[i].restart()
	}
	return sim
}

func (n *node) restart() {
	n.epoch++
	n.writer = NewWriter(0)
	// Claims move to segments at the first opportunity.
	n.writer.sealBytes, n.writer.sealAge = 1, 0
	n.waiting = map[uint64]func(Reply){}
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

func (sim *simulation) schedule(e event) { sim.pending = append(sim.pending, e) }

func (sim *simulation) removeEvent(i int) event {
	e := sim.pending[i]
	sim.pending = append(sim.pending[:i:i], sim.pending[i+1:]...)
	return e
}

// ifInEpoch wraps f so that it has no effect after the node has crashed.
func (n *node) ifInEpoch(epoch int, f func()) func() {
	return func() {
		if n.epoch == epoch {
			f()
		}
	}
}

// run follows the script, and then delivers the pending events without further faults.
func (sim *simulation) run() {
	for len(sim.script) > 0 {
		sim.step()
	}
	sim.outage = false
	for range 400 {
		if len(sim.pending) == 0 {
			return
		}
		sim.removeEvent(0).run()
	}
}

func (sim *simulation) step() {
	action := sim.choose(20)
	if len(sim.pending) == 0 && action < 13 {
		action = 13
	}
	switch {
	case action < 10:
		sim.removeEvent(sim.choose(len(sim.pending))).run()
	case action == 10:
		if e := sim.removeEvent(sim.choose(len(sim.pending))); e.drop != nil {
			e.drop()
		}
	case action == 11:
		if e := sim.pending[sim.choose(len(sim.pending))]; e.repeat {
			e.run()
		}
	case action == 12:
		if e := sim.pending[sim.choose(len(sim.pending))]; e.timeOut != nil {
			e.timeOut()
		}
	case action <= 15:
		sim.request(sim.choose(simulatedNodes), sim.choose(simulatedKeys), sim.choose(8) == 0)
	case action == 16:
		sim.nodes[sim.choose(simulatedNodes)].restart()
		sim.counts["crash"]++
	case action == 17:
		sim.outage = !sim.outage
	default:
		jumps := []time.Duration{time.Millisecond, 600 * time.Millisecond, 20 * time.Second, 40 * time.Second, 25 * time.Minute, 2 * time.Hour}
		sim.now = sim.now.Add(jumps[sim.choose(len(jumps))])
	}
}

// submit passes op to a node's writer. reply is called once, or never if the node crashes first.
func (sim *simulation) submit(n int, op Op, reply func(Reply)) {
	sim.ids++
	op.Ticket = uint64(sim.ids)
	target := sim.nodes[n]
	if r, ok := target.writer.Submit(op, sim.now.Add(target.skew)); ok {
		reply(r)
		return
	}
	target.waiting[op.Ticket] = reply
	sim.startNextCall(n)
}

// startNextCall delivers a writer's replies and puts its next call in flight.
func (sim *simulation) startNextCall(n int) {
	target := sim.nodes[n]
	for {
		planned := target.writer.Peek(sim.now.Add(target.skew))
		action, replies := target.writer.Next(sim.now.Add(target.skew))
		if planned != action.Kind {
			sim.t.Fatalf("Peek returned action kind %d, Next returned %d", planned, action.Kind)
		}
		sim.deliver(target, replies)
		if action.Kind != None {
			sim.startCall(n, action)
			return
		}
		if len(replies) == 0 {
			return
		}
	}
}

func (sim *simulation) deliver(target *node, replies []Reply) {
	for _, r := range replies {
		reply := target.waiting[r.Ticket]
		delete(target.waiting, r.Ticket)
		reply(r)
	}
}

// startCall puts a call of the object API in flight. The writer can time out while the call is still in
// progress, and the call can take effect after that.
func (sim *simulation) startCall(n int, action Action) {
	responded, epoch := false, sim.nodes[n].epoch
	result := func(o objects.Object, version uint64, err error) func() {
		return sim.nodes[n].ifInEpoch(epoch, func() {
			if responded {
				return
			}
			responded = true
			now := sim.now.Add(sim.nodes[n].skew)
			var replies []Reply
			var damaged error
			switch action.Kind {
			case Read:
				replies, damaged = sim.nodes[n].writer.ReadDone(o, err, now)
			case Write:
				replies = sim.nodes[n].writer.WriteDone(version, err, now)
			default:
				sim.nodes[n].writer.DeleteDone()
			}
			if damaged != nil {
				sim.t.Fatalf("%s is damaged: %v", action.Name, damaged)
			}
			sim.deliver(sim.nodes[n], replies)
			sim.startNextCall(n)
		})
	}
	lost := result(objects.Object{}, 0, fault.New(fault.PlatformUnavailable, "response lost").WithWork(fault.Unknown))
	run := func() {
		o, version, err := sim.execute(action)
		sim.schedule(event{run: result(o, version, err), drop: func() { sim.counts["response lost"]++; lost() }})
	}
	sim.schedule(event{run: run, drop: lost, timeOut: lost})
}

func (sim *simulation) execute(action Action) (objects.Object, uint64, error) {
	stored, previous := sim.stored[action.Name], sim.previous[action.Name]
	switch {
	case sim.outage:
		return objects.Object{}, 0, fault.New(fault.PlatformUnavailable, "outage")
	case action.Kind == Read && previous.Version != 0 && sim.choose(6) == 1:
		return previous, 0, nil
	case action.Kind == Read && stored.Version == 0:
		return objects.Object{}, 0, fault.New(fault.NotFound, "absent")
	case action.Kind == Read:
		return stored, 0, nil
	case action.Kind == Delete:
		sim.counts["segment deleted"]++
		delete(sim.stored, action.Name)
		return objects.Object{}, 0, nil
	case action.IfVersion != stored.Version:
		sim.counts["conflict"]++
		return objects.Object{}, 0, fault.New(fault.Conflict, "conflict")
	}
	if action.Name != ObjectName(0) {
		sim.counts["segment"]++
	}
	sim.version++
	sim.previous[action.Name] = stored
	sim.stored[action.Name] = objects.Object{Version: sim.version, Value: action.Value}
	return sim.stored[action.Name], sim.version, nil
}

// Guards against executing the request of one key twice, and against reporting not_run for an executed
// request. The generated histories contain pauses, lost responses, crashes, takeovers, duplicated
// messages, stale reads, clock skew and outages. -rapid.checks sets their number.
func TestAtMostOnceUnderFaults(t *testing.T) {
	counts := map[string]int{}
	histories := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Uint32Range(0, math.MaxUint16), 60, 240).Draw(rt, "script")
		newSimulation(rt, script, counts).run()
		histories++
	})
	t.Logf("%d histories: %v", histories, counts)
	for _, required := range []string{"executed", "crash", "segment", "segment deleted", "response lost", "conflict", "backend refused",
		fmt.Sprint("verdict ", int(Recorded)), fmt.Sprint("verdict ", int(InProgress)), fmt.Sprint("verdict ", int(Unknown)),
		fmt.Sprint("verdict ", int(BodyConflict)), fmt.Sprint("verdict ", int(Unavailable))} {
		if counts[required] == 0 {
			t.Errorf("no history reached %q", required)
		}
	}
}
