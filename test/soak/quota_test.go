package soak

import (
	"net/http"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

// Seeds from firstQuotaSeed on run with a workspace that has a quota, below what its clients send.
const firstQuotaSeed = 3900

// quotaWorkspace has quotaRate requests a second and a burst of as many. The bounds are those that standin.NodeSettings states.
const (
	quotaWorkspace = "west"
	quotaRate      = 3
	quotaWindow    = 8 * time.Second
	quotaOver      = 0.1
)

// setQuota gives a fleet that has not started a workspace with a quota.
func (f *fleet) setQuota() {
	f.quotas = true
	f.config.Tenants = append(f.config.Tenants, standin.Tenant{Name: quotaWorkspace, Key: "key-west", RatePerS: quotaRate, Burst: quotaRate})
}

// checkQuota checks that in no window more requests of the workspace with a quota were sent and started at a backend server
// than the quota allows.
func checkQuota(f *fleet, requests []sentRequest) {
	if !f.quotas {
		return
	}
	executions := f.journal.Executions()
	type run struct{ sentAt, startedAt time.Time }
	var runs []run
	for _, s := range requests {
		if list := executions[s.request.ID]; s.workspace == quotaWorkspace && len(list) > 0 {
			runs = append(runs, run{s.sentAt, list[0].StartedAt})
		}
	}
	allowed := (1 + quotaOver) * (quotaRate*quotaWindow.Seconds() + quotaRate)
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if !r.sentAt.Before(first.sentAt) && r.startedAt.Sub(first.sentAt) < quotaWindow {
				n++
			}
		}
		if float64(n) > allowed {
			f.addFinding("%d requests of %s ran in %v from %v on, %.1f are allowed", n, quotaWorkspace, quotaWindow, first.sentAt, allowed)
			return
		}
	}
	f.t.Logf("%d requests of %s ran", len(runs), quotaWorkspace)
}

// overQuota reports whether a request was refused because of the quota of its workspace.
func overQuota(s sentRequest) bool {
	return s.workspace == quotaWorkspace && s.response.Status == http.StatusTooManyRequests
}
