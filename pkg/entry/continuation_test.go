package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/engine"
)

// Guards against the text or the head of an error in the middle of a caller's stream, and against a stream that ends as if it
// were complete, because the next engines answer with errors after the first one has broken off.
func TestErrorOfTheNextEngineIsNotPartOfTheStream(t *testing.T) {
	next := map[string]func(w http.ResponseWriter){
		"server error": func(w http.ResponseWriter) { http.Error(w, "broken", http.StatusInternalServerError) },
		"client error": func(w http.ResponseWriter) { http.Error(w, "broken", http.StatusNotFound) },
		"refusal":      func(w http.ResponseWriter) { http.Error(w, "broken", http.StatusServiceUnavailable) },
		"page with status 200": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/html")
			_, _ = io.WriteString(w, "<p>broken</p>\n\n")
		},
		"empty":            func(http.ResponseWriter) {},
		"text as an event": func(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: broken\n\n") },
		"error as an event": func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, `data: {"error":{"message":"broken"},"choices":[{"text":"broken","finish_reason":"stop"}]}`+"\n\n")
		},
		"head as events": func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nbroken\n\n")
		},
		"end marker only": func(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") },
	}
	for name, respond := range next {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/completions" {
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				if sends.Add(1) > 1 {
					respond(w)
					return
				}
				_, _ = fmt.Fprintf(w, `data: {"id":%q,"seq":0,"tokens":1,"choices":[{"text":"haba"}]}`+"\n\n", r.Header.Get(engine.HeaderRequestID))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			server.Config.ErrorLog = nil
			s := testServer(t, &fakeEngine{})
			s.opt.Engines = func(string) engine.Generator { return engine.NewClient(server.URL, server.Client()) }
			e, _ := s.opt.Board.Engines.Get("e1")
			e.Value.ID = "e2"
			s.opt.Board.Engines.Put("e2", e.Value, blackboard.Evidence{})
			w := post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
			assert.Greater(t, sends.Load(), int32(1))
			text, errorEvent, found := strings.Cut(w.Body.String(), `"error"`)
			assert.True(t, found, "the stream ends with a typed error: %s", w.Body.String())
			assert.Equal(t, 1, strings.Count(text, "haba"))
			assert.NotContains(t, text, "broken")
			assert.NotContains(t, errorEvent, "[DONE]")
		})
	}
}
