package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against an engine that closes in the middle of its response's head, and a client that gets a 200 with an empty or
// short body framed as complete: the head is cut after each of its bytes.
func TestResponseThatEndsInsideItsHeadIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: i1\r\nSig: s\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\n"
	for name, kind := range map[string]routes.Kind{"safe": routes.Safe, "unsafe": routes.Unsafe, "stream": routes.Stream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			length := 0
			engine := startBackend(t, func(*http.Request) string { return head[:length] })
			s := startGateway(t, kind, func(c *routes.Config, _ *Options) { c.Routes[0].MaxAttempts = 1 }, engine)
			for ; length < len(head); length++ {
				r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
				assert.NoError(t, r.err)
				assert.Equal(t, http.StatusBadGateway, r.status, "cut after %q", head[:length])
			}
			assert.Equal(t, len(head), engine.runs(), "each request is sent once")
		})
	}
}
