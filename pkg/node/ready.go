package node

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/routing"
)

const (
	readyPollInterval = 10 * time.Millisecond
	// engineReadyTimeout bounds the wait for an engine of each model, so that a model without
	// engines does not prevent the others from being served.
	engineReadyTimeout = 5 * time.Second
)

// waitReady waits until a configuration is in force, another member is alive (for configsync.PeerTimeout
// at most) and the models of the configuration have engines (for engineReadyTimeout at most), or until ctx ends
// or Shutdown is called. Meanwhile connections of callers wait in the listener's backlog, so that none
// is refused.
func (n *Node) waitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	var configuredAt time.Time
	for ctx.Err() == nil {
		c := n.board.CurrentConfig()
		if c != nil && configuredAt.IsZero() {
			configuredAt = time.Now()
		}
		joined := n.joined() || time.Since(startedAt) > configsync.PeerTimeout(n.peersListed())
		if c != nil && joined && n.config.Ready() && (n.allModelsServed(c) || time.Since(configuredAt) > engineReadyTimeout) {
			n.limiter.SetBudgets(limits.FromConfig(c))
			return
		}
		select {
		case <-ctx.Done():
		case <-n.stop:
			return
		case <-ticker.C:
		}
	}
}

// joined reports whether another member is alive, or no other node can exist: the VM list was read, and
// neither it nor the settings name one. A restarted node restores its state, such as the prefix index, from
// its peers.
func (n *Node) joined() bool {
	for name, m := range n.board.Members.Snapshot() {
		if name != n.opt.Settings.Name && m.Value.State == blackboard.MemberAlive {
			return true
		}
	}
	return n.discovery.ListRead() && !n.peersListed()
}

// peersListed reports whether the VM list or the settings name other nodes.
func (n *Node) peersListed() bool {
	own := n.transport.Address()
	return slices.ContainsFunc(n.seeds(), func(address string) bool { return address != own })
}

// allModelsServed reports whether all reachable engines have reported their state and each model has
// an engine that takes requests. A node that served before that would send requests to other engines
// than those that have their prefixes cached.
func (n *Node) allModelsServed(c *config.Config) bool {
	engines := n.board.Engines.Snapshot()
	for _, e := range engines {
		if e.Value.Reachable && !e.Value.HasState {
			return false
		}
	}
	for i := range c.Models {
		if !hasServingEngine(engines, c.Models[i].Name) {
			return false
		}
	}
	n.refreshPlacement()
	return true
}

// hasServingEngine reports whether an engine takes requests of a model.
func hasServingEngine(engines map[string]blackboard.Entry[blackboard.EngineEntry], model string) bool {
	for _, e := range engines {
		if routing.Serves(&e.Value, model) {
			return true
		}
	}
	return false
}
