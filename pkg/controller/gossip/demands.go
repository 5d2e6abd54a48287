package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/membership"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// demandOverhead is the most that tag and length add to a demand, in bytes.
const demandOverhead = 3

// demands exchanges demands and shares. Each workspace has one allocator node, chosen by
// rendezvous hashing over the live members. A node reports only to the allocators of its own
// workspaces, so its traffic does not grow with the fleet.
type demands struct {
	allocator *limits.Allocator
	sent      uint64

	budgetVersion uint64
	budgets       map[string]limits.Budget
}

func newDemands(a *limits.Allocator) *demands { return &demands{allocator: a} }

// refresh reads the budgets of a newer configuration.
func (d *demands) refresh(board *blackboard.Board) {
	entry, ok := board.Config.Get(blackboard.ConfigKey)
	if !ok || entry.Value.Config == nil || entry.Value.Version == d.budgetVersion {
		return
	}
	d.budgetVersion = entry.Value.Version
	d.budgets = limits.FromConfig(entry.Value.Config)
}

// sendDemands reports this node's demands that changed since the last call.
func (c *Controller) sendDemands(now time.Time) {
	d := c.demands
	version := c.o.Board.Demands.Version()
	if version == d.sent {
		return
	}
	d.refresh(c.o.Board)
	byAllocator := map[string][]*peerpb.LimitDemand{}
	candidates := c.allocators()
	for key, entry := range c.o.Board.Demands.Snapshot() {
		if key.Node != c.o.Name || entry.Version <= d.sent {
			continue
		}
		node := rendezvous.Best(key.Workspace, candidates)
		byAllocator[node] = append(byAllocator[node], demandProto(key.Workspace, entry.Value))
	}
	d.sent = version
	for node, list := range byAllocator {
		if node == c.o.Name {
			c.storeShares(now, c.allocate(now, node, list))
			continue
		}
		c.reportDemands(node, list)
	}
}

// allocators returns the members that can share out budgets.
func (c *Controller) allocators() []string {
	var names []string
	for _, m := range c.machine.Members() {
		if m.State == blackboard.MemberAlive && !m.Draining {
			names = append(names, m.Name)
		}
	}
	return names
}

func (c *Controller) reportDemands(node string, list []*peerpb.LimitDemand) {
	member, known := c.machine.Member(node)
	if !known {
		return
	}
	for len(list) > 0 {
		message := c.machine.Message(peerpb.Gossip_DEMAND)
		room := membership.DefaultMaxPayload - proto.Size(message)
		for len(list) > 0 && proto.Size(list[0])+demandOverhead <= room {
			room -= proto.Size(list[0]) + demandOverhead
			message.Demands = append(message.Demands, list[0])
			list = list[1:]
		}
		if len(message.Demands) == 0 {
			// A workspace whose name does not fit into a datagram uses its even part.
			list = list[1:]
			continue
		}
		c.send(member.GossipAddress, message)
	}
}

// takeDemands answers a report with shares, or stores the shares of an answer.
func (c *Controller) takeDemands(now time.Time, from string, message *peerpb.Gossip) {
	switch message.Kind {
	case peerpb.Gossip_DEMAND:
		c.demands.refresh(c.o.Board)
		reply := c.machine.Message(peerpb.Gossip_SHARES)
		reply.Shares = c.allocate(now, message.From, message.Demands)
		if member, known := c.machine.Member(message.From); known {
			from = member.GossipAddress
		}
		c.send(from, reply)
	case peerpb.Gossip_SHARES:
		c.storeShares(now, message.Shares)
	}
}

func (c *Controller) allocate(now time.Time, node string, list []*peerpb.LimitDemand) []*peerpb.LimitShare {
	var shares []*peerpb.LimitShare
	for _, u := range list {
		budget, limited := c.demands.budgets[u.Workspace]
		if !limited {
			continue
		}
		share := c.demands.allocator.Report(now, node, u.Workspace, limits.Demand{
			Requests:           float64(u.RequestsMilli) / 1000,
			Tokens:             float64(u.Tokens),
			AdmittedRequests:   float64(u.AdmittedRequestsMilli) / 1000,
			AdmittedTokens:     float64(u.AdmittedTokens),
			Running:            int(u.Running),
			DesiredConcurrency: int(u.Wanted),
		}, budget)
		shares = append(shares, &peerpb.LimitShare{
			Workspace:     u.Workspace,
			RequestsMilli: clamp(share.Requests * 1000),
			Tokens:        clamp(share.Tokens),
			Concurrency:   clamp(float64(share.Concurrency)),
		})
	}
	return shares
}

func (c *Controller) storeShares(now time.Time, shares []*peerpb.LimitShare) {
	for _, s := range shares {
		c.o.Board.Shares.Put(s.Workspace, blackboard.ShareEntry{
			RequestsPerSecond: float64(s.RequestsMilli) / 1000,
			TokensPerSecond:   float64(s.Tokens),
			Concurrency:       int(s.Concurrency),
		}, c.evidence(now))
	}
}

func demandProto(workspace string, e blackboard.DemandEntry) *peerpb.LimitDemand {
	return &peerpb.LimitDemand{
		Workspace:             workspace,
		RequestsMilli:         clamp(e.RequestsPerSecond * 1000),
		Tokens:                clamp(e.TokensPerSecond),
		AdmittedRequestsMilli: clamp(e.AdmittedRequests * 1000),
		AdmittedTokens:        clamp(e.AdmittedTokens),
		Running:               clamp(float64(e.Running)),
		Wanted:                clamp(float64(e.DesiredConcurrency)),
	}
}

// clamp rounds to the range of the message's fields.
func clamp(x float64) uint32 {
	return uint32(min(max(math.Round(x), 0), math.MaxUint32))
}
