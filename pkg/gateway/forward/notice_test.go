package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against clients of refused requests that all return at the same moment, or too late to be served.
func TestRefusalsAtLimitsReturnSpread(t *testing.T) {
	const remaining = 4 * time.Second
	early, late := 0, 0
	for range 1000 {
		d := spreadRetryAfter(remaining)
		assert.GreaterOrEqual(t, d, refusalRetryAfter)
		assert.LessOrEqual(t, d, remaining/4)
		if d < (refusalRetryAfter+remaining/4)/2 {
			early++
		} else {
			late++
		}
	}
	assert.InDelta(t, 500, early, 100)
	assert.InDelta(t, 500, late, 100)
	assert.Equal(t, 100*time.Millisecond, spreadRetryAfter(400*time.Millisecond))
	assert.Zero(t, spreadRetryAfter(-time.Second))
}

// withNotice returns a complete response whose header has a further line.
func withNotice(response, line string) string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	return head + "\r\n" + line + "\r\n\r\n" + body
}

// Guards against requests that wait, or are sent, while all servers that could serve them want none, and against a Retry-After
// that ends before the earliest pause.
func TestRequestIsRefusedAtOnceWhileAllServersArePaused(t *testing.T) {
	b := startBackend(t, func(req *http.Request) string { return withNotice(refusal(req), "Retry-After: 3") })
	s := startGateway(t, routes.Safe, nil, b)
	first := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	assert.Equal(t, http.StatusServiceUnavailable, first.status)
	assert.Equal(t, 1, b.runs())
	begin := time.Now()
	var earliest, latest float64
	for i := range 20 {
		r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
		assert.Equal(t, http.StatusServiceUnavailable, r.status)
		assert.Contains(t, r.body, causeShedding)
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, seconds, 2.5)
		if i == 0 || seconds < earliest {
			earliest = seconds
		}
		latest = max(latest, seconds)
	}
	assert.Less(t, time.Since(begin), 20*50*time.Millisecond, "at once")
	assert.Greater(t, latest-earliest, 0.1, "clients return spread")
	assert.Equal(t, 1, b.runs())
}

// Guards against a notice that is lost because the client had gone when the response came.
func TestNoticeCountsAfterTheClientHasGone(t *testing.T) {
	release := make(chan struct{})
	leaving := startBackend(t, func(req *http.Request) string {
		<-release
		return withNotice(okResponse(req), "Leaving: 1")
	})
	other := startBackend(t, okResponse)
	var registry *backends.Registry
	s := startGateway(t, routes.Unsafe, func(_ *routes.Config, o *Options) { registry = o.Backends }, leaving, other)
	registry.SetDrainLimit(2 * time.Second)
	// The first request goes to either server; the one that reaches the leaving server is abandoned.
	for leaving.runs() == 0 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/x", strings.NewReader("body"))
		require.NoError(t, err)
		req.Host = "h"
		req.Header = http.Header{"Id": {"i1"}, "Wait": {"1500"}}
		if response, err := testClient.Do(req); err == nil {
			response.Body.Close()
		}
		cancel()
	}
	close(release)
	require.Eventually(t, func() bool {
		return registry.States(nil, time.Now())[0].Leaving != registry.States(nil, time.Now())[1].Leaving
	}, 2*time.Second, time.Millisecond)
	before := leaving.runs()
	for range 30 {
		assert.Equal(t, http.StatusOK, postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}}).status)
	}
	assert.Equal(t, before, leaving.runs())
}
