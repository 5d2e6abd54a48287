// Package bench is the load and experiment tool. It runs the same arrivals, abandonments and
// faults against the system and against baseline policies, through real nodes and stand-in
// engines on loopback, and compares the results.
package bench

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Profile describes a deployment and its workload.
type Profile struct {
	Name        string
	DataCentres []string
	Model       string
	Engines     int
	// Nodes is the number of cassiawall nodes. A deployment has 15 to 20; the bench runs fewer,
	// because all share one machine with the engines.
	Nodes int
	// MaxConcurrentLoads is the platform's limit of weight loads at once.
	MaxConcurrentLoads int
	// CacheBlocks is the cache of one engine, in pieces of pieceTokens.
	CacheBlocks int
	// Rate is the mean number of new conversations per second at load factor 1. Retyped
	// messages come on top. At this rate least-loaded keeps the engines near 70% load; a
	// higher one would saturate the baselines and flatter the system.
	Rate float64
	// Policy is what the questionnaire generates for the deployment: kilele weighs the tail of the
	// time to first token most, tuul wasted recomputation.
	Policy config.Policy
	// KVStore is the deployment's KV cache store.
	KVStore string
	// WorkspaceShares holds the share of conversations of each workspace. The sum is 1.
	WorkspaceShares []float64
	// Levels of the prompts, outermost first: school, timetable, family or crew, property, visit.
	Levels [levels]Level
	// MaxTokens bounds the answers, which vary between a quarter of it and all of it.
	MaxTokens int
	// MeanPatience is the mean time after which a caller that gives up leaves.
	MeanPatience time.Duration
}

// levels is the depth of nested prompts.
const levels = 3

// Level describes the texts of one prompt level.
type Level struct {
	Name   string
	Shared bool
	// Count is the number of texts per text of the level above; for the first level, per
	// workspace.
	Count int
	// Tokens is the size of a text.
	Tokens int
	// Skew is the exponent of the Zipf distribution of the texts, above 1. A higher skew makes
	// fewer texts hotter.
	Skew float64
}

const (
	// pieceTokens is the platform's piece size.
	pieceTokens = 4000
	// bytesPerToken keeps prompts short, because the bench measures routing and not JSON.
	bytesPerToken = 0.25
	// abandonShare is the share of requests whose callers leave before the answer ends.
	abandonShare = 0.6
	// resubmitShare is the share of callers who left that send a changed message, and meanThinkTime
	// the mean time in which they write it. Both were chosen, not measured.
	resubmitShare = 0.7
	meanThinkTime = 800 * time.Millisecond
)

// workspaceShares has three large and five small workspaces, as both deployments do.
var workspaceShares = []float64{0.30, 0.22, 0.16, 0.08, 0.07, 0.06, 0.06, 0.05}

var profiles = []Profile{
	{
		Name:               "kilele",
		DataCentres:        []string{"dar-a", "dar-b", "dar-c"},
		Model:              "lugha",
		Engines:            20,
		Nodes:              6,
		MaxConcurrentLoads: 3,
		CacheBlocks:        48,
		Rate:               15,
		KVStore:            "kumbuka",
		Policy:             config.Policy{LatencyWeight: 2, RecomputeWeight: 1},
		WorkspaceShares:    workspaceShares,
		Levels: [levels]Level{
			{Name: "school", Shared: true, Count: 5, Tokens: 8000, Skew: 1.3},
			{Name: "timetable", Shared: true, Count: 4, Tokens: 12_000, Skew: 1.2},
			{Name: "family", Count: 30, Tokens: 1600, Skew: 1.05},
		},
		MaxTokens:    160,
		MeanPatience: 1200 * time.Millisecond,
	},
	{
		Name:               "tuul",
		DataCentres:        []string{"bayanzurkh", "khan-uul", "songino"},
		Model:              "draft-llm",
		Engines:            10,
		Nodes:              4,
		MaxConcurrentLoads: 2,
		CacheBlocks:        48,
		Rate:               10,
		KVStore:            "prompt-keep",
		Policy:             config.Policy{LatencyWeight: 0.5, RecomputeWeight: 2},
		WorkspaceShares:    workspaceShares,
		Levels: [levels]Level{
			{Name: "crew", Shared: true, Count: 3, Tokens: 4000, Skew: 1.3},
			{Name: "property", Shared: true, Count: 8, Tokens: 8000, Skew: 1.1},
			{Name: "visit", Count: 12, Tokens: 2000, Skew: 1.05},
		},
		MaxTokens:    120,
		MeanPatience: 1500 * time.Millisecond,
	},
}

// ProfileByName returns a built-in profile. The error is of kind fault.BadRequest.
func ProfileByName(name string) (Profile, error) {
	for _, p := range profiles {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fault.New(fault.BadRequest, "profile %q is unknown; use kilele or tuul", name)
}

// engineConfig returns the configuration of engine i without the parts that its fleet shares.
func (p *Profile) engineConfig(i int) enginestandin.Config {
	return enginestandin.Config{
		ID:             engineName(i),
		Model:          p.Model,
		WeightsVersion: weightsVersion,
		CacheBlocks:    p.CacheBlocks,
		BlockTokens:    pieceTokens,
		BytesPerToken:  bytesPerToken,
		Seed:           uint64(i + 1),
	}
}
