package forward

import (
	"context"
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
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// uploadBytes is the size of a request that no server's and no node's socket holds.
const uploadBytes = 12 << 20

// Guards against a part of a response that reaches the client as a complete one: an engine answered a long upload at once with
// a response without length, and ended the connection while the upload was still being written.
func TestPartOfAResponseDuringAnUploadIsNotComplete(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset":                      func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"sending side closed":        func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(3 * segmentPause); _ = c.SetLinger(0) },
		"sending side, then a reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) },
	}
	for end, endConnection := range ends {
		for name, change := range map[string]func(*routes.Route){
			"safe":             func(r *routes.Route) { r.Kind = routes.Safe },
			"unsafe":           func(r *routes.Route) { r.Kind = routes.Unsafe },
			"stream":           func(r *routes.Route) { r.Kind = routes.Stream },
			"resumable stream": func(r *routes.Route) { r.Kind, r.Resumable = routes.Stream, true },
		} {
			t.Run(end+", "+name, func(t *testing.T) {
				t.Parallel()
				address := rawserver.Serve(t, func(c net.Conn) {
					_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
					var head [512]byte
					if _, err := c.Read(head[:]); err != nil {
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: i1\r\nSig: s\r\n"+eventStreamType+"\r\n\r\n"+eventsText(1, 2, "\n"))
					time.Sleep(segmentPause)
					endConnection(c.(*net.TCPConn))
				})
				s := startGateway(t, routes.Safe, func(c *routes.Config, _ *Options) { c.Limits.MaxBodyBytes = uploadBytes; change(&c.Routes[0]) }, &fakeBackend{address: address})
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/x", strings.NewReader(strings.Repeat("x", uploadBytes)))
				require.NoError(t, err)
				req.Host, req.Header = "h", http.Header{"Id": {"i1"}, "Wait": {"3000"}}
				response, err := testClient.Do(req)
				if err != nil {
					return
				}
				defer response.Body.Close()
				var body strings.Builder
				_, err = io.Copy(&body, response.Body)
				assert.True(t, err != nil || response.StatusCode >= 500, "the client got %d %q as complete", response.StatusCode, body.String())
			})
		}
	}
}

// Guards against a status that is none and reaches the client as the status of a response.
func TestInvalidStatusDoesNotReachTheClient(t *testing.T) {
	for name, kind := range map[string]routes.Kind{"safe": routes.Safe, "unsafe": routes.Unsafe, "stream": routes.Stream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status := ""
			engine := startBackend(t, func(req *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 %s\r\nId: i1\r\nSig: s\r\n%s\r\nContent-Length: 2\r\n\r\nok", status, eventStreamType)
			})
			s := startGateway(t, kind, func(c *routes.Config, _ *Options) { c.Routes[0].MaxAttempts = 1 }, engine)
			for _, status = range []string{"000 X", "001 X", "099 X", "100 X", "101 X", "199 X", "600 X", "700 X", "999 X", "1000 X", "2000 X", "20 X", "-00 X", "+20 X", "+200 X", "-200 X", "2 00 X", "", "X"} {
				r := postRequest(t, s, "/p/x", http.Header{"Wait": {"1500"}})
				assert.NoError(t, r.err, "%q", status)
				assert.Equal(t, http.StatusBadGateway, r.status, "%q", status)
			}
		})
	}
}
