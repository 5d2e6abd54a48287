package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// Guards against a stream that is answered with 502 because the engine it moves to refuses it before the first event, although
// its own engine was only silent for a moment.
func TestStreamThatMovedBeforeItsFirstEventIsNotGivenUp(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	// The engines are alike, so that it does not matter which is picked first: the first send is silent, the second refused.
	respond := func(c net.Conn, req *http.Request) {
		switch sends.Add(1) {
		case 1:
			writeStreamHead(c, req)
			time.Sleep(streamIdleTimeout + 400*time.Millisecond)
		case 2:
			fmt.Fprint(c, strings.Replace(refusal(req), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			return
		default:
			writeStreamHead(c, req)
		}
		fmt.Fprint(c, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	}
	checkCompleteStream(t, 2, nil, startWriter(t, respond), startWriter(t, respond))
}

// Guards against a stream that leaves its silent engine for one that cannot be connected to, and is cut because the retry budget
// is spent then.
func TestStreamStaysIfItsNextEngineCannotBeConnectedTo(t *testing.T) {
	t.Parallel()
	engine, sends := startSilentEngine(t, streamIdleTimeout+400*time.Millisecond)
	checkCompleteStream(t, 2, func(_ *routes.Config, opt *Options) {
		opt.RetryBudget = retries(retriesOfMove)
		// The first send happens before.
		time.AfterFunc(300*time.Millisecond, func() { opt.Backends.Put(unreachableBackend(t, "unreachable")) })
	}, engine)
	assert.EqualValues(t, 1, sends.Load())
}

// retries returns a budget that allows a request n retries.
func retries(n int) *RetryBudget {
	return NewRetryBudget(RetryBudgetLimits{Ratio: (float64(n) + 0.1) / budgetFraction, Window: time.Minute})
}

// unreachableBackend returns a backend server that refuses connections.
func unreachableBackend(t *testing.T, id string) backends.Backend {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return backends.Backend{ID: id, Service: "s", Address: l.Addr().String()}
}

// Guards against a stream that leaves its engine for one that then refuses it, when the retry budget allows no further send: the
// former engine would have completed it.
func TestStreamThatMovesToARefusingEngineIsNotLost(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	respond := func(c net.Conn, req *http.Request) {
		if sends.Add(1) > 1 {
			fmt.Fprint(c, strings.Replace(refusal(req), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			return
		}
		writeStreamHead(c, req)
		fmt.Fprint(c, "id: 1\ndata: x\n\n")
		time.Sleep(streamIdleTimeout + 400*time.Millisecond)
		fmt.Fprint(c, "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	}
	checkCompleteStream(t, 2, func(_ *routes.Config, opt *Options) {
		// One further send is allowed: 0.8 x 1.25 x 1 request.
		opt.RetryBudget = NewRetryBudget(RetryBudgetLimits{Ratio: 1.25, Window: 10 * time.Second})
	}, startWriter(t, respond), startWriter(t, respond))
}

// Guards against an idle stream that leaves its engine for one that is known to accept no connections, which is not a
// replacement: the former engine would have completed it.
func TestIdleStreamDoesNotMoveToAnUnreachableEngine(t *testing.T) {
	t.Parallel()
	engine, sends := startSilentEngine(t, streamIdleTimeout+400*time.Millisecond)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dead := &fakeBackend{address: l.Addr().String()}
	l.Close()
	checkCompleteStream(t, 3, func(_ *routes.Config, opt *Options) {
		opt.Backends.MarkUnreachable("b1", time.Now().Add(time.Minute))
		// One further send is allowed: 0.8 x 1.25 x 1 request.
		opt.RetryBudget = NewRetryBudget(RetryBudgetLimits{Ratio: 1.25, Window: 10 * time.Second})
	}, engine, dead)
	assert.EqualValues(t, 1, sends.Load())
}

// Guards against a begun stream that leaves a silent engine for one on whose weights it must start at once, waits there until
// it must not start any more, and is cut: the former engine would have completed it.
func TestStreamDoesNotMoveToAnEngineWhoseStartDeadlineCutsIt(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	respond := func(c net.Conn, req *http.Request) {
		if sends.Add(1) > 1 {
			// Queued for longer than the start deadline allows.
			_, _ = io.Copy(io.Discard, c)
			return
		}
		writeStreamHead(c, req)
		fmt.Fprint(c, "id: 1\ndata: x\n\n")
		time.Sleep(streamIdleTimeout + 400*time.Millisecond)
		fmt.Fprint(c, "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
	}
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable, c.Routes[0].MaxAttempts, c.Routes[0].Timeout = true, 2, 8*time.Second
		opt.Weights = fixedWeights{newest: 4}
	}, startWriter(t, respond), startWriter(t, respond))
	r := postRequest(t, s, "/p/x", http.Header{"Wait": {"7000"}, "M": {"m"}})
	assert.NoError(t, r.err)
	assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", r.body)
}

// Guards against an idle stream that uses up the permits of an engine with a limit, although the retry budget allows no send.
func TestIdleStreamWithoutRetryBudgetTakesNoPermits(t *testing.T) {
	t.Parallel()
	var sends atomic.Int64
	release := make(chan struct{})
	respond := func(c net.Conn, req *http.Request) {
		writeStreamHead(c, req)
		if sends.Add(1) == 1 {
			fmt.Fprint(c, "id: 1\ndata: x\n\n")
			<-release
		}
		fmt.Fprint(c, "id: 2\ndata: x\n\n")
	}
	var registry *backends.Registry
	s := startGateway(t, routes.Stream, func(c *routes.Config, opt *Options) {
		c.Routes[0].Resumable, c.Routes[0].Timeout = true, 8*time.Second
		opt.RetryBudget = NewRetryBudget(RetryBudgetLimits{Window: 10 * time.Second})
		registry = opt.Backends
	}, startWriter(t, respond), startWriter(t, respond))
	done := make(chan clientResult, 1)
	go func() { done <- postRequest(t, s, "/p/x", http.Header{"Wait": {"7000"}}) }()
	require.Eventually(t, func() bool { return sends.Load() == 1 }, time.Second, time.Millisecond)
	// Both engines state a limit now, and have one permit each.
	time.Sleep(streamIdleTimeout - 200*time.Millisecond)
	now := clock.Now()
	for i := range 2 {
		registry.ObserveLimit(fmt.Sprint("b", i), 0, quota.Statement{Limited: true, Rate: 1}, now, now)
	}
	grantPermits(registry, now)
	before := 2
	time.Sleep(350 * time.Millisecond)
	after := takePermits(registry)
	close(release)
	<-done
	assert.Equal(t, before, after)
}

func grantPermits(r *backends.Registry, now time.Time) {
	var p quota.Permits
	for i := range 2 {
		p.Permits = append(p.Permits, quota.Permit{Server: cachemap.EngineHash(fmt.Sprint("b", i)), N: 1})
	}
	r.ApplyPermits(p, now)
}

// takePermits returns the number of requests that the limits of the engines still allow.
func takePermits(r *backends.Registry) int {
	n := 0
	for {
		if c, _ := r.Pick(backends.Query{Service: "s"}, time.Now()); c == nil {
			return n
		}
		n++
	}
}

// Guards against a count of requests that "ended because the budget was used up" (docs/OPERATIONS.md) that includes a request
// with a complete response, several times.
func TestIdleStreamThatIsAnsweredDoesNotCountAsEndedForTheBudget(t *testing.T) {
	t.Parallel()
	engines := make([]*fakeBackend, 2)
	for i := range engines {
		engines[i], _ = startSilentEngine(t, streamIdleTimeout+400*time.Millisecond)
	}
	var m *metrics.Registry
	checkCompleteStream(t, 2, func(_ *routes.Config, opt *Options) {
		opt.RetryBudget = NewRetryBudget(RetryBudgetLimits{Window: 10 * time.Second})
		m = opt.Metrics
	}, engines...)
	assert.Zero(t, m.Counter("further_sends", "budget", "spent").Snapshot().Count())
}
