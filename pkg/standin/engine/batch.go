package enginestandin

import (
	"container/heap"
	"time"
)

// batch runs sequences in steps. A step mixes prefill of some requests and one token of each
// decoding request, so prefill and decode slow each other. It reads no clock.
type batch struct {
	config  *Config
	cache   *blockCache
	waiting waitingQueue
	running []*sequence
}

// share is what one step does for a sequence.
type share struct {
	s       *sequence
	prefill int
	decode  bool
}

// plan admits waiting sequences and returns the work of the next step and its duration. No work
// means that the batch is idle.
func (b *batch) plan(now time.Time) ([]share, time.Duration) {
	b.admit(now)
	budget := b.config.StepPrefillTokens
	prefill, decodes := 0, 0
	work := make([]share, 0, len(b.running))
	for _, s := range b.running {
		if s.phase == decoding {
			work = append(work, share{s: s, decode: true})
			decodes++
			continue
		}
		n := min(s.prefillLeft(), budget)
		if n == 0 {
			continue
		}
		budget -= n
		prefill += n
		work = append(work, share{s: s, prefill: n})
	}
	if len(work) == 0 {
		return nil, 0
	}
	d := b.config.StepTime + time.Duration(decodes)*b.config.DecodeTime
	d += time.Duration(float64(prefill) / b.config.PrefillTokensPerSecond * float64(time.Second))
	return work, d
}

// admit moves sequences into the batch while slots and cache memory last. The first sequence
// of an empty batch always gets in, even if its prompt exceeds the cache.
func (b *batch) admit(now time.Time) {
	for len(b.running) < b.config.MaxBatch && len(b.waiting) > 0 {
		s := b.waiting[0]
		matched := b.cache.match(s.pieces)
		if len(b.running) > 0 && b.shortOfMemory(s, matched) {
			return
		}
		heap.Pop(&b.waiting)
		b.start(s, matched, now)
	}
}

// shortOfMemory reports whether the pieces of s do not fit. Matched blocks without users count,
// because pinning them takes them from the available ones.
func (b *batch) shortOfMemory(s *sequence, matched int) bool {
	need := 0
	for i, p := range s.pieces {
		if i >= matched || b.cache.blocks[p.content].users == 0 {
			need += p.tokens
		}
	}
	return need > b.cache.available()
}

func (b *batch) start(s *sequence, matched int, now time.Time) {
	for _, p := range s.pieces[:matched] {
		known := b.cache.blocks[p.content]
		b.cache.pin(known)
		s.chain = append(s.chain, known)
		s.run.ReusedTokens += p.tokens
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
		// The logits of the last prompt token are not cached, so one token is computed.
		s.tailLeft = 1
		s.run.ReusedTokens = max(0, s.run.ReusedTokens-1)
	}
	s.phase = prefilling
	s.run.StartedAt = now
	b.running = append(b.running, s)
}

// apply books the work of a step that ended at now. It returns the tokens spent on sequences
// that ended during the step.
func (b *batch) apply(work []share, now time.Time, ledger *Ledger) (late Counters) {
	for _, w := range work {
		s := w.s
		if s.ended() {
			late.addLate(&w, ledger)
			continue
		}
		if w.prefill > 0 {
			b.prefill(s, w.prefill, ledger)
		}
		if !w.decode && s.prefillLeft() > 0 {
			continue
		}
		s.phase = decoding
		ledger.decoded(s.mark)
		s.decodeOne(now)
	}
	b.retire()
	return late
}

// addLate books a share of a step whose sequence was cancelled during the step.
func (c *Counters) addLate(w *share, ledger *Ledger) {
	c.ComputedTokens += w.prefill
	c.CancelledTokens += w.prefill
	if w.decode {
		c.DecodedTokens++
		c.CancelledTokens++
		ledger.decoded(w.s.mark)
	}
	ledger.prefilled(w.s.mark, w.prefill)
}

// prefill computes n tokens of s and stores the pieces that are complete.
func (b *batch) prefill(s *sequence, n int, ledger *Ledger) {
	s.run.ComputedTokens += n
	ledger.prefilled(s.mark, n)
	for n > 0 && s.nextPiece < len(s.pieces) {
		part := min(n, s.pieceLeft)
		s.pieceLeft -= part
		n -= part
		if s.pieceLeft > 0 {
			return
		}
		b.storePiece(s, ledger)
	}
	s.tailLeft -= min(n, s.tailLeft)
}

func (b *batch) storePiece(s *sequence, ledger *Ledger) {
	p := &s.pieces[s.nextPiece]
	ledger.stored(p)
	s.chain = append(s.chain, b.cache.store(p, s.adapter))
	s.reserved -= p.tokens
	s.nextPiece++
	if s.nextPiece < len(s.pieces) {
		s.pieceLeft = s.pieces[s.nextPiece].tokens
	}
}

// retire removes ended sequences from the batch.
func (b *batch) retire() {
	kept := b.running[:0]
	for _, s := range b.running {
		if !s.ended() {
			kept = append(kept, s)
			continue
		}
		b.free(s)
	}
	clear(b.running[len(kept):])
	b.running = kept
}

func (b *batch) free(s *sequence) {
	b.cache.release(s.reserved)
	s.reserved = 0
	b.cache.unpin(s.chain)
	s.chain = nil
}

// remove takes a waiting or running sequence out at once.
func (b *batch) remove(s *sequence) {
	for i, w := range b.waiting {
		if w == s {
			heap.Remove(&b.waiting, i)
			return
		}
	}
	b.retire()
}

// backlog returns the prefill tokens that all sequences still need.
func (b *batch) backlog() int {
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

// waitingQueue orders sequences by priority, then by arrival.
type waitingQueue []*sequence

func (q waitingQueue) Len() int { return len(q) }
func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].order < q[j].order
}
func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waitingQueue) Push(x any)   { *q = append(*q, x.(*sequence)) }
func (q *waitingQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
