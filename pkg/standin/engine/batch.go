package enginestandin

import (
	"container/heap"
	"time"
)

// batch models continuous batching: it runs sequences in steps, and a step combines the prefill of
// some sequences with one token of each decoding sequence, so that prefill and decode slow each
// other down. The caller supplies the current time.
type batch struct {
	config  *Config
	cache   *blockCache
	waiting waitingQueue
	running []*sequence
}

// sequenceWork is the part of one batch step that belongs to one sequence.
type sequenceWork struct {
	sequence      *sequence
	prefillTokens int
	decode        bool
}

// plan admits waiting sequences and returns the work of the next step and its duration. It returns
// no work if the batch is idle.
func (b *batch) plan(now time.Time) ([]sequenceWork, time.Duration) {
	b.admit(now)
	prefillBudget := b.config.StepPrefillTokens
	prefillTokens, decodeCount := 0, 0
	work := make([]sequenceWork, 0, len(b.running))
	for _, s := range b.running {
		if s.phase == decoding {
			work = append(work, sequenceWork{sequence: s, decode: true})
			decodeCount++
			continue
		}
		n := min(s.prefillLeft(), prefillBudget)
		if n == 0 {
			continue
		}
		prefillBudget -= n
		prefillTokens += n
		work = append(work, sequenceWork{sequence: s, prefillTokens: n})
	}
	if len(work) == 0 {
		return nil, 0
	}
	duration := b.config.StepTime + time.Duration(decodeCount)*b.config.DecodeTime
	duration += time.Duration(float64(prefillTokens) / b.config.PrefillTokensPerSecond * float64(time.Second))
	return work, duration
}

// admit moves waiting sequences into the batch while slots and cache memory are available. An
// empty batch admits the first sequence even if its prompt exceeds the cache, which would
// otherwise block the queue forever.
func (b *batch) admit(now time.Time) {
	for len(b.running) < b.config.MaxBatch && len(b.waiting) > 0 {
		s := b.waiting[0]
		matched := b.cache.match(s.pieces)
		if len(b.running) > 0 && b.exceedsMemory(s, matched) {
			return
		}
		heap.Pop(&b.waiting)
		b.startPrefill(s, matched, now)
	}
}

// exceedsMemory reports whether the pieces of s need more memory than is available. A matched block
// that no running sequence uses counts as needed, because pinning it reduces the available memory.
func (b *batch) exceedsMemory(s *sequence, matched int) bool {
	needed := 0
	for i, p := range s.pieces {
		if i >= matched || b.cache.blocks[p.contentKey].users == 0 {
			needed += p.tokens
		}
	}
	return needed > b.cache.available()
}

func (b *batch) startPrefill(s *sequence, matched int, now time.Time) {
	for _, p := range s.pieces[:matched] {
		block := b.cache.blocks[p.contentKey]
		b.cache.pin(block)
		s.pinnedBlocks = append(s.pinnedBlocks, block)
		s.execution.ReusedTokens += p.tokens
	}
	for _, p := range s.pieces[matched:] {
		s.reserved += p.tokens
	}
	b.cache.reserve(s.reserved)
	s.nextPiece = matched
	if matched < len(s.pieces) {
		s.pieceLeft = s.pieces[matched].tokens
	}
	if s.prefillLeft() == 0 {
		// The cache does not hold the logits of the last prompt token, so that a fully cached
		// prompt still computes one token.
		s.tailLeft = 1
		s.execution.ReusedTokens = max(0, s.execution.ReusedTokens-1)
	}
	s.phase = prefilling
	s.execution.StartedAt = now
	b.running = append(b.running, s)
}

// apply records the work of a step that ended at now. It returns the tokens spent on sequences
// that were cancelled during the step.
func (b *batch) apply(work []sequenceWork, now time.Time, ledger *Ledger) (cancelledWork Counters) {
	for _, item := range work {
		s := item.sequence
		if s.ended() {
			cancelledWork.addCancelled(&item, ledger)
			continue
		}
		if item.prefillTokens > 0 {
			b.prefill(s, item.prefillTokens, ledger)
		}
		if !item.decode && s.prefillLeft() > 0 {
			continue
		}
		s.phase = decoding
		ledger.recordDecode(s.ledgerRequest)
		s.decodeOne(now)
	}
	b.removeEnded()
	return cancelledWork
}

// addCancelled counts the work of a step for a sequence that was cancelled during the step.
func (c *Counters) addCancelled(item *sequenceWork, ledger *Ledger) {
	c.ComputedTokens += item.prefillTokens
	c.CancelledTokens += item.prefillTokens
	if item.decode {
		c.DecodedTokens++
		c.CancelledTokens++
		ledger.recordDecode(item.sequence.ledgerRequest)
	}
	ledger.recordPrefill(item.sequence.ledgerRequest, item.prefillTokens)
}

// prefill computes n prompt tokens of s and caches each piece that this completes.
func (b *batch) prefill(s *sequence, n int, ledger *Ledger) {
	s.execution.ComputedTokens += n
	ledger.recordPrefill(s.ledgerRequest, n)
	for n > 0 && s.nextPiece < len(s.pieces) {
		part := min(n, s.pieceLeft)
		s.pieceLeft -= part
		n -= part
		if s.pieceLeft > 0 {
			return
		}
		b.storeNextPiece(s, ledger)
	}
	s.tailLeft -= min(n, s.tailLeft)
}

func (b *batch) storeNextPiece(s *sequence, ledger *Ledger) {
	p := &s.pieces[s.nextPiece]
	ledger.recordComputedPiece(p)
	s.pinnedBlocks = append(s.pinnedBlocks, b.cache.store(p, s.adapter))
	s.reserved -= p.tokens
	s.nextPiece++
	if s.nextPiece < len(s.pieces) {
		s.pieceLeft = s.pieces[s.nextPiece].tokens
	}
}

// removeEnded removes ended sequences from the batch and releases their memory.
func (b *batch) removeEnded() {
	active := b.running[:0]
	for _, s := range b.running {
		if !s.ended() {
			active = append(active, s)
			continue
		}
		b.releaseMemory(s)
	}
	clear(b.running[len(active):])
	b.running = active
}

func (b *batch) releaseMemory(s *sequence) {
	b.cache.release(s.reserved)
	s.reserved = 0
	b.cache.unpin(s.pinnedBlocks)
	s.pinnedBlocks = nil
}

// remove removes an ended sequence from the queue or, together with all other ended sequences, from
// the batch.
func (b *batch) remove(s *sequence) {
	for i, waiting := range b.waiting {
		if waiting == s {
			heap.Remove(&b.waiting, i)
			return
		}
	}
	b.removeEnded()
}

// backlogTokens returns the prompt tokens that all sequences have yet to compute. Waiting sequences
// count in full, because their cache hits are determined at admission.
func (b *batch) backlogTokens() int {
	sum := 0
	for _, s := range b.waiting {
		sum += s.tailLeft
		for _, p := range s.pieces {
			sum += p.tokens
		}
	}
	for _, s := range b.running {
		if s.phase == prefilling {
			sum += s.prefillLeft()
		}
	}
	return sum
}

// waitingQueue is a heap of sequences, ordered by descending priority and then by arrival.
type waitingQueue []*sequence

func (q waitingQueue) Len() int { return len(q) }
func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waitingQueue) Push(x any)   { *q = append(*q, x.(*sequence)) }
func (q *waitingQueue) Pop() any {
	queue := *q
	last := queue[len(queue)-1]
	queue[len(queue)-1] = nil
	*q = queue[:len(queue)-1]
	return last
}
