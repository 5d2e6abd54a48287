package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// logBuffer collects JSON log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// byEvent returns the last line of each event, keyed by the event's number.
func (l *logBuffer) byEvent(t *testing.T) map[int]map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := map[int]map[string]any{}
	for line := range strings.Lines(l.text.String()) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		found[int(fields["event"].(float64))] = fields
	}
	return found
}

// A send that the node cancels fails with a connection error. Guards against logging that error instead of
// the reason for the cancellation.
func TestCancelledSendLogsItsCause(t *testing.T) {
	tests := map[string]struct {
		weights fixedWeights
		wait    string
		reason  string
	}{
		"older weights": {fixedWeights{newest: 4}, "1900", errStartDeadline.Error()},
		"deadline":      {fixedWeights{newest: 3}, "150", context.DeadlineExceeded.Error()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log, release := &logBuffer{}, make(chan struct{})
			defer close(release)
			b := startBackend(t, func(*http.Request) string {
				<-release
				return ""
			})
			s := startGateway(t, routes.Unsafe, func(_ *routes.Config, o *Options) {
				o.Logger, o.Weights = slog.New(slog.NewJSONHandler(log, nil)), test.weights
			}, b)
			postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Wait": {test.wait}})
			var found map[int]map[string]any
			require.Eventually(t, func() bool {
				found = log.byEvent(t)
				return found[926] != nil
			}, 5*time.Second, time.Millisecond)
			assert.Equal(t, test.reason, found[924]["reason"])
			assert.EqualValues(t, 1, found[924]["runs"])
		})
	}
}

// Guards against a log that reports a closed connection where the node has ended a response at its timeout.
func TestResponseThatEndsAtItsTimeoutLogsTheTimeout(t *testing.T) {
	tests := map[string]struct {
		kind   routes.Kind
		prefix string
	}{
		"stream":   {routes.Stream, "stream was cut: "},
		"buffered": {routes.Unsafe, "response truncated: "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log, release := &logBuffer{}, make(chan struct{})
			defer close(release)
			b := startWriter(t, func(c net.Conn, req *http.Request) {
				fmt.Fprint(c, eventStream(req, 1, 2, false))
				<-release
			})
			s := startGateway(t, test.kind, func(_ *routes.Config, o *Options) {
				o.Logger = slog.New(slog.NewJSONHandler(log, nil))
			}, b)
			postRequest(t, s, "/p/x", http.Header{"Wait": {"150"}})
			var found map[int]map[string]any
			require.Eventually(t, func() bool {
				found = log.byEvent(t)
				return found[event.RequestNotServed.Number] != nil
			}, 5*time.Second, time.Millisecond)
			assert.Equal(t, test.prefix+context.DeadlineExceeded.Error(), found[event.SendFailed.Number]["reason"])
		})
	}
}

// Guards against refusals, retries and failures that are not logged, or logged without the request ID, the
// cause and the age of the data that the decision was based on.
func TestFailedRequestsAreLogged(t *testing.T) {
	const admitted, chosen, noBackend, sendFailed, answered, notServed = 920, 922, 923, 924, 925, 926
	once := func(first func(*http.Request) string) func(*http.Request) string {
		var mu sync.Mutex
		sent := false
		return func(req *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			if sent {
				return okResponse(req)
			}
			sent = true
			return first(req)
		}
	}
	tests := map[string]struct {
		kind    routes.Kind
		respond func(*http.Request) string
		config  bool
		lines   []int
		reason  string
	}{
		"refused":            {routes.Unsafe, refusal, true, []int{admitted, chosen, sendFailed, noBackend, notServed}, causeNoBackend},
		"failed":             {routes.Unsafe, noResponse, true, []int{admitted, chosen, sendFailed, notServed}, causeBackend},
		"truncated":          {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 2, false) }, true, []int{admitted, chosen, sendFailed, notServed}, causeBackend},
		"retried":            {routes.Safe, once(noResponse), true, []int{admitted, chosen, sendFailed, answered}, ""},
		"not configured yet": {routes.Safe, okResponse, false, []int{notServed}, causeNoConfig},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := &logBuffer{}
			b := startBackend(t, test.respond)
			s := startGateway(t, test.kind, func(_ *routes.Config, o *Options) {
				o.Logger = slog.New(slog.NewJSONHandler(log, nil))
				if !test.config {
					o.Config = func() *routes.Config { return nil }
				}
			}, b, b)
			postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
			var found map[int]map[string]any
			require.Eventually(t, func() bool {
				// The lines may be written after the client has received the response.
				found = log.byEvent(t)
				return found[test.lines[len(test.lines)-1]] != nil
			}, 5*time.Second, time.Millisecond)
			for _, number := range test.lines {
				require.Contains(t, found, number)
				assert.Equal(t, "i1", found[number]["request"])
			}
			if test.config {
				assert.Contains(t, found[admitted], "config_age_ms")
				assert.Contains(t, found[chosen], "heartbeat_age_ms")
				assert.Contains(t, found[sendFailed], "age_ms")
				assert.NotEmpty(t, found[sendFailed]["reason"])
			}
			if test.reason != "" {
				assert.Equal(t, test.reason, found[notServed]["reason"])
				assert.Contains(t, found[notServed], "age_ms")
			}
		})
	}
}
