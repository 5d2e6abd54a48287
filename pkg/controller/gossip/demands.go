package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/membership"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// maxSentDemands bounds the recorded messages with demands. A share that was decided on an earlier one counts from its
// arrival.
const maxSentDemands = 1024

// sentDemands is a message with demands that this node has sent.
type sentDemands struct {
	sequence  uint64
	allocator string
	at        time.Time
}

// demandOverheadBytes is the maximum size of the protobuf tag and length that precede a demand in a
// message.
const demandOverheadBytes = 3

// demandExchange divides the limits of workspaces among the nodes. A node reports the demand for each
// of its workspaces to that workspace's allocator, which replies with the share of the limit that the
// node may use. The allocator of a workspace is one node, chosen by rendezvous hashing over the live
// members. A node reports only to the allocators of its own workspaces, so its traffic does not grow
// with the fleet.
type demandExchange struct {
	allocator *limits.Allocator
	// sentVersion is the version of the board's demands that was last reported.
	sentVersion uint64
	// sent are the last maxSentDemands messages, in the order of their sequence numbers.
	sent []sentDemands

	budgetVersion uint64
	budgets       map[string]limits.Budget
}

func newDemandExchange(a *limits.Allocator) *demandExchange { return &demandExchange{allocator: a} }

// refreshBudgets reads the limits of the workspaces if the configuration changed.
func (d *demandExchange) refreshBudgets(board *blackboard.Board) {
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
	version := c.options.Board.Demands.Version()
	if version == d.sentVersion {
		return
	}
	d.refreshBudgets(c.options.Board)
	byAllocator := map[string][]*peerpb.LimitDemand{}
	candidates := c.allocators()
	for key, entry := range c.options.Board.Demands.Snapshot() {
		if key.Node != c.options.Name || entry.Version <= d.sentVersion {
			continue
		}
		allocator := rendezvous.Best(key.Workspace, candidates)
		byAllocator[allocator] = append(byAllocator[allocator], demandProto(key.Workspace, entry.Value))
	}
	d.sentVersion = version
	for allocator, list := range byAllocator {
		if allocator == c.options.Name {
			c.storeShares(now, now, c.allocate(now, allocator, list))
			continue
		}
		c.reportDemands(now, allocator, list)
	}
}

// allocators returns the names of the members that can allocate shares: those that are alive and not
// draining.
func (c *Controller) allocators() []string {
	var names []string
	for _, m := range c.machine.Members() {
		if m.State == blackboard.MemberAlive && !m.Draining {
			names = append(names, m.Name)
		}
	}
	return names
}

// reportDemands sends demands to an allocator in as few messages as possible.
func (c *Controller) reportDemands(now time.Time, allocator string, list []*peerpb.LimitDemand) {
	member, known := c.machine.Member(allocator)
	if !known {
		return
	}
	for len(list) > 0 {
		message := c.machine.Message(peerpb.Gossip_DEMAND)
		remaining := membership.DefaultMaxPayload - proto.Size(message)
		for len(list) > 0 && proto.Size(list[0])+demandOverheadBytes <= remaining {
			remaining -= proto.Size(list[0]) + demandOverheadBytes
			message.Demands = append(message.Demands, list[0])
			list = list[1:]
		}
		if len(message.Demands) == 0 {
			// The workspace's name does not fit into a datagram. Without a share from the
			// allocator, the node uses an even share of the workspace's limit.
			list = list[1:]
			continue
		}
		c.demands.recordSent(sentDemands{sequence: message.Sequence, allocator: allocator, at: now})
		c.send(member.GossipAddress, message)
	}
}

func (d *demandExchange) recordSent(s sentDemands) {
	if len(d.sent) >= maxSentDemands {
		d.sent = d.sent[1:]
	}
	d.sent = append(d.sent, s)
}

// decidedAt returns the earliest time at which an allocator can have decided on the shares of a reply that arrives now:
// the time at which the demands were sent. The reply may have waited in the socket while this node was paused.
// Allocators of earlier versions do not repeat the sequence number; their shares count from their arrival.
func (d *demandExchange) decidedAt(reply *peerpb.Gossip, now time.Time) time.Time {
	i, found := slices.BinarySearchFunc(d.sent, reply.Sequence, func(s sentDemands, sequence uint64) int { return cmp.Compare(s.sequence, sequence) })
	if !found || d.sent[i].allocator != reply.From {
		return now
	}
	return d.sent[i].at
}

// handleDemands replies to a demand report with shares, or records the shares of a reply.
func (c *Controller) handleDemands(now time.Time, from string, message *peerpb.Gossip) {
	switch message.Kind {
	case peerpb.Gossip_DEMAND:
		c.demands.refreshBudgets(c.options.Board)
		reply := c.machine.Message(peerpb.Gossip_SHARES)
		reply.Sequence = message.Sequence
		reply.Shares = c.allocate(now, message.From, message.Demands)
		if member, known := c.machine.Member(message.From); known {
			from = member.GossipAddress
		}
		c.send(from, reply)
	case peerpb.Gossip_SHARES:
		c.storeShares(now, c.demands.decidedAt(message, now), message.Shares)
	}
}

func (c *Controller) allocate(now time.Time, node string, list []*peerpb.LimitDemand) []*peerpb.LimitShare {
	var shares []*peerpb.LimitShare
	for _, demand := range list {
		budget, limited := c.demands.budgets[demand.Workspace]
		if !limited {
			continue
		}
		share := c.demands.allocator.Report(now, node, demand.Workspace, limits.Demand{
			Requests:           float64(demand.RequestsMilli) / 1000,
			Tokens:             float64(demand.Tokens),
			AdmittedRequests:   float64(demand.AdmittedRequestsMilli) / 1000,
			AdmittedTokens:     float64(demand.AdmittedTokens),
			Running:            int(demand.Running),
			DesiredConcurrency: int(demand.Wanted),
		}, budget)
		shares = append(shares, &peerpb.LimitShare{
			Workspace:     demand.Workspace,
			RequestsMilli: toUint32(share.Requests * 1000),
			Tokens:        toUint32(share.Tokens),
			Concurrency:   toUint32(float64(share.Concurrency)),
		})
	}
	return shares
}

// storeShares records shares that were decided on at decidedAt or later, except those that are older than the known
// ones or have expired.
func (c *Controller) storeShares(now, decidedAt time.Time, shares []*peerpb.LimitShare) {
	if now.Sub(decidedAt) >= limits.ShareTTL {
		return
	}
	for _, s := range shares {
		if known, ok := c.options.Board.Shares.Get(s.Workspace); ok && decidedAt.Before(known.Evidence.ObservedAt) {
			continue
		}
		c.options.Board.Shares.Put(s.Workspace, blackboard.ShareEntry{
			RequestsPerSecond: float64(s.RequestsMilli) / 1000,
			TokensPerSecond:   float64(s.Tokens),
			Concurrency:       int(s.Concurrency),
		}, c.evidence(decidedAt))
	}
}

func demandProto(workspace string, e blackboard.DemandEntry) *peerpb.LimitDemand {
	return &peerpb.LimitDemand{
		Workspace:             workspace,
		RequestsMilli:         toUint32(e.RequestsPerSecond * 1000),
		Tokens:                toUint32(e.TokensPerSecond),
		AdmittedRequestsMilli: toUint32(e.AdmittedRequests * 1000),
		AdmittedTokens:        toUint32(e.AdmittedTokens),
		Running:               toUint32(float64(e.Running)),
		Wanted:                toUint32(float64(e.DesiredConcurrency)),
	}
}

// toUint32 rounds a value and limits it to the range of uint32.
func toUint32(value float64) uint32 {
	return uint32(min(max(math.Round(value), 0), math.MaxUint32))
}
