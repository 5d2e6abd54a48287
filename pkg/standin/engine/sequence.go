package enginestandin

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// piece is a run of prompt tokens that is cached as a unit.
type piece struct {
	contentKey contentKey
	routingKey uint64
	tokens     int
}

// phase is the state of a sequence.
type phase int

const (
	queued phase = iota
	prefilling
	decoding
	finished
	cancelled
	// dropped means that a crash ended the sequence.
	dropped
)

// sequence is the state of one request in the engine. Engine.mu guards it.
type sequence struct {
	id            string
	priority      int
	arrival       uint64
	adapter       string
	pieces        []piece
	ledgerRequest *ledgerRequest

	phase phase
	// pinnedBlocks are the cached pieces of the prompt; reserved is the memory set aside for
	// pieces that are not computed yet, in tokens.
	pinnedBlocks []*block
	reserved     int
	// nextPiece indexes the piece in prefill and pieceLeft is the number of its tokens yet to be
	// computed. tailLeft is the number of tokens yet to be computed that are never cached: the
	// text after the last piece and the replayed tokens.
	nextPiece int
	pieceLeft int
	tailLeft  int

	completion  *completion
	chunkTokens int
	nextSeq     int
	// text collects textTokens tokens until they fill a chunk.
	text       []byte
	textTokens int
	// chunks are all chunks of this execution; the first has the sequence number firstSeq.
	chunks   []engine.Chunk
	firstSeq int
	// wake is signalled when a chunk is added or the sequence ends. Its capacity is 1.
	wake chan struct{}
	// currentReader is the id of the latest responseReader, the only one that may read the
	// sequence. Ids count the responses from 0.
	currentReader int
	detachedAt    time.Time

	execution Execution
}

// prefillLeft returns the number of tokens that prefill has yet to compute.
func (s *sequence) prefillLeft() int {
	left := s.tailLeft + s.pieceLeft
	for i := s.nextPiece + 1; i < len(s.pieces); i++ {
		left += s.pieces[i].tokens
	}
	return left
}

func (s *sequence) ended() bool { return s.phase >= finished }

func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// decodeOne generates one token and emits a chunk when it is full. The first token of an execution
// is a chunk of its own, so that the client receives it immediately.
func (s *sequence) decodeOne(now time.Time) {
	s.text = append(s.text, s.completion.next()...)
	s.textTokens++
	s.execution.DecodedTokens++
	first := len(s.chunks) == 0
	if first {
		s.execution.FirstTokenAt = now
	}
	last := s.completion.done()
	if first || last || s.textTokens >= s.chunkTokens {
		s.emit(last)
	}
	if last {
		s.phase = finished
	}
}

func (s *sequence) emit(last bool) {
	c := engine.Chunk{RequestID: s.id, Seq: s.nextSeq, Text: string(s.text), Tokens: s.textTokens}
	if last {
		c.Final = true
		c.FinishReason = s.completion.finishReason
	}
	s.nextSeq++
	s.text = s.text[:0]
	s.textTokens = 0
	s.chunks = append(s.chunks, c)
	s.signal()
}
