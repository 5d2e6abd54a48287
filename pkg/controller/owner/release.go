package owner

import (
	"time"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// release applies a progress report and returns the engine's new summary.
func (e *ownedEngine) release(r *peerpb.ReleaseRequest) *peerpb.EngineSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch r.GetStage() {
	case peerpb.ReleaseRequest_FIRST_TOKEN:
		e.handleFirstToken(now, r)
	case peerpb.ReleaseRequest_DONE:
		e.handleDone(now, r)
	case peerpb.ReleaseRequest_RENEW:
		e.queue.Renew(now, r.GetSlot())
	}
	e.grantWaiting(now)
	return e.summary()
}

// handleFirstToken ends the slot's prefill and corrects the index by the number of tokens that the
// engine reused from its cache.
func (e *ownedEngine) handleFirstToken(now time.Time, r *peerpb.ReleaseRequest) {
	id := r.GetSlot()
	if !e.queue.FirstToken(now, id, int(r.GetComputedTokens()), ms(r.GetPrefillMs())) {
		return
	}
	p := e.prefilling[id]
	if p == nil {
		return
	}
	delete(e.prefilling, id)
	reused := 0
	// An engine computes the last token of a prompt even if the whole prompt is cached.
	for reused < len(p.pieceTokens) && p.tokensOfFirst(reused+1) <= int(r.GetReusedTokens())+1 {
		reused++
	}
	e.index.RecordMiss(p.prefixHashes, reused)
	e.index.PrefillEnded(now, id, p.prefixHashes, true)
	e.missingTokensStale = true
}

func (e *ownedEngine) handleDone(now time.Time, r *peerpb.ReleaseRequest) {
	if r.GetRequestId() == "" {
		e.freeSlot(now, r.GetSlot(), r.GetAbandoned(), r.GetFailed())
		return
	}
	e.releaseByRequestID(now, r.GetRequestId())
}

// releaseByRequestID frees what a request still holds after its entry node has cancelled Acquire:
// its position in the queue, or a slot that was granted too late for the reply to be received. Such
// a slot would otherwise block the engine until it expires.
func (e *ownedEngine) releaseByRequestID(now time.Time, requestID string) {
	if p := e.waiting[requestID]; p != nil && e.queue.Cancel(now, requestID) {
		e.replyTo(requestID, &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_DECLINED})
		return
	}
	for id, p := range e.prefilling {
		if p.requestID == requestID {
			e.freeSlot(now, id, true, false)
			return
		}
	}
}

func (e *ownedEngine) freeSlot(now time.Time, id uint64, abandoned, failed bool) {
	e.queue.Done(now, id, abandoned, failed)
	e.endPrefill(id)
}

// endPrefill removes the pending prefill of a slot that will not report a first token.
func (e *ownedEngine) endPrefill(id uint64) {
	p := e.prefilling[id]
	if p == nil {
		return
	}
	delete(e.prefilling, id)
	e.index.PrefillEnded(e.now(), id, p.prefixHashes, false)
	e.missingTokensStale = true
}
