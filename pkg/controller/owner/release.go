package owner

import (
	"time"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

func (e *owned) release(r *peerpb.ReleaseRequest) *peerpb.EngineSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch r.GetStage() {
	case peerpb.ReleaseRequest_FIRST_TOKEN:
		e.firstToken(now, r)
	case peerpb.ReleaseRequest_DONE:
		e.done(now, r)
	case peerpb.ReleaseRequest_RENEW:
		e.queue.Renew(now, r.GetSlot())
	}
	e.pump(now)
	return e.summary()
}

func (e *owned) firstToken(now time.Time, r *peerpb.ReleaseRequest) {
	id := r.GetSlot()
	if !e.queue.FirstToken(now, id, int(r.GetComputedTokens()), ms(r.GetPrefillMs())) {
		return
	}
	c := e.bySlot[id]
	if c == nil {
		return
	}
	delete(e.bySlot, id)
	reused := 0
	// An engine computes the last token of a prompt even if all of it is cached.
	for reused < len(c.tokens) && c.first(reused+1) <= int(r.GetReusedTokens())+1 {
		reused++
	}
	e.index.RecordMiss(c.keys, reused)
	e.index.PrefillEnded(now, id, c.keys, true)
	e.dirty = true
}

func (e *owned) done(now time.Time, r *peerpb.ReleaseRequest) {
	if r.GetRequestId() == "" {
		e.freeSlot(now, r.GetSlot(), r.GetAbandoned(), r.GetFailed())
		return
	}
	e.drop(now, r.GetRequestId())
}

// drop frees what a request holds whose entry gave up on Acquire: its place in the queue, or a slot
// that was granted while the entry no longer listened. Such a slot would otherwise block the
// engine until it expires.
func (e *owned) drop(now time.Time, requestID string) {
	if c := e.chains[requestID]; c != nil && e.queue.Cancel(now, requestID) {
		e.finish(requestID, &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_DECLINED})
		return
	}
	for id, c := range e.bySlot {
		if c.request == requestID {
			e.freeSlot(now, id, true, false)
			return
		}
	}
}

func (e *owned) freeSlot(now time.Time, id uint64, abandoned, failed bool) {
	e.queue.Done(now, id, abandoned, failed)
	e.endPrefill(id)
}

// endPrefill ends the pending prefill of a slot that will not report a first token.
func (e *owned) endPrefill(id uint64) {
	c := e.bySlot[id]
	if c == nil {
		return
	}
	delete(e.bySlot, id)
	e.index.PrefillEnded(e.now(), id, c.keys, false)
	e.dirty = true
}
