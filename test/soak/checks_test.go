package soak

import (
	"net/http"
	"strings"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// minServedShare is the least share of requests that must be served after the end of all faults.
	minServedShare = 0.9
	// cancelTimeout is the time within which an engine must stop a request whose client has disconnected.
	cancelTimeout = 500 * time.Millisecond
)

// expectedBody returns the complete response body of a request.
func expectedBody(s sentRequest) string {
	if s.request.Kind == standin.Safe || s.request.Kind == standin.Unsafe {
		return standin.PlainResponse(s.request.ID)
	}
	var text strings.Builder
	for n := 1; n <= standin.EventCount(s.request.ID); n++ {
		text.WriteString(standin.EventText(s.request.ID, n))
	}
	return text.String()
}

// checkInvariants checks what must hold at any time, during any fault.
func checkInvariants(f *fleet, requests []sentRequest) {
	executions := f.journal.Executions()
	requestIDs := map[string]bool{}
	for _, s := range requests {
		requestIDs[s.request.ID] = true
		checkResponse(f, s, executions[s.request.ID])
		checkExecutions(f, s, executions[s.request.ID])
	}
	for id, list := range executions {
		if !requestIDs[id] {
			f.addFinding("engine %s executed %q, which no client has sent", list[0].Engine, id)
		}
	}
	checkCacheSalts(f, executions)
	checkFencingTokens(f, f.journal.Orders())
	checkQuota(f, requests)
}

func checkResponse(f *fleet, s sentRequest, executions []standin.Execution) {
	r := s.response
	switch {
	case r.Status >= 200 && r.Status < 300 && !r.Signed:
		f.addFinding("%s at %s: successful response without an engine's signature", s.request.ID, s.node)
	case r.Status >= 200 && r.Status < 300 && r.Complete && r.Body != expectedBody(s):
		f.addFinding("%s at %s: complete response differs from the engine's: %q", s.request.ID, s.node, r.Body)
	case r.Status >= 200 && r.Status < 300 && !strings.HasPrefix(expectedBody(s), r.Body):
		f.addFinding("%s at %s: incomplete response is no prefix of the engine's: %q", s.request.ID, s.node, r.Body)
	case (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) && len(executions) > 0:
		f.addFinding("%s at %s: refused as not run, but engine %s executed it", s.request.ID, s.node, executions[0].Engine)
	case r.Status == http.StatusServiceUnavailable && r.RetryAfter == 0:
		f.addFinding("%s at %s: refused without Retry-After", s.request.ID, s.node)
	case r.Status >= 400 && r.Status < 500 && r.Status != http.StatusTooManyRequests && !s.extraRoute:
		f.addFinding("%s at %s: rejected with status %d although every configuration allows it", s.request.ID, s.node, r.Status)
	}
}

func checkExecutions(f *fleet, s sentRequest, executions []standin.Execution) {
	if len(executions) > 1 && (s.request.Kind == standin.Unsafe || s.request.Kind == standin.Stream) {
		f.addFinding("%s was executed %d times, by engines %s and %s", s.request.ID, len(executions), executions[0].Engine, executions[1].Engine)
	}
	for _, r := range executions {
		if r.Target != s.request.RequestPath() || r.Body != s.request.Body {
			f.addFinding("%s was modified on its way to engine %s: %s %s %q", s.request.ID, r.Engine, r.Method, r.Target, r.Body)
		}
		if r.Tenant != s.workspace || r.Key != "" {
			f.addFinding("%s reached engine %s for workspace %q instead of %q, key %q", s.request.ID, r.Engine, r.Tenant, s.workspace, r.Key)
		}
	}
}

// checkCacheSalts checks that no cache salt is used with two versions of the weights.
func checkCacheSalts(f *fleet, executions map[string][]standin.Execution) {
	versions := map[string]int{}
	for _, list := range executions {
		for _, r := range list {
			if r.CacheSalt == "" {
				continue
			}
			if v, ok := versions[r.CacheSalt]; ok && v != r.Version {
				f.addFinding("cache salt %q was used with versions %d and %d", r.CacheSalt, v, r.Version)
			}
			versions[r.CacheSalt] = r.Version
		}
	}
}

// checkFencingTokens checks that the fencing tokens that an engine receives never decrease and that each token
// is used by one leader only.
func checkFencingTokens(f *fleet, orders []standin.Order) {
	highest, leaders := map[string]int64{}, map[int64]string{}
	for _, o := range orders {
		if o.FencingToken < highest[o.Engine] {
			f.addFinding("engine %s got an order with fencing token %d after %d", o.Engine, o.FencingToken, highest[o.Engine])
		}
		highest[o.Engine] = o.FencingToken
		if leader, ok := leaders[o.FencingToken]; ok && leader != o.Holder {
			f.addFinding("fencing token %d was used by %s and %s", o.FencingToken, leader, o.Holder)
		}
		leaders[o.FencingToken] = o.Holder
	}
}

// checkAvailability checks the requests that were sent while only planned changes were made: enough of them are
// served, none is cut, and engines stop requests whose client has disconnected.
func checkAvailability(f *fleet, requests []sentRequest) {
	executions := f.journal.Executions()
	served, due, continued, abandoned := 0, 0, 0, 0
	for _, s := range requests {
		if s.abandoned {
			for _, r := range executions[s.request.ID] {
				abandoned++
				if s.request.Kind != standin.Unsafe && r.EndedAt.Sub(s.endedAt) > cancelTimeout {
					continued++
				}
			}
			continue
		}
		if s.extraRoute || overQuota(s) {
			continue
		}
		due++
		switch {
		case s.response.Status == http.StatusOK && s.response.Complete:
			served++
		case s.response.Status == 0 && len(executions[s.request.ID]) > 0:
			f.addFinding("%s at %s: connection closed without a response during planned changes: %v", s.request.ID, s.node, s.response.Err)
		case s.response.Status == http.StatusOK:
			f.addFinding("%s at %s: stream cut during planned changes: %v", s.request.ID, s.node, s.response.Err)
		}
	}
	if float64(served) < minServedShare*float64(due) {
		f.addFinding("only %d of %d requests were served after the end of all faults", served, due)
	}
	if continued > 3 && continued*4 > abandoned {
		f.addFinding("engines continued %d of %d requests whose client had disconnected", continued, abandoned)
	}
}

// checkExtraRoute checks that requests to the additional route are served if the configuration has it, and not
// otherwise.
func checkExtraRoute(f *fleet, requests []sentRequest, present bool) {
	for _, s := range requests {
		if !s.extraRoute || s.abandoned {
			continue
		}
		switch {
		case present && s.response.Status == http.StatusNotFound:
			f.addFinding("%s at %s: no route, %v after it was added to the configuration", s.request.ID, s.node, standin.ConfigBound)
		case !present && s.response.Status == http.StatusOK:
			f.addFinding("%s at %s: served, %v after its route was removed from the configuration", s.request.ID, s.node, standin.ConfigBound)
		}
	}
}

// checkDrained checks that an engine gets no requests later than DrainBound after it announced that it leaves.
func checkDrained(f *fleet, engine string, announced time.Time) {
	for id, list := range f.journal.Executions() {
		for _, r := range list {
			if r.Engine == engine && r.StartedAt.After(announced.Add(standin.DrainBound)) {
				f.addFinding("%s reached engine %s %v after it announced that it leaves", id, engine, r.StartedAt.Sub(announced))
			}
		}
	}
}

// checkVersions checks that requests that start later than VersionBound after a weight version was set run on that
// version, and that all engines have loaded it.
func checkVersions(f *fleet, versionSet time.Time, version int) {
	for id, list := range f.journal.Executions() {
		for _, r := range list {
			if r.Version > 0 && r.Version < version && r.CacheSalt != "" && r.StartedAt.After(versionSet.Add(standin.VersionBound)) {
				f.addFinding("%s started on version %d at engine %s, %v after version %d was set", id, r.Version, r.Engine, r.StartedAt.Sub(versionSet), version)
			}
		}
	}
	f.mu.Lock()
	backends := f.backends
	f.mu.Unlock()
	for _, b := range backends {
		if b.model != "" && b.engine.Version() < version {
			f.addFinding("engine %s has version %d, desired version is %d", b.engine.ID, b.engine.Version(), version)
		}
	}
}
