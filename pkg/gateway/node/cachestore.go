package node

import (
	"context"
	"slices"
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

// watchCacheStores watches the KV cache stores of the configuration while this node holds the lease.
func (n *Node) watchCacheStores(ctx context.Context) {
	stopped := make(chan string)
	watched := map[string]bool{}
	ticker := time.NewTicker(cacheStoreRetryPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-stopped:
			delete(watched, address)
			continue
		case <-ticker.C:
		}
		for _, address := range n.cacheStoresToWatch() {
			if watched[address] {
				continue
			}
			watched[address] = true
			go func() {
				n.guard().Run("cache store", func() { n.watchCacheStore(ctx, address) })
				select {
				case stopped <- address:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// cacheStoresToWatch returns the addresses of the KV cache stores if this node holds the lease.
func (n *Node) cacheStoresToWatch() []string {
	config := n.config.current.Load()
	if config == nil || !n.controller.HoldsLease() {
		return nil
	}
	var addresses []string
	for _, s := range config.CacheStores() {
		addresses = append(addresses, s.Address)
	}
	return addresses
}

// watchCacheStore polls a KV cache store until this node should no longer watch it, and announces each change of
// its epoch to the other nodes. Epoch 0 stands for a store that is unavailable: a fetch from it would delay a
// request by some hundred milliseconds.
func (n *Node) watchCacheStore(ctx context.Context, address string) {
	var position int64
	for ctx.Err() == nil && slices.Contains(n.cacheStoresToWatch(), address) {
		callCtx, cancel := context.WithTimeout(ctx, cacheStoreCallTimeout)
		epoch, next, err := n.opt.CacheStore.Epoch(callCtx, address, position)
		cancel()
		if err != nil {
			epoch, next = 0, 0
		}
		if old := n.prefixes.SetStoreEpoch(address, epoch, time.Now()); old != epoch {
			event.CacheStoreChanged.Emit(n.opt.Logger, "address", address, "epoch", epoch, "before", old, "error", errorText(err))
			n.link.RequestHeartbeat()
		}
		position = next
		if err != nil {
			wait.Pause(ctx, cacheStoreRetryPause)
		}
	}
}

// countStoresUp returns the number of KV cache stores that are assumed to be available.
func (n *Node) countStoresUp() int {
	count := 0
	for _, s := range n.prefixes.StoreEpochs() {
		if s.Epoch != 0 {
			count++
		}
	}
	return count
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
