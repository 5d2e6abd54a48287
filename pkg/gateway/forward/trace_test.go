package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// Guards against a begun stream that ends without a line in the log and a count, because the engine that continues it answers
// with an error of its own.
func TestCutOfABegunStreamByAnErrorResponseIsLogged(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	log := &logBuffer{}
	respond := func(req *http.Request) string {
		if sends.Add(1) == 1 {
			return eventStream(req, 1, 2, false)
		}
		return signedResponse(req, http.StatusGone, "cannot be resumed")
	}
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable = true
		opt.Logger = slog.New(slog.NewJSONHandler(log, nil))
	}, startBackend(t, respond), startBackend(t, respond))
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	require.Error(t, r.err)
	assert.Eventually(t, func() bool { return log.byEvent(t)[event.RequestNotServed.Number] != nil }, time.Second, 10*time.Millisecond)
}

// Guards against an idle stream that leaves no line in the log because its client gave up while it was idle, which is the case
// that event 943 is for.
func TestIdleStreamWhoseClientLeavesIsLogged(t *testing.T) {
	t.Parallel()
	log := &logBuffer{}
	engine := startWriter(t, func(c net.Conn, req *http.Request) {
		writeStreamHead(c, req)
		fmt.Fprint(c, "id: 1\ndata: x\n\n")
		_, _ = io.Copy(io.Discard, c)
	})
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable, c.Routes[0].Timeout = true, 8*time.Second
		opt.Logger = slog.New(slog.NewJSONHandler(log, nil))
	}, engine)
	ctx, cancel := context.WithTimeout(t.Context(), streamIdleTimeout+400*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/x", strings.NewReader("body"))
	require.NoError(t, err)
	req.Host, req.Header = "h", http.Header{"Id": {"i1"}, "Wait": {"7000"}}
	response, err := testClient.Do(req)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	response.Body.Close()
	require.Error(t, err)
	assert.Eventually(t, func() bool { return log.byEvent(t)[event.StreamIdle.Number] != nil }, time.Second, 10*time.Millisecond)
}
