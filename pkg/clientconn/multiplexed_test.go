package clientconn

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/metrics"
)

// serveHTTP2 serves HTTP/2 without TLS within bounds, and returns a client with prior knowledge.
func serveHTTP2(t *testing.T, maxBytes int64, h http.HandlerFunc) (b *Budget, client *http.Client, url string) {
	t.Helper()
	b = New(Options{MaxBytes: maxBytes, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New()})
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := b.Listen(inner, ListenerOptions{HTTP2: true, ChargeBodies: true, HeadTimeout: testTimeout, MaxHeadBytes: 64 << 10})
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, ReadHeaderTimeout: testTimeout, Protocols: &protocols}
	l.Configure(s)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return b, &http.Client{Transport: transport, Timeout: testTimeout / 2}, "http://" + inner.Addr().String()
}

// Guards against a preface of HTTP/2 that is not recognised, because net/http reads it in two parts: what follows is then taken
// for a head whose end does not come.
func TestHTTP2WithoutTLSIsNotDelayed(t *testing.T) {
	b, client, url := serveHTTP2(t, 1<<20, respondOK)
	for range 2 {
		resp, err := client.Get(url)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.Equal(t, 2, resp.ProtoMajor)
		require.NoError(t, resp.Body.Close())
	}
	assert.EqualValues(t, connBytes+multiplexedBytes, b.Used())
}

// Guards against bodies on HTTP/2 connections that nothing bounds, and whose charge does not end with their request.
func TestMultiplexedBodiesAreCharged(t *testing.T) {
	const maxBytes = 1 << 20
	refused := make(chan bool, 1)
	b, client, url := serveHTTP2(t, maxBytes, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		refused <- errors.Is(err, ErrMemory)
	})
	for _, test := range []struct {
		bytes   int
		refused bool
	}{{maxBytes / 4, false}, {maxBytes, true}, {maxBytes / 4, false}} {
		resp, err := client.Post(url, "", bytes.NewReader(make([]byte, test.bytes)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		assert.Equal(t, test.refused, <-refused, "%d bytes", test.bytes)
		require.Eventually(t, func() bool { return b.Used() == connBytes+multiplexedBytes }, testTimeout, testTimeout/1000)
	}
}
