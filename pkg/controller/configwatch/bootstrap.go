package configwatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// bootstrapPeers is the number of peers asked in a round.
	bootstrapPeers = 3
	// bootstrapTimeout bounds a round, so that hanging peers do not keep a node from serving.
	bootstrapTimeout = 2 * time.Second
	// bootstrapInterval is the longest pause between rounds. It is random, so that a fleet that
	// restarts at once does not call the object API at once.
	bootstrapInterval = time.Second
)

// bootstrap asks peers and the object API in rounds until the node is ready.
func (c *Controller) bootstrap(ctx context.Context) {
	for round := 0; ; round++ {
		c.round(ctx, round)
		if c.checkReady() {
			return
		}
		c.mu.Lock()
		interval := bootstrapInterval/4 + time.Duration(c.o.Rand.Int64N(int64(bootstrapInterval)))
		c.mu.Unlock()
		if !wait.Pause(ctx, interval) {
			return
		}
	}
}

func (c *Controller) checkReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startup.InForce = c.version()
	c.ready = c.startup.Ready(c.o.Now())
	return c.ready
}

func (c *Controller) round(ctx context.Context, round int) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	c.mu.Lock()
	c.startup.RequestsPending = true
	peers := configsync.PickBootstrapPeers(c.o.Rand, c.self(), c.members(), bootstrapPeers)
	answered := c.startup.PeersWithConfig > 0
	c.mu.Unlock()
	var calls sync.WaitGroup
	for _, member := range peers {
		calls.Go(func() { c.askPeer(ctx, member) })
	}
	if c.o.Store != nil && c.asksStore(round, answered) {
		calls.Go(func() { c.askStore(ctx) })
	}
	calls.Wait()
	c.mu.Lock()
	c.startup.RequestsPending = false
	c.mu.Unlock()
}

// asksStore spares the object API in a mass restart: nodes that do not watch it ask only if no
// peer had a configuration in the first rounds.
func (c *Controller) asksStore(round int, answered bool) bool {
	if configsync.IsWatcher(c.o.Name, c.o.DataCentre, c.members()) {
		return true
	}
	return round >= 2 && !answered
}

func (c *Controller) askStore(ctx context.Context) {
	answered := c.get(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startup.StoreResponded = c.startup.StoreResponded || answered
}

func (c *Controller) askPeer(ctx context.Context, member blackboard.MemberEntry) {
	reply, err := c.o.Peers(member.RPCAddress).Bootstrap(ctx, &peerpb.BootstrapRequest{Node: c.o.Name})
	if err != nil {
		event.BootstrapFailed.Log(ctx, c.o.Logger, slog.String("from", member.Name), slog.String("error", err.Error()))
		return
	}
	c.mu.Lock()
	c.startup.PeersResponded++
	if reply.ConfigVersion > 0 {
		c.startup.PeersWithConfig++
	}
	c.mu.Unlock()
	before := c.version()
	stale, err := peer.ImportBootstrap(c.o.Board, reply, member.Name, c.o.Now())
	switch {
	case err != nil:
		c.refuse(ctx, reply.ConfigVersion, err)
	case stale:
		c.noteStale(ctx, before, reply.ConfigVersion, member.Name)
	case c.version() > before:
		event.ConfigAccepted.Log(ctx, c.o.Logger, slog.Uint64("version", reply.ConfigVersion), slog.String("from", member.Name))
	}
	c.o.OnPrefixes(reply.Prefixes)
}
