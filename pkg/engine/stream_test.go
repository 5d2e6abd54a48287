package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/fault"
)

// countChunks reads a stream to its end and returns the number of chunks.
func countChunks(s Stream) (int, error) {
	for n := 0; ; n++ {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return n, err
		}
	}
}

const (
	lineChunk = `data: {"id":"r","choices":[{"text":"a ","finish_reason":null}],"seq":0,"tokens":1}` + "\n\n"
	lineFinal = `data: {"id":"r","choices":[{"text":"b ","finish_reason":"stop"}],"seq":1,"tokens":1}` + "\n\n"
	lineDone  = "data: [DONE]\n\n"
)

// Guards against truncated or corrupt streams that end as if they were complete.
func TestStreamCompleteness(t *testing.T) {
	cases := []struct {
		name, body string
		chunks     int
		complete   bool
	}{
		{"whole", lineChunk + lineFinal + lineDone, 2, true},
		{"last event lost after the final chunk", lineChunk + lineFinal, 2, true},
		{"closed before the final chunk", lineChunk + lineDone, 1, false},
		{"cut", lineChunk, 1, false},
		{"cut inside a chunk", lineChunk + lineFinal[:40], 1, false},
		{"empty", "", 0, false},
		{"comments and other fields", ": ping\nevent: x\n" + lineChunk + lineFinal, 2, true},
		{"no JSON", "data: {\n\n", 0, false},
		{"line over the bound", "data: " + strings.Repeat("x", maxEventBytes) + "\n" + lineFinal, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			chunks, err := countChunks(newStream(io.NopCloser(strings.NewReader(tc.body))))
			assert.Equal(t, tc.chunks, chunks)
			if tc.complete {
				assert.NoError(t, err)
				return
			}
			assert.True(t, fault.Is(err, fault.StreamBroken), "%v", err)
			assert.Equal(t, fault.Run, fault.As(err).Work)
		})
	}
}

// Guards against a reader that panics on an engine's output or returns more chunks than it has bytes.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{lineChunk, lineFinal, lineDone, "data:\n", "data: null\n", "data: {\"choices\":[{\"delta\":null}]}\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newStream(io.NopCloser(bytes.NewReader(body)))
		chunks, err := countChunks(s)
		if chunks > len(body) {
			t.Fatalf("%d chunks from %d bytes", chunks, len(body))
		}
		if err == nil && !s.final {
			t.Fatal("a stream without a final chunk ended as complete")
		}
	})
}
