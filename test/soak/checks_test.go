package soak

import (
	"net/http"
	"strings"
	"time"

	"cassiawall.example/cassiawall/platform/standin"
)

const (
	// leastServed is the share of requests that must be served after all faults.
	leastServed = 0.9
	// cancelTime is the time within which an engine must be rid of a request whose client has left.
	cancelTime = 500 * time.Millisecond
)

// expected returns the whole answer to a request.
func expected(s sent) string {
	if s.ask.Kind == standin.Safe || s.ask.Kind == standin.Unsafe {
		return standin.PlainResponse(s.ask.ID)
	}
	var text strings.Builder
	for n := 1; n <= standin.EventCount(s.ask.ID); n++ {
		text.WriteString(standin.EventText(s.ask.ID, n))
	}
	return text.String()
}

// checkAlways checks what must hold at any time, whatever fails.
func checkAlways(f *fleet, all []sent) {
	runs := f.journal.Executions()
	known := map[string]bool{}
	for _, s := range all {
		known[s.ask.ID] = true
		checkReply(f, s, runs[s.ask.ID])
		checkRuns(f, s, runs[s.ask.ID])
	}
	for id, list := range runs {
		if !known[id] {
			f.find("engine %s ran %q, which no client has sent", list[0].Engine, id)
		}
	}
	checkNamespaces(f, runs)
	checkOrders(f, f.journal.Orders())
}

func checkReply(f *fleet, s sent, runs []standin.Execution) {
	r := s.reply
	switch {
	case r.Status >= 200 && r.Status < 300 && !r.Signed:
		f.find("%s at %s: success without an engine's signature", s.ask.ID, s.node)
	case r.Status >= 200 && r.Status < 300 && r.Complete && r.Body != expected(s):
		f.find("%s at %s: a complete answer differs from the engine's: %q", s.ask.ID, s.node, r.Body)
	case r.Status >= 200 && r.Status < 300 && !strings.HasPrefix(expected(s), r.Body):
		f.find("%s at %s: the part of an answer is not the engine's: %q", s.ask.ID, s.node, r.Body)
	case (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) && len(runs) > 0:
		f.find("%s at %s: told not to have run, but engine %s ran it", s.ask.ID, s.node, runs[0].Engine)
	case r.Status == http.StatusServiceUnavailable && r.RetryAfter == 0:
		f.find("%s at %s: refused without a time to come back", s.ask.ID, s.node)
	case r.Status >= 400 && r.Status < 500 && r.Status != http.StatusTooManyRequests && !s.extra:
		f.find("%s at %s: denied with status %d though every configuration allows it", s.ask.ID, s.node, r.Status)
	}
}

func checkRuns(f *fleet, s sent, runs []standin.Execution) {
	if len(runs) > 1 && (s.ask.Kind == standin.Unsafe || s.ask.Kind == standin.Stream) {
		f.find("%s ran %d times, on %s and %s", s.ask.ID, len(runs), runs[0].Engine, runs[1].Engine)
	}
	for _, r := range runs {
		if r.Target != s.ask.RequestPath() || r.Body != s.ask.Body {
			f.find("%s reached engine %s changed: %s %s %q", s.ask.ID, r.Engine, r.Method, r.Target, r.Body)
		}
		if r.Tenant != s.tenant || r.Key != "" {
			f.find("%s reached engine %s for workspace %q instead of %q, key %q", s.ask.ID, r.Engine, r.Tenant, s.tenant, r.Key)
		}
	}
}

// checkNamespaces checks that no cache namespace is used with two versions of the weights.
func checkNamespaces(f *fleet, runs map[string][]standin.Execution) {
	versions := map[string]int{}
	for _, list := range runs {
		for _, r := range list {
			if r.CacheSalt == "" {
				continue
			}
			if v, ok := versions[r.CacheSalt]; ok && v != r.Version {
				f.find("cache namespace %q was used with versions %d and %d", r.CacheSalt, v, r.Version)
			}
			versions[r.CacheSalt] = r.Version
		}
	}
}

// checkOrders checks that fencing numbers grow and that each belongs to one holder.
func checkOrders(f *fleet, orders []standin.Order) {
	highest, holders := map[string]int64{}, map[int64]string{}
	for _, o := range orders {
		if o.FencingToken < highest[o.Engine] {
			f.find("engine %s got an order with fencing number %d after %d", o.Engine, o.FencingToken, highest[o.Engine])
		}
		highest[o.Engine] = o.FencingToken
		if h, ok := holders[o.FencingToken]; ok && h != o.Holder {
			f.find("fencing number %d was used by %s and %s", o.FencingToken, h, o.Holder)
		}
		holders[o.FencingToken] = o.Holder
	}
}

// checkCalm checks what must hold while only planned work goes on.
func checkCalm(f *fleet, all []sent) {
	runs := f.journal.Executions()
	served, owed, held, left := 0, 0, 0, 0
	for _, s := range all {
		if s.gaveUp {
			for _, r := range runs[s.ask.ID] {
				left++
				if s.ask.Kind != standin.Unsafe && r.EndedAt.Sub(s.ended) > cancelTime {
					held++
				}
			}
			continue
		}
		if s.extra {
			continue
		}
		owed++
		switch {
		case s.reply.Status == http.StatusOK && s.reply.Complete:
			served++
		case s.reply.Status == 0 && len(runs[s.ask.ID]) > 0:
			f.find("%s at %s: the connection ended without an answer while only planned work went on: %v", s.ask.ID, s.node, s.reply.Err)
		case s.reply.Status == http.StatusOK:
			f.find("%s at %s: a stream was cut while only planned work went on: %v", s.ask.ID, s.node, s.reply.Err)
		}
	}
	if float64(served) < leastServed*float64(owed) {
		f.find("only %d of %d requests were served after all faults", served, owed)
	}
	if held > 3 && held*4 > left {
		f.find("engines worked on %d of %d requests whose client had left", held, left)
	}
}

// checkRoute checks that the additional route is handled as the configuration since a time says.
func checkRoute(f *fleet, all []sent, extra bool) {
	for _, s := range all {
		if !s.extra || s.gaveUp {
			continue
		}
		switch {
		case extra && s.reply.Status == http.StatusNotFound:
			f.find("%s at %s: no route, %v after the configuration that adds it", s.ask.ID, s.node, standin.ConfigBound)
		case !extra && s.reply.Status == http.StatusOK:
			f.find("%s at %s: served, %v after the configuration that removes its route", s.ask.ID, s.node, standin.ConfigBound)
		}
	}
}

// checkDrained checks that a leaving engine got no requests after the bound.
func checkDrained(f *fleet, engine string, announced time.Time) {
	for id, list := range f.journal.Executions() {
		for _, r := range list {
			if r.Engine == engine && r.StartedAt.After(announced.Add(standin.DrainBound)) {
				f.find("%s reached engine %s %v after it announced its end", id, engine, r.StartedAt.Sub(announced))
			}
		}
	}
}

// checkVersions checks that requests begin on new weights and that all engines have them.
func checkVersions(f *fleet, named time.Time, version int) {
	for id, list := range f.journal.Executions() {
		for _, r := range list {
			if r.Version > 0 && r.Version < version && r.CacheSalt != "" && r.StartedAt.After(named.Add(standin.VersionBound)) {
				f.find("%s began on version %d at engine %s, %v after version %d was named", id, r.Version, r.Engine, r.StartedAt.Sub(named), version)
			}
		}
	}
	f.mu.Lock()
	backends := f.backends
	f.mu.Unlock()
	for _, b := range backends {
		if b.model != "" && b.engine.Version() < version {
			f.find("engine %s still has version %d of %d", b.engine.ID, b.engine.Version(), version)
		}
	}
}
