// Package gossip runs the membership state machine over the peer transport. It exchanges members,
// engine summaries, and the demands and shares of workspace limits with other nodes, and records what
// it receives on the blackboard. A summary is the identity and load of an engine, published by its
// owner: the node that admits requests to that engine.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/membership"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/recovery"
)

// EvidenceSource is the evidence source of blackboard entries that were received by gossip.
const EvidenceSource = "gossip"

const (
	// publishIntervalTicks is the number of ticks between two checks of the blackboard for changed
	// summaries and demands.
	publishIntervalTicks = 3
	// importIntervalTicks is the number of ticks between two checks of the blackboard for members
	// from a bootstrap reply.
	importIntervalTicks = 10
	// leaveFlushDelay lets the kernel send the last datagrams before the socket closes.
	leaveFlushDelay = 200 * time.Millisecond
)

// Transport carries messages between nodes. peer.Transport implements it.
type Transport interface {
	// Address returns the address at which other nodes reach this one.
	Address() string
	// Send sends one message. It may be lost without an error.
	Send(address string, message *peerpb.Gossip) error
	// Run calls handle for each message until ctx ends.
	Run(ctx context.Context, handle func(from string, message *peerpb.Gossip)) error
}

// Options configure a Controller.
type Options struct {
	Name       string
	DataCentre string
	Region     string
	// RPCAddress is the address at which other nodes call this one.
	RPCAddress string
	Transport  Transport
	Board      *blackboard.Board
	// Seeds returns gossip addresses of nodes that may exist. It is called once a second, and at each
	// tick while no other member is live.
	// Default: none.
	Seeds func() []string
	// Logger is the logger of membership events. Default: slog.Default().
	Logger *slog.Logger
	// Metrics is the registry of the gauges membership_*. Default: a new registry.
	Metrics *metrics.Registry
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// Rand is the source of random choices. Default: a randomly seeded one.
	Rand *rand.Rand
	// Membership overrides the defaults of the state machine. Self and Rand are set by New.
	Membership membership.Options
}

// Controller maintains this node's view of the fleet.
type Controller struct {
	options Options
	guard   recovery.Guard

	mu                sync.Mutex
	machine           *membership.Machine
	summaries         *summaryQueue
	demands           *demandExchange
	ticks             int
	importedVersion   uint64
	loggedRefutations int
}

// New returns a controller with defaults for unset options. The node is announced when Run starts.
func New(options Options) *Controller {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Seeds == nil {
		options.Seeds = func() []string { return nil }
	}
	now := options.Now()
	options.Membership.Rand = options.Rand
	options.Membership.Self = membership.Member{
		Name:          options.Name,
		GossipAddress: options.Transport.Address(),
		RPCAddress:    options.RPCAddress,
		DataCentre:    options.DataCentre,
		Region:        options.Region,
		Incarnation:   uint64(now.UnixMilli()),
	}
	c := &Controller{
		options:   options,
		guard:     recovery.Guard{Logger: options.Logger, Metrics: options.Metrics},
		machine:   membership.New(options.Membership, now),
		summaries: newSummaryQueue(options.Name),
		demands:   newDemandExchange(limits.NewAllocator()),
	}
	c.putMember(now, c.machine.Self())
	c.registerGauges()
	return c
}

func (c *Controller) registerGauges() {
	gauge := func(name string, read func() int) {
		c.options.Metrics.GaugeFunc(name, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(read())
		})
	}
	gauge("membership_live", func() int { return c.machine.Live() })
	gauge("membership_awareness", func() int { return c.machine.Awareness() })
	gauge("membership_refutations", func() int { return c.machine.Refutations() })
}

// Run sends and receives gossip until ctx ends. The error is that of the transport, nil if only ctx
// ended.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return c.options.Transport.Run(ctx, func(from string, message *peerpb.Gossip) {
			c.guard.Run("gossip message", func() { c.receive(ctx, from, message) })
		})
	})
	group.Go(func() error {
		c.tickLoop(ctx)
		return nil
	})
	return group.Wait()
}

func (c *Controller) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(membership.DefaultTickInterval)
	defer ticker.Stop()
	for {
		c.guard.Run("gossip tick", func() { c.tick(ctx) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave announces to peers that this node leaves the fleet. Run must still be running.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.performActions(ctx, c.options.Now(), c.machine.Leave(c.options.Now()))
	c.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(leaveFlushDelay):
	}
}

// SetDraining announces to peers whether this node is draining.
func (c *Controller) SetDraining(ctx context.Context, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.performActions(ctx, c.options.Now(), c.machine.SetDraining(draining))
}

func (c *Controller) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if c.ticks%importIntervalTicks == 0 || c.machine.Live() == 1 {
		// A starting node learns the seeds from the VM list, which may be read after the first tick.
		c.machine.SetSeeds(c.options.Seeds())
	}
	if c.ticks%importIntervalTicks == 0 {
		c.importMembers(ctx, now)
		c.removeExpiredSummaries(now)
	}
	if c.ticks%publishIntervalTicks == 0 {
		c.publishSummaries(now)
		c.sendDemands(now)
	}
	c.ticks++
	if version := c.configVersion(); version > c.machine.Self().ConfigVersion {
		c.machine.SetConfigVersion(version)
		c.putMember(now, c.machine.Self())
	}
	c.performActions(ctx, now, c.machine.Tick(now))
}

func (c *Controller) configVersion() uint64 {
	entry, _ := c.options.Board.Config.Get(blackboard.ConfigKey)
	return entry.Value.Version
}

// importMembers passes the members that a bootstrap reply put on the blackboard to the membership
// state machine.
func (c *Controller) importMembers(ctx context.Context, now time.Time) {
	version := c.options.Board.Members.Version()
	if version == c.importedVersion {
		return
	}
	c.importedVersion = version
	var members []membership.Member
	for _, entry := range c.options.Board.Members.Snapshot() {
		if entry.Evidence.Source == peer.BootstrapSource {
			members = append(members, entry.Value)
		}
	}
	c.performActions(ctx, now, c.machine.Import(now, membership.Export(members)))
}

func (c *Controller) receive(ctx context.Context, from string, message *peerpb.Gossip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	c.performActions(ctx, now, c.machine.Receive(now, from, message))
	c.applySummaries(now, message.From, message.Engines)
	c.handleDemands(now, from, message)
}

// performActions records membership changes on the blackboard and sends messages, with as many
// engine summaries as fit.
func (c *Controller) performActions(ctx context.Context, now time.Time, actions membership.Actions) {
	for _, change := range actions.Changes {
		c.applyChange(ctx, now, change)
	}
	for _, s := range actions.Sends {
		c.attachSummaries(now, s)
		c.send(s.Address, s.Message)
	}
	if refuted := c.machine.Refutations(); refuted > c.loggedRefutations {
		c.loggedRefutations = refuted
		event.SelfRefuted.Log(ctx, c.options.Logger, slog.Uint64("incarnation", c.machine.Self().Incarnation))
		c.putMember(now, c.machine.Self())
	}
}

// send ignores errors: the transport counts them, and the protocol tolerates lost messages.
func (c *Controller) send(address string, message *peerpb.Gossip) {
	_ = c.options.Transport.Send(address, message)
}

func (c *Controller) applyChange(ctx context.Context, now time.Time, change membership.Change) {
	if change.Removed {
		c.options.Board.Members.Delete(change.Member.Name)
		return
	}
	c.putMember(now, change.Member)
	if change.Previous == change.Member.State {
		return
	}
	events := map[blackboard.MemberState]event.Event{
		blackboard.MemberAlive:   event.MemberJoined,
		blackboard.MemberSuspect: event.MemberSuspected,
		blackboard.MemberDead:    event.MemberDead,
		blackboard.MemberLeft:    event.MemberLeft,
	}
	events[change.Member.State].Log(ctx, c.options.Logger,
		slog.String("member", change.Member.Name),
		slog.String("data_centre", change.Member.DataCentre),
		slog.String("address", change.Member.GossipAddress))
}

func (c *Controller) putMember(now time.Time, member membership.Member) {
	c.options.Board.Members.Put(member.Name, member, c.evidence(now))
}

func (c *Controller) evidence(now time.Time) blackboard.Evidence {
	return blackboard.Evidence{Writer: "gossip", Source: EvidenceSource, ObservedAt: now}
}
