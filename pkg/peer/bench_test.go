package peer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newTestServer returns a server that has not been started.
func newTestServer(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	Configure(s.Config)
	return s
}

func startTestServer(h http.Handler) *httptest.Server {
	s := newTestServer(h)
	s.Start()
	return s
}

// BenchmarkCall measures the duration of a call with a nearly empty body and its bytes in both
// directions, without TCP and IP headers.
func BenchmarkCall(b *testing.B) {
	now := time.Unix(1000, 0)
	var bytes atomic.Int64
	k, err := NewKeyring(keyA)
	if err != nil {
		b.Fatal(err)
	}
	server := newTestServer(NewServer(&fakePeer{}, newAuth(k, "", &now)))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	pool := NewPool(newAuth(k, "", &now))
	defer pool.Close()
	client := pool.Client(strings.TrimPrefix(server.URL, "http://"))
	for b.Loop() {
		if _, err := client.FetchConfig(b.Context(), &peerpb.FetchConfigRequest{HaveVersion: 6}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wireB/op")
}
