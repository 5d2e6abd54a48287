package node

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/limits"
)

// feedInterval bounds the age of the engine loads that placement sees.
const placementRefreshInterval = 20 * time.Millisecond

// feed passes the board's engines to placement until ctx ends.
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

// followConfig passes each new configuration to the parts that keep state by workspace.
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

func (n *Node) refreshPlacement() {
	n.feederMu.Lock()
	defer n.feederMu.Unlock()
	n.feeder.Refresh()
}
