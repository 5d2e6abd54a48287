package node

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/controller/configwatch"
	"cassiawall.example/cassiawall/pkg/controller/discovery"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/controller/gossip"
	"cassiawall.example/cassiawall/pkg/controller/lease"
	"cassiawall.example/cassiawall/pkg/controller/limitshare"
	"cassiawall.example/cassiawall/pkg/controller/owner"
	"cassiawall.example/cassiawall/pkg/controller/rollout"
	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/report"
	"cassiawall.example/cassiawall/pkg/routing"
	"cassiawall.example/cassiawall/pkg/service"
	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/status"
	"cassiawall.example/cassiawall/pkg/vms"
	"cassiawall.example/cassiawall/pkg/weights"
)

const (
	// platformMaxIdleConnsPerHost is the number of idle connections that are kept for each of the
	// platform's services.
	platformMaxIdleConnsPerHost = 16
	// maxBootstrapPrefixes bounds the prefix index entries of a bootstrap reply, to about 300 KB.
	maxBootstrapPrefixes = 5000
	// copyTokensPerSecond and copyFixedTime estimate the time of a copy through the KV cache store.
	// The rate is half the import rate of the stand-in engine.
	copyTokensPerSecond = 200_000
	copyFixedTime       = 20 * time.Millisecond
)

// assemble creates the components of the node. Each step uses only the components of earlier steps.
func (n *Node) assemble() error {
	n.metrics.AddProcessGauges()
	n.connectPlatform()
	for _, step := range []func() error{n.connectPeers, n.createPlacement, n.createServices, n.createEntry} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// connectPlatform creates the clients of the platform's services, and discovery.
func (n *Node) connectPlatform() {
	s := n.opt.Settings
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformMaxIdleConnsPerHost, IdleConnTimeout: engineIdleTimeout, MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes}}
	n.store = objects.NewClient(s.Platform.Objects, client)
	options := discovery.Options{Board: n.board, EngineRole: s.Engines.VMRole, Static: staticEngines(s), Logger: n.opt.Logger, Now: time.Now}
	if s.Platform.VMs != "" {
		list := vms.NewClient(s.Platform.VMs, client)
		list.OnSkip = func(err error) { event.VMListEntrySkipped.Emit(n.opt.Logger, "error", err.Error()) }
		options.VMs = list
	}
	if s.Platform.Weights != "" {
		n.weights = weights.NewClient(s.Platform.Weights, client)
	}
	n.discovery = discovery.New(options)
}

// connectPeers creates the RPC clients and the gossip transport to other nodes, and the components
// that exchange membership, configurations and workspace limits with them.
func (n *Node) connectPeers() error {
	s := n.opt.Settings
	keys, err := keyring(n.opt.PeerKeys)
	if err != nil {
		return err
	}
	rpcAddress := advertised(&s.Peers, n.listeners.peers)
	n.auth = peer.NewAuth(peer.AuthOptions{Keyring: keys, Address: rpcAddress, Logger: n.opt.Logger, Metrics: n.metrics})
	if n.pool, err = peerPool(s.Peers.TLS, n.auth, n.opt.Logger); err != nil {
		return err
	}
	n.transport, err = peer.Listen(peer.TransportOptions{
		Listen: s.Gossip.Address, Advertise: s.Gossip.Advertise, Keyring: keys, Logger: n.opt.Logger, Metrics: n.metrics,
	})
	if err != nil {
		return err
	}
	n.gossip = gossip.New(gossip.Options{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, RPCAddress: rpcAddress, Transport: n.transport,
		Board: n.board, Seeds: n.seeds, Logger: n.opt.Logger, Metrics: n.metrics,
	})
	n.config = configwatch.New(configwatch.Options{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, Board: n.board, Store: n.store, Peers: n.pool.Client,
		OnPrefixes: n.importPrefixes, PeersListed: n.peersListed, Logger: n.opt.Logger, Metrics: n.metrics,
	})
	n.limiter = limits.NewLimiter()
	n.metrics.GaugeFunc("limits_live_nodes", func() float64 { return float64(n.limiter.LiveNodes()) })
	n.shares = limitshare.New(limitshare.Options{Name: s.Name, Board: n.board, Limiter: n.limiter})
	return nil
}

// seeds returns the gossip addresses of nodes that may exist.
func (n *Node) seeds() []string {
	return append(n.discovery.NodeAddresses(), n.opt.Settings.Seeds...)
}

// createPlacement creates the components that rank engines for a request and that own engines.
func (n *Node) createPlacement() error {
	s := n.opt.Settings
	var err error
	if n.placer, err = placement.New(placement.Options{Region: s.Region}); err != nil {
		return err
	}
	n.metrics.GaugeFunc("soft_prefixes", func() float64 { return float64(len(n.placer.CachedPrefixes(maxBootstrapPrefixes))) })
	n.feeder = engineview.New(engineview.Options{Board: n.board, DataCentre: s.DataCentre, Region: s.Region}, n.placer)
	n.owner = owner.New(owner.Options{
		Board: n.board, Engines: n.engineReporter, Self: s.Name, Logger: n.opt.Logger, Metrics: n.metrics, CopySource: n.copySource,
		Copy: owner.CopyOptions{TokensPerSecond: copyTokensPerSecond, Overhead: copyFixedTime},
	})
	return nil
}

// copySource returns the engine other than exclude that has the most leading pieces of a prompt cached,
// and their number. It returns "" if there is none, or if no KV cache store is configured to copy
// them through.
func (n *Node) copySource(prefixHashes []uint64, exclude string) (engineID string, pieces int) {
	if c := n.board.CurrentConfig(); c == nil || c.KVStore == "" {
		return "", 0
	}
	return n.placer.CopySource(prefixHashes, exclude)
}

// kvTransferClient returns the client that copies an engine's cached pieces, or nil if the engine is
// not on the blackboard.
func (n *Node) kvTransferClient(id string) engine.KVTransfer {
	e, ok := n.board.Engines.Get(id)
	if !ok {
		return nil
	}
	return n.engines.clientFor(e.Value.Address)
}

// engineReporter returns the client that reads an engine's state, or nil if the engine is not on
// the blackboard.
func (n *Node) engineReporter(id string) engine.Reporter {
	e, ok := n.board.Engines.Get(id)
	if !ok {
		return nil
	}
	return n.engines.clientFor(e.Value.Address)
}

// createServices creates the components for requests to plain services, for rollouts, and for the
// reports to operators.
func (n *Node) createServices() error {
	s := n.opt.Settings
	n.claims = claims.New(claims.Options{
		Node: s.Name, Board: n.board, Store: n.store, Peer: &claimClient{board: n.board, pool: n.pool}, Metrics: n.metrics, Logger: n.opt.Logger,
	})
	n.services = service.New(service.Options{
		DataCentre: s.DataCentre, Board: n.board, Guard: n.claims, Metrics: n.metrics, Logger: n.opt.Logger, Seed: rand.Uint64(),
		OnResult: n.recordServiceOutcome,
	})
	n.leases = lease.New(lease.Options{Node: s.Name, Board: n.board, Store: n.store, Logger: n.opt.Logger})
	n.rollouts = rollout.New(rollout.Options{
		Board: n.board, Store: n.store, Weights: n.weights, Logger: n.opt.Logger, Requests: n.versions.requests,
		Engines: func(address string) rollout.EngineClient { return n.engines.clientFor(address) },
	})
	n.recorder = burn.NewRecorder(s.Name, time.Now())
	n.report = report.NewCollector(report.Options{Self: s.Name, Board: n.board, Recorder: n.recorder, Client: n.pool.Client, Now: time.Now})
	n.status = status.NewReporter(status.Options{Self: s.Name, Board: n.board, Now: time.Now})
	return nil
}

// createEntry creates the HTTP server for requests of callers.
func (n *Node) createEntry() error {
	router, err := n.newRouter()
	if err != nil {
		return err
	}
	pickVersion := routing.NewVersionPicker(n.board, newRandom()).Pick
	if n.opt.Policy == "" {
		pauses := routing.NewPauseRouter(router, n.board, n.opt.Logger, n.metrics, time.Now)
		router = pauses
		pick := pickVersion
		pickVersion = func(model *config.Model, failed map[string]bool) string { return pick(model, pauses.Exclude(failed)) }
	}
	n.entry, err = entry.New(entry.Options{
		Board: n.board, Router: router, Logger: n.opt.Logger, Now: time.Now, RequestID: newRequestID,
		WeightsVersion: pickVersion, Limiter: n.limiter, Services: n.services, Guard: n.claims, Recorder: &requestRecorder{burn: n.recorder, metrics: n.metrics, versions: &n.versions},
		Engines: func(address string) engine.Generator { return n.engines.clientFor(address) },
	})
	return err
}

func (n *Node) newRouter() (routing.Router, error) {
	if n.opt.Policy != "" {
		return routing.NewBaseline(n.opt.Policy, n.board, n.opt.Inflight)
	}
	owners := &ownerClient{self: n.opt.Settings.Name, local: n.owner, pool: n.pool}
	router := routing.NewOwnerRouter(routing.OwnerOptions{
		Board: n.board, Placer: n.placer, Owners: owners, Table: owner.NewTable(n.board),
		Copier: &routing.Copier{Engines: n.kvTransferClient, Logger: n.opt.Logger},
		Self:   n.opt.Settings.Name, Logger: n.opt.Logger, Now: time.Now,
	})
	return routing.NewHealthRouter(router, n.board, time.Now, newRandom()), nil
}

// newRandom returns a randomly seeded source for choices that need not be reproducible.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func staticEngines(s *settings.Settings) []vms.VM {
	list := make([]vms.VM, len(s.Engines.Static))
	for i, e := range s.Engines.Static {
		list[i] = vms.VM{Name: e.ID, Address: e.Address, DataCentre: e.DataCentre, Role: s.Engines.VMRole, State: vms.Live}
	}
	return list
}

// newRequestID returns 16 random bytes in hex.
func newRequestID() string {
	var id [16]byte
	// crypto/rand.Read never fails on the supported platforms.
	_, _ = crand.Read(id[:])
	return hex.EncodeToString(id[:])
}
