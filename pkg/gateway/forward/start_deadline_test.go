package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against a deadline that is late by the time for which the VM was suspended: timers do not count it.
func TestStartDeadlineCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		deadline := time.Now().Add(10 * time.Second)
		expired := make(chan struct{})
		w := &startWatch{
			deadline: func() time.Time { return deadline }, expire: func() { close(expired) },
			now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
		}
		w.start()
		time.Sleep(time.Second)
		suspended.Store(int64(9 * time.Second))
		resumedAt := time.Now()
		<-expired
		assert.LessOrEqual(t, time.Since(resumedAt), startCheckInterval)
	})
}

// passingWeights are versions of which the start deadline has passed once passed is set.
type passingWeights struct {
	fixedWeights
	passed *atomic.Bool
}

func (w passingWeights) StartDeadline(string, int) time.Time {
	if w.passed.Load() {
		return time.Now()
	}
	return time.Time{}
}

// Guards against a response that is cut because its request started just before the start deadline: its first bytes have
// arrived when the deadline passes.
func TestRequestThatStartsAtTheDeadlineIsNotCut(t *testing.T) {
	for name, kind := range map[string]routes.Kind{"unsafe": routes.Unsafe, "stream": routes.Stream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var passed atomic.Bool
			b := startWriter(t, func(c net.Conn, req *http.Request) {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: ", req.Header.Get("Id"))
				time.Sleep(startCheckInterval)
				passed.Store(true)
				time.Sleep(2 * startCheckInterval)
				fmt.Fprint(c, "\r\nSig: s\r\nConnection: close\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n")
			})
			s := startGateway(t, kind, func(c *routes.Config, opt *Options) {
				c.Routes[0].Timeout, opt.Weights = 8*time.Second, passingWeights{fixedWeights{newest: 3}, &passed}
			}, b)
			r := postRequest(t, s, "/p/x", http.Header{"M": {"m"}, "Wait": {"7000"}})
			assert.NoError(t, r.err)
			assert.Equal(t, "id: 1\ndata: x\n\n", r.body)
		})
	}
}
