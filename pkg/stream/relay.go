package stream

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Source opens the streams of one response on engines that it chooses.
type Source interface {
	// Open starts the response, or continues it at from. The error states whether an engine ran the
	// request.
	Open(ctx context.Context, from Position) (engine.Stream, error)
	// Retry reports whether to open another stream after err. It is called after each failure, so
	// the source can exclude the failed engine. delivered is set if the caller has received a chunk.
	Retry(err error, delivered bool) bool
}

// Sink delivers chunks to the caller. It may block while the caller reads slowly, which bounds the
// memory of a stream to one chunk and the socket buffers.
type Sink interface {
	Deliver(chunk engine.Chunk) error
}

// Position is the part of a response that has been delivered to the caller.
type Position struct {
	// NextSeq is the sequence number of the next chunk to deliver.
	NextSeq int
	// Text is the delivered text and Tokens its number of tokens.
	Text   string
	Tokens int
}

// Result summarizes a relayed response.
type Result struct {
	Position
	FinishReason string
	// ReusedTokens and ComputedTokens are the prompt tokens that engines read from their cache and
	// computed, summed over all attempts.
	ReusedTokens   int
	ComputedTokens int
	// Attempts is the number of times that a stream was opened, successfully or not.
	Attempts int
	// ForeignChunks counts the dropped chunks of other requests, RepeatedChunks those that had been
	// delivered before or followed the final chunk.
	ForeignChunks  int
	RepeatedChunks int
}

// sinkError marks an error in the delivery to the caller. A retry on another engine cannot help.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// Relay copies the response to requestID from source to sink until it is complete, the caller has
// disconnected or source allows no further attempt. A nil error means that the final chunk has been
// delivered. Otherwise the Result describes the delivered part.
func Relay(ctx context.Context, requestID string, source Source, sink Sink) (Result, error) {
	r := relay{checker: Checker{RequestID: requestID}, sink: sink}
	for {
		r.result.Attempts++
		err := r.attempt(ctx, source)
		r.result.ForeignChunks = r.checker.Foreign()
		r.result.RepeatedChunks = r.checker.Repeated()
		r.result.Position = r.position()
		if err == nil {
			return r.result, nil
		}
		r.updateWork(err)
		var sinkFailure *sinkError
		if errors.As(err, &sinkFailure) {
			return r.result, sinkFailure.err
		}
		if ctx.Err() != nil || !source.Retry(err, r.checker.Next() > 0) {
			return r.result, r.typedError(err)
		}
	}
}

// relay is the state of one relayed response.
type relay struct {
	checker Checker
	sink    Sink
	text    strings.Builder
	tokens  int
	result  Result
	// work states whether any of the failed attempts ran the request, or may have.
	work fault.Work
}

// updateWork adds the statement of a failed attempt to r.work. That an earlier attempt ran, or may have
// run, the request outweighs a later refusal.
func (r *relay) updateWork(err error) {
	switch work := fault.As(err).Work; {
	case r.checker.Next() > 0:
		r.work = fault.Run
	case r.work == "" || r.work == fault.NotRun || work == fault.Run:
		r.work = work
	}
}

func (r *relay) position() Position {
	return Position{NextSeq: r.checker.Next(), Text: r.text.String(), Tokens: r.tokens}
}

const (
	// firstChunkTimeout is the time after the head of an engine's response in which its first new chunk must arrive: the
	// prompt may wait in the engine's queue.
	firstChunkTimeout = 2 * time.Minute
	// chunkTimeout is the time between two new chunks after which a stream counts as broken. Decode steps take some tens of
	// milliseconds, and the prefills between them a few seconds.
	chunkTimeout = 30 * time.Second
)

// attempt relays one stream. It returns nil only if the final chunk has been delivered.
func (r *relay) attempt(ctx context.Context, source Source) error {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := source.Open(attemptCtx, r.position())
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	stall := newStallTimer(cancel)
	defer stall.stop()
	for !r.checker.Done() {
		chunk, err := s.Next()
		// The time for which the caller blocks a delivery does not count.
		stall.stop()
		switch {
		case err != nil && attemptCtx.Err() != nil && ctx.Err() == nil:
			return errStalled(r.checker.Next())
		case errors.Is(err, io.EOF):
			return errEarlyEnd(r.checker.Next())
		case err != nil:
			return err
		}
		expected := r.checker.Next()
		if err := r.handleChunk(chunk); err != nil {
			return err
		}
		stall.restart(r.checker.Next() > expected)
	}
	return nil
}

// stallTimer cancels an attempt without a new chunk for too long. Chunks that are dropped do not count: an engine could send
// them without end.
type stallTimer struct {
	timer    *time.Timer
	deadline time.Time
}

func newStallTimer(cancel func()) *stallTimer {
	return &stallTimer{timer: time.AfterFunc(firstChunkTimeout, cancel), deadline: time.Now().Add(firstChunkTimeout)}
}

func (s *stallTimer) stop() { s.timer.Stop() }

// restart continues the time, or starts a new one after a new chunk.
func (s *stallTimer) restart(newChunk bool) {
	if newChunk {
		s.deadline = time.Now().Add(chunkTimeout)
	}
	s.timer.Reset(time.Until(s.deadline))
}

// handleChunk verifies a received chunk and delivers it. Chunks that are dropped return no error.
func (r *relay) handleChunk(chunk engine.Chunk) error {
	expected := r.checker.Next()
	switch r.checker.Check(&chunk) {
	case Drop:
		return nil
	case Broken:
		return errGap(expected, chunk.Seq)
	}
	r.text.WriteString(chunk.Text)
	r.tokens += chunk.Tokens
	r.result.ReusedTokens += chunk.ReusedTokens
	r.result.ComputedTokens += chunk.ComputedTokens
	if chunk.Final {
		r.result.FinishReason = chunk.FinishReason
	}
	if err := r.sink.Deliver(chunk); err != nil {
		return &sinkError{err: err}
	}
	return nil
}

// typedError returns err as a typed error whose Work covers all attempts.
func (r *relay) typedError(err error) error {
	var typed *fault.Error
	if !errors.As(err, &typed) {
		typed = fault.Wrap(err, fault.StreamBroken, "answer cut after chunk %d", r.checker.Next()).WithWork(fault.Unknown)
	}
	typed.Work = r.work
	return typed
}
