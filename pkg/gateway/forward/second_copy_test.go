package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// Guards against a second copy of a refusal, on a connection that was kept, that is taken for the response to the same
// request sent again: the client would be told that the request was not run while the server runs it.
func TestSecondCopyOfARefusalIsNotTheResponseToTheRequestSentAgain(t *testing.T) {
	var mu sync.Mutex
	seen, runs := 0, 0
	address := rawserver.Serve(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		refused := false
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			mu.Lock()
			seen++
			first := seen == 1
			if !first {
				runs++
			}
			mu.Unlock()
			if first || refused {
				// The second time, the copy precedes the response of the run.
				refused = true
				_, _ = io.WriteString(c, refusal(req))
			}
			if !first {
				_, _ = io.WriteString(c, okResponse(req))
				return
			}
		}
	})
	s := startGateway(t, routes.Unsafe, nil, &fakeBackend{address: address})
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
	require.NoError(t, r.err)
	assert.Equal(t, http.StatusOK, r.status)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 1, runs)
}
