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
	// preferredWriterDone is set when the preferred writer has replied or failed.
	preferredWriterDone bool
	executed            bool
	// notRun is set when the response to the caller states that the request was not executed.
	notRun bool
}

// request starts a caller's request, unless the retention of its key is over.
func (sim *simulation) request(n, key int, otherBody bool) {
	k := &sim.keys[key]
	if k.firstAt.IsZero() {
		k.firstAt = sim.now
	}
	if sim.now.Sub(k.firstAt) > simulatedRetention {
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

// whileNodeUp wraps f so that it has no effect after the entry node has crashed.
func (req *clientRequest) whileNodeUp(f func()) func() {
	return req.sim.nodes[req.node].ifInEpoch(req.epoch, f)
}

func (req *clientRequest) claimAtPreferredWriter(writer int) {
	sim, op := req.sim, req.attempt.Op()
	done := func(r Reply, failed bool) func() {
		return req.whileNodeUp(func() {
			if req.preferredWriterDone {
				return
			}
			req.preferredWriterDone = true
			if req.attempt.PreferredWriterDone(r, failed) == ClaimAtLocalWriter {
				req.claimAtLocalWriter()
				return
			}
			req.followVerdict()
		})
	}
	failed := done(Reply{}, true)
	sim.schedule(event{repeat: true, drop: failed, timeOut: failed, run: func() {
		sim.submit(writer, Op{Claim: &op}, func(r Reply) {
			sim.schedule(event{run: done(r, false), drop: failed, repeat: true})
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

// followVerdict acts on the verdict. Sending is an event of its own, because the entry node may pause
// before it.
func (req *clientRequest) followVerdict() {
	if req.attempt.Reply().Verdict == Granted {
		req.sim.schedule(event{run: req.whileNodeUp(req.send)})
		return
	}
	req.sim.counts[fmt.Sprintf("verdict %d", req.attempt.Reply().Verdict)]++
	req.respond()
}

// respond responds to the caller without sending.
func (req *clientRequest) respond() {
	r := req.attempt.Reply()
	switch r.Verdict {
	case Recorded:
		if r.Outcome.State == Completed && string(r.Outcome.Body) != req.sim.keys[req.key].executedBy {
			req.sim.t.Fatalf("key %d: replayed the outcome %q of a request that %q executed", req.key, r.Outcome.Body, req.sim.keys[req.key].executedBy)
		}
	case Granted, Unavailable, Full:
		req.refuse()
	}
}

// refuse reports not_run to the caller.
func (req *clientRequest) refuse() {
	req.notRun = true
	req.checkInvariants()
	if req.attempt.Abandon() {
		req.record(Outcome{State: NotSent}, 3)
	}
}

// send lets the backend server refuse or execute the request and records the outcome.
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
	k.executions++
	k.executedBy = req.id
	req.executed = true
	req.sim.counts["executed"]++
	req.checkInvariants()
	outcome := CompletedOutcome(200, "text/plain", []byte(req.id))
	if req.sim.choose(4) == 1 {
		outcome = Outcome{State: UnknownResult}
	}
	req.record(outcome, 3)
}

// record submits the outcome to any writer, at most tries times.
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

func (req *clientRequest) checkInvariants() {
	if executions := req.sim.keys[req.key].executions; executions > 1 {
		req.sim.t.Fatalf("key %d was executed %d times, last by %s", req.key, executions, req.id)
	}
	if req.executed && req.notRun {
		req.sim.t.Fatalf("%s was reported as not_run and was executed", req.id)
	}
}
