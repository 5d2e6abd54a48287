// Package lease acquires and renews this node's leases in the object API and writes them to the
// blackboard. Only the holder of a shard's lease may send orders to the shard's engines. A shard is
// the set of engines of one model, so the number of leases equals the number of models and does not
// grow with the number of engines.
package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/lease"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

const (
	writer = "lease"
	// decisionInterval is the time between checks of all leases, and so the maximum delay of a
	// renewal.
	decisionInterval = time.Second
	// callTimeout bounds one call of the object API.
	callTimeout = 2 * time.Second
)

// Options configures a Controller.
type Options struct {
	// Node is this node's name in the membership.
	Node   string
	Board  *blackboard.Board
	Store  objects.Store
	Logger *slog.Logger
}

// Controller acquires and renews the leases of one node. Run may be called again only after a panic has ended it.
type Controller struct {
	opt Options
	// instance identifies this start of the process: a restarted process counts as another holder.
	instance string
	calls    sync.WaitGroup

	mu sync.Mutex
	// leases is keyed by shard, which is the name of a model.
	leases map[string]*lease.Lease
}

// New returns a controller that holds no leases.
func New(opt Options) *Controller {
	return &Controller{opt: opt, instance: rand.Text(), leases: map[string]*lease.Lease{}}
}

// Run acquires and renews leases until ctx ends. Then it releases those it holds and returns nil.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		c.decide(ctx, c.desiredLeases())
		select {
		case <-ctx.Done():
			c.releaseAll(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

// releaseAll releases all leases, so that the next holders need not wait until they expire.
func (c *Controller) releaseAll(ctx context.Context) {
	c.calls.Wait()
	c.decide(ctx, nil)
	c.calls.Wait()
}

// desiredLeases maps every shard of the configuration to whether this node should hold its lease.
func (c *Controller) desiredLeases() map[string]bool {
	desired := map[string]bool{}
	current := c.opt.Board.CurrentConfig()
	if current == nil {
		return desired
	}
	nodes := c.eligibleNodes()
	for _, m := range current.Models {
		desired[m.Name] = rendezvous.Best(lease.ObjectName(m.Name), nodes) == c.opt.Node
	}
	return desired
}

// eligibleNodes returns the nodes that may hold leases: this node and the live members that are not
// draining.
func (c *Controller) eligibleNodes() []string {
	nodes := []string{c.opt.Node}
	for name, e := range c.opt.Board.Members.Snapshot() {
		if name != c.opt.Node && e.Value.State == blackboard.MemberAlive && !e.Value.Draining {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

// minFencingToken returns the highest fencing token that the shard's engines have reported. A lease
// object that is created anew must continue above it, because engines reject orders with lower
// tokens.
func (c *Controller) minFencingToken(shard string) uint64 {
	var minToken uint64
	for _, e := range c.opt.Board.Engines.Snapshot() {
		if e.Value.HasState && e.Value.State.Model == shard {
			minToken = max(minToken, e.Value.State.FencingToken)
		}
	}
	return minToken
}

// decide starts the calls that are due: reads, renewals and takeovers of desired leases and releases
// of the others.
func (c *Controller) decide(ctx context.Context, desired map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard := range desired {
		if c.leases[shard] == nil {
			c.leases[shard] = lease.New(c.opt.Node, c.instance)
		}
	}
	for shard, l := range c.leases {
		minToken := uint64(0)
		if desired[shard] && l.HeldUntil().IsZero() {
			minToken = c.minFencingToken(shard)
		}
		action := l.Next(time.Now(), desired[shard], minToken)
		// The board must show a release before the object API does, so that this node stops sending
		// before another node can take the lease.
		c.publishLocked(shard, l)
		if action.Kind != lease.None {
			c.calls.Go(func() { c.call(ctx, shard, l, action) })
		}
	}
}

// call executes one call of the object API and passes its result to the lease.
func (c *Controller) call(ctx context.Context, shard string, l *lease.Lease, action lease.Action) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := lease.ObjectName(shard)
	if action.Kind == lease.Read {
		o, err := c.opt.Store.Get(callCtx, name)
		c.mu.Lock()
		defer c.mu.Unlock()
		if damaged := l.ReadDone(o, err, time.Now()); damaged != nil {
			event.LeaseDamaged.Log(ctx, c.opt.Logger, slog.String("object", name), slog.Any("error", damaged))
		}
		c.publishLocked(shard, l)
		return
	}
	version, err := c.opt.Store.Put(callCtx, name, action.Value, action.IfVersion)
	c.mu.Lock()
	defer c.mu.Unlock()
	l.WriteDone(version, err, time.Now())
	if err != nil && !errors.Is(err, context.Canceled) {
		c.opt.Logger.Debug("lease not written", slog.String("object", name), slog.Any("error", err))
	}
	c.publishLocked(shard, l)
}

// publishLocked writes the lease to the board if it has changed, and logs when this node gains or
// loses the right to send. The caller holds c.mu.
func (c *Controller) publishLocked(shard string, l *lease.Lease) {
	now := time.Now()
	entry := blackboard.LeaseEntry{Holder: l.Holder(), HeldUntil: l.HeldUntil()}
	entry.FencingToken, _ = l.MaySend(now)
	ev := blackboard.Evidence{Writer: writer, Source: "object API", ObservedAt: now}
	var before blackboard.LeaseEntry
	c.opt.Board.Leases.Update(shard, ev, func(old blackboard.Entry[blackboard.LeaseEntry], _ bool) (blackboard.LeaseEntry, bool) {
		before = old.Value
		return entry, entry != old.Value
	})
	switch {
	case before.FencingToken == entry.FencingToken:
	case entry.FencingToken != 0:
		event.LeaseTaken.Log(context.Background(), c.opt.Logger, slog.String("shard", shard), slog.Uint64("fencing", entry.FencingToken))
	default:
		event.LeaseLost.Log(context.Background(), c.opt.Logger, slog.String("shard", shard), slog.Uint64("fencing", before.FencingToken))
	}
}
