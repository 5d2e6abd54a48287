// Package routes holds one version of the operator's configuration and finds the route and the
// tenant of a request in it. A Config is immutable after Build.
package routes

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says what a route allows to be repeated.
type Kind int

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each attempt of a client.
	Unsafe
	// Stream requests are answered by events. They run at most once unless Resumable is set.
	Stream
)

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is where requests of one host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time from the request to the end of its answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of one, is on time.
	LatencyObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []WeightedService
	// MaxAttempts is the largest number of backend servers that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Sticky routes carry prompts whose cached prefix is worth returning to.
	Sticky bool
	// Resumable streams may go on at another engine after the last complete event.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a request. fraction is a number in [0, 1) that is even over
// requests.
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

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// HasEngines is set for services of model engines.
	HasEngines bool
	// CacheStoreAddress is the address of a store of kept KV cache, which takes no requests, or "".
	CacheStoreAddress string
}

// Workspace is a workspace with its API keys.
type Workspace struct {
	Name    string
	APIKeys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached prompt with others.
	Isolated bool
}

// Limits bound what callers may send. The node's own limits of headers and idle connections are above those of
// any configuration.
type Limits struct {
	// MaxBodyBytes bounds a body; 0 means that no limit is set.
	MaxBodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	// AppliedAt is the time from which the node has had the configuration in force.
	AppliedAt  time.Time
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits

	cacheStoreAddress string
	byHost            map[string][]*Route
	byKey             map[string]*Workspace
}

// Build indexes the configuration. It must be called once before use.
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
		if address := c.Services[name].CacheStoreAddress; address != "" && c.cacheStoreAddress == "" {
			c.cacheStoreAddress = address
		}
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].APIKeys {
			c.byKey[k] = &c.Workspaces[i]
		}
	}
	return c
}

// Match returns the route with the longest prefix of path among those of host, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CacheStoreAddress returns the address of the store of kept KV cache, or "".
func (c *Config) CacheStoreAddress() string { return c.cacheStoreAddress }

// RequiresAPIKeys reports whether requests to routes that are not public need an API key.
func (c *Config) RequiresAPIKeys() bool { return len(c.Workspaces) > 0 }

// WorkspaceByKey returns the workspace that holds an API key, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}
