package node

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// CacheStore is a client of the KV cache store, which keeps KV cache outside of the engines.
type CacheStore interface {
	// Epoch makes a long poll of about a second for the store's events from position on. It returns the
	// store's epoch, which differs after each restart of the store, and the position for the next poll.
	Epoch(ctx context.Context, address string, position int64) (epoch, next int64, err error)
}

const (
	// cacheStoreCallTimeout bounds one poll of the KV cache store.
	cacheStoreCallTimeout = 2 * time.Second
	// cacheStoreRetryPause is the pause after a failed poll, and between checks whether this node should
	// poll at all.
	cacheStoreRetryPause = 250 * time.Millisecond
)

// watchCacheStore polls the KV cache store while this node holds the lease, and announces each change of its
// epoch to the other nodes. Epoch 0 stands for a store that is unavailable: a fetch from it would delay a
// request by some hundred milliseconds.
func (n *Node) watchCacheStore(ctx context.Context) {
	var position int64
	for ctx.Err() == nil {
		config := n.config.current.Load()
		if config == nil || config.CacheStoreAddress() == "" || !n.controller.HoldsLease() {
			wait.Pause(ctx, cacheStoreRetryPause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, cacheStoreCallTimeout)
		epoch, next, err := n.opt.CacheStore.Epoch(callCtx, config.CacheStoreAddress(), position)
		cancel()
		if err != nil {
			epoch, next = 0, 0
		}
		if old := n.prefixes.SetStoreEpoch(epoch); old != epoch {
			event.CacheStoreChanged.Emit(n.opt.Logger, "epoch", epoch, "before", old, "error", errorText(err))
			n.link.RequestHeartbeat()
		}
		position = next
		if err != nil {
			wait.Pause(ctx, cacheStoreRetryPause)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
