package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/metrics"
)

// testTimeout ends a test that hangs.
const testTimeout = 10 * time.Second

// serve serves a handler within bounds, and returns the budget and the address.
func serve(t *testing.T, maxBytes int64, opt ListenerOptions, h http.HandlerFunc) (*Budget, string) {
	t.Helper()
	b := New(Options{MaxBytes: maxBytes, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := b.Listen(inner, opt)
	s := &http.Server{Handler: h, ReadHeaderTimeout: testTimeout}
	l.Configure(s)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return b, inner.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// status reads a response without a body and returns its status.
func status(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

func isClosed(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

func respondOK(http.ResponseWriter, *http.Request) {}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against heads in parts, pipelined requests and bodies that are lost, reordered or counted as heads.
func TestRequestsArriveWhole(t *testing.T) {
	var bodies []string
	b, address := serve(t, 1<<20, ListenerOptions{MaxHeadBytes: 8 << 10, MaxFields: 100}, func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		bodies = append(bodies, r.Header.Get("X")+":"+string(body))
	})
	post := func(x, body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s", x, len(body), body)
	}
	lines := strings.Repeat("line\n", 300)
	c := dial(t, address)
	r := bufio.NewReader(c)
	for _, parts := range [][]string{
		{post("a", "1")},
		{post("b", "2") + post("c", lines)},
		strings.SplitAfter(post("d", "4"), "\r"),
		strings.SplitAfter(post(strings.Repeat("e", 5000), lines), "\n"),
		{post("f", "6")[:30], post("f", "6")[30:] + post("g", "7")},
	} {
		for i, part := range parts {
			send(t, c, part)
			if i < 20 {
				time.Sleep(time.Millisecond)
			}
		}
	}
	for range 7 {
		assert.Equal(t, http.StatusOK, status(t, r))
	}
	assert.Equal(t, []string{"a:1", "b:2", "c:" + lines, "d:4", strings.Repeat("e", 5000) + ":" + lines, "f:6", "g:7"}, bodies)
	require.NoError(t, c.Close())
	assert.Eventually(t, func() bool { return b.Used() == 0 }, testTimeout, time.Millisecond, "the charge of a closed connection remains")
}

// Guards against heads beyond the limits that are read, or refused without a true status.
func TestHeadsBeyondTheLimitsAreRefused(t *testing.T) {
	_, address := serve(t, 1<<20, ListenerOptions{MaxHeadBytes: 8 << 10, MaxFields: 2000}, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") })
	for name, head := range map[string]string{
		"fields": request[:len(request)-2] + strings.Repeat("a:\n", 2100),
		"bytes":  request[:len(request)-2] + "X: " + strings.Repeat("a", 9<<10),
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			send(t, c, head)
			assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(t, bufio.NewReader(c)))
		})
	}
}

// Guards against a bound at which new clients are locked out, or an ordinary connection is closed before an unfinished head.
func TestUnfinishedHeadsAreClosedFirst(t *testing.T) {
	_, address := serve(t, 0, ListenerOptions{MaxConns: 3}, respondOK)
	idle := dial(t, address)
	send(t, idle, request)
	r := bufio.NewReader(idle)
	require.Equal(t, http.StatusOK, status(t, r))
	var unfinished []net.Conn
	for range 2 {
		c := dial(t, address)
		send(t, c, request[:20])
		unfinished = append(unfinished, c)
		time.Sleep(headGrace)
	}
	next := dial(t, address)
	send(t, next, request)
	assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(next)))
	assert.True(t, isClosed(unfinished[0]), "the oldest unfinished head is still open")
	send(t, idle, request)
	assert.Equal(t, http.StatusOK, status(t, r))
}

// Guards against small heads that are closed in favour of a large one.
func TestLargestHeadIsClosedFirst(t *testing.T) {
	b, address := serve(t, 3*connBytes+40<<10, ListenerOptions{}, respondOK)
	small := dial(t, address)
	send(t, small, request[:20])
	large := dial(t, address)
	send(t, large, request[:20]+strings.Repeat("a", 20<<10))
	require.Eventually(t, func() bool { return b.Used() > 2*connBytes+20<<10 }, testTimeout, time.Millisecond)
	next := dial(t, address)
	send(t, next, request[:20]+strings.Repeat("a", 12<<10))
	assert.True(t, isClosed(large), "the largest head is still open")
	send(t, small, request[20:])
	assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(small)))
}

// Guards against a running request that is closed in favour of others, and against a refusal whose request has run.
func TestRunningRequestsAreNotClosed(t *testing.T) {
	started, finish := make(chan struct{}, 1), make(chan struct{})
	_, address := serve(t, 3*connBytes+10<<10, ListenerOptions{RunBytes: 30 << 10, Refuse: func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}}, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-finish
	})
	running := dial(t, address)
	send(t, running, request)
	<-started
	second := dial(t, address)
	send(t, second, request)
	assert.Equal(t, http.StatusServiceUnavailable, status(t, bufio.NewReader(second)))
	close(finish)
	assert.Equal(t, http.StatusOK, status(t, bufio.NewReader(running)))
}

// Guards against stalled bodies that keep their memory while others need it, and against one that still arrives being closed.
func TestStalledBodiesAreClosed(t *testing.T) {
	b, address := serve(t, 0, ListenerOptions{}, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	c := dial(t, address)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("b", 999))
	assert.False(t, b.CloseStalledBodies(1), "the body has not stalled yet")
	assert.Eventually(t, func() bool { return b.CloseStalledBodies(1) }, testTimeout, 20*time.Millisecond)
	assert.True(t, isClosed(c))
}

// repeatedReader is a connection on which the same bytes arrive.
type repeatedReader struct {
	net.Conn
	text string
}

func (r repeatedReader) Read(p []byte) (int, error)  { return copy(p, r.text), nil }
func (r repeatedReader) Write(p []byte) (int, error) { return len(p), nil }

// Guards against allocations in each read and write of an ordinary request.
func TestOrdinaryRequestsAllocateNothing(t *testing.T) {
	b := New(Options{MaxBytes: 1 << 20, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})
	c := &conn{Conn: repeatedReader{text: request}, listener: b.Listen(nil, ListenerOptions{MaxFields: 100, MaxHeadBytes: 8 << 10, RunBytes: 1 << 10})}
	c.held.Store(connBytes)
	buffer, r := make([]byte, 4<<10), &http.Request{Body: http.NoBody}
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		_, _ = c.Read(buffer)
		c.begin(r)
		_, _ = c.Write(buffer[:100])
		c.change(http.StateIdle)
	}))
}

// BenchmarkRequest measures what the bounds add to an ordinary request.
func BenchmarkRequest(b *testing.B) {
	budget := New(Options{MaxBytes: 1 << 20, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})
	head := strings.TrimSuffix(request, "\r\n") + strings.Repeat("X-Field: some value of a field\r\n", 12) + "\r\n"
	c := &conn{Conn: repeatedReader{text: head}, listener: budget.Listen(nil, ListenerOptions{MaxFields: 100, MaxHeadBytes: 8 << 10, RunBytes: 1 << 10})}
	c.held.Store(connBytes)
	buffer, r := make([]byte, 4<<10), &http.Request{Body: http.NoBody}
	for b.Loop() {
		_, _ = c.Read(buffer)
		c.begin(r)
		_, _ = c.Write(buffer[:100])
		c.change(http.StateIdle)
	}
}

// Guards against heads whose end is not found, which would be held back, at any split of their bytes.
func TestHeadCounter(t *testing.T) {
	for text, want := range map[string]headCounter{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n":     {lines: 2, done: true},
		"GET / HTTP/1.1\nA: b\n\n":           {lines: 2, done: true},
		"\r\n\nGET / HTTP/1.1\r\n\r\nx\ny\n": {lines: 1, done: true, following: 2},
		"GET / HTTP/1.1\r\nA: \r\r\n":        {lines: 2},
	} {
		for split := range len(text) {
			var h headCounter
			h.add([]byte(text[:split]))
			h.add([]byte(text[split:]))
			assert.Equal(t, []any{want.lines, want.done, want.following}, []any{h.lines, h.done, h.following}, "%q split at %d", text, split)
		}
	}
}
