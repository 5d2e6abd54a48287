package backends

import (
	"cmp"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
)

// The methods of this file use the clock of clock.Now.

// permitState is what the registry knows about the leader that issues permits.
type permitState struct {
	// issuedAt is the time of the last permits. authoritative is quota.Permits.Authoritative of them.
	issuedAt      time.Time
	authoritative bool
	// nodes is the number of nodes that share a limit without a leader, or 0 if it is not known.
	nodes int
	// demand measures the requests of this node by service.
	demand map[string]*quota.Meter
}

// leaderless reports whether no leader has issued permits for so long that all of them have expired.
func (p *permitState) leaderless(now time.Time) bool { return now.Sub(p.issuedAt) >= quota.PermitTTL }

// CountDemand counts a client's request for a service.
func (r *Registry) CountDemand(service string) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.permits.demand[service]
	if m == nil {
		m = &quota.Meter{}
		r.permits.demand[service] = m
	}
	m.Add(now)
}

// QuotaReport returns what this node has observed of limits, the newest first, and its demand for the services with
// limits.
func (r *Registry) QuotaReport() quota.Report {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var report quota.Report
	for service, members := range r.byService {
		limited := false
		for _, m := range members {
			limited = limited || m.limit.Limited()
			if o, ok := m.limit.Observation(now); ok {
				o.Server = m.idHash
				report.Observations = append(report.Observations, o)
			}
		}
		if meter := r.permits.demand[service]; limited && meter != nil {
			report.Demands = append(report.Demands, quota.Demand{Service: cachemap.EngineHash(service), Rate: meter.Rate(now)})
		}
	}
	slices.SortFunc(report.Observations, func(a, b quota.Observation) int { return cmp.Compare(a.Age, b.Age) })
	return report
}

// LimitableServers describes all backend servers to a quota.Distributor.
func (r *Registry) LimitableServers() []quota.ServerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := make([]quota.ServerInfo, 0, len(r.members))
	for service, members := range r.byService {
		hash := cachemap.EngineHash(service)
		for _, m := range members {
			servers = append(servers, quota.ServerInfo{ID: m.idHash, Service: hash, ListedAt: m.knownSince})
		}
	}
	return servers
}

// LimitedHashes returns the hashes of the backend servers that are known to state a limit.
func (r *Registry) LimitedHashes() map[uint32]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limited := map[uint32]bool{}
	for hash, m := range r.byHash {
		if m.limit.Limited() {
			limited[hash] = true
		}
	}
	return limited
}

// ApplyPermits adds the permits that the leader issued to this node at a time.
func (r *Registry) ApplyPermits(p quota.Permits, issuedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if issuedAt.After(r.permits.issuedAt) {
		r.permits.issuedAt, r.permits.authoritative = issuedAt, p.Authoritative
	}
	for _, permit := range p.Permits {
		if m := r.byHash[permit.Server]; m != nil {
			m.limit.Grant(permit.N, issuedAt)
		}
	}
}

// SetNodes sets the number of nodes that share a limit while there is no leader.
func (r *Registry) SetNodes(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.nodes = n
}

// hasPermit reports whether a request may be sent to a server now, by its limit.
func (r *Registry) hasPermit(m *member, now time.Time) bool {
	if m.limit.Limited() && r.permits.leaderless(now) {
		m.limit.Draw(r.permits.nodes, now)
	}
	return m.limit.Available(now)
}
