// Package config defines the dynamic configuration: workspaces with their prompts, models,
// routes and limits. It is stored in the platform's object API and shared by all nodes.
package config

import "time"

// Config is the whole dynamic configuration.
type Config struct {
	// Models are the models that engines serve. Effect: workspaces refer to them by name. Default:
	// none, required. Unit: none.
	Models []Model `yaml:"models" required:"true"`
	// Services are the plain services that requests are routed to. Effect: workspaces refer to them
	// by name. Default: empty. Unit: none.
	Services []Service `yaml:"services,omitempty"`
	// Workspaces are the customers, each with its own API keys and limits. Effect: only their API
	// keys are accepted. Default: none, required. Unit: none.
	Workspaces []Workspace `yaml:"workspaces" required:"true"`
	// Policy sets the weights of the cost terms by which an engine is chosen. Effect: see its fields.
	// Default: all weights 1. Unit: none.
	Policy Policy `yaml:"policy"`
	// Rollout limits how engines load new weights. Effect: see its fields. Default: see its fields.
	// Unit: none.
	Rollout Rollout `yaml:"rollout,omitempty"`
	// KVStore is the name of the KV cache store. Effect: enables copies of hot prefixes between
	// engines. Default: none. Unit: none.
	KVStore string `yaml:"kv_store,omitempty"`
}

// Model is a model that engines serve, with the estimates by which its prompts are split into pieces.
type Model struct {
	// Name is the model's name in callers' requests and at the engines. Effect: must be unique.
	// Default: none, required. Unit: none.
	Name string `yaml:"name" required:"true"`
	// WeightsVersion is the version that requests use. Effect: a change starts a rollout. Default:
	// none, required. Unit: none.
	WeightsVersion string `yaml:"weights_version" required:"true"`
	// PieceTokens is the size of a cache piece, a run of tokens that is cached as a unit. Effect:
	// each level of a prompt is split into pieces of this size. Default: 4000. Unit: tokens.
	PieceTokens int `yaml:"piece_tokens,omitempty" min:"16" max:"1000000" unit:"tokens"`
	// BytesPerToken is the estimated average length of a token. Effect: token counts are estimated
	// as bytes divided by it. Default: 4. Unit: bytes.
	BytesPerToken float64 `yaml:"bytes_per_token,omitempty" min:"0.25" max:"64" unit:"bytes"`
	// MinServing is the minimum number of engines that keep serving during a rollout. Effect: a
	// rollout waits while the next load would leave fewer. Default: 1. Unit: engines.
	MinServing int `yaml:"min_serving,omitempty" min:"1" max:"10000" unit:"engines"`
}

// Service is a plain service beside the engines.
type Service struct {
	// Name identifies the service in workspaces. Effect: must be unique. Default: none, required.
	// Unit: none.
	Name string `yaml:"name" required:"true"`
	// BackendServers are addresses of the service's backend servers. Effect: requests go to them;
	// the VM list can add and remove others, and mark any as leaving. Default: empty, then all come
	// from the VM list. Unit: host:port.
	BackendServers []string `yaml:"backend_servers,omitempty"`
	// Routes are the paths of the service. Effect: the route with the longest matching path is used.
	// Default: none, required. Unit: none.
	Routes []Route `yaml:"routes" required:"true"`
	// Timeout bounds one call. Effect: a call that takes longer fails. Default: 10s. Unit: duration.
	Timeout Duration `yaml:"timeout,omitempty" min:"1ms" max:"1h"`
}

// Route maps callers' paths to a service.
type Route struct {
	// Path is the path prefix that callers use. Effect: requests below it go to the service.
	// Default: none, required. Unit: path that starts with /.
	Path string `yaml:"path" required:"true"`
	// Methods are the HTTP methods of the route. Effect: requests with other methods do not match.
	// Default: all methods. Unit: HTTP method.
	Methods []string `yaml:"methods,omitempty" oneof:"GET,HEAD,POST,PUT,PATCH,DELETE,OPTIONS"`
	// NonIdempotent marks calls that must run at most once. Effect: each call is claimed under its
	// idempotency key before it is sent, and never retried. Default: false. Unit: none.
	NonIdempotent bool `yaml:"non_idempotent,omitempty"`
	// DeriveKey derives a missing idempotency key from the request body, for callers that cannot send
	// one. Effect: two requests with equal bodies in the retry window count as one call. Default:
	// false, a missing key is refused. Unit: none.
	DeriveKey bool `yaml:"derive_key,omitempty"`
}

// Workspace is a customer with its own keys, prompts and limits.
type Workspace struct {
	// Name identifies the workspace. Effect: must be unique; appears in logs and reports. Default:
	// none, required. Unit: none.
	Name string `yaml:"name" required:"true"`
	// APIKeyHashes are SHA-256 hashes of the API keys. Effect: requests with one of these keys
	// belong to the workspace; two may be live during a rotation. Default: none, required. Unit:
	// 64 lower-case hexadecimal digits.
	APIKeyHashes []string `yaml:"api_key_hashes" required:"true"`
	// Models are the models that the workspace may use. Effect: requests for others are refused.
	// Default: empty; a workspace needs a model or a service. Unit: none.
	Models []string `yaml:"models"`
	// Services are the plain services that the workspace may use. Effect: requests for others are
	// refused. Default: empty. Unit: none.
	Services []string `yaml:"services,omitempty"`
	// Prompts declare the nested levels of prompts. Effect: a cache piece ends where a level ends.
	// Default: empty, then prompts are split by size only. Unit: none.
	Prompts []Prompt `yaml:"prompts,omitempty"`
	// Limits bound the requests of the workspace, summed over all nodes. Effect: see its fields.
	// Default: see its fields. Unit: none.
	Limits Limits `yaml:"limits,omitempty"`
	// Weight is the weight of the workspace in fair queueing. Effect: under load a workspace gets
	// engine time in proportion to it. Default: 1. Unit: none.
	Weight int `yaml:"weight,omitempty" min:"1" max:"1000"`
	// Supersede lets a newer request of a caller replace its older one. Effect: the older request is
	// cancelled. Default: false. Unit: none.
	Supersede bool `yaml:"supersede,omitempty"`
	// Objectives are the service-level objectives of the burn report. Effect: see its fields. Default:
	// see its fields. Unit: none.
	Objectives Objectives `yaml:"objectives,omitempty"`
	// RetryWindow is the time in which a caller may repeat a non-idempotent request. Effect: claims
	// are kept for this time. Default: 24h. Unit: duration.
	RetryWindow Duration `yaml:"retry_window,omitempty" min:"1m" max:"168h"`
	// NonIdempotentModels lists models whose requests in this workspace run at most once. Effect:
	// each such request is claimed before it is sent. Default: empty. Unit: none.
	NonIdempotentModels []string `yaml:"non_idempotent_models,omitempty"`
}

// Prompt declares the nested levels of a prompt.
type Prompt struct {
	// Name is the prompt's name in requests. Effect: must be unique in the workspace. Default:
	// none, required. Unit: none.
	Name string `yaml:"name" required:"true"`
	// Levels are the prefix levels, outermost first. Effect: message i of a chat belongs to level
	// i; messages after the last level are the caller's own. Default: none, required. Unit: none.
	Levels []Level `yaml:"levels" required:"true"`
}

// Level is one level of a nested prompt.
type Level struct {
	// Name identifies the level. Effect: must be unique in the prompt; part of the cache key.
	// Default: none, required. Unit: none.
	Name string `yaml:"name" required:"true"`
	// Shared marks a level whose text several callers have in common. Effect: its pieces are placed
	// so that requests of other callers can reuse them. Default: false. Unit: none.
	Shared bool `yaml:"shared,omitempty"`
}

// Limits bounds the requests of a workspace, summed over all nodes.
type Limits struct {
	// RequestsPerSecond bounds the rate of requests. Effect: requests above it are refused with
	// rate_limited.
	// Default: 0, unlimited. Unit: requests per second.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" min:"0" unit:"requests per second"`
	// TokensPerSecond bounds the rate of prompt and output tokens. Effect: requests above it are
	// refused with rate_limited.
	// Default: 0, unlimited. Unit: tokens per second.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" min:"0" unit:"tokens per second"`
	// Concurrency bounds the requests in progress. Effect: requests above it are refused with
	// rate_limited.
	// Default: 0, unlimited. Unit: requests.
	Concurrency int `yaml:"concurrency,omitempty" min:"0" unit:"requests"`
	// BodyBytes bounds a request body. Effect: a longer body is refused with body_too_large.
	// Default: 4194304 (4 MiB). Unit: bytes.
	BodyBytes int64 `yaml:"body_bytes,omitempty" min:"1024" max:"67108864" unit:"bytes"`
	// Deadline bounds the time to the first token. Effect: a request that cannot meet it is refused
	// with deadline_unreachable. Default: 30s. Unit: duration.
	Deadline Duration `yaml:"deadline,omitempty" min:"10ms" max:"1h"`
}

// Objectives are service-level objectives. Targets are shares of requests.
type Objectives struct {
	// TTFT is the maximum time to first token. Effect: a later first token uses error budget.
	// Default: 1.4s. Unit: duration.
	TTFT Duration `yaml:"ttft,omitempty" min:"1ms" max:"10m"`
	// BetweenTokens is the maximum time between tokens. Effect: a longer time uses error budget.
	// Default: 75ms. Unit: duration.
	BetweenTokens Duration `yaml:"between_tokens,omitempty" min:"1ms" max:"1m"`
	// Target is the share of requests that must meet ttft, and likewise between_tokens. Effect: the
	// rest is the error budget. Default: 0.95. Unit: share.
	Target float64 `yaml:"target,omitempty" min:"0.5" max:"0.99999" unit:"a share of 1"`
	// CompleteTarget is the share of streams that must complete, among those that the caller does
	// not abandon. Effect: the rest is the error budget. Default: 0.999. Unit: share.
	CompleteTarget float64 `yaml:"complete_target,omitempty" min:"0.5" max:"0.99999" unit:"a share of 1"`
	// OutcomeTarget is the share of non-idempotent requests that must end with a known outcome.
	// Effect: the rest is the error budget. Default: 0.999. Unit: share.
	OutcomeTarget float64 `yaml:"outcome_target,omitempty" min:"0.5" max:"0.99999" unit:"a share of 1"`
}

// Policy sets the weights of the cost terms by which an engine is chosen.
type Policy struct {
	// LatencyWeight is the weight of the predicted time to first token. Effect: a higher value moves
	// requests to less loaded engines earlier. Default: 1. Unit: none.
	LatencyWeight float64 `yaml:"latency_weight,omitempty" min:"0.01" max:"100"`
	// RecomputeWeight is the weight of recomputed and evicted tokens. Effect: a higher value keeps
	// requests at engines that have their prefix in the cache. Default: 1. Unit: none.
	RecomputeWeight float64 `yaml:"recompute_weight,omitempty" min:"0.01" max:"100"`
}

// Rollout limits how engines load new weights.
type Rollout struct {
	// MaxConcurrentLoads is the maximum number of engines that load at once. Effect: further loads
	// wait.
	// Default: 2. Unit: engines.
	MaxConcurrentLoads int `yaml:"max_concurrent_loads,omitempty" min:"1" max:"1000" unit:"engines"`
	// CanaryEngines is the number of engines that load first. Effect: the others follow when these
	// serve without errors. Default: 1. Unit: engines.
	CanaryEngines int `yaml:"canary_engines,omitempty" min:"1" max:"1000" unit:"engines"`
	// MaxErrorShare is the maximum share of failed requests on new weights. Effect: a higher share
	// stops the rollout and rolls it back. Default: 0.05. Unit: share.
	MaxErrorShare float64 `yaml:"max_error_share,omitempty" min:"0.0001" max:"1" unit:"a share of 1"`
}

// Default values of fields that are not set in a configuration document.
const (
	DefaultPieceTokens        = 4000
	DefaultBytesPerToken      = 4.0
	DefaultBodyBytes          = 4 << 20
	DefaultDeadline           = 30 * time.Second
	DefaultRetryWindow        = 24 * time.Hour
	DefaultServiceTimeout     = 10 * time.Second
	DefaultTTFT               = 1400 * time.Millisecond
	DefaultBetweenTokens      = 75 * time.Millisecond
	DefaultTarget             = 0.95
	DefaultOutcomeTarget      = 0.999
	DefaultMaxConcurrentLoads = 2
	DefaultMaxErrorShare      = 0.05
)

// Workspace returns the workspace with the given name.
func (c *Config) Workspace(name string) (*Workspace, bool) {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == name {
			return &c.Workspaces[i], true
		}
	}
	return nil, false
}

// Model returns the model with the given name.
func (c *Config) Model(name string) (*Model, bool) {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i], true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}
