// Package lease holds this node's leases in the object API and writes them to the blackboard. A
// shard is the set of engines of one model, so the number of leases is the number of models and
// does not grow with the engines.
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
	// decisionInterval is the time between decisions. It bounds how late a renewal starts.
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

// Controller holds leases. Use Run once.
type Controller struct {
	opt      Options
	instance string
	calls    sync.WaitGroup

	mu     sync.Mutex
	leases map[string]*lease.Lease
}

// New returns a controller that holds no lease yet.
func New(opt Options) *Controller {
	return &Controller{opt: opt, instance: rand.Text(), leases: map[string]*lease.Lease{}}
}

// Run takes and renews leases until ctx ends, then releases those it holds.
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

// releaseAll gives the leases back, so that the next holders need not wait for their end.
func (c *Controller) releaseAll(ctx context.Context) {
	c.calls.Wait()
	c.decide(ctx, nil)
	c.calls.Wait()
}

// desiredLeases returns the shards of which this node should hold the lease.
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

func (c *Controller) eligibleNodes() []string {
	nodes := []string{c.opt.Node}
	for name, e := range c.opt.Board.Members.Snapshot() {
		if name != c.opt.Node && e.Value.State == blackboard.MemberAlive && !e.Value.Draining {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

// minFencingToken returns the highest fencing number that the shard's engines have reported, so that a new
// lease object never starts below it.
func (c *Controller) minFencingToken(shard string) uint64 {
	var minToken uint64
	for _, e := range c.opt.Board.Engines.Snapshot() {
		if e.Value.HasState && e.Value.State.Model == shard {
			minToken = max(minToken, e.Value.State.Fencing)
		}
	}
	return minToken
}

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
		// A release takes effect on the board before it is written.
		c.publishLocked(shard, l)
		if action.Kind != lease.None {
			c.calls.Go(func() { c.call(ctx, shard, l, action) })
		}
	}
}

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

// publishLocked writes a lease to the board if it changed.
func (c *Controller) publishLocked(shard string, l *lease.Lease) {
	now := time.Now()
	entry := blackboard.LeaseEntry{Holder: l.Holder(), HeldUntil: l.HeldUntil()}
	entry.Fencing, _ = l.MaySend(now)
	ev := blackboard.Evidence{Writer: writer, Source: "object API", ObservedAt: now}
	var before blackboard.LeaseEntry
	c.opt.Board.Leases.Update(shard, ev, func(old blackboard.Entry[blackboard.LeaseEntry], _ bool) (blackboard.LeaseEntry, bool) {
		before = old.Value
		return entry, entry != old.Value
	})
	switch {
	case before.Fencing == entry.Fencing:
	case entry.Fencing != 0:
		event.LeaseTaken.Log(context.Background(), c.opt.Logger, slog.String("shard", shard), slog.Uint64("fencing", entry.Fencing))
	default:
		event.LeaseLost.Log(context.Background(), c.opt.Logger, slog.String("shard", shard), slog.Uint64("fencing", before.Fencing))
	}
}
