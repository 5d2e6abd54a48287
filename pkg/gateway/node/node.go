package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/clientconn"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
	"cassiawall.example/cassiawall/pkg/gateway/popularity"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
	"cassiawall.example/cassiawall/pkg/gateway/weights"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/recovery"
	"cassiawall.example/cassiawall/pkg/wait"
)

// Store is a client of the platform's store.
type Store interface {
	mirror.Source
	weights.LeaseStore
}

// Kinds are the names of the kinds of objects that a node mirrors.
type Kinds struct {
	Config, Backends, Versions string
}

// noticeSource is a client of the engines that passes on what they state about themselves.
type noticeSource interface {
	SetOnNotice(func(t weights.Target, n backends.Notice))
}

// Options configures a Node.
type Options struct {
	Settings Settings
	Protocol forward.Protocol
	Store    Store
	Kinds    Kinds
	Decoder  Decoder
	Engines  weights.Engines
	// CacheStore is a client of the KV cache store.
	CacheStore CacheStore
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Logger    *slog.Logger
	Metrics   *metrics.Registry
	// LinesDropped returns the number of log lines that were dropped because standard output is read too
	// slowly.
	LinesDropped func() int64
	// MetricsPort and MetricsPath are where the metrics are served; port 0 serves none.
	MetricsPort int
	MetricsPath string
}

const (
	// sweepInterval is the time between sweeps, which close idle connections to backend servers and remove
	// suspect servers.
	sweepInterval = time.Second
	// backendBatchDelay is the pause after a watch of backend servers that returned changes, so that the
	// next call returns several. It is a small part of the time by which a leaving server must get no new
	// requests.
	backendBatchDelay = 250 * time.Millisecond
	// leaderListIntervalShare is the time between lists of the objects at the leader and the standbys, which
	// relay store changes to followers, as a share of Settings.ChangeDeadline. listIntervalShare is that at
	// any other node that watches the store. A watch can miss changes, so these bound the delay of a change.
	leaderListIntervalShare = 0.35
	listIntervalShare       = 0.55
	// maxLeaderListInterval is below syncedTTL: with a longer interval, the leader would count as out of sync at the end of each
	// watch without changes, and the standbys would call the store as well.
	maxLeaderListInterval = 800 * time.Millisecond
	// minLeaderLinkMbps is the link bandwidth in Mbit/s at which a node can send loads and objects to 150
	// others without saturating the link. Nodes below it wait slowLinkLeaseDelay longer before they
	// acquire the lease.
	minLeaderLinkMbps  = 100
	slowLinkLeaseDelay = 700 * time.Millisecond
	// suspectTimeout is the time after which suspect backend servers are removed. The platform states
	// that missing entries reappear within about two seconds after an outage of the store.
	suspectTimeout = 2200 * time.Millisecond
	// relayedDoubtShare is the time for which servers may get requests whose entries are missing after an interruption that
	// only the relaying node has seen, as a share of Settings.ChangeDeadline. The rest is for the delay of the relay: if
	// that node alone was cut off from the store, the servers are gone, and must get no requests after that deadline.
	relayedDoubtShare = 0.6
	// outOfRotationDelay is the time from a failing readiness check until the platform sends no new
	// connections: two checks a second apart, and the network delay.
	outOfRotationDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the shutdown grace that is left for the process to end.
	shutdownMargin = 700 * time.Millisecond
	// bodyMemoryShare is the share of the process's memory that request bodies may use.
	bodyMemoryShare = 0.25
	// answerMargin is the time before that in which unfinished requests are answered.
	answerMargin = 200 * time.Millisecond
	// idleTimeout bounds the time of a client's connection without a request, headerTimeout the time to
	// read a request's header. They exceed the limits in configurations (15 s and 3 s), so that the node
	// never closes a connection of a client that observes these limits.
	idleTimeout   = 65 * time.Second
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header. net/http allows another 4 KB.
	maxHeaderBytes = 32 << 10
)

// objectFetcher fetches mirrored objects from other nodes.
type objectFetcher interface {
	Fetch(ctx context.Context, address, kind string, since int64) (mirror.Content, error)
}

// Node is one process of the gateway. Run may be called once.
type Node struct {
	opt         Options
	store       *storeClient
	registry    *backends.Registry
	versions    *weights.Versions
	config      *configTarget
	retryBudget *forward.RetryBudget
	mirrors     []*mirror.Mirror
	fetcher     objectFetcher
	// openLink opens the link to the other nodes. It is replaced in tests without a network.
	openLink func(peers.Options) (*peers.Link, error)
	prefixes *cachemap.Map
	// prefixCounts counts the requests by shared prefix, and prefixRates are the rates that the leader announced.
	prefixCounts *popularity.Counter
	prefixRates  *popularity.Rates
	// controller and link are set by connect, which then closes connected.
	connected  chan struct{}
	controller *weights.Controller
	board      *board
	link       *peers.Link
	// quotas is nil in a deployment without quotas. It is set by connect.
	quotas     *quotas
	quarantine *forward.Quarantine
	// speeds models the time to the first event on each engine. speedCombiner is in use while this node acts as the leader.
	speeds        *speed.Tracker
	speedCombiner *speed.Combiner
	stopping      *forward.Shutdown
	bodyMemory    *forward.BodyMemory
	// connections bounds what clients' connections hold. requests is the handler of their requests.
	connections *clientconn.Budget
	requests    *forward.Router
}

// New returns a node. It makes no calls before Run.
func New(opt Options) *Node {
	n := &Node{
		opt:         opt,
		registry:    backends.NewRegistry(opt.Settings.DataCentre),
		versions:    weights.NewVersions(opt.Settings.OldVersionLimit, opt.Settings.ReconnectGrace),
		retryBudget: forward.NewRetryBudget(opt.Settings.RetryBudget),
		config:      &configTarget{decoder: opt.Decoder, logger: opt.Logger},
		fetcher:     peers.NewFetcher(),
		openLink:    peers.Listen,
		prefixes:    cachemap.New(),
		connected:   make(chan struct{}),
		stopping:    forward.NewShutdown(),
		bodyMemory:  forward.NewBodyMemory(int64(bodyMemoryShare * opt.Settings.MemoryMB * (1 << 20))),

		prefixCounts: popularity.NewCounter(), prefixRates: popularity.NewRates(),
		speeds: speed.NewTracker(), speedCombiner: speed.NewCombiner(),
	}
	n.store = &storeClient{Store: opt.Store, node: n}
	n.registry.SetDrainLimit(opt.Settings.ChangeDeadline)
	if source, ok := opt.Engines.(noticeSource); ok {
		notices := forward.NewNotices(n.registry, opt.Logger, opt.Metrics)
		source.SetOnNotice(func(t weights.Target, notice backends.Notice) {
			// Limits and pauses are for requests of clients.
			if notice.Leaving {
				notices.ObserveLeaving(t.ID, t.Started, "")
			}
		})
	}
	n.connections = n.newConnections()
	n.bodyMemory.SetMakeRoom(n.connections.CloseStalledBodies)
	n.quarantine = n.newQuarantine()
	n.mirrors = []*mirror.Mirror{
		n.newMirror(opt.Kinds.Config, n.config, 0),
		n.newMirror(opt.Kinds.Backends, &backendTarget{
			decoder: opt.Decoder, logger: opt.Logger, registry: n.registry,
			maxRelayedDoubt: time.Duration(relayedDoubtShare * float64(opt.Settings.ChangeDeadline)),
		}, backendBatchDelay),
		n.newMirror(opt.Kinds.Versions, &versionTarget{decoder: opt.Decoder, logger: opt.Logger, versions: n.versions}, 0),
	}
	return n
}

// newMirror returns a mirror of one kind of objects. batchDelay is the pause after a watch that returned changes.
func (n *Node) newMirror(kind string, target mirror.Target, batchDelay time.Duration) *mirror.Mirror {
	return mirror.New(mirror.Options{
		Kind: kind, Source: n.store, Target: target, Logger: n.opt.Logger, BatchDelay: batchDelay,
		IsFollower: func() bool { return n.board.isRelayed(n.mirrorByKind(kind)) },
		MayCall:    func() bool { return n.board.mayCallStore() },
		OnChange:   func() { n.link.RequestUpdate() },
		ListInterval: func() time.Duration {
			deadline := float64(n.opt.Settings.ChangeDeadline)
			if n.controller.ActingLeader() || n.link.IsStandby() {
				return min(time.Duration(leaderListIntervalShare*deadline), maxLeaderListInterval)
			}
			return time.Duration(listIntervalShare * deadline)
		},
	})
}

// connect creates the weights controller and the link to the other nodes. It fails if the peer address is in
// use.
func (n *Node) connect() error {
	s := n.opt.Settings
	n.board = newBoard(n)
	timing := weights.LeaseTiming(s.LeaderChangeGap)
	if s.LinkMbps < minLeaderLinkMbps {
		timing.AcquireDelay = slowLinkLeaseDelay
	}
	if !n.isSeed() {
		timing.AcquireDelay += rand.N(leaseSpread)
	}
	n.controller = weights.New(weights.Options{
		PeerAddress: s.PeerAddress, Instance: fmt.Sprint(s.Name, "/", time.Now().UnixNano()),
		Timing: timing, Versions: n.versions, Backends: n.registry, Engines: n.opt.Engines,
		Leases: n.store, NotifyPeers: func() time.Duration { return n.link.RequestUpdate() },
		AnnounceLease: func() { n.link.RequestHeartbeat() }, MayCallStore: n.board.mayCompete,
		Logger: n.opt.Logger, Metrics: n.opt.Metrics,
	})
	opt := peers.Options{
		Address: s.PeerAddress, Seeds: s.Seeds, Leader: n.controller.Leader, HoldsLease: n.controller.HoldsLease,
		ActingLeader: n.controller.ActingLeader,
		Board:        n.board, Logger: n.opt.Logger, Guard: n.guard(),
	}
	if s.Quotas.Enabled() {
		opt.OnQuota = func(from string, m *limits.Message) { n.quotas.receive(from, m) }
	}
	link, err := n.openLink(opt)
	if err != nil {
		return err
	}
	n.link = link
	if s.Quotas.Enabled() {
		n.quotas = newQuotas(n)
		n.config.onAccept = n.quotas.apply
	}
	close(n.connected)
	return nil
}

// Run serves requests until the context stop ends, then shuts down gracefully within Settings.ShutdownGrace.
// It returns an error if a listener cannot be opened or fails.
func (n *Node) Run(stop context.Context) error {
	s := n.opt.Settings
	event.NodeStarted.Emit(n.opt.Logger, "node", s.Name, "data_centre", s.DataCentre, "front", s.ClientAddress, "store", s.StoreAddress)
	clientListener, err := n.listen("tcp4", s.ClientAddress, clientconn.ClientSockets)
	if err != nil {
		return fmt.Errorf("listen for clients: %w; check the address and that no other process uses it", err)
	}
	readyListener, err := n.listen("tcp4", s.ReadyAddress, otherSockets)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w; check the address and that no other process uses it", err)
	}
	peerListener, err := n.listen("tcp4", s.PeerAddress, otherSockets)
	if err != nil {
		return fmt.Errorf("listen for other nodes: %w; check the address and that no other process uses it", err)
	}
	if err := n.connect(); err != nil {
		return err
	}
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopController := n.startBackground(backgroundCtx)
	server := n.clientServer()
	failed := make(chan error, 4)
	if n.opt.MetricsPort > 0 {
		n.registerGauges()
		go func() { failed <- n.serveMetrics() }()
	}
	go func() { failed <- n.serveClients(server, clientListener) }()
	go func() {
		peersServer := &http.Server{Handler: peers.Handler(n.mirrors), ReadHeaderTimeout: headerTimeout}
		failed <- n.serveOthers(peersServer, peerListener, "peers", peerDescriptorShare)
	}()
	go func() { failed <- n.serveOthers(n.readyServer(), readyListener, "readiness", otherDescriptorShare) }()
	select {
	case err := <-failed:
		return fmt.Errorf("server failed: %w", err)
	case <-stop.Done():
	}
	n.shutdown(server, stopController)
	return nil
}

// Reload applies the settings that can change at run time: the seeds, which are added to the known nodes. It waits
// until Run has opened the connection to the other nodes.
func (n *Node) Reload(s Settings) {
	<-n.connected
	n.link.AddPeers(s.Seeds)
	event.SettingsRead.Emit(n.opt.Logger, "seeds", s.Seeds)
}

// startBackground starts the background tasks. It returns a function that stops the weights controller and
// waits until it has released the lease.
func (n *Node) startBackground(ctx context.Context) (stopController func()) {
	guard := n.guard()
	for _, m := range n.mirrors {
		go guard.Loop(ctx, "mirror of "+m.Kind(), m.Run)
	}
	go guard.Loop(ctx, "peers", n.link.Run)
	go guard.Loop(ctx, "cache stores", n.watchCacheStores)
	go guard.Loop(ctx, "sweep", n.sweep)
	go guard.Loop(ctx, "pauses", n.watchPauses)
	go guard.Loop(ctx, "quarantine", n.keepQuarantine)
	if n.quotas != nil {
		go guard.Loop(ctx, "quotas", n.quotas.run)
	}
	controllerCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		guard.Loop(controllerCtx, "weights", n.controller.Run)
	}()
	return func() {
		cancel()
		<-done
	}
}

// sweep closes idle connections and removes suspect backend servers until ctx ends.
func (n *Node) sweep(ctx context.Context) {
	wait.Every(ctx, sweepInterval, func(context.Context) {
		now := time.Now()
		n.registry.Sweep(now)
		n.quarantine.Expire()
		n.refreshSpeedFactors()
		if back := n.registry.AdmitRelisted(); len(back) > 0 {
			event.BackendListed.Emit(n.opt.Logger, "backends", back, "without_news", true)
		}
		if gone := n.registry.RemoveSuspects(now, suspectTimeout); len(gone) > 0 {
			event.BackendGone.Emit(n.opt.Logger, "backends", gone)
		}
	})
}

// guard contains panics of the node's tasks.
func (n *Node) guard() recovery.Guard {
	return recovery.Guard{Logger: n.opt.Logger, Metrics: n.opt.Metrics}
}

func (n *Node) router() *forward.Router {
	opt := forward.Options{
		Protocol: n.opt.Protocol, Backends: n.registry, Weights: n.versions, RetryBudget: n.retryBudget, Prefixes: n.prefixes,
		PrefixCounts: n.prefixCounts, PrefixRates: n.prefixRates, Quarantine: n.quarantine, Speeds: n.speeds,
		Config:   func() *routes.Config { return n.config.current.Load() },
		Shutdown: n.stopping, BodyMemory: n.bodyMemory, Logger: n.opt.Logger, Metrics: n.opt.Metrics,
	}
	if n.quotas != nil {
		opt.Quotas = n.quotas
	}
	return forward.NewRouter(opt)
}

// clientServer returns the server for clients. Its limits exceed those of the configuration, which clients
// observe.
func (n *Node) clientServer() *http.Server {
	n.requests = n.router()
	return &http.Server{
		Handler:           n.requests,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.opt.Logger.Handler(), slog.LevelDebug),
	}
}

// readyServer returns the server for readiness checks. They fail while the node drains or has no
// configuration.
func (n *Node) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(n.opt.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Began() || n.config.current.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}
