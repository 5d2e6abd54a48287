package blackboard

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
)

// EngineEntry is the state of an engine as this node has last received it.
type EngineEntry struct {
	ID         string
	Address    string
	DataCentre string
	// State is the last report of the engine itself. It is valid only if HasState is set.
	State    engine.State
	HasState bool
	// Leaving is set by the first source that reports that the engine or its VM is shutting down.
	Leaving bool
	// Reachable is false from the time calls fail until one succeeds again.
	Reachable bool
}

// SummaryEntry is an engine's load as last published by its owner, the node that admits all requests
// to the engine.
type SummaryEntry struct {
	Owner         string
	Incarnation   string
	Running       int
	Queued        int
	BacklogTokens int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	StepTime    time.Duration
	Leaving     bool
	Suspect     bool
	// Version increases with each summary of one owner.
	Version uint64
	// Model and WeightsVersion identify what the engine serves.
	Model          string
	WeightsVersion string
}

// MemberState is the state of a node as seen by the membership protocol.
type MemberState int

// Member states. At equal incarnations, a later state overrides an earlier one.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberDead
	MemberLeft
)

// MemberEntry is a cassiawall node in the membership.
type MemberEntry struct {
	Name          string
	GossipAddress string
	RPCAddress    string
	DataCentre    string
	Region        string
	Incarnation   uint64
	State         MemberState
	ConfigVersion uint64
	Draining      bool
}

// ServiceKey identifies a backend server of a plain service.
type ServiceKey struct {
	Service string
	Address string
}

// ServiceEntry is the state of a backend server of a plain service.
type ServiceEntry struct {
	DataCentre string
	Leaving    bool
	Reachable  bool
}

// ConfigEntry is the configuration in force.
type ConfigEntry struct {
	Version  uint64
	Document []byte
	Config   *config.Config
}

// LeaseEntry is the state of a lease as this node last observed it.
type LeaseEntry struct {
	// Holder is the node that holds the lease, or "" if it is free or unknown.
	Holder string
	// FencingToken is the fencing token while this node may send orders under the lease, otherwise 0.
	FencingToken uint64
	// HeldUntil is the time until which this node may send orders, or zero if it does not hold the
	// lease.
	HeldUntil time.Time
}

// DemandKey identifies one node's demand for one workspace.
type DemandKey struct {
	Node      string
	Workspace string
}

// DemandEntry is the traffic that a node receives for a workspace.
type DemandEntry struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// AdmittedRequests and AdmittedTokens are the parts of the two rates that were admitted.
	AdmittedRequests float64
	AdmittedTokens   float64
	Running          int
	// DesiredConcurrency is Running plus the requests that were refused by the concurrency limit in
	// the last second.
	DesiredConcurrency int
}

// ShareEntry is the share of a workspace's limits that is assigned to this node.
type ShareEntry struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// ConfigKey is the only key of the configuration section.
const ConfigKey = "current"

// Board holds all sections of one node.
type Board struct {
	Config    *Section[string, ConfigEntry]
	Engines   *Section[string, EngineEntry]
	Summaries *Section[string, SummaryEntry]
	Members   *Section[string, MemberEntry]
	Services  *Section[ServiceKey, ServiceEntry]
	Leases    *Section[string, LeaseEntry]
	Demands   *Section[DemandKey, DemandEntry]
	Shares    *Section[string, ShareEntry]
}

// New returns an empty board.
func New() *Board {
	return &Board{
		Config:    NewSection[string, ConfigEntry](),
		Engines:   NewSection[string, EngineEntry](),
		Summaries: NewSection[string, SummaryEntry](),
		Members:   NewSection[string, MemberEntry](),
		Services:  NewSection[ServiceKey, ServiceEntry](),
		Leases:    NewSection[string, LeaseEntry](),
		Demands:   NewSection[DemandKey, DemandEntry](),
		Shares:    NewSection[string, ShareEntry](),
	}
}

// CurrentConfig returns the configuration in force, or nil if none has been loaded yet.
func (b *Board) CurrentConfig() *config.Config {
	e, ok := b.Config.Get(ConfigKey)
	if !ok {
		return nil
	}
	return e.Value.Config
}
