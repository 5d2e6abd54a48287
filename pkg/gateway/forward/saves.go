package forward

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

const (
	// saveLinkShare is the share of the KV cache stores' links that saves may use. The rest is for fetches,
	// which wait behind the saves.
	saveLinkShare = 0.5
	// defaultSavesPerSecond limits the saves of a node if the configuration states no bandwidth or no size of
	// a token's KV cache.
	defaultSavesPerSecond = 4
	// bytesPerMegabit converts a bandwidth in Mbit/s to bytes a second.
	bytesPerMegabit = 1e6 / 8
)

// saveLimiter limits the prompts that this node has engines save to the KV cache stores. It answers the load
// after new weights: no prefix is saved yet, and saves of all prompts would fill the stores' links and delay
// each fetch. All nodes take equal parts. It is safe for concurrent use.
type saveLimiter struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newSaveLimiter() *saveLimiter { return &saveLimiter{limiter: rate.NewLimiter(0, 0)} }

// allow reports whether a prompt of that many tokens may be saved, and counts it. tokenBytes is the size of a
// token's KV cache, nodes the number of nodes.
func (l *saveLimiter) allow(stores []routes.CacheStore, tokenBytes, promptTokens, nodes int, now time.Time) bool {
	linkMbps := 0.0
	for _, s := range stores {
		linkMbps += s.LinkMbps
	}
	limit, cost := saveLinkShare*linkMbps*bytesPerMegabit/float64(max(nodes, 1)), promptTokens*tokenBytes
	if linkMbps == 0 || tokenBytes == 0 {
		limit, cost = defaultSavesPerSecond, 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The burst of a second, or of one prompt, lets a node save prompts that are larger than its part of a
	// second.
	burst := max(int(limit), cost)
	if l.limiter.Limit() != rate.Limit(limit) || l.limiter.Burst() < burst {
		l.limiter.SetLimitAt(now, rate.Limit(limit))
		l.limiter.SetBurstAt(now, burst)
	}
	return l.limiter.AllowN(now, cost)
}
