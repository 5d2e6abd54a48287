package claims

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// clientRequest is one request of a caller at one entry node.
type clientRequest struct {
	sim     *simulation
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
func (sim *simulation) request(n, key int, otherBody bool) {
	k := &sim.keys[key]
	if k.startAt.IsZero() {
		k.startAt = sim.now
	}
	if sim.now.Sub(k.startAt) > simulatedRetention {
		return
	}
	sim.ids++
	body := "body"
	if otherBody {
		body = "other"
	}
	id := fmt.Sprintf("attempt-%d", sim.ids)
	op := ClaimOp{Key: Key{31: byte(key)}, Attempt: id, BodyHash: sha256.Sum256([]byte(body)), Retention: simulatedRetention, Deadline: 10 * time.Second}
	req := &clientRequest{sim: sim, id: id, node: n, epoch: sim.nodes[n].epoch, key: key, attempt: NewAttempt(op, sim.now)}
	writer := sim.choose(simulatedNodes)
	if req.attempt.FirstStep(writer == n) == ClaimAtLocalWriter {
		req.claimAtLocalWriter()
		return
	}
	req.claimAtPreferredWriter(writer)
}

// whileNodeUp wraps f so that it runs only while the try's entry node has not crashed.
func (req *clientRequest) whileNodeUp(f func()) func() {
	return req.sim.nodes[req.node].ifInEpoch(req.epoch, f)
}

func (req *clientRequest) claimAtPreferredWriter(writer int) {
	sim, op := req.sim, req.attempt.Op()
	settle := func(r Reply, failed bool) func() {
		return req.whileNodeUp(func() {
			if req.asked {
				return
			}
			req.asked = true
			if req.attempt.PreferredWriterDone(r, failed) == ClaimAtLocalWriter {
				req.claimAtLocalWriter()
				return
			}
			req.followVerdict()
		})
	}
	failed := settle(Reply{}, true)
	sim.schedule(event{repeat: true, drop: failed, timeOut: failed, run: func() {
		sim.submit(writer, Op{Claim: &op}, func(r Reply) {
			sim.schedule(event{run: settle(r, false), drop: failed, repeat: true})
		})
	}})
}

func (req *clientRequest) claimAtLocalWriter() {
	op := req.attempt.Op()
	req.sim.submit(req.node, Op{Claim: &op}, func(r Reply) {
		req.attempt.LocalWriterDone(r)
		req.followVerdict()
	})
}

// followVerdict follows the verdict. Sending is an event of its own: the entry may pause before it.
func (req *clientRequest) followVerdict() {
	if req.attempt.Reply().Verdict == Granted {
		req.sim.schedule(event{run: req.whileNodeUp(req.send)})
		return
	}
	req.sim.counts[fmt.Sprintf("verdict %d", req.attempt.Reply().Verdict)]++
	req.abandonOrReplay()
}

func (req *clientRequest) abandonOrReplay() {
	r := req.attempt.Reply()
	switch r.Verdict {
	case Recorded:
		if r.Outcome.State == Completed && string(r.Outcome.Body) != req.sim.keys[req.key].ranBy {
			req.sim.t.Fatalf("key %d: replayed the outcome %q of a request that %q ran", req.key, r.Outcome.Body, req.sim.keys[req.key].ranBy)
		}
	case Granted, Unavailable, Full:
		req.refuse()
	}
}

// refuse answers the caller not_run.
func (req *clientRequest) refuse() {
	req.notRun = true
	req.check()
	if req.attempt.Abandon() {
		req.record(Outcome{State: NotSent}, 3)
	}
}

func (req *clientRequest) send() {
	if !req.attempt.AuthorizeSend(req.sim.now) {
		req.refuse()
		return
	}
	if req.sim.choose(5) == 1 {
		req.sim.counts["backend refused"]++
		req.notRun = true
		req.record(Outcome{State: NotSent}, 3)
		return
	}
	k := &req.sim.keys[req.key]
	k.runs++
	k.ranBy = req.id
	req.ran = true
	req.sim.counts["run"]++
	req.check()
	outcome := CompletedOutcome(200, "text/plain", []byte(req.id))
	if req.sim.choose(4) == 1 {
		outcome = Outcome{State: UnknownResult}
	}
	req.record(outcome, 3)
}

func (req *clientRequest) record(o Outcome, tries int) {
	sim := req.sim
	op := &RecordOp{Key: req.attempt.Op().Key, Attempt: req.id, Outcome: o}
	sim.schedule(event{repeat: true, run: func() {
		sim.submit(sim.choose(simulatedNodes), Op{Record: op}, func(r Reply) {
			if r.Verdict == Unavailable && tries > 1 {
				req.whileNodeUp(func() { req.record(o, tries-1) })()
			}
		})
	}})
}

func (req *clientRequest) check() {
	if runs := req.sim.keys[req.key].runs; runs > 1 {
		req.sim.t.Fatalf("key %d ran %d times, last by %s", req.key, runs, req.id)
	}
	if req.ran && req.notRun {
		req.sim.t.Fatalf("%s was refused with not_run and ran", req.id)
	}
}
