package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// reportTTL is the time for which a node's report counts.
	reportTTL = 3 * time.Second
	// leadGap is the time without an issue after which a leader counts as new: its reports are out of date.
	leadGap = 3 * time.Second
	// maxAccrual bounds the time for which permits are issued at once, so that a leader that was paused issues no burst.
	maxAccrual = time.Second
)

// ServerInfo describes a backend server to the distributor.
type ServerInfo struct {
	// ID is the hash of the server's ID, and Service that of its service's name.
	ID, Service uint32
	// ListedAt is the time since which this node knows the server's present start. Earlier observations do not count.
	ListedAt time.Time
}

// Distributor is the leader's part: it collects the nodes' reports and issues permits. It is not safe for concurrent use.
type Distributor struct {
	leadingSince time.Time
	issuedAt     time.Time
	reports      map[string]nodeReport
	limits       map[uint32]*serverLimit
	// credits are how much of a permit each node is due, by service.
	credits map[uint32]map[string]float64
}

type nodeReport struct {
	at      time.Time
	demands []Demand
}

// serverLimit is the newest observation of a server's limit by any node.
type serverLimit struct {
	limited    bool
	rate       float64
	observedAt time.Time
	// due is the number of permits that are due and not issued.
	due float64
}

// NewDistributor returns a distributor without reports.
func NewDistributor() *Distributor {
	return &Distributor{reports: map[string]nodeReport{}, limits: map[uint32]*serverLimit{}, credits: map[uint32]map[string]float64{}}
}

// AddReport records the report of a node that was received at now, and reports whether a limit has begun or ended by it.
func (d *Distributor) AddReport(node string, r Report, now time.Time) (changed bool) {
	d.reports[node] = nodeReport{at: now, demands: r.Demands}
	for _, o := range r.Observations {
		observedAt := now.Add(-o.Age)
		known := d.limits[o.Server]
		if known == nil {
			known = &serverLimit{due: 1}
			d.limits[o.Server] = known
		}
		if !observedAt.After(known.observedAt) {
			continue
		}
		changed = changed || known.limited != o.Limited
		known.limited, known.rate, known.observedAt = o.Limited, o.Rate, observedAt
	}
	return changed
}

// Limited reports whether a server is known to state a limit.
func (d *Distributor) Limited(server uint32) bool {
	known := d.limits[server]
	return known != nil && known.limited
}

// Authoritative reports whether this node has led for long enough to have the reports of all nodes.
func (d *Distributor) Authoritative(now time.Time) bool {
	return !d.leadingSince.IsZero() && now.Sub(d.leadingSince) >= reportTTL && now.Sub(d.issuedAt) < leadGap
}

// Issue returns the permits that are due now, by node. servers are all known servers.
func (d *Distributor) Issue(servers []ServerInfo, nodes []string, now time.Time) map[string]Permits {
	elapsed := min(now.Sub(d.issuedAt), maxAccrual)
	if now.Sub(d.issuedAt) >= leadGap {
		d.leadingSince, elapsed = now, 0
	}
	d.issuedAt = now
	d.dropOutdated(servers, now)
	authoritative := d.Authoritative(now)
	nodes = slices.Sorted(slices.Values(nodes))
	issued := make(map[string]Permits, len(nodes))
	for _, node := range nodes {
		issued[node] = Permits{Authoritative: authoritative}
	}
	weights := map[uint32][]float64{}
	for _, s := range servers {
		limit := d.limits[s.ID]
		if limit == nil || !limit.limited || len(nodes) == 0 {
			continue
		}
		rate := max(limit.rate, minRate)
		limit.due = min(limit.due+rate*elapsed.Seconds(), 1+rate*maxAccrual.Seconds())
		if weights[s.Service] == nil {
			weights[s.Service] = d.weights(s.Service, nodes)
		}
		for node, n := range d.divide(limit, s.Service, nodes, weights[s.Service]) {
			p := issued[node]
			p.Permits = append(p.Permits, Permit{Server: s.ID, N: n})
			issued[node] = p
		}
	}
	return issued
}

// divide takes the permits that are due for a server and returns them by node: whole shares first, so that a high limit takes no
// more time than a low one, and the rest one by one.
func (d *Distributor) divide(limit *serverLimit, service uint32, nodes []string, weights []float64) map[string]int {
	counts := map[string]int{}
	due := math.Floor(limit.due)
	limit.due -= due
	rest := int(due)
	for i, node := range nodes {
		if n := int(due * weights[i]); n > 0 {
			counts[node] = n
			rest -= n
		}
	}
	for ; rest > 0; rest-- {
		counts[d.next(service, nodes, weights)]++
	}
	return counts
}

// dropOutdated forgets the limits of servers that are gone or have restarted since, and old reports.
func (d *Distributor) dropOutdated(servers []ServerInfo, now time.Time) {
	listedAt := make(map[uint32]time.Time, len(servers))
	for _, s := range servers {
		listedAt[s.ID] = s.ListedAt
	}
	for id, limit := range d.limits {
		if at, ok := listedAt[id]; !ok || limit.observedAt.Before(at) {
			delete(d.limits, id)
		}
	}
	for node, r := range d.reports {
		if now.Sub(r.at) > reportTTL {
			delete(d.reports, node)
		}
	}
}

// weights returns the nodes' shares of the demand for a service, whose sum is 1. Without any demand they are equal.
func (d *Distributor) weights(service uint32, nodes []string) []float64 {
	weights := make([]float64, len(nodes))
	total := 0.0
	for i, node := range nodes {
		for _, demand := range d.reports[node].demands {
			if demand.Service == service {
				weights[i] = demand.Rate
				total += demand.Rate
			}
		}
	}
	for i := range weights {
		if total > 0 {
			weights[i] /= total
		} else {
			weights[i] = 1 / float64(len(nodes))
		}
	}
	return weights
}

// next returns the node that gets the next permit for a service, by smooth weighted round robin: each node earns its
// share, and the node with the most gets the permit.
func (d *Distributor) next(service uint32, nodes []string, weights []float64) string {
	credits := d.credits[service]
	if credits == nil {
		credits = map[string]float64{}
		d.credits[service] = credits
	}
	best := 0
	for i, node := range nodes {
		credits[node] += weights[i]
		if credits[node] > credits[nodes[best]] {
			best = i
		}
	}
	credits[nodes[best]]--
	if len(credits) > 2*len(nodes) {
		// Most of the nodes with credits are gone.
		clear(credits)
	}
	return nodes[best]
}
