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
	// MaxConcurrentLoads is the platform's limit on concurrent weight loads.
	MaxConcurrentLoads int
	// CacheBlocks is the size of one engine's cache, in pieces of pieceTokens tokens.
	CacheBlocks int
	// Rate is the mean number of new conversations per second at load factor 1, without
	// resubmitted messages. At this rate the least-loaded policy keeps the engines near 70%
	// load. A higher rate would saturate the baselines and make cassiawall look better than it is.
	Rate float64
	// Policy holds the policy weights that the questionnaire generates for the deployment. kilele
	// gives most weight to the tail of the time to first token, tuul to wasted recomputation.
	Policy config.Policy
	// KVStore is the name of the deployment's KV cache store.
	KVStore string
	// WorkspaceShares is the share of conversations of each workspace. The sum is 1.
	WorkspaceShares []float64
	// Levels describes the levels of nested prompts, outermost first: school, timetable and
	// family, or crew, property and visit.
	Levels [levels]Level
	// MaxTokens is the maximum length of a response in tokens. Lengths vary between a quarter of
	// it and all of it.
	MaxTokens int
	// MeanPatience is the mean time after which a caller that disconnects early does so.
	MeanPatience time.Duration
}

// levels is the number of levels of nested prompts.
const levels = 3

// Level describes the texts of one prompt level.
type Level struct {
	Name string
	// Shared is true if the texts of the level are shared between callers.
	Shared bool
	// Count is the number of different texts below each text of the level above; at the first
	// level, per workspace.
	Count int
	// Tokens is the length of a text.
	Tokens int
	// Skew is the exponent of the Zipf distribution by which texts are drawn; it is above 1. With
	// a higher value fewer texts get most of the requests.
	Skew float64
}

const (
	// pieceTokens is the piece size of the platform, in tokens.
	pieceTokens = 4000
	// bytesPerToken is far below the ratio of real text. It keeps request bodies short, because
	// the bench measures routing and not the cost of JSON.
	bytesPerToken = 0.25
	// abandonShare is the share of requests whose callers disconnect if the response has not ended
	// after a random time with the mean MeanPatience.
	abandonShare = 0.6
	// resubmitShare is the share of callers who disconnected that submit a changed message.
	resubmitShare = 0.7
	// meanThinkTime is the mean time between disconnecting and submitting the changed message.
	meanThinkTime = 800 * time.Millisecond
)

// workspaceShares describes three large and five small workspaces, as both deployments have.
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

// ProfileByName returns a built-in profile. The error is of kind fault.BadRequest for an unknown
// name.
func ProfileByName(name string) (Profile, error) {
	for _, p := range profiles {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fault.New(fault.BadRequest, "unknown profile %q; use kilele or tuul", name)
}

// engineConfig returns the configuration of engine i without the ledger and the loader, which the
// engines of a fleet share.
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
