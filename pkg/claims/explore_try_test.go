package claims

import (
	"crypto/sha256"
	"fmt"
	"time"
)

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
