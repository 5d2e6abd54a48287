package stream

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// scriptedStream returns its chunks and then its error, io.EOF if err is nil.
type scriptedStream struct {
	chunks []engine.Chunk
	err    error
}

func (s *scriptedStream) Next() (engine.Chunk, error) {
	if len(s.chunks) == 0 {
		if s.err != nil {
			return engine.Chunk{}, s.err
		}
		return engine.Chunk{}, io.EOF
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *scriptedStream) Close() error { return nil }

// scriptedSource opens its attempts in order and records the requested positions.
type scriptedSource struct {
	attempts  []*scriptedStream
	positions []Position
}

func (s *scriptedSource) Open(_ context.Context, from Position) (engine.Stream, error) {
	s.positions = append(s.positions, from)
	if len(s.attempts) == 0 {
		return nil, fault.New(fault.NoEngine, "no engine left")
	}
	next := s.attempts[0]
	s.attempts = s.attempts[1:]
	return next, nil
}

func (s *scriptedSource) Retry(err error, _ bool) bool { return !fault.Is(err, fault.NoEngine) }

type collectingSink struct {
	text string
	fail error
}

func (s *collectingSink) Deliver(c engine.Chunk) error {
	if s.fail != nil {
		return s.fail
	}
	s.text += c.Text
	return nil
}

func chunk(id string, seq int, text string) engine.Chunk {
	return engine.Chunk{RequestID: id, Seq: seq, Text: text, Tokens: 1}
}

func final(id string, seq int, text string) engine.Chunk {
	c := chunk(id, seq, text)
	c.Final, c.FinishReason = true, "stop"
	return c
}

// Each case is a fault of the streams of one response: interruption, missing or repeated chunks, chunks
// of another request. Guards against delivering anything but the chunks of the caller's own response in
// order, and against an error that states not_run after an attempt that reached an engine.
func TestRelayFaults(t *testing.T) {
	cut := errors.New("connection reset")
	ran := fault.New(fault.StreamBroken, "the stream ended before the last chunk").WithWork(fault.Run)
	refused := fault.New(fault.EngineRefused, "another incarnation")
	cases := []struct {
		name     string
		attempts []*scriptedStream
		want     string
		failure  fault.Kind
		work     fault.Work
		resumeAt []int
	}{
		{"complete", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a"), final("r", 1, "b")}}}, "ab", "", "", []int{0}},
		{"foreign chunk", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a"), chunk("x", 1, "X"), final("r", 1, "b")}}}, "ab", "", "", []int{0}},
		{"foreign final chunk", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a"), final("x", 1, "X")}}, {chunks: []engine.Chunk{final("r", 1, "b")}}}, "ab", "", "", []int{0, 1}},
		{"repeated chunk", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a"), chunk("r", 0, "a"), final("r", 1, "b")}}}, "ab", "", "", []int{0}},
		{"gap", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a"), final("r", 2, "c")}}, {chunks: []engine.Chunk{chunk("r", 1, "b"), final("r", 2, "c")}}}, "abc", "", "", []int{0, 1}},
		{"early end", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a")}}, {chunks: []engine.Chunk{final("r", 1, "b")}}}, "ab", "", "", []int{0, 1}},
		{"cut before the first chunk", []*scriptedStream{{err: cut}, {chunks: []engine.Chunk{final("r", 0, "a")}}}, "a", "", "", []int{0, 0}},
		{"cut and no engine left", []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a")}, err: cut}}, "a", fault.NoEngine, fault.Run, []int{0, 1}},
		{"cut before the first chunk and no engine left", []*scriptedStream{{err: cut}}, "", fault.NoEngine, fault.Unknown, []int{0, 0}},
		{"run without a chunk and no engine left", []*scriptedStream{{err: ran}}, "", fault.NoEngine, fault.Run, []int{0, 0}},
		{"run, then cut, then no engine left", []*scriptedStream{{err: ran}, {err: cut}}, "", fault.NoEngine, fault.Run, []int{0, 0, 0}},
		{"cut, then refused, then no engine left", []*scriptedStream{{err: cut}, {err: refused}}, "", fault.NoEngine, fault.Unknown, []int{0, 0, 0}},
		{"refused and no engine left", []*scriptedStream{{err: refused}}, "", fault.NoEngine, fault.NotRun, []int{0, 0}},
		{"no engine at all", nil, "", fault.NoEngine, fault.NotRun, []int{0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			source := &scriptedSource{attempts: c.attempts}
			sink := &collectingSink{}
			_, err := Relay(context.Background(), "r", source, sink)
			assert.Equal(t, c.want, sink.text)
			if c.failure == "" {
				require.NoError(t, err)
			} else {
				assert.True(t, fault.Is(err, c.failure), "%v", err)
				assert.Equal(t, c.work, fault.As(err).Work)
			}
			resumed := []int{}
			for _, p := range source.positions {
				resumed = append(resumed, p.NextSeq)
			}
			assert.Equal(t, c.resumeAt, resumed)
		})
	}
}

// Guards against retrying a request whose response cannot be delivered to the caller.
func TestRelayStopsOnCallerError(t *testing.T) {
	source := &scriptedSource{attempts: []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a")}}, {}}}
	sink := &collectingSink{fail: fault.New(fault.SlowReader, "caller read nothing for 10s")}
	_, err := Relay(context.Background(), "r", source, sink)
	assert.True(t, fault.Is(err, fault.SlowReader))
	assert.Len(t, source.positions, 1)
}

// stallingStream returns one chunk and then, without end, a chunk that was delivered before, or blocks if it is nil.
type stallingStream struct {
	ctx      context.Context
	first    engine.Chunk
	started  bool
	repeated *engine.Chunk
}

func (s *stallingStream) Next() (engine.Chunk, error) {
	if !s.started {
		s.started = true
		return s.first, nil
	}
	pause := time.After(time.Second)
	if s.repeated == nil {
		pause = nil
	}
	select {
	case <-s.ctx.Done():
		return engine.Chunk{}, s.ctx.Err()
	case <-pause:
		return *s.repeated, nil
	}
}

func (s *stallingStream) Close() error { return nil }

// stallingSource opens a stalling stream and then a complete one.
type stallingSource struct {
	repeated *engine.Chunk
	opened   int
	failure  error
}

func (s *stallingSource) Open(ctx context.Context, _ Position) (engine.Stream, error) {
	s.opened++
	if s.opened == 1 {
		return &stallingStream{ctx: ctx, first: chunk("r", 0, "a"), repeated: s.repeated}, nil
	}
	return &scriptedStream{chunks: []engine.Chunk{final("r", 1, "b")}}, nil
}

func (s *stallingSource) Retry(err error, _ bool) bool {
	s.failure = err
	return true
}

// slowSink takes longer than chunkTimeout for each chunk.
type slowSink struct{ collectingSink }

func (s *slowSink) Deliver(c engine.Chunk) error {
	time.Sleep(2 * chunkTimeout)
	return s.collectingSink.Deliver(c)
}

// Guards against a caller that waits for ever for a stream that an engine neither continues nor ends, and against a stream
// that counts as stalled because its caller reads slowly.
func TestStalledStreamContinuesElsewhere(t *testing.T) {
	repeated := chunk("r", 0, "a")
	for name, chunks := range map[string]*engine.Chunk{"silent": nil, "repeats a chunk": &repeated} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, sink, startedAt := &stallingSource{repeated: chunks}, &collectingSink{}, time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 10*chunkTimeout)
				defer cancel()
				_, err := Relay(ctx, "r", source, sink)
				require.NoError(t, err)
				assert.Equal(t, "ab", sink.text)
				assert.Equal(t, chunkTimeout, time.Since(startedAt))
				assert.True(t, fault.Is(source.failure, fault.StreamBroken), "%v", source.failure)
			})
		})
	}
	t.Run("slow caller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			source := &scriptedSource{attempts: []*scriptedStream{{chunks: []engine.Chunk{chunk("r", 0, "a"), chunk("r", 1, "b"), final("r", 2, "c")}}}}
			sink := &slowSink{}
			_, err := Relay(t.Context(), "r", source, sink)
			require.NoError(t, err)
			assert.Equal(t, "abc", sink.text)
			assert.Len(t, source.positions, 1)
		})
	})
}
