package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/standin/rawserver"
)

// rawBackend makes a server that writes raw bytes the only backend server of the service.
func (env *testEnv) rawBackend(serve func(c net.Conn)) {
	for key := range env.board.Services.Snapshot() {
		env.board.Services.Delete(key)
	}
	key := blackboard.ServiceKey{Service: "ratiba", Address: rawserver.Serve(env.t, serve)}
	env.board.Services.Put(key, blackboard.ServiceEntry{DataCentre: "dar-a", Reachable: true}, blackboard.Evidence{})
}

// Guards against a part of a response that reaches the caller as a complete one: a backend server answered a long upload at
// once with a response without length, and ended the connection while the upload was still being written.
func TestPartOfAResponseDuringAnUploadIsNotComplete(t *testing.T) {
	const uploadBytes, pause = 12 << 20, 30 * time.Millisecond
	ends := map[string]func(c *net.TCPConn){
		"reset":                      func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"sending side closed":        func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(3 * pause); _ = c.SetLinger(0) },
		"sending side, then a reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) },
	}
	for end, endConnection := range ends {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, non-idempotent %v", end, nonIdempotent), func(t *testing.T) {
				env := newTestEnv(t)
				env.rawBackend(func(c net.Conn) {
					_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
					var head [512]byte
					if _, err := c.Read(head[:]); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(pause)
					endConnection(c.(*net.TCPConn))
				})
				env.call.Route.NonIdempotent = nonIdempotent
				body := strings.Repeat("x", uploadBytes)
				if nonIdempotent {
					assertError(t, env.do(http.MethodPost, "/book", "k", body), fault.OutcomeUnknown, fault.Unknown)
					return
				}
				assert.PanicsWithValue(t, http.ErrAbortHandler, func() {
					w := env.do(http.MethodPost, "/list", "", body)
					t.Logf("the caller got %d %q as complete", w.Code, w.Body.String())
				})
			})
		}
	}
}

// Guards against a status that is none and reaches the caller as the status of a response, or ends the node's handler.
func TestInvalidStatusDoesNotReachTheCaller(t *testing.T) {
	for _, status := range []string{"000 X", "001 X", "099 X", "101 X", "199 X", "600 X", "999 X", "1000 X", "20 X", "-00 X", "+20 X", "+200 X", "2 00 X", "", "X"} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, non-idempotent %v", status, nonIdempotent), func(t *testing.T) {
				env := newTestEnv(t)
				env.rawBackend(func(c net.Conn) {
					var head [4096]byte
					if _, err := c.Read(head[:]); err == nil {
						fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok", status)
					}
				})
				env.call.Route.NonIdempotent = nonIdempotent
				w := env.do(http.MethodPost, "/book", "k", "body")
				if nonIdempotent {
					assertError(t, w, fault.OutcomeUnknown, fault.Unknown)
					return
				}
				assertError(t, w, fault.BackendFailed, fault.Unknown)
			})
		}
	}
}

// Guards against a cut response that looks complete to a caller of HTTP/1.0, for which a response without length ends with its
// connection.
func TestCutResponseToACallerOfHTTP10IsReset(t *testing.T) {
	for name, end := range map[string]string{"cut": "", "complete": "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.rawBackend(func(c net.Conn) {
				var head [4096]byte
				if _, err := c.Read(head[:]); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"+end)
				}
			})
			env.call.Route.NonIdempotent = false
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { env.dispatcher.Dispatch(w, r, env.call) }))
			defer node.Close()
			caller, err := net.Dial("tcp4", node.Listener.Addr().String())
			require.NoError(t, err)
			defer caller.Close()
			require.NoError(t, caller.SetDeadline(time.Now().Add(10*time.Second)))
			_, _ = io.WriteString(caller, "POST /list HTTP/1.0\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
			_, err = io.ReadAll(caller)
			assert.Equal(t, name == "cut", err != nil, "%v", err)
		})
	}
}
