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

// Guards against a second run of work that may not be repeated, against more runs than the route allows, and against
// a refusal after a run, whatever sequence of answers the backend servers give.
func TestRunsAndSendsPerRequestAreBounded(t *testing.T) {
	behaviours := map[string]func(*http.Request) string{
		"whole": okResponse, "not run": refusal, "lost": noResponse,
		"failed": func(req *http.Request) string { return signedResponse(req, 500, "broken") },
		"not signed": func(req *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		},
		"cut":     func(req *http.Request) string { return eventStream(req, 1, 3, false) },
		"garbage": func(*http.Request) string { return "no answer in the protocol\r\n\r\n" },
	}
	names := []string{"whole", "not run", "lost", "failed", "not signed", "cut", "garbage"}
	rapid.Check(t, func(r *rapid.T) {
		kind := rapid.SampledFrom([]routes.Kind{routes.Safe, routes.Unsafe, routes.Stream}).Draw(r, "kind")
		resumable := kind == routes.Stream && rapid.Bool().Draw(r, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(r, "attempts")
		script := rapid.SliceOfN(rapid.SampledFrom(names), 12, 12).Draw(r, "script")
		servers := rapid.IntRange(1, 4).Draw(r, "servers")
		var mu sync.Mutex
		sends, runs := 0, 0
		answer := func(req *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			name := script[min(sends, len(script)-1)]
			sends++
			if name != "not run" {
				runs++
			}
			return behaviours[name](req)
		}
		var list []*fakeBackend
		for range servers {
			list = append(list, startBackend(t, answer))
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
