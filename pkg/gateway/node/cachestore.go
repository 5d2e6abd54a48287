package node

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// CacheStore is the store of kept KV cache.
type CacheStore interface {
	// Epoch waits for about a second and returns the number of the store's present run and the
	// position to go on from.
	Epoch(ctx context.Context, address string, since int64) (epoch, next int64, err error)
}

const (
	// cacheStoreTimeout bounds one question to the store of kept KV cache.
	cacheStoreCallTimeout = 2 * time.Second
	// cacheStorePause is the pause before the next question after a failed one.
	cacheStoreRetryPause = 250 * time.Millisecond
)

// watchCacheStore keeps an eye on the store of kept KV cache while this node holds the lease: a fetch
// from a store that is down delays a request by some hundred milliseconds.
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
