//go:build review2

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

func init() { cases["lock"] = caseLock }

const (
	lockNodes   = 12
	lockTenants = 16
	// lockRoutes are the idle routes of the sheet and those by which the configuration has grown.
	lockRoutes = 40 + 1400
	// lockChanges is the number of changes of the configuration, and lockGap the time between two of them.
	lockChanges = 40
	lockGap     = 600 * time.Millisecond
	// lockRate is the rate of requests to a node.
	lockRate = 20
	// lockTimeout is the timeout of the routes, and lockLate the time after it by which a final answer must be there.
	lockTimeout = 1500 * time.Millisecond
	lockLate    = 500 * time.Millisecond
	// lockFewest is the number of requests without an answer from which a node counts.
	lockFewest = 8
)

// lockConfig returns a configuration with the routes and workspaces of the sheet. Each version changes the quotas.
func lockConfig(version int) map[string]any {
	all := []any{
		map[string]any{"name": "r-safe", "host": standin.Host, "pathPrefix": "/safe/", "kind": "safe", "timeoutMs": lockTimeout.Milliseconds(), "sloMs": 400, "priority": 2,
			"service": standin.PlainService, "attempts": 2, "public": false, "sticky": false, "resumable": false},
	}
	for i := range lockRoutes {
		all = append(all, map[string]any{"name": fmt.Sprintf("r-idle%d", i), "host": fmt.Sprintf("jepu%d.example", i%8), "pathPrefix": fmt.Sprintf("/cufi%d/fi50/", i),
			"kind": "safe", "timeoutMs": 1500, "sloMs": 400, "priority": 2, "service": standin.PlainService, "attempts": 2, "public": false, "sticky": false,
			"resumable": false})
	}
	tenants := []any{}
	for i := range lockTenants {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("jeye%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i), fmt.Sprintf("yhks8nbkxxmibw6kpqk%d", i)}, "priority": 1,
			"unit": "tokens", "uncachedTokens": 200, "shareNothing": false, "ratePerS": 824739 + version, "burst": 824739 + version,
		})
	}
	return map[string]any{
		"version": version, "routes": all, "tenants": tenants,
		"services": []any{map[string]any{"name": standin.PlainService, "healthPath": "/health", "maxConns": 972}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// caseLock changes the quotas in a configuration that has grown, and checks that each request has its final answer half a second
// after the timeout of its route.
func caseLock(f *fleet, trouble bool) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	f.store.Put(platform.KindConfig, "main", lockConfig(1))
	for i := range 3 {
		if _, err := f.addEngine(fmt.Sprintf("plain-%d", i+1), standin.PlainService, ""); err != nil {
			return fail(err)
		}
	}
	if err := f.addNodes(lockNodes, "limits.memoryMb=120\nlimits.cpuShare=0.272\nbounds.quotaWindowS=8\nbounds.quotaOver=0.1\nbounds.quotaSlack=110000\n"); err != nil {
		return fail(err)
	}
	if err := f.startAll(); err != nil {
		return fail(err)
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	requests := make([]lockRequests, len(f.nodes))
	for i, m := range f.nodes {
		group.Go(func() { requests[i].run(ctx, f, m) })
	}
	time.Sleep(2 * time.Second)
	for version := 2; version < 2+lockChanges; version++ {
		if trouble {
			f.store.Put(platform.KindConfig, "main", lockConfig(version))
			f.note("the store has acknowledged configuration %d", version)
		}
		time.Sleep(lockGap)
	}
	time.Sleep(6 * time.Second)
	cancel()
	group.Wait()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	code := held
	for i, m := range f.nodes {
		if requests[i].judge(f, m) {
			code = broken
			f.say("%s: broken. Its process runs, and its readiness check succeeds: %t", m.name, standin.IsReady(context.Background(), client, m.ready))
		}
	}
	return code
}

// lockRequest is a request as its client saw it.
type lockRequest struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int
	whole  bool
}

// lockRequests are the requests to one node.
type lockRequests struct {
	mu   sync.Mutex
	list []lockRequest
}

// run sends requests to a node until ctx ends, and waits for their answers.
func (l *lockRequests) run(ctx context.Context, f *fleet, m *node) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var group sync.WaitGroup
	tick := time.NewTicker(time.Second / lockRate)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-tick.C
		group.Go(func() {
			r := lockRequest{id: fmt.Sprintf("%s-%d", m.name, n), sentAt: time.Now()}
			callCtx, cancel := context.WithTimeout(context.Background(), lockTimeout+lockLate+time.Second)
			defer cancel()
			answer := standin.Send(callCtx, client, m.front, standin.Request{ID: r.id, Kind: standin.Safe, Key: fmt.Sprintf("key-%d", n%lockTenants), Deadline: lockTimeout})
			r.took, r.status, r.whole = time.Since(r.sentAt), answer.Status, answer.Complete
			l.mu.Lock()
			l.list = append(l.list, r)
			l.mu.Unlock()
		})
	}
	group.Wait()
}

// judge writes the requests to the record, and reports whether too many of them had no final answer.
func (l *lockRequests) judge(f *fleet, m *node) bool {
	slices.SortFunc(l.list, func(a, b lockRequest) int { return a.sentAt.Compare(b.sentAt) })
	runs := f.journal.Executions()
	served, unanswered, late := 0, 0, 0
	var first time.Time
	for _, r := range l.list {
		ran := "not run"
		if len(runs[r.id]) > 0 {
			ran = "run by " + runs[r.id][0].Engine
		}
		f.note("%s sent at %.3f s, %s; status %d, whole %t, after %d ms", r.id, r.sentAt.Sub(f.started).Seconds(), ran, r.status, r.whole, r.took.Milliseconds())
		if r.status == http.StatusOK {
			served++
		}
		if r.took > lockTimeout {
			unanswered++
		}
		if r.took > lockTimeout+lockLate {
			if late++; late == 1 {
				first = r.sentAt
			}
		}
	}
	f.say("%s: %d requests, %d served, %d without an answer after %v, %d of them without one half a second later", m.name, len(l.list), served, unanswered, lockTimeout, late)
	if late < lockFewest || 2*late <= unanswered {
		return false
	}
	f.say("%s: the first of them was sent at %.3f s", m.name, first.Sub(f.started).Seconds())
	return true
}
