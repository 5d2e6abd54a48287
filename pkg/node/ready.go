package node

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/routing"
)

const (
	readyPollInterval = 10 * time.Millisecond
	// engineWait bounds the wait for engines of every model. A model without any engine must
	// not keep the others from being served.
	engineReadyTimeout = 5 * time.Second
	// joinWait bounds the wait for the first other member. Peers give a restarted node what it
	// knew before; the first node of a fleet has none.
	joinTimeout = 2 * time.Second
)

// waitReady waits until a configuration is in force and its engines are known.
// Connections of callers wait in the listener's backlog meanwhile, so none is refused.
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
		joined := n.joined() || time.Since(startedAt) > joinTimeout
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

// joined reports whether this node knows another live member, or no other node exists.
func (n *Node) joined() bool {
	for name, m := range n.board.Members.Snapshot() {
		if name != n.opt.Settings.Name && m.Value.State == blackboard.MemberAlive {
			return true
		}
	}
	own := n.transport.Address()
	return !slices.ContainsFunc(n.seeds(), func(address string) bool { return address != own })
}

// servesAll reports whether all reachable engines have told their state and each model has a
// usable one. An engine that is left out would lose its cached prefixes to the others.
func (n *Node) allModelsServed(c *config.Config) bool {
	engines := n.board.Engines.Snapshot()
	for _, e := range engines {
		if e.Value.Reachable && !e.Value.Known {
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

func hasServingEngine(engines map[string]blackboard.Entry[blackboard.EngineEntry], model string) bool {
	for _, e := range engines {
		if routing.Serves(&e.Value, model) {
			return true
		}
	}
	return false
}
