package service

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a backend server that closes in the middle of its response's head, and a caller that gets a 200 with an empty
// or short body framed as complete: the head is cut after each of its bytes.
func TestResponseThatEndsInsideItsHeadIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
	for name, send := range map[string]func(env *testEnv) int{
		"idempotent":     func(env *testEnv) int { return env.do(http.MethodGet, "/list", "", "").Code },
		"non-idempotent": func(env *testEnv) int { return env.book("k").Code },
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(head) {
				env := newTestEnv(t)
				for _, l := range env.listeners {
					l.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						c, _, err := http.NewResponseController(w).Hijack()
						if assert.NoError(t, err) {
							_, _ = io.WriteString(c, head[:length])
							c.Close()
						}
					})
				}
				env.call.Route.NonIdempotent = name == "non-idempotent"
				assert.GreaterOrEqual(t, send(env), http.StatusBadRequest, "cut after %q", head[:length])
			}
		})
	}
}
