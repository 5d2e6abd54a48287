// Package placement ranks the engines that may run a request. It does no I/O: callers pass the
// time, the engines and the outcomes of earlier requests. Candidates pass three stages, filter,
// score and pick, each of which can be replaced by name.
package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// EngineView is what an entry node knows of an engine.
type EngineView struct {
	ID             string
	Address        string
	DataCentre     string
	Region         string
	Incarnation    string
	Model          string
	WeightsVersion string
	// Unusable excludes the engine: leaving, unreachable or loading.
	Unusable bool
	// NetworkTime is the round trip from this node to the engine.
	NetworkTime time.Duration
	// MaxBatch is the number of requests that run at once; 0 if unknown.
	MaxBatch int
	Load     LoadView
}

// LoadView is an engine's load as its owner last published it.
type LoadView struct {
	// Version grows with each summary of one owner; Owner names the owner.
	Owner         string
	Version       uint64
	Running       int
	Queued        int
	BacklogTokens int
	// PrefillRate is in tokens a second; 0 if unknown.
	PrefillRate float64
	StepTime    time.Duration
	Suspect     bool
}

// Request describes a request to place.
type Request struct {
	Pieces         []prefix.Piece
	Model          string
	WeightsVersion string
	Policy         config.Policy
	// MaxTokens bounds the output.
	MaxTokens int
	// Exclude names engines that failed or refused this request already.
	Exclude []string
}

// Candidate is an engine that may run the request.
type Candidate struct {
	Engine      string
	Address     string
	DataCentre  string
	Incarnation string
	// PredictedTTFT includes network, wait and prefill of the missing tokens.
	PredictedTTFT time.Duration
	// CachedPieces is the number of leading pieces that the engine is believed to hold.
	CachedPieces int
	CachedTokens int
	// MissingTokens is the expected number of tokens to prefill.
	MissingTokens int
	NetworkTime   time.Duration
	// Wait is the predicted time until the engine starts the prefill.
	Wait time.Duration
	// Cost is the weighted sum that ordered the candidates, in milliseconds.
	Cost float64
	// DeclineOver is the cost above which the owner should decline; 0 for none. The cost is the
	// time to first token plus the time of recomputation by its weight.
	DeclineOver time.Duration
	// Rank is the engine's place among the prefix's homes, from 0; -1 for other candidates.
	Rank int
}

// Feedback is the outcome of a request's prefill.
type Feedback struct {
	Pieces         []prefix.Piece
	Engine         string
	Incarnation    string
	ReusedTokens   int
	ComputedTokens int
	PrefillTime    time.Duration
	// Direct is set when no owner stated the depth before, so that the beliefs learn from it.
	Direct bool
	// Failed is set when the engine failed before the first token.
	Failed bool
}

// CachedPrefix is an entry of the soft map in transferable form.
type CachedPrefix struct {
	PrefixHash  uint64
	Engine      string
	Incarnation string
	Pieces      int
}
