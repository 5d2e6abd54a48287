package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"cassiawall.example/cassiawall/pkg/fault"
)

// maxEventBytes limits one line of an event stream and thereby the memory that a stream takes.
const maxEventBytes = 64 << 10

// initialBufferBytes is large enough for typical chunks.
const initialBufferBytes = 4 << 10

var dataField = []byte("data:")

// sseStream reads chunks from a stream of server-sent events.
type sseStream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	final bool
	err   error
}

func newStream(body io.ReadCloser) *sseStream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialBufferBytes), maxEventBytes)
	return &sseStream{body: body, lines: lines}
}

// Next implements Stream. The chunk with a finish reason is the final one.
func (s *sseStream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	if s.final {
		s.err = io.EOF
		return Chunk{}, s.err
	}
	chunk, err := s.read()
	if err != nil {
		s.err = err
		return Chunk{}, err
	}
	s.final = chunk.Final
	return chunk, nil
}

func (s *sseStream) read() (Chunk, error) {
	for s.lines.Scan() {
		data, found := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == EndOfStream {
			return Chunk{}, streamBrokenError("the engine closed the stream before the last chunk")
		}
		var body ChunkBody
		if err := json.Unmarshal(data, &body); err != nil {
			return Chunk{}, fault.Wrap(err, fault.StreamBroken, "unreadable chunk").WithWork(fault.Run)
		}
		return body.toChunk(), nil
	}
	if err := s.lines.Err(); err != nil {
		return Chunk{}, fault.Wrap(err, fault.StreamBroken, "the stream was cut").WithWork(fault.Run)
	}
	return Chunk{}, streamBrokenError("the stream ended before the last chunk")
}

func streamBrokenError(message string) error {
	return fault.New(fault.StreamBroken, "%s", message).WithWork(fault.Run)
}

// Close implements Stream. After the final chunk it reads a short rest of the body, so that the
// connection can be reused. Before the final chunk it closes the connection, which cancels the
// request in the engine.
func (s *sseStream) Close() error {
	if s.final {
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, initialBufferBytes))
	}
	return s.body.Close()
}
