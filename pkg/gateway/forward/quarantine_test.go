package forward

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against requests with a prompt part that crashes engines reaching one engine after the other, in whatever form
// their connections end: at most three sends may follow the fifth crash, over all nodes, and requests that share the
// other parts are served.
func TestPromptPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	unframed := func(req *http.Request, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + req.Header.Get("Id") + "\r\nSig: s\r\nContent-Type: text/event-stream\r\n\r\n" + body
	}
	tests := map[string]struct {
		kind  routes.Kind
		crash func(*http.Request) string
	}{
		"no response":                    {routes.Safe, func(*http.Request) string { return "" }},
		"stream in chunks, no event":     {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 1, false) }},
		"stream without length":          {routes.Stream, func(req *http.Request) string { return unframed(req, "") }},
		"stream without length, cut":     {routes.Stream, func(req *http.Request) string { return unframed(req, "id: 1\ndata") }},
		"stream in chunks, one event":    {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 2, false) }},
		"stream in chunks, three events": {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 4, false) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { checkCrashingPart(t, test.kind, test.crash) })
	}
}

// checkCrashingPart sends requests with a part on which engines crash, and others, to several nodes.
func checkCrashingPart(t *testing.T, kind routes.Kind, crash func(*http.Request) string) {
	const engineCount, nodeCount, badRequests, crashes, allowed, restartMS = 12, 3, 20, 5, 3, 1500
	var badSends, clockMS atomic.Int64
	now := func() time.Time { return time.UnixMilli(clockMS.Load()) }
	respond := func(req *http.Request) string {
		if strings.Contains(req.Header.Get("Prompt"), "bad") {
			badSends.Add(1)
			clockMS.Add(200)
			return crash(req)
		}
		if kind == routes.Stream {
			return eventStream(req, 1, 3, true)
		}
		return okResponse(req)
	}
	var engines []*fakeBackend
	for range engineCount {
		engines = append(engines, startBackend(t, respond))
	}
	quarantines := make([]*Quarantine, nodeCount)
	for i := range quarantines {
		quarantines[i] = testQuarantine(fmt.Sprint("n", i), func() {
			data, _ := quarantines[i].Encode(quarantine.All, 0, 960)
			for _, other := range quarantines {
				other.Merge(data, false, 0)
			}
		}, now)
	}
	var nodes []*httptest.Server
	for i := range nodeCount {
		nodes = append(nodes, startGateway(t, kind, func(c *routes.Config, opt *Options) {
			c.Routes[0].Resumable = kind == routes.Stream
			opt.Quarantine = quarantines[i]
		}, engines...))
	}
	for i := range badRequests {
		node := nodes[i%nodeCount]
		r := postRequest(t, node, "/p/x", http.Header{"Prompt": {fmt.Sprintf("shared,bad,own%d", i)}, "Wait": {"1500"}})
		assert.True(t, r.status >= 500 || r.err != nil, "the response is not complete")
		// The engines that have ended are back.
		clockMS.Add(restartMS)
		r = postRequest(t, node, "/p/x", http.Header{"Prompt": {fmt.Sprintf("shared,sound,own%d", i)}, "Wait": {"1500"}})
		assert.Equal(t, http.StatusOK, r.status)
	}
	assert.LessOrEqual(t, badSends.Load(), int64(crashes+allowed))
}

// Guards against a success that waited in the socket of a paused node and voids the crashes after it.
func TestLateSuccessDoesNotVoidLaterCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	newNode := func(name string) *Quarantine { return testQuarantine(name, func() {}, func() time.Time { return now }) }
	other, paused := newNode("a"), newNode("b")
	parts := []quarantine.Part{1}
	other.recordCrash(parts, 1)
	now = now.Add(time.Second)
	other.recordSuccess(parts)
	late, _ := other.Encode(quarantine.All, 0, 1000)
	for engine := range uint32(6) {
		now = now.Add(time.Second)
		paused.recordCrash(parts, 10+engine)
	}
	require.True(t, paused.admit(parts).Refuse)
	paused.Merge(late, false, 6*time.Second)
	assert.True(t, paused.admit(parts).Refuse)
}

// crashEvidence returns evidence by which a part of requests without a model is quarantined at a time.
func crashEvidence(t *testing.T, id string, now time.Time) []byte {
	t.Helper()
	table := quarantine.NewTable()
	for i := range 3 {
		table.RecordCrash([]quarantine.Part{quarantine.PartOf("", id)}, quarantine.Crash{Engine: uint32(i), Observer: uint8(i)}, now.Add(time.Duration(i-2)*time.Second))
	}
	data, _ := table.Encode(quarantine.All, 0, 960, now)
	require.NotEmpty(t, data)
	return data
}

// Guards against requests that wait in an engine's queue and crash it after their part is quarantined, and against the
// statement that such a request has not run.
func TestWaitingRequestIsCancelledWhenItsPartIsQuarantined(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	engine := startBackend(t, func(*http.Request) string {
		close(reached)
		<-release
		return ""
	})
	q := testQuarantine("n", func() {}, time.Now)
	s := startGateway(t, routes.Stream, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, engine)
	result := make(chan clientResult, 1)
	go func() { result <- postRequest(t, s, "/p/x", http.Header{"Prompt": {"bad,own"}, "Wait": {"1500"}}) }()
	<-reached
	require.True(t, q.Merge(crashEvidence(t, "bad", time.Now()), false, 0))
	r := <-result
	assert.Equal(t, http.StatusBadGateway, r.status)
	r = postRequest(t, s, "/p/x", http.Header{"Prompt": {"bad,own2"}, "Wait": {"1500"}})
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	retryAfter, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Greater(t, retryAfter, 30.0)
	assert.Equal(t, 1, engine.runs())
}

// Guards against a trial of a quarantined part that is refused, sent to several engines, or does not release the part.
func TestTrialReleasesPart(t *testing.T) {
	var clockMS atomic.Int64
	clockMS.Store(1_000_000)
	now := func() time.Time { return time.UnixMilli(clockMS.Load()) }
	var crash atomic.Bool
	crash.Store(true)
	respond := func(req *http.Request) string {
		if crash.Load() {
			return ""
		}
		return okResponse(req)
	}
	engines := []*fakeBackend{startBackend(t, respond), startBackend(t, respond)}
	q := NewQuarantine(QuarantineOptions{Node: "n", MayTry: func() bool { return true }, Announce: func() {}, Now: now, Logger: slog.New(slog.DiscardHandler)})
	s := startGateway(t, routes.Safe, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, engines...)
	require.True(t, q.Merge(crashEvidence(t, "bad", now()), false, 0))
	send := func() int {
		return postRequest(t, s, "/p/x", http.Header{"Prompt": {"bad,own"}, "Wait": {"1500"}}).status
	}
	sends := func() int { return engines[0].runs() + engines[1].runs() }
	assert.Equal(t, http.StatusServiceUnavailable, send())
	clockMS.Add(61_000)
	assert.Equal(t, http.StatusBadGateway, send())
	assert.Equal(t, 1, sends())
	assert.Equal(t, http.StatusServiceUnavailable, send())
	crash.Store(false)
	clockMS.Add(130_000)
	assert.Equal(t, http.StatusOK, send())
	assert.Equal(t, http.StatusOK, send())
	assert.Empty(t, q.Suspects())
}

// Guards against a trial of a part that had been sound a moment before its crashes, and is sent to a second engine after
// it has ended the first one.
func TestTrialEndsOneEngineOnly(t *testing.T) {
	var clockMS atomic.Int64
	clockMS.Store(1_000_000)
	now := func() time.Time { return time.UnixMilli(clockMS.Load()) }
	engines := []*fakeBackend{startBackend(t, noResponse), startBackend(t, noResponse)}
	q := NewQuarantine(QuarantineOptions{Node: "n", MayTry: func() bool { return true }, Announce: func() {}, Now: now, Logger: slog.New(slog.DiscardHandler)})
	s := startGateway(t, routes.Safe, func(_ *routes.Config, opt *Options) { opt.Quarantine = q }, engines...)
	parts := []quarantine.Part{quarantine.PartOf("", "bad")}
	q.recordSuccess(parts)
	for engine := range uint32(5) {
		clockMS.Add(1000)
		q.recordCrash(parts, 100+engine)
	}
	require.True(t, q.admit(parts).Refuse)
	clockMS.Add(20_000)
	r := postRequest(t, s, "/p/x", http.Header{"Prompt": {"bad,own"}, "Wait": {"1500"}})
	assert.Equal(t, http.StatusBadGateway, r.status)
	assert.Equal(t, 1, engines[0].runs()+engines[1].runs())
}

// Guards against sound parts that are refused because engines end single connections, but go on to serve other requests.
// An engine that serves them seconds later may have restarted.
func TestEngineThatGoesOnServingHasNotCrashed(t *testing.T) {
	// Engines are picked at random, and five of them must end for one node to refuse the part.
	const engineCount, rareRequests = 6, 40
	tests := map[string]struct {
		nextAfter time.Duration
		refuses   bool
	}{
		"engines go on":   {300 * time.Millisecond, false},
		"engines restart": {5 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var clockMS atomic.Int64
			clockMS.Store(1_000_000)
			var last atomic.Int64
			var engines []*fakeBackend
			for i := range engineCount {
				engines = append(engines, startBackend(t, func(req *http.Request) string {
					last.Store(int64(i))
					if strings.Contains(req.Header.Get("Prompt"), "rare") {
						return ""
					}
					return okResponse(req)
				}))
			}
			quarantines := make([]*Quarantine, 2)
			exchange := func() {
				for i, q := range quarantines {
					data, _ := q.Encode(quarantine.All, 0, 960)
					quarantines[1-i].Merge(data, true, 0)
				}
			}
			for i := range quarantines {
				quarantines[i] = testQuarantine(fmt.Sprint("n", i), func() {}, func() time.Time { return time.UnixMilli(clockMS.Load()) })
			}
			node := startGateway(t, routes.Unsafe, func(_ *routes.Config, opt *Options) { opt.Quarantine = quarantines[0] }, engines...)
			// The other node has requests for each engine.
			var others []*httptest.Server
			for i, engine := range engines {
				others = append(others, startGateway(t, routes.Unsafe, func(_ *routes.Config, opt *Options) {
					opt.Quarantine, opt.Backends = quarantines[1], backends.NewRegistry("dc")
					opt.Backends.Put(backends.Backend{ID: fmt.Sprint("b", i), Service: "s", Address: engine.address, DataCentre: "dc", Slots: 4})
				}))
			}
			refused := 0
			for range rareRequests {
				clockMS.Add(2000)
				if r := postRequest(t, node, "/p/x", http.Header{"Prompt": {"rare,own"}, "Wait": {"1500"}}); r.status == http.StatusServiceUnavailable {
					refused++
				}
				exchange()
				clockMS.Add(test.nextAfter.Milliseconds())
				r := postRequest(t, others[last.Load()], "/p/x", http.Header{"Prompt": {"common,own"}, "Wait": {"1500"}})
				require.Equal(t, http.StatusOK, r.status)
				exchange()
			}
			assert.Equal(t, test.refuses, refused > 0)
		})
	}
}

// Guards against a trial that is used up by a request that reaches no engine: after an outage, a sound part would stay
// refused for twice the time of the outage and longer.
func TestTrialThatReachesNoEngineIsRepeated(t *testing.T) {
	var clockMS atomic.Int64
	clockMS.Store(1_000_000)
	now := func() time.Time { return time.UnixMilli(clockMS.Load()) }
	q := NewQuarantine(QuarantineOptions{Node: "n", MayTry: func() bool { return true }, Announce: func() {}, Now: now, Logger: slog.New(slog.DiscardHandler)})
	require.True(t, q.Merge(crashEvidence(t, "sound", now()), false, 0))
	clockMS.Add(61_000)
	use := func(_ *routes.Config, opt *Options) { opt.Quarantine = q }
	unreachable := startBackend(t, okResponse)
	unreachable.address = "127.0.0.1:1"
	headers := http.Header{"Prompt": {"sound,own"}, "Wait": {"300"}}
	for _, engines := range [][]*fakeBackend{nil, {unreachable}} {
		r := postRequest(t, startGateway(t, routes.Safe, use, engines...), "/p/x", headers)
		assert.Equal(t, http.StatusServiceUnavailable, r.status)
	}
	r := postRequest(t, startGateway(t, routes.Safe, use, startBackend(t, okResponse)), "/p/x", headers)
	assert.Equal(t, http.StatusOK, r.status)
	assert.Empty(t, q.Suspects())
}

// Guards against a stream that is broken off because its send was cancelled by a quarantine while its first event
// arrived.
func TestStreamThatHasBegunIsNotCutByQuarantine(t *testing.T) {
	begin, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	var sends atomic.Int64
	respond := func(c net.Conn, req *http.Request) {
		if sends.Add(1) > 1 {
			fmt.Fprint(c, eventStream(req, 2, 2, true))
			return
		}
		<-begin
		fmt.Fprint(c, eventStream(req, 1, 2, false))
		<-end
	}
	q := testQuarantine("n", func() {}, time.Now)
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable, opt.Quarantine = true, q
	}, startWriter(t, respond), startWriter(t, respond))
	result := make(chan clientResult, 1)
	go func() { result <- postRequest(t, s, "/p/x", http.Header{"Prompt": {"shared,own"}, "Wait": {"1500"}}) }()
	require.Eventually(t, func() bool { return len(q.waitingSends()) == 1 }, time.Second, time.Millisecond)
	first := q.waitingSends()[0]
	close(begin)
	require.Eventually(t, func() bool { return len(q.waitingSends()) == 0 }, time.Second, time.Millisecond)
	first.cancel(errQuarantined)
	r := <-result
	assert.NoError(t, r.err)
	assert.Equal(t, http.StatusOK, r.status)
	assert.Equal(t, int64(2), sends.Load())
}

// Guards against a trial of a quarantined part that reaches a second engine because the first one is silent.
func TestIdleTrialStaysAtItsEngine(t *testing.T) {
	t.Parallel()
	var clockMS atomic.Int64
	clockMS.Store(1_000_000)
	now := func() time.Time { return time.UnixMilli(clockMS.Load()) }
	var sends atomic.Int64
	respond := func(c net.Conn, req *http.Request) {
		sends.Add(1)
		writeStreamHead(c, req)
		time.Sleep(streamIdleTimeout + 300*time.Millisecond)
	}
	q := NewQuarantine(QuarantineOptions{Node: "n", MayTry: func() bool { return true }, Announce: func() {}, Now: now, Logger: slog.New(slog.DiscardHandler)})
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable, c.Routes[0].Timeout = true, 4*time.Second
		opt.Quarantine = q
	}, startWriter(t, respond), startWriter(t, respond))
	parts := []quarantine.Part{quarantine.PartOf("", "bad")}
	q.recordSuccess(parts)
	for engine := range uint32(5) {
		clockMS.Add(1000)
		q.recordCrash(parts, 100+engine)
	}
	require.True(t, q.admit(parts).Refuse)
	clockMS.Add(20_000)
	postRequest(t, s, "/p/x", http.Header{"Prompt": {"bad,own"}, "Wait": {"3500"}})
	assert.EqualValues(t, 1, sends.Load())
}
