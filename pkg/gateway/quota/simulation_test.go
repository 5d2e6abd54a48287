package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulation is a fleet whose nodes have more requests than the servers' limits allow, in steps of 10 ms.
type simulation struct {
	random   *rand.Rand
	nodes    []*simulatedNode
	rates    []float64
	interval time.Duration
	loss     float64
	// hasLeader reports whether there is a leader. The first node leads.
	hasLeader func(now time.Time) bool

	distributor *Distributor
	// sends are the times of the requests to each server.
	sends [][]time.Time
}

type simulatedNode struct {
	name string
	// demand is in requests a second.
	demand   float64
	servers  []Server
	issuedAt time.Time
	sent     int
}

func newSimulation(seed uint64, demands, rates []float64, interval time.Duration) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), rates: rates, interval: interval, hasLeader: func(time.Time) bool { return true },
		distributor: NewDistributor(), sends: make([][]time.Time, len(rates)),
	}
	for i, demand := range demands {
		s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprint("n", i), demand: demand, servers: make([]Server, len(rates))})
	}
	return s
}

func (s *simulation) run(duration time.Duration) {
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		now := start.Add(elapsed)
		if elapsed%s.interval == 0 && s.hasLeader(now) {
			s.exchange(now)
		}
		for _, n := range s.nodes {
			if s.random.Float64() < n.demand*step.Seconds() {
				s.request(n, now)
			}
		}
	}
}

// exchange delivers a report of each node and a heartbeat to it. Each may be lost.
func (s *simulation) exchange(now time.Time) {
	var names []string
	for i, n := range s.nodes {
		names = append(names, n.name)
		if i > 0 && s.random.Float64() < s.loss {
			continue
		}
		report := Report{Demands: []Demand{{Service: 1, Rate: n.demand}}}
		for id := range n.servers {
			if o, ok := n.servers[id].Observation(now); ok {
				o.Server = uint32(id)
				report.Observations = append(report.Observations, o)
			}
		}
		s.distributor.AddReport(n.name, DecodeReport(report.Encode()), now)
	}
	var infos []ServerInfo
	for id := range s.rates {
		infos = append(infos, ServerInfo{ID: uint32(id), Service: 1})
	}
	issued := s.distributor.Issue(infos, names, now)
	for i, n := range s.nodes {
		if i > 0 && s.random.Float64() < s.loss {
			continue
		}
		p, _ := DecodePermits(issued[n.name].Encode())
		n.issuedAt = now
		for id := range n.servers {
			n.servers[id].Announce(s.distributor.Limited(uint32(id)), p.Authoritative, now)
		}
		for _, permit := range p.Permits {
			n.servers[permit.Server].Grant(permit.N, now)
		}
	}
}

// request sends a request to a random server that the node may use, whose response states its limit.
func (s *simulation) request(n *simulatedNode, now time.Time) {
	for _, id := range s.random.Perm(len(n.servers)) {
		server := &n.servers[id]
		if server.Limited() && now.Sub(n.issuedAt) >= PermitTTL {
			server.Draw(len(s.nodes), now)
		}
		if !server.Available(now) {
			continue
		}
		server.Take(now)
		n.sent++
		s.sends[id] = append(s.sends[id], now)
		server.Observe(Statement{Limited: true, Rate: s.rates[id]}, now, now)
		return
	}
}

// busiest returns the largest number of requests to a server in 4 s, after the first 3 s.
func (s *simulation) busiest(id int) int {
	busiest := 0
	for i, begin := range s.sends[id] {
		n := 0
		for _, at := range s.sends[id][i:] {
			if at.Sub(begin) < 4*time.Second {
				n++
			}
		}
		if begin.Sub(start) >= 3*time.Second {
			busiest = max(busiest, n)
		}
	}
	return busiest
}

func repeat(value float64, n int) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = value
	}
	return values
}

// Guards against more requests to a server than one and a half times its limit and five allow in 4 s, and against limits
// that stay unused: with skewed demand, lost messages, a missing leader, and many nodes for few requests.
func TestFleetUsesLimitsAndKeepsToThem(t *testing.T) {
	skewed := append([]float64{150}, repeat(1, 14)...)
	leaderless := func(now time.Time) bool { return now.Before(at(5000)) || now.After(at(15000)) }
	tests := map[string]struct {
		demands   []float64
		rates     []float64
		interval  time.Duration
		loss      float64
		hasLeader func(now time.Time) bool
		minUse    float64
	}{
		"even demand":          {demands: repeat(10, 15), rates: []float64{2.8, 4.6, 7}, interval: 200 * time.Millisecond, minUse: 0.9},
		"demand at one node":   {demands: skewed, rates: []float64{2.8, 4.6, 7}, interval: 200 * time.Millisecond, minUse: 0.9},
		"lost messages":        {demands: skewed, rates: []float64{2.8, 4.6, 7}, interval: 200 * time.Millisecond, loss: 0.2, minUse: 0.7},
		"no leader for 10 s":   {demands: repeat(10, 15), rates: []float64{2.8, 4.6, 40}, interval: 200 * time.Millisecond, hasLeader: leaderless, minUse: 0.6},
		"300 nodes":            {demands: repeat(3, 300), rates: repeat(2.5, 40), interval: time.Second, minUse: 0.7},
		"300 nodes, no leader": {demands: repeat(3, 300), rates: repeat(2.5, 40), interval: time.Second, hasLeader: leaderless, minUse: 0.4},
		"limits of zero":       {demands: repeat(10, 15), rates: []float64{0, 0}, interval: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSimulation(seed, test.demands, test.rates, test.interval)
				s.loss = test.loss
				if test.hasLeader != nil {
					s.hasLeader = test.hasLeader
				}
				const duration = 25 * time.Second
				s.run(duration)
				allowed, used := 0.0, 0
				for id, rate := range s.rates {
					assert.LessOrEqual(t, float64(s.busiest(id)), 1.5*rate*4+5, "seed %d, server %d with a limit of %g", seed, id, rate)
					allowed += rate * (duration - 3*time.Second).Seconds()
					for _, sentAt := range s.sends[id] {
						if sentAt.Sub(start) >= 3*time.Second {
							used++
						}
					}
				}
				assert.GreaterOrEqual(t, float64(used), test.minUse*allowed, "seed %d", seed)
			}
		})
	}
}

// Guards against a node with most of the demand that gets only an even part of the limits.
func TestPermitsFollowDemand(t *testing.T) {
	s := newSimulation(1, append([]float64{150}, repeat(1, 14)...), []float64{10, 10}, 200*time.Millisecond)
	s.run(20 * time.Second)
	total := 0
	for _, n := range s.nodes {
		total += n.sent
	}
	assert.Greater(t, float64(s.nodes[0].sent), 0.8*float64(total))
}
