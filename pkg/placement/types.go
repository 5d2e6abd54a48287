// Package placement ranks the engines that may run a request. It does no I/O: callers pass the
// time, the engines and the outcomes of earlier requests. Candidates pass three stages, filter,
// score and pick, each of which can be replaced by name.
//
// The owner of an engine is the node that queues and admits the requests to it. An incarnation is
// one run of an engine process; its cache is empty at the start. A piece is a run of tokens that is
// cached as a unit (a KV block elsewhere), and a prefix hash identifies a piece and all text before
// it. Each prefix has preferred engines, which every node derives from the prefix hash by
// rendezvous hashing. The prefix index also records the engines where a prefix was seen.
package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// EngineView is an entry node's view of an engine.
type EngineView struct {
	ID             string
	Address        string
	DataCentre     string
	Region         string
	Incarnation    string
	Model          string
	WeightsVersion string
	// Unusable excludes the engine because it is leaving, unreachable or loading weights.
	Unusable bool
	// NetworkTime is the round trip from this node to the engine.
	NetworkTime time.Duration
	// MaxBatch is the number of requests that run at once; 0 if unknown.
	MaxBatch int
	Load     LoadView
}

// LoadView is an engine's load as its owner last published it.
type LoadView struct {
	// Owner names the node that published the load. Version grows with each summary of one owner;
	// versions of different owners do not compare.
	Owner         string
	Version       uint64
	Running       int
	Queued        int
	BacklogTokens int
	// PrefillRate is in tokens per second; 0 if unknown.
	PrefillRate float64
	// StepTime is the duration of a decode step; 0 if unknown.
	StepTime time.Duration
	// Suspect is set if the owner has missed cache events of the engine since the last snapshot.
	// Placement does not read it.
	Suspect bool
}

// Request describes a request to place.
type Request struct {
	Pieces         []prefix.Piece
	Model          string
	WeightsVersion string
	Policy         config.Policy
	// MaxTokens bounds the output; 0 if the request states no bound.
	MaxTokens int
	// Exclude names engines that have already failed or refused this request.
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
	// CachedPieces is the number of leading pieces that the engine probably has cached.
	CachedPieces int
	// CachedTokens is the expected number of cached tokens.
	CachedTokens int
	// MissingTokens is the expected number of tokens to prefill.
	MissingTokens int
	NetworkTime   time.Duration
	// Wait is the predicted time until the engine starts the prefill.
	Wait time.Duration
	// Cost is the weighted sum that ordered the candidates, in milliseconds.
	Cost float64
	// DeclineOver is the cost above which the owner should decline the request; 0 means that it
	// should not decline. The cost is the time to first token plus the weighted time of
	// recomputation.
	DeclineOver time.Duration
	// Rank is 0 for the preferred engines that the demand for the prefix needs, and counts up for
	// the ones after them; -1 for other candidates. In the result of PreferredEngine it is the
	// position among the preferred engines.
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
	// Direct is set when the request was sent without its owner. No owner has then reported the
	// cached pieces, so the hit rates are updated from ReusedTokens.
	Direct bool
	// Failed is set when the engine failed before the first token.
	Failed bool
}

// CachedPrefix is a prefix that an engine has cached, in the form that nodes exchange.
type CachedPrefix struct {
	PrefixHash  uint64
	Engine      string
	Incarnation string
	// Pieces is the number of pieces of the prefix.
	Pieces int
}
