package entry

import (
	"net/http"
	"testing"
)

// Guards against a request body that crashes the server, or that is rejected although an engine
// received the request.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"lugha","messages":[{"role":"user","content":"slot?"}]}`,
		`{"model":"lugha","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true,"max_tokens":3}`,
		`{"model":"lugha","max_tokens":-1}`, `{"messages":null}`, `[]`, "",
	} {
		f.Add(seed)
	}
	engine := &fakeEngine{chunks: twoChunks()}
	s := testServer(f, engine)
	f.Fuzz(func(t *testing.T, body string) {
		engine.requests = nil
		w := post(t.Context(), s, testKey, "/v1/chat/completions", body)
		if ok := w.Code == http.StatusOK; ok != (len(engine.requests) > 0) {
			t.Fatalf("status %d after %d requests to engines: %s", w.Code, len(engine.requests), w.Body)
		}
	})
}
