package enginestandin

import (
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
)

// piece is one piece of a prompt as the engine cuts it.
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
	// dropped sequences were lost in a crash.
	dropped
)

// sequence is one request in the engine. The engine's mutex guards it.
type sequence struct {
	id            string
	priority      int
	arrival       uint64
	adapter       string
	pieces        []piece
	ledgerRequest *ledgerRequest

	phase phase
	// chain holds the pinned blocks; reserved is the memory still to be filled, in tokens.
	pinnedBlocks []*block
	reserved     int
	// pieceLeft is the prefill left in piece nextPiece, tailLeft the prefill of the replay.
	nextPiece int
	pieceLeft int
	tailLeft  int

	completion  *completion
	chunkTokens int
	nextSeq     int
	// text collects tokens until they make a chunk.
	text       []byte
	textTokens int
	// out holds all chunks of this execution, which starts at sequence number firstSeq.
	chunks   []engine.Chunk
	firstSeq int
	// wake is signalled when out grows or the phase ends. It has room for one signal.
	wake chan struct{}
	// reader numbers the responses that read this sequence; only the latest one counts.
	currentReader int
	detachedAt    time.Time

	execution Execution
}

// prefillLeft returns the tokens that prefill must still compute.
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

// decodeOne appends one token and emits a chunk when one is full. The first token of an
// execution makes a chunk of its own, so that it reaches the caller at once.
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
