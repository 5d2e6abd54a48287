package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards, for random sequences of backend responses, against a second run of a request that must run only
// once, against more runs than MaxAttempts, and against status 503 for a request that may have run.
func TestRunsAndSendsPerRequestAreBounded(t *testing.T) {
	responses := map[string]func(*http.Request) string{
		"complete": okResponse, "not run": refusal, "no response": noResponse,
		"failed": func(req *http.Request) string { return signedResponse(req, 500, "broken") },
		"not signed": func(req *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		},
		"truncated": func(req *http.Request) string { return eventStream(req, 1, 3, false) },
		"garbage":   func(*http.Request) string { return "not an HTTP response\r\n\r\n" },
	}
	names := []string{"complete", "not run", "no response", "failed", "not signed", "truncated", "garbage"}
	rapid.Check(t, func(r *rapid.T) {
		kind := rapid.SampledFrom([]routes.Kind{routes.Safe, routes.Unsafe, routes.Stream}).Draw(r, "kind")
		resumable := kind == routes.Stream && rapid.Bool().Draw(r, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(r, "attempts")
		script := rapid.SliceOfN(rapid.SampledFrom(names), 12, 12).Draw(r, "script")
		servers := rapid.IntRange(1, 4).Draw(r, "servers")
		var mu sync.Mutex
		sends, runs := 0, 0
		respond := func(req *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			name := script[min(sends, len(script)-1)]
			sends++
			if name != "not run" {
				runs++
			}
			return responses[name](req)
		}
		var list []*fakeBackend
		for range servers {
			list = append(list, startBackend(t, respond))
		}
		s := startGateway(t, kind, func(c *routes.Config, _ *Options) {
			c.Routes[0].MaxAttempts, c.Routes[0].Resumable = attempts, resumable
		}, list...)
		got := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
		mu.Lock()
		defer mu.Unlock()
		repeatable := kind == routes.Safe || resumable
		if !repeatable {
			assert.LessOrEqual(r, runs, 1)
		}
		assert.LessOrEqual(r, runs, attempts)
		if got.status == http.StatusServiceUnavailable {
			assert.Zero(r, runs)
		}
		assert.LessOrEqual(r, sends, maxRefusedSends+attempts)
	})
}
