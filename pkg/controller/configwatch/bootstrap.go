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
	// bootstrapPeers is the number of peers called in a round.
	bootstrapPeers = 3
	// bootstrapRoundTimeout bounds a round, so that unresponsive peers do not keep a node from
	// becoming ready.
	bootstrapRoundTimeout = 2 * time.Second
	// bootstrapInterval sets the pause between rounds, which is random between 1/4 and 5/4 of it.
	// The jitter spreads the calls of a fleet whose nodes restart at the same time.
	bootstrapInterval = time.Second
)

// bootstrap requests the configuration from peers and the object API in rounds until the node is
// ready.
func (c *Controller) bootstrap(ctx context.Context) {
	for round := 0; ; round++ {
		c.bootstrapRound(ctx, round)
		if c.checkReady() {
			return
		}
		c.mu.Lock()
		interval := bootstrapInterval/4 + time.Duration(c.options.Rand.Int64N(int64(bootstrapInterval)))
		c.mu.Unlock()
		if !wait.Pause(ctx, interval) {
			return
		}
	}
}

func (c *Controller) checkReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startup.InForce, c.startup.PeersListed = c.version(), c.options.PeersListed()
	c.ready = c.startup.Ready(c.options.Now())
	return c.ready
}

func (c *Controller) bootstrapRound(ctx context.Context, round int) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapRoundTimeout)
	defer cancel()
	c.mu.Lock()
	c.startup.RequestsPending = true
	peers := configsync.PickBootstrapPeers(c.options.Rand, c.self(), c.members(), bootstrapPeers)
	peersHaveConfig := c.startup.PeersWithConfig > 0
	c.mu.Unlock()
	var calls sync.WaitGroup
	for _, member := range peers {
		calls.Go(func() { c.bootstrapFromPeer(ctx, member) })
	}
	if c.options.Store != nil && c.shouldReadStore(round, peersHaveConfig) {
		calls.Go(func() { c.bootstrapFromStore(ctx) })
	}
	calls.Wait()
	c.mu.Lock()
	c.startup.RequestsPending = false
	c.mu.Unlock()
}

// shouldReadStore reports whether a round also reads the object API. The nodes that watch it always
// do. Others read it only from the third round on and while no peer has returned a configuration,
// so that a restart of the whole fleet does not overload the object API.
func (c *Controller) shouldReadStore(round int, peersHaveConfig bool) bool {
	if configsync.IsWatcher(c.options.Name, c.options.DataCentre, c.members()) {
		return true
	}
	return round >= 2 && !peersHaveConfig
}

func (c *Controller) bootstrapFromStore(ctx context.Context) {
	responded := c.readStore(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startup.StoreResponded = c.startup.StoreResponded || responded
}

func (c *Controller) bootstrapFromPeer(ctx context.Context, member blackboard.MemberEntry) {
	reply, err := c.options.Peers(member.RPCAddress).Bootstrap(ctx, &peerpb.BootstrapRequest{Node: c.options.Name})
	if err != nil {
		event.BootstrapFailed.Log(ctx, c.options.Logger, slog.String("from", member.Name), slog.String("error", err.Error()))
		return
	}
	c.mu.Lock()
	c.startup.PeersResponded++
	if reply.ConfigVersion > 0 {
		c.startup.PeersWithConfig++
	}
	c.mu.Unlock()
	before := c.version()
	stale, err := peer.ImportBootstrap(c.options.Board, reply, member.Name, c.options.Now())
	switch {
	case err != nil:
		c.rejectVersion(ctx, reply.ConfigVersion, err)
	case stale:
		c.recordStale(ctx, before, reply.ConfigVersion, member.Name)
	case c.version() > before:
		event.ConfigAccepted.Log(ctx, c.options.Logger, slog.Uint64("version", reply.ConfigVersion), slog.String("from", member.Name))
	}
	c.options.OnPrefixes(reply.Prefixes)
}
