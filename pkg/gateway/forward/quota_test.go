package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/limits"
)

// fakeQuotas decides with a function and counts. The first charge ends at its first check if endsAtOnce is set.
type fakeQuotas struct {
	take func(w *limits.Waiter)

	mu             sync.Mutex
	taken, refunds int
	endsAtOnce     bool
}

func (q *fakeQuotas) Take(_ context.Context, _ uint64, weight int64, _ time.Duration) *limits.Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &limits.Waiter{Charge: limits.Charge{Tokens: weight}}
	q.take(w)
	if w.Outcome == limits.Granted {
		q.taken++
	}
	return w
}

func (q *fakeQuotas) Valid(limits.Charge) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.endsAtOnce || q.taken != 1
}

func (q *fakeQuotas) Refund(limits.Charge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refunds++
}

func grant(w *limits.Waiter) { w.Outcome = limits.Granted }

// Guards against a request over the quota that runs, a refusal that tells the client a wrong status or time, a charge that is
// lost or returned twice, a run without a charge, and a send after the end of the charge.
func TestQuotaOfARequest(t *testing.T) {
	ok := func(req *http.Request) string { return signedResponse(req, 200, "ok") }
	broken := func(req *http.Request) string { return signedResponse(req, 500, "broken") }
	notRun := func(req *http.Request) string {
		return "HTTP/1.1 503 Busy\r\nId: " + req.Header.Get("Id") + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		take                    func(w *limits.Waiter)
		respond                 func(req *http.Request) string
		endsAtOnce              bool
		status, taken, refunded int
		// runs is -1 if it depends on the time that the requests take.
		runs int
	}{
		"within the quota":     {take: grant, respond: ok, status: 200, taken: 1, runs: 1},
		"over the quota":       {take: func(w *limits.Waiter) { w.Outcome, w.RetryAfter = limits.Denied, 2*time.Second }, respond: ok, status: 429},
		"no decision":          {take: func(w *limits.Waiter) { w.Outcome = limits.Unavailable }, respond: ok, status: 503},
		"no backend server":    {take: grant, status: 503, taken: 1, refunded: 1},
		"refused without run":  {take: grant, respond: notRun, status: 503, taken: 1, refunded: 1, runs: -1},
		"each run is charged":  {take: grant, respond: broken, status: 500, taken: 2, runs: 2},
		"ends before the send": {take: grant, respond: ok, endsAtOnce: true, status: 200, taken: 2, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			quotas := &fakeQuotas{take: test.take, endsAtOnce: test.endsAtOnce}
			var servers []*fakeBackend
			if test.respond != nil {
				servers = append(servers, startBackend(t, test.respond), startBackend(t, test.respond))
			}
			s := startGateway(t, routes.Safe, func(c *routes.Config, opt *Options) {
				opt.Quotas = quotas
				c.Workspaces = []routes.Workspace{
					{Name: "w", APIKeys: []string{"k"}, Quota: &routes.Quota{Quota: limits.Quota{Rate: 1, Tokens: true}, DefaultWeight: 7}},
					{Name: "free", APIKeys: []string{"f"}},
				}
			}, servers...)
			result := postRequest(t, s, "/p/x", http.Header{"Key": {"k"}})
			assert.Equal(t, test.status, result.status, result.body)
			quotas.mu.Lock()
			assert.Equal(t, test.taken, quotas.taken)
			assert.Equal(t, test.refunded, quotas.refunds)
			quotas.mu.Unlock()
			runs := 0
			for _, b := range servers {
				b.mu.Lock()
				runs += len(b.seen)
				b.mu.Unlock()
			}
			if test.runs >= 0 {
				assert.Equal(t, test.runs, runs)
			}
			if test.status == 429 {
				after, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
				assert.NoError(t, err)
				assert.GreaterOrEqual(t, after, 2.0)
				assert.LessOrEqual(t, after, 2.6)
			}
			quotas.mu.Lock()
			quotas.take = func(*limits.Waiter) { t.Error("a request of a workspace without a quota asks for tokens") }
			quotas.mu.Unlock()
			postRequest(t, s, "/p/x", http.Header{"Key": {"f"}})
		})
	}
}
