package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"cassiawall.example/cassiawall/pkg/engine"
)

// chunkEngine responds to each request with the given number of chunks.
type chunkEngine struct{ chunks int }

func (e chunkEngine) Generate(_ context.Context, r *engine.Request) (engine.Stream, error) {
	return &chunkStream{remaining: e.chunks, id: r.ID}, nil
}

func (chunkEngine) Cancel(context.Context, string) error { return nil }

type chunkStream struct {
	remaining, seq int
	id             string
}

func (s *chunkStream) Next() (engine.Chunk, error) {
	if s.remaining == 0 {
		return engine.Chunk{}, io.EOF
	}
	c := engine.Chunk{RequestID: s.id, Seq: s.seq, Text: "neno ", Tokens: 1}
	s.remaining--
	s.seq++
	if s.remaining == 0 {
		c.Final, c.FinishReason = true, "stop"
	}
	return c, nil
}

func (s *chunkStream) Close() error { return nil }

// discardWriter is a response writer whose writes succeed at once.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Flush()                      {}

func benchmarkStream(b *testing.B, chunks int) {
	s := testServer(b, nil)
	s.opt.Engines = func(string) engine.Generator { return chunkEngine{chunks: chunks} }
	body := `{"model":"lugha","stream":true,"messages":[{"role":"system","content":"` + strings.Repeat("ratiba ", 100) + `"},{"role":"user","content":"nafasi?"}]}`
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		s.ServeHTTP(&discardWriter{header: http.Header{}}, r)
	}
}

// BenchmarkStream1 and BenchmarkStream1001 measure a streamed request with 1 and with 1,001 chunks.
// A thousandth of their difference is the router's cost per chunk; the first is its cost per request
// without the network.
func BenchmarkStream1(b *testing.B)    { benchmarkStream(b, 1) }
func BenchmarkStream1001(b *testing.B) { benchmarkStream(b, 1001) }
