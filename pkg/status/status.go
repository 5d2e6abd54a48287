// Package status reports the state of the fleet as recorded by one node: nodes, engines, the
// configuration in force per node, leases, shares of limits and engines with a suspect owner. All of it
// comes from the node's own blackboard, its in-memory record of the fleet, so a request needs no call
// to another node.
package status

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
)

// Path is the path of the status on the operators' listener.
const Path = "/status"

// Document is the state of the fleet as recorded by one node. It contains no secrets.
type Document struct {
	Node string    `json:"node"`
	At   time.Time `json:"at"`
	// ConfigVersion is the configuration version in force on the reporting node. 0 means none.
	ConfigVersion uint64 `json:"config_version"`
	// OtherConfigVersion lists the live nodes with another configuration version in force.
	OtherConfigVersion []string        `json:"other_config_version"`
	Nodes              []Node          `json:"nodes"`
	Engines            []Engine        `json:"engines"`
	Services           []BackendServer `json:"backend_servers"`
	Leases             []Lease         `json:"leases"`
	Limits             []LimitShare    `json:"limits"`
	SuspectOwners      []SuspectOwner  `json:"doubtful_owners"`
}

// Node is a node of the fleet.
type Node struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config_version"`
	// EvidenceAgeSeconds is the age of the reporting node's information about this node. It is 0 for
	// the reporting node itself, and if the time of the information is not recorded.
	EvidenceAgeSeconds float64 `json:"evidence_age_s"`
}

// Engine is a process that serves a model.
type Engine struct {
	ID             string `json:"id"`
	DataCentre     string `json:"data_centre"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	Incarnation    string `json:"incarnation"`
	Reachable      bool   `json:"reachable"`
	Leaving        bool   `json:"leaving"`
	Owner          string `json:"owner"`
	Running        int    `json:"running"`
	Queued         int    `json:"queued"`
	BacklogTokens  int    `json:"backlog_tokens"`
}

// BackendServer is a server of a plain service.
type BackendServer struct {
	Service   string `json:"service"`
	Address   string `json:"address"`
	Reachable bool   `json:"reachable"`
	Leaving   bool   `json:"leaving"`
}

// Lease is a lease in the object API.
type Lease struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	// LeftSeconds is the time for which the reporting node may still send orders under the lease. It
	// is 0 if another node holds it.
	LeftSeconds float64 `json:"left_s"`
}

// LimitShare is the reporting node's part of a workspace's limits. A limit of 0 means unlimited.
type LimitShare struct {
	Workspace string `json:"workspace"`
	// LimitRequestsPerSecond and LimitConcurrency are the limits over all nodes.
	LimitRequestsPerSecond float64 `json:"limit_requests_per_second"`
	LimitConcurrency       int     `json:"limit_concurrency"`
	// DemandRequestsPerSecond is the rate of requests at the reporting node, including refused ones.
	DemandRequestsPerSecond float64 `json:"demand_requests_per_second"`
	Running                 int     `json:"running"`
	// HasShare reports whether a share is assigned to the node. Without one, the node uses the limit
	// divided by the number of live nodes.
	HasShare               bool    `json:"shared"`
	ShareRequestsPerSecond float64 `json:"share_requests_per_second"`
	ShareConcurrency       int     `json:"share_concurrency"`
	ShareAgeSeconds        float64 `json:"share_age_s"`
}

// SuspectOwner is an engine that may have no owner or more than one, or whose owner suspects that its
// record of the engine's cache is wrong. The owner of an engine is the node that admits all requests to
// it.
type SuspectOwner struct {
	Engine string `json:"engine"`
	Owner  string `json:"owner"`
	Reason string `json:"reason"`
}

// Options configures a Reporter.
type Options struct {
	Self  string
	Board *blackboard.Board
	Now   func() time.Time
}

// Reporter builds and serves the status. It is safe for concurrent use.
type Reporter struct{ opt Options }

// NewReporter returns a reporter.
func NewReporter(opt Options) *Reporter { return &Reporter{opt: opt} }

// ServeHTTP writes the status as JSON.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(r.Document())
}

// JSON returns the encoded status for the peer protocol.
func (r *Reporter) JSON() ([]byte, error) { return json.Marshal(r.Document()) }

// Document returns the current status.
func (r *Reporter) Document() Document {
	now, board := r.opt.Now(), r.opt.Board
	current, _ := board.Config.Get(blackboard.ConfigKey)
	d := Document{Node: r.opt.Self, At: now.UTC(), ConfigVersion: current.Value.Version, OtherConfigVersion: []string{}}
	members := board.Members.Snapshot()
	d.Nodes = convertSorted(members, func(name string, e blackboard.Entry[blackboard.MemberEntry]) Node { return r.node(name, e, now) })
	for _, n := range d.Nodes {
		if n.State == "alive" && n.ConfigVersion != d.ConfigVersion {
			d.OtherConfigVersion = append(d.OtherConfigVersion, n.Name)
		}
	}
	summaries := board.Summaries.Snapshot()
	engines := board.Engines.Snapshot()
	d.Engines = convertSorted(engines, func(id string, e blackboard.Entry[blackboard.EngineEntry]) Engine {
		return engineOf(id, e.Value, summaries[id].Value)
	})
	d.SuspectOwners = suspectOwners(d.Engines, summaries, members)
	d.Leases = convertSorted(board.Leases.Snapshot(), func(name string, e blackboard.Entry[blackboard.LeaseEntry]) Lease {
		return Lease{Name: name, Holder: e.Value.Holder, Fencing: e.Value.FencingToken, LeftSeconds: max(0, e.Value.HeldUntil.Sub(now).Seconds())}
	})
	d.Services = services(board)
	d.Limits = r.limits(current.Value.Config, now)
	return d
}

// convertSorted converts the entries of a section of the blackboard, ordered by key.
func convertSorted[V, T any](entries map[string]blackboard.Entry[V], convert func(string, blackboard.Entry[V]) T) []T {
	list := make([]T, 0, len(entries))
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, convert(key, entries[key]))
	}
	return list
}

var stateNames = map[blackboard.MemberState]string{
	blackboard.MemberAlive: "alive", blackboard.MemberSuspect: "suspect", blackboard.MemberDead: "dead", blackboard.MemberLeft: "left",
}

func (r *Reporter) node(name string, e blackboard.Entry[blackboard.MemberEntry], now time.Time) Node {
	n := Node{
		Name: name, DataCentre: e.Value.DataCentre, Region: e.Value.Region, State: stateNames[e.Value.State],
		Draining: e.Value.Draining, ConfigVersion: e.Value.ConfigVersion,
	}
	if !e.Evidence.ObservedAt.IsZero() {
		n.EvidenceAgeSeconds = e.Evidence.Age(now).Seconds()
	}
	if name == r.opt.Self {
		current, _ := r.opt.Board.Config.Get(blackboard.ConfigKey)
		n.ConfigVersion, n.EvidenceAgeSeconds = current.Value.Version, 0
	}
	return n
}

func engineOf(id string, e blackboard.EngineEntry, s blackboard.SummaryEntry) Engine {
	return Engine{
		ID: id, DataCentre: e.DataCentre, Model: e.State.Model, WeightsVersion: e.State.WeightsVersion, Incarnation: e.State.Incarnation,
		Reachable: e.Reachable, Leaving: e.Leaving || s.Leaving, Owner: s.Owner,
		Running: s.Running, Queued: s.Queued, BacklogTokens: s.BacklogTokens,
	}
}

// suspectOwners lists the engines whose owner is unknown, is not alive, or suspects that its record of
// the engine's cache is wrong.
func suspectOwners(engines []Engine, summaries map[string]blackboard.Entry[blackboard.SummaryEntry], members map[string]blackboard.Entry[blackboard.MemberEntry]) []SuspectOwner {
	list := []SuspectOwner{}
	for _, e := range engines {
		s, hasSummary := summaries[e.ID]
		member, isMember := members[s.Value.Owner]
		reason := ""
		switch {
		case !hasSummary:
			reason = "no owner has reported"
		case !isMember:
			reason = "the owner is not a member"
		case member.Value.State != blackboard.MemberAlive:
			reason = "the owner is " + stateNames[member.Value.State]
		case s.Value.Suspect:
			reason = "the owner doubts its view of the cache"
		default:
			continue
		}
		list = append(list, SuspectOwner{Engine: e.ID, Owner: s.Value.Owner, Reason: reason})
	}
	return list
}

func services(board *blackboard.Board) []BackendServer {
	list := []BackendServer{}
	for key, e := range board.Services.Snapshot() {
		list = append(list, BackendServer{Service: key.Service, Address: key.Address, Reachable: e.Value.Reachable, Leaving: e.Value.Leaving})
	}
	slices.SortFunc(list, func(a, b BackendServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// limits returns the limits and shares of the workspaces for which this node has demand.
func (r *Reporter) limits(c *config.Config, now time.Time) []LimitShare {
	list := []LimitShare{}
	if c == nil {
		return list
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		demand, active := r.opt.Board.Demands.Get(blackboard.DemandKey{Node: r.opt.Self, Workspace: w.Name})
		if !active {
			continue
		}
		l := LimitShare{
			Workspace: w.Name, LimitRequestsPerSecond: w.Limits.RequestsPerSecond, LimitConcurrency: w.Limits.Concurrency,
			DemandRequestsPerSecond: demand.Value.RequestsPerSecond, Running: demand.Value.Running,
		}
		if share, ok := r.opt.Board.Shares.Get(w.Name); ok {
			l.HasShare, l.ShareAgeSeconds = true, share.Evidence.Age(now).Seconds()
			l.ShareRequestsPerSecond, l.ShareConcurrency = share.Value.RequestsPerSecond, share.Value.Concurrency
		}
		list = append(list, l)
	}
	return list
}

// LaggingNodes returns the live nodes that enforce a configuration older than version, as "name
// (version N)".
func (d *Document) LaggingNodes(version uint64) []string {
	var names []string
	for _, n := range d.Nodes {
		if n.State == "alive" && n.ConfigVersion < version {
			names = append(names, fmt.Sprintf("%s (version %d)", n.Name, n.ConfigVersion))
		}
	}
	return names
}
