package claims

import (
	"crypto/sha256"
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
	exploredKeys  = 2
	exploredKeep  = time.Hour
)

// world is one explored history: three nodes, one journal and the messages between them. Every
// choice comes from script, so that rapid can shrink a failure.
type world struct {
	t       *rapid.T
	script  []uint32
	now     time.Time
	outage  bool
	journal objects.Object
	older   objects.Object
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
	w := &world{t: t, script: script, now: time.UnixMilli(1_800_000_000_000), seen: seen}
	for i := range w.nodes {
		w.nodes[i] = &node{skew: time.Duration(i-1) * 2 * time.Minute}
		w.nodes[i].restart()
	}
	return w
}

func (n *node) restart() {
	n.epoch++
	n.writer = NewWriter()
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
			if action.Kind == Read {
				replies, _ = w.nodes[n].writer.ReadDone(o, err, now)
			} else {
				replies = w.nodes[n].writer.WriteDone(version, err, now)
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
	switch {
	case w.outage:
		return objects.Object{}, 0, fault.New(fault.PlatformUnavailable, "outage")
	case action.Kind == Read && w.journal.Version == 0:
		return objects.Object{}, 0, fault.New(fault.NotFound, "absent")
	case action.Kind == Read && w.older.Version != 0 && w.choose(6) == 1:
		return w.older, 0, nil
	case action.Kind == Read:
		return w.journal, 0, nil
	case action.IfVersion != w.journal.Version:
		w.seen["conflict"]++
		return objects.Object{}, 0, fault.New(fault.Conflict, "conflict")
	}
	w.older = w.journal
	w.journal = objects.Object{Version: w.journal.Version + 1, Value: action.Value}
	return w.journal, w.journal.Version, nil
}

// try is one request of a caller at one entry node.
type try struct {
	w       *world
	id      string
	node    int
	epoch   int
	key     int
	attempt *Attempt
	asked   bool
	ran     bool
	notRun  bool
}

// request starts a caller's request, unless the caller's time to retry is over.
func (w *world) request(n, key int, otherBody bool) {
	k := &w.keys[key]
	if k.startAt.IsZero() {
		k.startAt = w.now
	}
	if w.now.Sub(k.startAt) > exploredKeep {
		return
	}
	w.ids++
	body := "body"
	if otherBody {
		body = "other"
	}
	id := fmt.Sprintf("attempt-%d", w.ids)
	op := ClaimOp{Key: Key{31: byte(key)}, Attempt: id, BodyHash: sha256.Sum256([]byte(body)), Keep: exploredKeep, Deadline: 10 * time.Second}
	t := &try{w: w, id: id, node: n, epoch: w.nodes[n].epoch, key: key, attempt: NewAttempt(op, w.now)}
	writer := w.choose(exploredNodes)
	if t.attempt.First(writer == n) == AskLocal {
		t.askLocal()
		return
	}
	t.askWriter(writer)
}

// alive wraps f so that it runs only while the try's entry node has not crashed.
func (t *try) alive(f func()) func() { return t.w.nodes[t.node].during(t.epoch, f) }

func (t *try) askWriter(writer int) {
	w, op := t.w, t.attempt.Op()
	settle := func(r Reply, failed bool) func() {
		return t.alive(func() {
			if t.asked {
				return
			}
			t.asked = true
			if t.attempt.WriterDone(r, failed) == AskLocal {
				t.askLocal()
				return
			}
			t.act()
		})
	}
	failed := settle(Reply{}, true)
	w.post(event{repeat: true, lose: failed, unanswers: failed, run: func() {
		w.submit(writer, Op{Claim: &op}, func(r Reply) {
			w.post(event{run: settle(r, false), lose: failed, repeat: true})
		})
	}})
}

func (t *try) askLocal() {
	op := t.attempt.Op()
	t.w.submit(t.node, Op{Claim: &op}, func(r Reply) {
		t.attempt.LocalDone(r)
		t.act()
	})
}

// act follows the verdict. Sending is an event of its own: the entry may pause before it.
func (t *try) act() {
	if t.attempt.Reply().Verdict == Granted {
		t.w.post(event{run: t.alive(t.send)})
		return
	}
	t.w.seen[fmt.Sprintf("verdict %d", t.attempt.Reply().Verdict)]++
	t.abandonOrReplay()
}

func (t *try) abandonOrReplay() {
	r := t.attempt.Reply()
	switch r.Verdict {
	case Recorded:
		if r.Outcome.State == Completed && string(r.Outcome.Body) != t.w.keys[t.key].ranBy {
			t.w.t.Fatalf("key %d: replayed the outcome %q of a request that %q ran", t.key, r.Outcome.Body, t.w.keys[t.key].ranBy)
		}
	case Granted, Unavailable, Full:
		t.refuse()
	}
}

// refuse answers the caller not_run.
func (t *try) refuse() {
	t.notRun = true
	t.check()
	if t.attempt.Abandon() {
		t.record(Outcome{State: NotSent}, 3)
	}
}

func (t *try) send() {
	if !t.attempt.TakeSend(t.w.now) {
		t.refuse()
		return
	}
	if t.w.choose(5) == 1 {
		t.w.seen["backend refused"]++
		t.notRun = true
		t.record(Outcome{State: NotSent}, 3)
		return
	}
	k := &t.w.keys[t.key]
	k.runs++
	k.ranBy = t.id
	t.ran = true
	t.w.seen["run"]++
	t.check()
	outcome := CompletedOutcome(200, "text/plain", []byte(t.id))
	if t.w.choose(4) == 1 {
		outcome = Outcome{State: UnknownResult}
	}
	t.record(outcome, 3)
}

func (t *try) record(o Outcome, tries int) {
	w := t.w
	op := &RecordOp{Key: t.attempt.Op().Key, Attempt: t.id, Outcome: o}
	w.post(event{repeat: true, run: func() {
		w.submit(w.choose(exploredNodes), Op{Record: op}, func(r Reply) {
			if r.Verdict == Unavailable && tries > 1 {
				t.alive(func() { t.record(o, tries-1) })()
			}
		})
	}})
}

func (t *try) check() {
	if runs := t.w.keys[t.key].runs; runs > 1 {
		t.w.t.Fatalf("key %d ran %d times, last by %s", t.key, runs, t.id)
	}
	if t.ran && t.notRun {
		t.w.t.Fatalf("%s was refused with not_run and ran", t.id)
	}
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
	for _, must := range []string{"run", "crash", "answer lost", "conflict", "backend refused",
		fmt.Sprint("verdict ", int(Recorded)), fmt.Sprint("verdict ", int(InProgress)), fmt.Sprint("verdict ", int(Unknown)),
		fmt.Sprint("verdict ", int(BodyConflict)), fmt.Sprint("verdict ", int(Unavailable))} {
		if seen[must] == 0 {
			t.Errorf("no history reached %q", must)
		}
	}
}
