package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against a stream that is cut because the engine that was to continue it refuses it.
func TestStreamIsContinuedAfterARefusal(t *testing.T) {
	for name, refusals := range map[string]int{"once": 1, "more often than other requests may be": 2 * maxRefusedSends} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			engine := startWriter(t, func(c net.Conn, req *http.Request) {
				switch n := sends.Add(1); {
				case n == 1:
					fmt.Fprint(c, eventStream(req, 1, 2, false))
				case n <= int64(1+refusals):
					fmt.Fprint(c, strings.Replace(refusal(req), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
				default:
					writeStreamHead(c, req)
					fmt.Fprint(c, "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
				}
			})
			checkCompleteStream(t, 2, nil, engine)
		})
	}
}

// Guards against a stream that is cut because its engine has ended while no engine or no retry budget is available, for a moment.
func TestBegunStreamWaitsForTheNextEngine(t *testing.T) {
	const unavailable = 700 * time.Millisecond
	tests := map[string]struct {
		configure func(opt *Options)
		// makeUnavailable is called before the first engine ends.
		makeUnavailable func(opt *Options)
	}{
		"all engines load weights": {
			func(*Options) {},
			func(opt *Options) { opt.Backends.SetLoading("b0", time.Now().Add(unavailable)) },
		},
		"the retry budget is spent": {
			func(opt *Options) {
				opt.RetryBudget = NewRetryBudget(RetryBudgetLimits{Ratio: 0.5, Window: 10 * time.Second})
			},
			func(opt *Options) {
				time.AfterFunc(unavailable, func() {
					for range 10 {
						opt.RetryBudget.RecordRequest("s", time.Now())
					}
				})
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			options := make(chan *Options, 1)
			engine := startWriter(t, func(c net.Conn, req *http.Request) {
				if sends.Add(1) == 1 {
					test.makeUnavailable(<-options)
					fmt.Fprint(c, eventStream(req, 1, 2, false))
					return
				}
				writeStreamHead(c, req)
				fmt.Fprint(c, "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
			})
			checkCompleteStream(t, 2, func(_ *routes.Config, opt *Options) {
				test.configure(opt)
				options <- opt
			}, engine)
		})
	}
}

// Guards against a stream that is cut because a send that reached no engine has used the retry budget.
func TestUnreachableEngineUsesNoRetryBudget(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	options := make(chan *Options, 1)
	engine := startWriter(t, func(c net.Conn, req *http.Request) {
		if sends.Add(1) == 1 {
			opt := <-options
			opt.Backends.SetLoading("b0", time.Now().Add(700*time.Millisecond))
			opt.Backends.Put(unreachableBackend(t, "unreachable"))
			fmt.Fprint(c, eventStream(req, 1, 2, false))
			return
		}
		writeStreamHead(c, req)
		fmt.Fprint(c, "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	})
	checkCompleteStream(t, 2, func(_ *routes.Config, opt *Options) {
		opt.RetryBudget = retries(1)
		options <- opt
	}, engine)
}

// Guards against a retry budget that loses the retries that were not made, or allows more than before for them.
func TestRefundedRetryIsAllowedAgain(t *testing.T) {
	t.Parallel()
	b, now := retries(2), time.Now()
	b.RecordRequest("s", now)
	b.Refund("s", now)
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, want, b.AllowRetry("s", now))
	}
	b.Refund("s", now.Add(time.Second))
	assert.True(t, b.AllowRetry("s", now.Add(time.Second)))
	assert.False(t, b.AllowRetry("s", now.Add(time.Second)))
}
