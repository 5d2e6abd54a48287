// Package config defines the dynamic configuration: workspaces with their prompts, models,
// routes and limits. It lives in the platform's object API and is the same on all nodes.
package config

import "time"

// Config is the whole dynamic configuration.
type Config struct {
	// Models are the models that engines serve.
	Models []Model `yaml:"models"`
	// Services are the plain services that requests are routed to.
	Services []Service `yaml:"services,omitempty"`
	// Workspaces are the customers.
	Workspaces []Workspace `yaml:"workspaces"`
	// Policy weighs the goals of placement.
	Policy Policy `yaml:"policy"`
	// Rollout bounds the loading of weights.
	Rollout Rollout `yaml:"rollout,omitempty"`
	// KVStore names the KV cache store. Effect: enables copies of hot prefixes. Default: none.
	KVStore string `yaml:"kv_store,omitempty"`
}

// Model is a model with its tokenizer estimate and cache geometry.
type Model struct {
	Name string `yaml:"name"`
	// WeightsVersion is the version that requests use.
	WeightsVersion string `yaml:"weights_version"`
	// PieceTokens is the size of a cache piece. Default 4000. Unit: tokens.
	PieceTokens int `yaml:"piece_tokens,omitempty"`
	// BytesPerToken estimates the tokenizer. Default 4. Unit: bytes.
	BytesPerToken float64 `yaml:"bytes_per_token,omitempty"`
	// MinServing is the number of engines that a rollout always leaves serving. Default 1.
	MinServing int `yaml:"min_serving,omitempty"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name string `yaml:"name"`
	// BackendServers are the addresses, as host:port. The VM list can add and remove others.
	BackendServers []string `yaml:"backend_servers"`
	Routes         []Route  `yaml:"routes"`
	// Timeout bounds one call. Default 10s.
	Timeout Duration `yaml:"timeout,omitempty"`
}

// Route maps callers' paths to a service.
type Route struct {
	// Path is the path prefix that callers use, below /.
	Path string `yaml:"path"`
	// Methods limits the route. Default: all methods.
	Methods []string `yaml:"methods,omitempty"`
	// NonIdempotent marks calls that must run at most once.
	NonIdempotent bool `yaml:"non_idempotent,omitempty"`
	// DeriveKey derives a missing idempotency key from the request body, for callers that
	// cannot send one. Default false: a missing key is refused.
	DeriveKey bool `yaml:"derive_key,omitempty"`
}

// Workspace is a customer with its own keys, prompts and limits.
type Workspace struct {
	Name string `yaml:"name"`
	// APIKeyHashes are hex SHA-256 hashes of the keys. Two may be live during a rotation.
	APIKeyHashes []string `yaml:"api_key_hashes"`
	Models       []string `yaml:"models"`
	Services     []string `yaml:"services,omitempty"`
	Prompts      []Prompt `yaml:"prompts,omitempty"`
	Limits       Limits   `yaml:"limits,omitempty"`
	// Weight is the share in fair queueing. Default 1.
	Weight int `yaml:"weight,omitempty"`
	// Supersede lets a caller's newer message end the older one. Default false.
	Supersede bool `yaml:"supersede,omitempty"`
	// Objectives are the service levels of the burn report.
	Objectives Objectives `yaml:"objectives,omitempty"`
	// RetryWindow is the time in which a caller may repeat a non-idempotent request.
	// Default 24h.
	RetryWindow Duration `yaml:"retry_window,omitempty"`
	// NonIdempotentModels lists models whose requests in this workspace run at most once.
	NonIdempotentModels []string `yaml:"non_idempotent_models,omitempty"`
}

// Prompt declares how prompts nest.
type Prompt struct {
	Name string `yaml:"name"`
	// Levels are the shared prefix levels, outermost first. Message i of a chat belongs to
	// level i; messages after the last level are the caller's own.
	Levels []Level `yaml:"levels"`
}

// Level is one level of a nested prompt.
type Level struct {
	Name string `yaml:"name"`
	// Shared says that several callers use the same text at this level.
	Shared bool `yaml:"shared,omitempty"`
}

// Limits bounds a workspace over all nodes. Zero means unlimited.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	// TokensPerSecond counts prompt and output tokens.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty"`
	Concurrency     int     `yaml:"concurrency,omitempty"`
	// BodyBytes bounds a request body. Default 4 MiB.
	BodyBytes int64 `yaml:"body_bytes,omitempty"`
	// Deadline is the time to the first token after which a request is refused. Default 30s.
	Deadline Duration `yaml:"deadline,omitempty"`
}

// Objectives are service-level objectives. Targets are shares between 0 and 1.
type Objectives struct {
	// TTFT is the bound on the time to first token. Default 1.4s.
	TTFT Duration `yaml:"ttft,omitempty"`
	// BetweenTokens is the bound on the time between tokens. Default 75ms.
	BetweenTokens Duration `yaml:"between_tokens,omitempty"`
	// Target is the share of requests within the bounds. Default 0.95.
	Target float64 `yaml:"target,omitempty"`
	// CompleteTarget is the share of wanted streams that end whole. Default 0.999.
	CompleteTarget float64 `yaml:"complete_target,omitempty"`
	// OutcomeTarget is the share of non-idempotent requests with a known outcome. Default 0.999.
	OutcomeTarget float64 `yaml:"outcome_target,omitempty"`
}

// Policy weighs the goals of placement.
type Policy struct {
	// LatencyWeight weighs predicted time to first token. Default 1.
	LatencyWeight float64 `yaml:"latency_weight,omitempty"`
	// RecomputeWeight weighs recomputed and evicted tokens. Default 1.
	RecomputeWeight float64 `yaml:"recompute_weight,omitempty"`
}

// Rollout bounds the loading of weights.
type Rollout struct {
	// MaxConcurrentLoads is the number of engines that load at once. Default 2.
	MaxConcurrentLoads int `yaml:"max_concurrent_loads,omitempty"`
	// CanaryEngines load first. Default 1.
	CanaryEngines int `yaml:"canary_engines,omitempty"`
	// MaxErrorShare stops and rolls back the rollout when it is exceeded. Default 0.05.
	MaxErrorShare float64 `yaml:"max_error_share,omitempty"`
}

// Default values of settings that a configuration leaves out.
const (
	DefaultPieceTokens    = 4000
	DefaultBytesPerToken  = 4.0
	DefaultBodyBytes      = 4 << 20
	DefaultDeadline       = 30 * time.Second
	DefaultRetryWindow    = 24 * time.Hour
	DefaultServiceTimeout = 10 * time.Second
	DefaultTTFT           = 1400 * time.Millisecond
	DefaultBetweenTokens  = 75 * time.Millisecond
	DefaultTarget         = 0.95
	DefaultOutcomeTarget  = 0.999
	DefaultMaxLoads       = 2
	DefaultMaxErrorShare  = 0.05
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
