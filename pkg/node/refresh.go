package node

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/limits"
)

// placementRefreshInterval bounds the age of the engine loads that placement uses.
const placementRefreshInterval = 20 * time.Millisecond

// refreshLoop passes the blackboard's engines to placement until ctx ends. It returns nil.
func (n *Node) refreshLoop(ctx context.Context) error {
	ticker := time.NewTicker(placementRefreshInterval)
	defer ticker.Stop()
	for {
		n.refreshPlacement()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// followConfig passes each new configuration to the components that keep state per workspace, until
// ctx ends. It returns nil.
func (n *Node) followConfig(ctx context.Context) error {
	changes, cancel := n.board.Config.Subscribe()
	defer cancel()
	for {
		if c := n.board.CurrentConfig(); c != nil {
			n.recorder.SetConfig(c)
			n.limiter.SetBudgets(limits.FromConfig(c))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}

// refreshPlacement passes the blackboard's engines to placement. It is safe for concurrent use.
func (n *Node) refreshPlacement() {
	n.feederMu.Lock()
	defer n.feederMu.Unlock()
	n.feeder.Refresh()
}
