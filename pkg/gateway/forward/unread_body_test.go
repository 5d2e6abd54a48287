package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against a response to a request that is not forwarded that waits for a body whose client has stopped sending.
func TestResponseDoesNotWaitForABodyThatIsNotForwarded(t *testing.T) {
	const maxBodyBytes = 64 << 10
	served := startGateway(t, routes.Unsafe, func(c *routes.Config, _ *Options) { c.Limits.MaxBodyBytes = maxBodyBytes })
	unready := startGateway(t, routes.Unsafe, func(_ *routes.Config, opt *Options) {
		opt.Config = func() *routes.Config { return nil }
	})
	for name, test := range map[string]struct {
		url, path, framing string
		status             int
	}{
		"unknown route":            {served.URL, "/other/", "Content-Length: 100000", http.StatusNotFound},
		"unknown route, in chunks": {served.URL, "/other/", "Transfer-Encoding: chunked", http.StatusNotFound},
		"over the limit":           {served.URL, "/p/x", "Content-Length: 100000", http.StatusRequestEntityTooLarge},
		"no configuration":         {unready.URL, "/p/x", "Content-Length: 100000", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp4", strings.TrimPrefix(test.url, "http://"))
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(c, "POST "+test.path+" HTTP/1.1\r\nHost: h\r\nId: i1\r\n"+test.framing+"\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, test.status, resp.StatusCode)
			assert.True(t, resp.Close)
		})
	}
}
