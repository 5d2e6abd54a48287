package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// startWriter starts a backend server that answers each request by write, which gets the connection.
func startWriter(t *testing.T, write func(c net.Conn, req *http.Request)) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		write(c, req)
	})}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
	return &fakeBackend{address: l.Addr().String()}
}

func writeStreamHead(c net.Conn, req *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: s\r\nConnection: close\r\n\r\n", req.Header.Get("Id"))
}

// Guards against a stalled stream that never ends because single bytes arrive now and then, and against a slow
// but sound stream that is cut.
func TestStalledStreamContinuesElsewhereAndSlowOneIsKept(t *testing.T) {
	const events, pause = 3, 700 * time.Millisecond
	tests := map[string]struct {
		first   func(c net.Conn, req *http.Request)
		sends   int64
		atLeast time.Duration
	}{
		"slow": {func(c net.Conn, req *http.Request) {
			writeStreamHead(c, req)
			for i := range events {
				time.Sleep(pause)
				fmt.Fprintf(c, "id: %d\ndata: x\n\n", i+1)
			}
		}, 1, events * pause},
		"stalled": {func(c net.Conn, req *http.Request) {
			writeStreamHead(c, req)
			for {
				if _, err := fmt.Fprint(c, ":"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, 2, streamIdleTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			respond := func(c net.Conn, req *http.Request) {
				if sends.Add(1) == 1 {
					test.first(c, req)
					return
				}
				writeStreamHead(c, req)
				for i := range events {
					fmt.Fprintf(c, "id: %d\ndata: x\n\n", i+1)
				}
			}
			s := startGateway(t, routes.Stream, func(c *routes.Config, _ *Options) {
				c.Routes[0].Resumable, c.Routes[0].Timeout = true, 8*time.Second
			}, startWriter(t, respond), startWriter(t, respond))
			began := time.Now()
			r := postRequest(t, s, "/p/x", http.Header{"Wait": {"8000"}})
			require.NoError(t, r.err)
			assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", r.body)
			assert.Equal(t, test.sends, sends.Load())
			assert.GreaterOrEqual(t, time.Since(began), test.atLeast)
			assert.Less(t, time.Since(began), 5*time.Second)
		})
	}
}

// Guards against a node that runs out of memory, or serves nothing else, while many engines send events or bodies
// without end. The limit is the memory that cassiawall-node gives the Go runtime of 120 MB, those of the smallest VMs.
func TestEndlessBodiesTakeLittleMemory(t *testing.T) {
	const endless, maxHeapBytes, blockPause = 64, 84 << 20, 5 * time.Millisecond
	block := make([]byte, 16<<10)
	for i := range block {
		block[i] = 'x'
	}
	var started atomic.Int64
	write := func(c net.Conn, req *http.Request) {
		writeStreamHead(c, req)
		started.Add(1)
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
			time.Sleep(blockPause)
		}
	}
	for _, kind := range []routes.Kind{routes.Safe, routes.Stream} {
		started.Store(0)
		// HeapInuse counts what is not collected yet, also the bodies of the test before this one.
		runtime.GC()
		sound := startBackend(t, okResponse)
		s := startGateway(t, kind, func(c *routes.Config, o *Options) {
			c.Routes[0].MaxAttempts, c.Routes[0].Timeout = 1, 8*time.Second
			other := c.Routes[0]
			other.Prefix, other.Kind, other.Targets = "/q/", routes.Safe, []routes.WeightedService{{Service: "sound", Weight: 1}}
			c.Routes = append(c.Routes, other)
			c.Services["sound"] = routes.Service{Name: "sound"}
			o.Backends.Put(backends.Backend{ID: "sound", Service: "sound", Address: sound.address})
		}, startWriter(t, write))
		ctx, cancel := context.WithCancel(t.Context())
		var clients sync.WaitGroup
		for range endless {
			clients.Go(func() { readUntilEnd(ctx, s) })
		}
		require.Eventually(t, func() bool { return started.Load() >= endless }, 7*time.Second, 5*time.Millisecond)
		var highest uint64
		for range 20 {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			highest = max(highest, stats.HeapInuse)
			assertServed(t, s)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Less(t, highest, uint64(maxHeapBytes))
		cancel()
		clients.Wait()
	}
}

// maxRefusals is the number of refusals after which a client gives up. A node refuses a request if it cannot connect
// to the server within exchange.DialTimeout, which a process without processor time does not.
const maxRefusals = 2

// assertServed asserts that a request to the sound server is served, as a client sees it that sends a request
// again after a refusal.
func assertServed(t *testing.T, s *httptest.Server) {
	t.Helper()
	r := postRequest(t, s, "/q/x", http.Header{"Wait": {"5000"}})
	for refusals := 0; r.status == http.StatusServiceUnavailable && refusals < maxRefusals; refusals++ {
		time.Sleep(retryPause)
		r = postRequest(t, s, "/q/x", http.Header{"Wait": {"5000"}})
	}
	assert.Equal(t, http.StatusOK, r.status, r.body)
}

// retryPause is the time for which a client waits before it sends a request again.
const retryPause = 50 * time.Millisecond

// readUntilEnd sends requests and discards the responses until ctx ends.
func readUntilEnd(ctx context.Context, s *httptest.Server) {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/endless", nil)
		if err != nil {
			return
		}
		req.Host, req.Header = "h", http.Header{"Id": {"1"}, "Wait": {"8000"}}
		if response, err := testClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		time.Sleep(retryPause)
	}
}
