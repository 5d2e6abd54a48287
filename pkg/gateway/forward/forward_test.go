package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/popularity"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// testProtocol is a Protocol with short header names.
type testProtocol struct{}

// testClient has a transport of its own: the end of any httptest.Server closes the idle connections of the default one, also
// one that a request of another test is about to use.
var testClient = &http.Client{Transport: &http.Transport{}}

func (testProtocol) DecodeRequest(h http.Header) (Request, error) {
	ms, _ := strconv.Atoi(h.Get("Wait"))
	req := Request{ID: h.Get("Id"), APIKey: h.Get("Key"), Model: h.Get("M"), LastEventID: h.Get("After"), Timeout: time.Duration(ms) * time.Millisecond}
	if h.Get("Parts") != "" {
		req.PromptParts = []PromptPart{{ID: "a", Tokens: 2000}, {ID: "own", Tokens: 100}}
	}
	if h.Get("Prompt") != "" {
		for id := range strings.SplitSeq(h.Get("Prompt"), ",") {
			req.PromptParts = append(req.PromptParts, PromptPart{ID: id, Tokens: 100})
		}
	}
	return req, nil
}

func (testProtocol) EncodeRequest(client http.Header, c BackendRequest) http.Header {
	return http.Header{
		"Id": client["Id"], "Backend": {c.BackendID}, "After": {c.LastEventID}, "Tenant": {c.Workspace},
		"Namespace": {c.CacheSalt}, "V": {strconv.Itoa(c.WeightsVersion)}, "Prompt": client["Prompt"], "Fetch": {c.FetchFrom}, "Left": {strconv.FormatInt(c.Timeout.Milliseconds(), 10)},
	}
}

func (testProtocol) DecodeResponse(h http.Header) ResponseInfo {
	return ResponseInfo{RequestID: h.Get("Id"), Signed: h.Get("Sig") != "", NotRun: h.Get("Not-Run") != ""}
}

func (testProtocol) DecodeNotice(status int, h http.Header) backends.Notice {
	n := backends.Notice{Leaving: h.Get("Leaving") != ""}
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && status == http.StatusServiceUnavailable {
		n.Pause = time.Duration(seconds * float64(time.Second))
	}
	return n
}

func (testProtocol) CopyResponseHeader(dst, src http.Header) { dst.Set("Sig", src.Get("Sig")) }

// fakeBackend is a backend server that responds with the result of a function and records its requests.
type fakeBackend struct {
	address string
	respond func(req *http.Request) string

	mu   sync.Mutex
	seen []*http.Request
}

// startBackend starts a backend server that writes the result of respond as a raw HTTP response and closes
// the connection. An empty result closes the connection without a response.
func startBackend(t *testing.T, respond func(req *http.Request) string) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	b := &fakeBackend{address: l.Addr().String(), respond: respond}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *fakeBackend) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(req.Body)
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	b.mu.Lock()
	b.seen = append(b.seen, req)
	b.mu.Unlock()
	_, _ = io.WriteString(c, b.respond(req))
}

func (b *fakeBackend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func okResponse(req *http.Request) string { return signedResponse(req, 200, "fine") }

func signedResponse(req *http.Request, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSig: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, req.Header.Get("Id"), len(body), body)
}

func refusal(req *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
}

func noResponse(*http.Request) string { return "" }

// eventStream returns a response with the events from first to last. Unless it is complete, it ends within
// the last event.
func eventStream(req *http.Request, first, last int, complete bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: s\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		if i == last && !complete {
			event = event[:4]
		}
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	if complete {
		b.WriteString("0\r\n\r\n")
	}
	return b.String()
}

// fixedWeights is a DesiredWeights with the same versions for every model.
type fixedWeights struct{ newest, lowest int }

func (w fixedWeights) DesiredVersions(string, time.Time) (int, time.Time, int) {
	return w.newest, time.Time{}, w.lowest
}

func (w fixedWeights) StartDeadline(_ string, version int) time.Time {
	if version < w.newest {
		return time.Now().Add(100 * time.Millisecond)
	}
	return time.Time{}
}

// startGateway starts a router with a single route to the given backend servers. change may modify the
// configuration and the options.
func startGateway(t *testing.T, kind routes.Kind, change func(*routes.Config, *Options), servers ...*fakeBackend) *httptest.Server {
	t.Helper()
	config := &routes.Config{
		Version:  1,
		Services: map[string]routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Kind: kind, Timeout: 2 * time.Second, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2,
			Targets: []routes.WeightedService{{Service: "s", Weight: 1}},
		}},
	}
	registry := backends.NewRegistry("dc")
	for i, b := range servers {
		registry.Put(backends.Backend{ID: fmt.Sprint("b", i), Service: "s", Address: b.address, DataCentre: "dc", Slots: 4, Models: []backends.Model{{Name: "m", Version: 3}}})
	}
	opt := Options{
		Protocol: testProtocol{}, Backends: registry, Weights: fixedWeights{newest: 3}, Prefixes: cachemap.New(),
		RetryBudget: NewRetryBudget(RetryBudgetLimits{BaseRetries: 1000, Window: 10 * time.Second}), Config: func() *routes.Config { return config },
		PrefixCounts: popularity.NewCounter(), PrefixRates: popularity.NewRates(), Speeds: speed.NewTracker(),
		Shutdown: NewShutdown(), BodyMemory: NewBodyMemory(0), Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
	}
	opt.RetryBudget.SetNodes(40, time.Now())
	if change != nil {
		change(config, &opt)
	}
	if opt.Quarantine == nil {
		opt.Quarantine = testQuarantine("n", func() {}, time.Now)
	}
	config.Build()
	s := httptest.NewServer(NewRouter(opt))
	t.Cleanup(s.Close)
	return s
}

// testQuarantine returns a quarantine of a node that may not try quarantined parts.
func testQuarantine(node string, announce func(), now func() time.Time) *Quarantine {
	return NewQuarantine(QuarantineOptions{
		Node: node, MayTry: func() bool { return false }, Announce: announce, Now: now, Logger: slog.New(slog.DiscardHandler),
	})
}

type clientResult struct {
	status int
	body   string
	header http.Header
	err    error
}

func postRequest(t *testing.T, s *httptest.Server, path string, header http.Header) clientResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header = header.Clone()
	req.Header.Set("Id", "i1")
	response, err := testClient.Do(req)
	if err != nil {
		return clientResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResult{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}

// Guards against a second run of a request that must run only once, against a missing retry where one is
// allowed, and against status 503 for a request that may have run.
func TestRetryAfterFailedSend(t *testing.T) {
	failed := func(req *http.Request) string { return signedResponse(req, 500, "broken") }
	unsigned := func(req *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	}
	tests := map[string]struct {
		kind   routes.Kind
		first  func(req *http.Request) string
		status int
		sends  int
	}{
		"safe, not run":                 {routes.Safe, refusal, 200, 2},
		"safe, no response":             {routes.Safe, noResponse, 200, 2},
		"safe, failed":                  {routes.Safe, failed, 200, 2},
		"safe, not signed":              {routes.Safe, unsigned, 200, 2},
		"unsafe, not run":               {routes.Unsafe, refusal, 200, 2},
		"unsafe, no response":           {routes.Unsafe, noResponse, 502, 1},
		"unsafe, failed":                {routes.Unsafe, failed, 500, 1},
		"unsafe, not signed":            {routes.Unsafe, unsigned, 502, 1},
		"stream, not run":               {routes.Stream, refusal, 200, 2},
		"stream, no response":           {routes.Stream, noResponse, 502, 1},
		"stream, failed":                {routes.Stream, failed, 500, 1},
		"stream, truncated before data": {routes.Stream, func(req *http.Request) string { return eventStream(req, 1, 1, false) }, 502, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// Both backend servers share the function, so the first send fails at either.
			var mu sync.Mutex
			sends := 0
			respond := func(req *http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				if sends++; sends == 1 {
					return test.first(req)
				}
				return okResponse(req)
			}
			s := startGateway(t, test.kind, nil, startBackend(t, respond), startBackend(t, respond))
			r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
			require.NoError(t, r.err)
			assert.Equal(t, test.status, r.status, r.body)
			assert.Equal(t, test.sends, sends)
		})
	}
}

// Guards against a refusal that is delayed or has no Retry-After header.
func TestRequestRefusedByAllBackends(t *testing.T) {
	b := startBackend(t, refusal)
	s := startGateway(t, routes.Unsafe, nil, b)
	start := time.Now()
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.NotEmpty(t, r.header.Get("Retry-After"))
	assert.Less(t, time.Since(start), time.Second)
}

// Guards against a missing response after the client's timeout when the backend server does not respond.
func TestTimeoutReturnsGatewayTimeout(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	b := startBackend(t, func(*http.Request) string {
		<-release
		return ""
	})
	s := startGateway(t, routes.Unsafe, nil, b)
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"200"}})
	assert.Equal(t, http.StatusGatewayTimeout, r.status)
}

// Guards against missing or repeated events when a stream continues at another engine.
func TestResumableStreamContinuesAtAnotherEngine(t *testing.T) {
	respond := func(req *http.Request) string {
		if req.Header.Get("After") == "" {
			return eventStream(req, 1, 4, false)
		}
		after, _ := strconv.Atoi(req.Header.Get("After"))
		return eventStream(req, after+1, 6, true)
	}
	s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) { c.Routes[0].Resumable = true }, startBackend(t, respond), startBackend(t, respond))
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	require.NoError(t, r.err)
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	assert.Equal(t, want, r.body)
}

// Guards against a truncated stream that looks complete to the client.
func TestTruncatedStreamFailsAtClient(t *testing.T) {
	s := startGateway(t, routes.Stream, nil, startBackend(t, func(req *http.Request) string { return eventStream(req, 1, 4, false) }))
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	assert.Error(t, r.err)
}

// Guards against a backend server that keeps working for a client that has disconnected.
func TestClientDisconnectClosesBackendConnection(t *testing.T) {
	gone := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		_, _ = io.Copy(io.Discard, r)
		close(gone)
	}()
	s := startGateway(t, routes.Stream, nil, &fakeBackend{address: l.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/p/x", nil)
	require.NoError(t, err)
	req.Host = "h"
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = testClient.Do(req)
	require.Error(t, err)
	<-gone
}

// Guards against requests without a route or a valid API key that reach a backend server, and against a
// wrong workspace.
func TestAdmission(t *testing.T) {
	b := startBackend(t, okResponse)
	s := startGateway(t, routes.Safe, func(c *routes.Config, _ *Options) {
		c.Workspaces = []routes.Workspace{{Name: "t1", APIKeys: []string{"k1"}}}
		c.Routes = append(c.Routes, routes.Route{Name: "open", Host: "h", Prefix: "/p/open/", Kind: routes.Safe, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Public: true, Targets: c.Routes[0].Targets})
	}, b)
	tests := map[string]struct {
		path, key string
		status    int
		tenant    string
	}{
		"known key":           {"/p/x", "k1", 200, "t1"},
		"unknown key":         {"/p/x", "k2", 401, ""},
		"no key":              {"/p/x", "", 401, ""},
		"no route":            {"/q/x", "k1", 404, ""},
		"public without key":  {"/p/open/x", "", 200, ""},
		"longest prefix wins": {"/p/open/x", "k1", 200, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := b.runs()
			r := postRequest(t, s, test.path, http.Header{"Key": {test.key}, "Wait": {"900"}})
			assert.Equal(t, test.status, r.status)
			if test.status != 200 {
				assert.Equal(t, before, b.runs())
				return
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			assert.Equal(t, test.tenant, b.seen[len(b.seen)-1].Header.Get("Tenant"))
		})
	}
}

// Guards against use of KV cache entries from other weights or of an isolated workspace. The cache salt
// must contain both, and the engine must get the same version as the salt.
func TestCacheSaltContainsVersionAndIsolatedWorkspace(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		b := startBackend(t, okResponse)
		s := startGateway(t, routes.Safe, func(c *routes.Config, _ *Options) {
			c.Workspaces = []routes.Workspace{{Name: "t1", APIKeys: []string{"k1"}, Isolated: isolated}}
			c.Services["s"] = routes.Service{Name: "s", HasEngines: true}
			c.Routes[0].Sticky = true
		}, b)
		r := postRequest(t, s, "/p/x", http.Header{"Key": {"k1"}, "M": {"m"}, "Parts": {"1"}})
		require.Equal(t, 200, r.status)
		want := "3"
		if isolated {
			want = "3/t1"
		}
		assert.Equal(t, want, b.seen[0].Header.Get("Namespace"))
		assert.Equal(t, "3", b.seen[0].Header.Get("V"))
	}
}

// Guards against a request that starts on weights below the lowest allowed version.
func TestOutdatedWeightsAreNotUsed(t *testing.T) {
	b := startBackend(t, okResponse)
	s := startGateway(t, routes.Safe, func(_ *routes.Config, o *Options) { o.Weights = fixedWeights{newest: 4, lowest: 4} }, b)
	r := postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Wait": {"900"}})
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Zero(t, b.runs())
}

// Guards against a request that stays in an engine's queue until it may no longer start on its weights.
func TestQueuedRequestIsCancelledAtStartDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	b := startBackend(t, func(*http.Request) string {
		<-release
		return ""
	})
	s := startGateway(t, routes.Unsafe, func(_ *routes.Config, o *Options) { o.Weights = fixedWeights{newest: 4} }, b)
	start := time.Now()
	r := postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Wait": {"1900"}})
	assert.Equal(t, http.StatusBadGateway, r.status)
	assert.Less(t, time.Since(start), 1500*time.Millisecond)
}

// replacedWeights is a DesiredWeights of which a newer version becomes known at a time and is mandatory at once.
type replacedWeights struct {
	fixedWeights
	replacedAt time.Time
}

func (w replacedWeights) StartDeadline(string, int) time.Time {
	if time.Now().Before(w.replacedAt) {
		return time.Time{}
	}
	return w.replacedAt
}

// Guards against a request that begins on old weights because they were replaced only after it had been sent to an
// engine, in whose queue it waits.
func TestQueuedRequestIsCancelledIfItsWeightsAreReplacedMeanwhile(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	b := startBackend(t, func(*http.Request) string {
		<-release
		return ""
	})
	weights := replacedWeights{fixedWeights: fixedWeights{newest: 3}, replacedAt: time.Now().Add(200 * time.Millisecond)}
	s := startGateway(t, routes.Unsafe, func(_ *routes.Config, o *Options) { o.Weights = weights }, b)
	start := time.Now()
	r := postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Wait": {"1900"}})
	assert.Equal(t, http.StatusBadGateway, r.status)
	assert.Less(t, time.Since(start), 1500*time.Millisecond)
}

// Guards against a request that is sent on old weights because the node was paused after it had chosen the engine.
func TestRequestIsNotSentAfterItsStartDeadline(t *testing.T) {
	var arrivals atomic.Int32
	b := startBackend(t, func(*http.Request) string {
		arrivals.Add(1)
		return ""
	})
	weights := replacedWeights{fixedWeights: fixedWeights{newest: 3}, replacedAt: time.Now().Add(-time.Millisecond)}
	s := startGateway(t, routes.Unsafe, func(_ *routes.Config, o *Options) { o.Weights = weights }, b)
	r := postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Wait": {"300"}})
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Zero(t, arrivals.Load())
}

// Guards against more retries than this node's part of the budget.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(RetryBudgetLimits{Ratio: 0.2, BaseRetries: 100, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	b.SetNodes(10, now)
	taken := 0
	for range 100 {
		b.RecordRequest("s", now)
		if b.AllowRetry("s", now) {
			taken++
		}
	}
	assert.InDelta(t, budgetFraction*(0.2*100+10), taken, 1)
	assert.False(t, b.AllowRetry("s", now.Add(9*time.Second)))
	assert.True(t, b.AllowRetry("s", now.Add(21*time.Second)), "the window has expired")
	assert.True(t, b.AllowRetry("other", now), "each service has its own budget")
}

// Guards against the fault of a day on which all nodes lost power: each used a part of the base for 40 nodes,
// although there were 295, before it knew their number; and against nodes that use larger parts while others are
// missing for a moment.
func TestRetryBudgetBeforeNodesAreKnown(t *testing.T) {
	const nodes, base, window = 295, 630, 10 * time.Second
	now := time.Unix(1000, 0)
	total := 0
	for range nodes {
		b := NewRetryBudget(RetryBudgetLimits{Ratio: 0.2, BaseRetries: base, Window: window})
		for range 20 {
			if b.AllowRetry("s", now) {
				total++
			}
		}
		b.SetNodes(nodes, now)
		b.SetNodes(nodes/3, now.Add(window/2))
		for range 20 {
			if b.AllowRetry("s", now.Add(window/2)) {
				total++
			}
		}
	}
	assert.LessOrEqual(t, total, base)
	assert.Positive(t, total)
}

// Guards against relaying incomplete events, and against resuming a stream at the wrong event.
func TestEventSplitter(t *testing.T) {
	var s eventSplitter
	assert.Empty(t, s.push([]byte("id: 1\nda")))
	assert.Equal(t, "id: 1\ndata: id:9\n\n", string(s.push([]byte("ta: id:9\n\nid: 2"))))
	assert.Equal(t, "1", s.lastID)
	s.reset()
	assert.Equal(t, "data: y\n\n", string(s.push([]byte("data: y\n\n"))))
	assert.Equal(t, "1", s.lastID, "an event without an ID does not change the last ID")
}
