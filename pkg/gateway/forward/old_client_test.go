package forward

import (
	"fmt"
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

// Guards against a cut response that looks complete to a client of HTTP/1.0, for which a response without length ends with its
// connection.
func TestCutResponseToAClientOfHTTP10IsReset(t *testing.T) {
	for name, test := range map[string]struct {
		kind routes.Kind
		body string
		cut  bool
	}{
		"stream, cut":            {routes.Stream, eventsText(1, 3, "\n") + "id: 4\nda", true},
		"stream, complete":       {routes.Stream, eventsText(1, 3, "\n"), false},
		"over the buffer, cut":   {routes.Safe, strings.Repeat("x", 2*maxBufferedBytes), true},
		"over the buffer, whole": {routes.Safe, strings.Repeat("x", 2*maxBufferedBytes), false},
	} {
		t.Run(name, func(t *testing.T) {
			engine := startWriter(t, func(c net.Conn, req *http.Request) {
				fmt.Fprintf(c, "%s%x\r\n%s\r\n", responseHead(req, 200, eventStreamType, chunkedEncoding), len(test.body), test.body)
				if !test.cut {
					fmt.Fprint(c, "0\r\n\r\n")
				}
			})
			s := startGateway(t, test.kind, func(c *routes.Config, _ *Options) { c.Routes[0].MaxAttempts = 1 }, engine)
			client, err := net.DialTimeout("tcp4", s.Listener.Addr().String(), time.Second)
			require.NoError(t, err)
			defer client.Close()
			require.NoError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
			fmt.Fprint(client, "POST /p/x HTTP/1.0\r\nHost: h\r\nId: i1\r\nWait: 5000\r\nContent-Length: 4\r\n\r\nbody")
			response, err := io.ReadAll(client)
			assert.Equal(t, test.cut, err != nil, "%v", err)
			if !test.cut {
				assert.True(t, strings.HasSuffix(string(response), test.body))
			}
		})
	}
}
