package forward

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against sound parts that count as the cause of a crash although no engine ended the connection, and against
// the request's own last part as one.
func TestWhatIsNoEvidence(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hang := func(*http.Request) string {
		<-release
		return ""
	}
	tests := map[string]struct {
		kind     routes.Kind
		respond  func(*http.Request) string
		prompt   string
		evidence bool
	}{
		"no response":               {routes.Unsafe, noResponse, "a,own", true},
		"stream without an event":   {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 1, false) }, "a,own", true},
		"stream cut after an event": {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 3, false) }, "a,own", true},
		"complete stream":           {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 3, true) }, "a,own", false},
		"only a part of its own":    {routes.Unsafe, noResponse, "own", false},
		"refused":                   {routes.Unsafe, refusal, "a,own", false},
		"server error":              {routes.Unsafe, func(req *http.Request) string { return signedResponse(req, 500, "broken") }, "a,own", false},
		"timeout":                   {routes.Unsafe, hang, "a,own", false},
		"answered":                  {routes.Unsafe, okResponse, "a,own", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := testQuarantine("n", func() {}, time.Now)
			s := startGateway(t, test.kind, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, startBackend(t, test.respond))
			postRequest(t, s, "/p/x", http.Header{"Prompt": {test.prompt}, "Wait": {"200"}})
			data, _ := q.Encode(quarantine.Recent, 0, 960)
			assert.Equal(t, test.evidence, len(data) > 0)
		})
	}
}

// Guards against sound parts that count as the cause of a crash in the middle of a long answer, and against a first event that
// voids the evidence of a part on which engines crash some events later.
func TestPartsOfStreamAreSoundAfterSomeTime(t *testing.T) {
	tests := map[string]struct {
		elapsed  time.Duration
		evidence bool
	}{
		"cut soon after its first event": {minSoundStream / 2, true},
		"cut in a long answer":           {minSoundStream, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var clockMS atomic.Int64
			clockMS.Store(1_000_000)
			q := testQuarantine("n", func() {}, func() time.Time { return time.UnixMilli(clockMS.Load()) })
			reached, begin, end := make(chan struct{}), make(chan struct{}), make(chan struct{})
			s := startGateway(t, routes.Stream, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, startWriter(t, func(c net.Conn, req *http.Request) {
				response := eventStream(req, 1, 3, false)
				firstLen := strings.Index(response, "\n\n\r\n") + len("\n\n\r\n")
				close(reached)
				<-begin
				fmt.Fprint(c, response[:firstLen])
				<-end
				fmt.Fprint(c, response[firstLen:])
			}))
			result := make(chan clientResult, 1)
			go func() { result <- postRequest(t, s, "/p/x", http.Header{"Prompt": {"a,own"}, "Wait": {"1500"}}) }()
			<-reached
			close(begin)
			require.Eventually(t, func() bool { return len(q.waitingSends()) == 0 }, time.Second, time.Millisecond)
			clockMS.Add(test.elapsed.Milliseconds())
			close(end)
			assert.Error(t, (<-result).err)
			data, _ := q.Encode(quarantine.Recent, 0, 960)
			assert.Equal(t, test.evidence, len(data) > 0)
		})
	}
}

// waitingSends returns the sends that wait for their first event.
func (q *Quarantine) waitingSends() []*waitingSend {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.waiting))
}

// Guards against a client that leaves and so makes a part suspect.
func TestClientThatLeavesIsNoEvidence(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan struct{})
	engine := startBackend(t, func(*http.Request) string {
		cancel()
		<-gone
		return ""
	})
	q := testQuarantine("n", func() {}, time.Now)
	ended := make(chan struct{})
	s := startGateway(t, routes.Stream, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, engine)
	inner := s.Config.Handler
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer close(ended)
		inner.ServeHTTP(w, req)
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/p/x", nil)
	require.NoError(t, err)
	req.Host = "h"
	req.Header = http.Header{"Prompt": {"a,own"}, "Id": {"i1"}, "Wait": {"1500"}}
	_, err = testClient.Do(req)
	require.Error(t, err)
	<-ended
	close(gone)
	data, _ := q.Encode(quarantine.Recent, 0, 960)
	assert.Empty(t, data)
}

// Guards against the end of a connection without an event that voids the evidence against a part: a client continues a
// stream, and the node cannot tell a crash after the header of an unframed response from a stream without further events.
func TestContinuedStreamWithoutEventIsNoSuccess(t *testing.T) {
	tests := map[string]struct {
		framing string
		success bool
	}{
		"ends with the connection": {"", false},
		"has a length":             {"Content-Length: 0\r\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := testQuarantine("n", func() {}, time.Now)
			q.Merge(crashEvidence(t, "bad", time.Now()), false, 0)
			parts := []quarantine.Part{quarantine.PartOf("", "bad"), quarantine.PartOf("", "other")}
			engine := startBackend(t, func(req *http.Request) string {
				return "HTTP/1.1 200 OK\r\nId: " + req.Header.Get("Id") + "\r\nSig: s\r\nContent-Type: text/event-stream\r\n" + test.framing + "\r\n"
			})
			// Another part was in doubt in the same crashes, so that requests with one of them are sent.
			q.Merge(crashEvidence(t, "other", time.Now()), false, 0)
			require.True(t, q.admit(parts).Refuse)
			require.False(t, q.admit(parts[:1]).Refuse)
			s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) { c.Routes[0].Resumable, opt.Quarantine = true, q }, engine)
			r := postRequest(t, s, "/p/x", http.Header{"Prompt": {"bad,own"}, "Wait": {"1500"}, "After": {"3"}})
			assert.Equal(t, http.StatusOK, r.status)
			assert.Equal(t, test.success, q.admit(parts[1:]).Refuse, "after a success of the first part, only the other one remains")
		})
	}
}

// Guards against parts that count as suspect although requests with them succeed: complete responses that are not made
// of events, and those over the size that is buffered.
func TestEveryCompleteResponseIsASuccess(t *testing.T) {
	tests := map[string]struct {
		kind routes.Kind
		body string
	}{
		"no events on a stream route": {routes.Stream, "{}"},
		"large response":              {routes.Safe, strings.Repeat("x", maxBufferedBytes+1)},
		"small response":              {routes.Safe, "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var clockMS atomic.Int64
			q := testQuarantine("n", func() {}, func() time.Time { return time.UnixMilli(clockMS.Load()) })
			engine := startBackend(t, func(req *http.Request) string { return signedResponse(req, 200, test.body) })
			node := startGateway(t, test.kind, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, engine)
			for e := range uint32(6) {
				clockMS.Add(3000)
				q.recordCrash([]quarantine.Part{quarantine.PartOf("", "shared")}, 100+e)
				clockMS.Add(500)
				r := postRequest(t, node, "/p/x", http.Header{"Prompt": {"shared,own"}, "Wait": {"1500"}})
				assert.Equal(t, http.StatusOK, r.status)
			}
		})
	}
}
