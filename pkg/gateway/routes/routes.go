// Package routes holds one version of the operator's configuration and looks up the route and the
// workspace of a request in it. A Config is immutable after Build.
package routes

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// Kind determines whether the requests of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once each time that a client sends them.
	Unsafe
	// Stream requests have a response of server-sent events. They run at most once unless the route is
	// Resumable.
	Stream
)

// WeightedService is a service that gets a part of a route's requests in proportion to Weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time from the request to the end of its response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or the first event of a stream, is on time.
	LatencyObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []WeightedService
	// MaxAttempts limits the number of times that backend servers may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Sticky routes send requests with the same shared prompt prefix to the same engine, to reuse its
	// KV cache.
	Sticky bool
	// Resumable streams may continue at another engine after the last complete event.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be retried.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a request. fraction must be uniformly distributed in [0, 1) over
// the requests.
func (r *Route) PickService(fraction float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := fraction * total
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// HasEngines is set for services of model engines.
	HasEngines bool
	// CacheStore is set if the service is a KV cache store, which serves no client requests.
	CacheStore *CacheStore
}

// CacheStore is a KV cache store, which keeps KV cache outside of the engines.
type CacheStore struct {
	Address    string
	DataCentre string
	// addressHash is the rendezvous hash of Address.
	addressHash uint64
}

// Workspace is a workspace with its API keys.
type Workspace struct {
	Name    string
	APIKeys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no KV cache entries with others.
	Isolated bool
	// Quota limits the workspace's requests over all nodes together, or is nil.
	Quota *Quota
}

// Quota is the limit of a workspace's requests over all nodes together.
type Quota struct {
	limits.Quota
	// Hash identifies the workspace in messages between nodes.
	Hash uint64
	// DefaultWeight is the weight in tokens of a request that states no numbers of tokens, if Tokens is set.
	DefaultWeight int64
}

// maxWeight bounds the weight of a request in tokens, so that sums do not overflow. No request is that heavy.
const maxWeight = 1 << 40

// Weight returns the weight of a request with the stated numbers of tokens of its prompt and output. stated is set if it
// states them.
func (q *Quota) Weight(promptTokens, outputTokens int, stated bool) int64 {
	if !q.Tokens {
		return 1
	}
	prompt, output := min(int64(promptTokens), maxWeight), min(int64(outputTokens), maxWeight)
	if !stated || prompt < 0 || output < 0 {
		return q.DefaultWeight
	}
	return prompt + output
}

// Limits restrict what clients may send. The node's own limits of headers and idle connections are higher
// than those of any configuration.
type Limits struct {
	// MaxBodyBytes limits the size of a request body. 0 means that the configuration sets no limit.
	MaxBodyBytes int64
}

// Config is one version of the configuration. Build must be called before use.
type Config struct {
	Version int64
	// AppliedAt is the time at which the node began to use the configuration.
	AppliedAt  time.Time
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits

	cacheStores []CacheStore
	byHost      map[string][]*Route
	byKey       map[string]*Workspace
}

// Build creates the indexes of the configuration and returns c. It must be called once before use.
func (c *Config) Build() *Config {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if store := c.Services[name].CacheStore; store != nil {
			store.addressHash = rendezvous.Hash(store.Address)
			c.cacheStores = append(c.cacheStores, *store)
		}
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].APIKeys {
			c.byKey[k] = &c.Workspaces[i]
		}
		if q := c.Workspaces[i].Quota; q != nil {
			q.Hash = rendezvous.Hash(c.Workspaces[i].Name)
		}
	}
	return c
}

// Quotas returns the quotas by the hash of their workspace. Two workspaces with the same hash share the lower one.
func (c *Config) Quotas() map[uint64]limits.Quota {
	quotas := map[uint64]limits.Quota{}
	for _, w := range c.Workspaces {
		if w.Quota == nil {
			continue
		}
		if other, ok := quotas[w.Quota.Hash]; !ok || w.Quota.Rate < other.Rate {
			quotas[w.Quota.Hash] = w.Quota.Quota
		}
	}
	return quotas
}

// Match returns the route of host with the longest path prefix that matches path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CacheStores returns the KV cache stores, in the order of their services' names.
func (c *Config) CacheStores() []CacheStore { return c.cacheStores }

// CacheStoreFor returns the KV cache store that keeps a shared prefix whose home is in a data centre, or nil if
// there is none: a store of that data centre or, if it has none, any other. With several stores, each keeps its
// own part of the prefixes, so that their memory and links add up.
func (c *Config) CacheStoreFor(prefix uint64, dataCentre string) *CacheStore {
	var best *CacheStore
	var bestScore uint64
	for i := range c.cacheStores {
		store := &c.cacheStores[i]
		score := rendezvous.Score(store.addressHash, prefix)
		nearer := best != nil && store.DataCentre == dataCentre && best.DataCentre != dataCentre
		farther := best != nil && store.DataCentre != dataCentre && best.DataCentre == dataCentre
		if best == nil || nearer || !farther && score > bestScore {
			best, bestScore = store, score
		}
	}
	return best
}

// RequiresAPIKeys reports whether requests to routes that are not Public need an API key.
func (c *Config) RequiresAPIKeys() bool { return len(c.Workspaces) > 0 }

// WorkspaceByKey returns the workspace that an API key belongs to, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}
