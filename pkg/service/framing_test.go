package service

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Guards against a response without length or chunks that is not relayed in full, or that looks complete although its
// connection was reset.
func TestUnframedResponseIsCompleteUnlessReset(t *testing.T) {
	const text = "fine"
	for name, test := range map[string]struct{ nonIdempotent, reset bool }{
		"idempotent, closed":     {false, false},
		"idempotent, reset":      {false, true},
		"non-idempotent, closed": {true, false},
		"non-idempotent, reset":  {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			for _, l := range env.listeners {
				l.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					c, _, err := http.NewResponseController(w).Hijack()
					if !assert.NoError(t, err) {
						return
					}
					defer c.Close()
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"+text)
					if test.reset {
						// The pause lets the node read the text. Close then sends RST instead of FIN.
						time.Sleep(30 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
			}
			env.call.Route.NonIdempotent = test.nonIdempotent
			switch {
			case test.reset && test.nonIdempotent:
				assertError(t, env.book("k"), fault.OutcomeUnknown, fault.Unknown)
			case test.reset:
				assert.PanicsWithValue(t, http.ErrAbortHandler, func() { env.do(http.MethodGet, "/list", "", "") })
			default:
				w := env.book("k")
				require.Equal(t, http.StatusOK, w.Code)
				assert.Equal(t, text, w.Body.String())
			}
		})
	}
}
