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

// Weighted is a service that gets a share of a route's requests.
type Weighted struct {
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
	// Objective is the time within which an answer, or the first event of one, is on time.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Targets  []Weighted
	// Attempts is the largest number of backend servers that may run one request.
	Attempts int
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

// Pick returns the service for a request. fraction is a number in [0, 1) that is even over
// requests.
func (r *Route) Pick(fraction float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := fraction * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
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
	// CacheStore is the address of a store of kept KV cache, which takes no requests, or "".
	CacheStore string
}

// Tenant is a workspace with its API keys.
type Tenant struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached prompt with others.
	Isolated bool
}

// Limits bound what callers may send. The node's own limits of headers and idle connections are above those of
// any configuration.
type Limits struct {
	// BodyBytes bounds a body; 0 means that no limit is set.
	BodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	// Since is the time from which the node has had the configuration in force.
	Since    time.Time
	Routes   []Route
	Services map[string]Service
	Tenants  []Tenant
	Limits   Limits

	cacheStore string
	byHost     map[string][]*Route
	byKey      map[string]*Tenant
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
		if address := c.Services[name].CacheStore; address != "" && c.cacheStore == "" {
			c.cacheStore = address
		}
	}
	c.byKey = map[string]*Tenant{}
	for i := range c.Tenants {
		for _, k := range c.Tenants[i].Keys {
			c.byKey[k] = &c.Tenants[i]
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

// CacheStore returns the address of the store of kept KV cache, or "".
func (c *Config) CacheStore() string { return c.cacheStore }

// NeedsKeys reports whether requests to routes that are not public need an API key.
func (c *Config) NeedsKeys() bool { return len(c.Tenants) > 0 }

// TenantOf returns the workspace that holds an API key, or nil.
func (c *Config) TenantOf(key string) *Tenant {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}
