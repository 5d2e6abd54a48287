package blackboard

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
)

// EngineEntry is what this node knows of an engine.
type EngineEntry struct {
	ID         string
	Address    string
	DataCentre string
	// State is the engine's own last report; Known tells whether there was one.
	State    engine.State
	HasState bool
	// Leaving is set on the first evidence that the engine's VM goes away.
	Leaving bool
	// Reachable is false after failed connections until a probe succeeds.
	Reachable bool
}

// SummaryEntry is an engine's load as its owner last published it.
type SummaryEntry struct {
	Owner         string
	Incarnation   string
	Running       int
	Queued        int
	BacklogTokens int
	// PrefillRate is in tokens a second.
	PrefillRate float64
	StepTime    time.Duration
	Leaving     bool
	Suspect     bool
	// Version grows with each summary of one owner.
	Version uint64
	// Model and WeightsVersion are what the engine serves.
	Model          string
	WeightsVersion string
}

// MemberState is the state of a node in the membership view.
type MemberState int

// Member states, in the order in which they override each other at equal incarnations.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberDead
	MemberLeft
)

// MemberEntry is a node of cassiawall.
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

// ServiceKey names a backend server of a plain service.
type ServiceKey struct {
	Service string
	Address string
}

// ServiceEntry is a backend server of a plain service.
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

// LeaseEntry is a lease that this node knows of.
type LeaseEntry struct {
	Holder  string
	Fencing uint64
	// HeldUntil is the holder's own bound; zero when another node holds the lease.
	HeldUntil time.Time
}

// DemandKey names one node's demand of one workspace.
type DemandKey struct {
	Node      string
	Workspace string
}

// DemandEntry is a node's demand of a workspace.
type DemandEntry struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// AdmittedRequests and AdmittedTokens are the admitted parts of the rates.
	AdmittedRequests float64
	AdmittedTokens   float64
	Running          int
	// DesiredConcurrency adds the requests refused for concurrency in the last second to Running.
	DesiredConcurrency int
}

// ShareEntry is the part of a workspace's limits that this node may use.
type ShareEntry struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// ConfigKey is the only key of the configuration section.
const ConfigKey = "current"

// Board groups the sections of one node.
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

// CurrentConfig returns the configuration in force, or nil before the first one.
func (b *Board) CurrentConfig() *config.Config {
	e, ok := b.Config.Get(ConfigKey)
	if !ok {
		return nil
	}
	return e.Value.Config
}
