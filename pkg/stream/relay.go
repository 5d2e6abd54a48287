package stream

import (
	"context"
	"errors"
	"io"
	"strings"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// Source starts streams of one answer on engines that it chooses.
type Source interface {
	// Open starts or continues the answer at from. The error says whether the work was run.
	Open(ctx context.Context, from Position) (engine.Stream, error)
	// Retry reports whether the answer may be continued after err. It is called after each
	// failure and may note which engine failed.
	Retry(err error, delivered bool) bool
}

// Sink takes chunks for the caller. It may block while the caller reads slowly, so memory per
// stream is bounded by one chunk and the socket buffers.
type Sink interface {
	Deliver(chunk engine.Chunk) error
}

// Position is how much of an answer the caller has.
type Position struct {
	// NextSeq is the sequence number of the next wanted chunk.
	NextSeq int
	// Text is the text delivered so far and Tokens its size.
	Text   string
	Tokens int
}

// Result sums up a relayed answer.
type Result struct {
	Position
	FinishReason string
	// ReusedTokens and ComputedTokens are of the prefills of all attempts.
	ReusedTokens   int
	ComputedTokens int
	Attempts       int
	ForeignChunks        int
	RepeatedChunks       int
}

// sinkError marks an error of the caller's side, which no other engine can help.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// Relay runs the answer of requestID from source to sink until it is whole, the caller is gone
// or no engine can continue it. A nil error means that the final chunk was delivered.
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
		var callerSide *sinkError
		if errors.As(err, &callerSide) {
			return r.result, callerSide.err
		}
		if ctx.Err() != nil || !source.Retry(err, r.checker.Next() > 0) {
			return r.result, r.typedError(err)
		}
	}
}

// relay is the state of one answer.
type relay struct {
	checker Checker
	sink    Sink
	text    strings.Builder
	tokens  int
	result  Result
	// work is what the failed attempts say of the request, as far as the caller must know.
	work fault.Work
}

// updateWork keeps that an earlier attempt ran, or may have run, over later refusals.
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

// attempt relays one stream. It returns nil only after the final chunk.
func (r *relay) attempt(ctx context.Context, source Source) error {
	s, err := source.Open(ctx, r.position())
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for !r.checker.Done() {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return errEarlyEnd(r.checker.Next())
		}
		if err != nil {
			return err
		}
		if err := r.handleChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (r *relay) handleChunk(chunk engine.Chunk) error {
	want := r.checker.Next()
	switch r.checker.Check(&chunk) {
	case Drop:
		return nil
	case Broken:
		return errGap(want, chunk.Seq)
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

// typedError returns err as a typedError error whose Work covers all attempts.
func (r *relay) typedError(err error) error {
	var known *fault.Error
	if !errors.As(err, &known) {
		known = fault.Wrap(err, fault.StreamBroken, "answer cut after chunk %d", r.checker.Next()).WithWork(fault.Unknown)
	}
	known.Work = r.work
	return known
}
