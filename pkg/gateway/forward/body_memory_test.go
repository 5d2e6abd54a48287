package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against a node that runs out of memory because clients send large bodies whose responses take long, with a length and
// in chunks, and against one that then refuses small requests as well, or goes on to refuse large ones.
func TestLargeBodiesTakeBoundedMemory(t *testing.T) {
	// The bounds are the memory that cassiawall-node gives the Go runtime of 120 MB, those of the smallest VMs, and
	// a quarter for bodies.
	const clients, bodyBytes, maxHeapBytes, maxBodyMemory = 40, 4 << 20, 84 << 20, 30 << 20
	body := make([]byte, bodyBytes)
	respond := make(chan struct{})
	var arrived atomic.Int64
	engine := startBackend(t, func(req *http.Request) string {
		if req.ContentLength > 100 {
			arrived.Add(1)
			<-respond
		}
		return okResponse(req)
	})
	memory := NewBodyMemory(maxBodyMemory)
	s := startGateway(t, routes.Safe, func(c *routes.Config, opt *Options) {
		opt.BodyMemory, c.Routes[0].Timeout, c.Limits.MaxBodyBytes = memory, 20*time.Second, bodyBytes
	}, engine)
	var group sync.WaitGroup
	var served, refused atomic.Int64
	for i := range clients {
		group.Go(func() {
			switch r := postBody(t.Context(), s, body, i%2 == 0); r.status {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
				assert.NotEmpty(t, r.header.Get("Retry-After"))
			default:
				// The node may close the connection before the client has written its body.
				assert.Error(t, r.err)
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return arrived.Load() > 0 && arrived.Load()+refused.Load() == clients }, 10*time.Second, 5*time.Millisecond)
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	// The engine of this test keeps the bodies as well.
	assert.Less(t, int64(stats.HeapInuse)-arrived.Load()*2*bodyBytes, int64(maxHeapBytes))
	assert.LessOrEqual(t, memory.Used(), int64(maxBodyMemory))
	assert.Equal(t, http.StatusOK, postRequest(t, s, "/p/x", http.Header{"Wait": {"5000"}}).status, "a small request")
	close(respond)
	group.Wait()
	assert.Equal(t, arrived.Load(), served.Load())
	require.Eventually(t, func() bool { return memory.Used() == 0 }, time.Second, time.Millisecond)
	assert.Equal(t, http.StatusOK, postBody(t.Context(), s, body, true).status, "memory is available again")
}

// postBody sends a request with a body, in chunks unless withLength is set.
func postBody(ctx context.Context, s *httptest.Server, body []byte, withLength bool) clientResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/x", bytes.NewReader(body))
	if err != nil {
		return clientResult{err: err}
	}
	if !withLength {
		req.ContentLength = -1
	}
	req.Host, req.Header = "h", http.Header{"Id": {"i1"}, "Wait": {"15000"}}
	response, err := testClient.Do(req)
	if err != nil {
		return clientResult{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return clientResult{status: response.StatusCode, header: response.Header, err: err}
}

// Guards against a large body that never fits, small ones that large ones crowd out, and memory that is not released.
func TestBodyMemory(t *testing.T) {
	m := NewBodyMemory(1 << 20)
	first, second, small := bodyReservation{memory: m}, bodyReservation{memory: m}, bodyReservation{memory: m}
	require.NoError(t, first.reserve(2<<20), "the only body")
	assert.ErrorIs(t, second.reserve(100<<10), errBodyMemory)
	first.release()
	require.NoError(t, first.reserve(700<<10))
	assert.ErrorIs(t, second.reserve(100<<10), errBodyMemory)
	assert.NoError(t, small.reserve(smallBodyBytes))
	first.release()
	small.release()
	assert.Zero(t, m.Used())
	unlimited := bodyReservation{memory: NewBodyMemory(0)}
	assert.NoError(t, unlimited.reserve(1<<40))
}

// Guards against a body in chunks that is changed, or looks complete although it was cut.
func TestBodyWithoutLength(t *testing.T) {
	for _, size := range []int{0, 1, initialBodyBytes, initialBodyBytes + 1, 100_000} {
		content := bytes.Repeat([]byte("abc"), size)[:size]
		b := bodyReservation{memory: NewBodyMemory(0)}
		body, err := b.readAll(bytes.NewReader(content), 100_000)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(content, bytes.Join(body, nil)))
	}
	cut := errors.New("cut")
	for _, err := range []error{cut, io.ErrUnexpectedEOF} {
		b := bodyReservation{memory: NewBodyMemory(0)}
		_, got := b.readAll(io.MultiReader(bytes.NewReader([]byte("abc")), &failingReader{err}), 100)
		assert.ErrorIs(t, got, err)
	}
	b := bodyReservation{memory: NewBodyMemory(0)}
	body, err := b.readAll(bytes.NewReader(make([]byte, 200)), 100)
	require.NoError(t, err)
	assert.Greater(t, body.Len(), 100, "the caller sees that it is too long")
}

// Guards against a body in chunks that takes a multiple of its size while it is read.
func TestBodyWithoutLengthIsNotCopied(t *testing.T) {
	const bodyBytes = 4 << 20
	b := bodyReservation{memory: NewBodyMemory(0)}
	content := bytes.NewReader(make([]byte, bodyBytes))
	allocated := rawserver.AllocatedBytes(func() {
		body, err := b.readAll(content, bodyBytes)
		require.NoError(t, err)
		require.Equal(t, bodyBytes, body.Len())
	})
	const slack = bodyBytes / 8
	assert.LessOrEqual(t, allocated, uint64(bodyBytes+slack))
	assert.LessOrEqual(t, b.reserved, int64(bodyBytes+slack))
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against a request that is refused while stalled bodies hold the memory, and against a wait when there are none.
func TestStalledBodiesMakeRoom(t *testing.T) {
	m := NewBodyMemory(100 << 10)
	stalled := bodyReservation{memory: m}
	require.NoError(t, stalled.reserve(90<<10))
	next := bodyReservation{memory: m}
	m.SetMakeRoom(func(int64) bool { return false })
	require.ErrorIs(t, next.reserve(20<<10), errBodyMemory)
	m.SetMakeRoom(func(n int64) bool {
		assert.Equal(t, int64(smallBodyBytes), n)
		go stalled.release()
		return true
	})
	require.NoError(t, next.reserve(20<<10))
	assert.Equal(t, int64(20<<10), m.Used())
}
