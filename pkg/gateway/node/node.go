package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/forward"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/gateway/weights"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/wait"
)

// Store is the platform's store as a node needs it.
type Store interface {
	mirror.Source
	weights.LeaseStore
}

// Kinds names the kinds of objects that a node mirrors.
type Kinds struct {
	Config, Backends, Versions string
}

// Options configures a Node.
type Options struct {
	Settings Settings
	Protocol forward.Protocol
	Store    Store
	Kinds    Kinds
	Decoder  Decoder
	Engines  weights.Engines
	// CacheStore asks the store of kept KV cache for its present run.
	CacheStore CacheStore
	// ReadyPath is the path of the question whether the node takes new connections.
	ReadyPath string
	Logger    *slog.Logger
	Metrics   *metrics.Registry
	// LinesDropped returns the number of log lines that were dropped.
	LinesDropped func() int64
	// MetricsPort and MetricsPath are where the metrics are served; port 0 serves none.
	MetricsPort int
	MetricsPath string
}

const (
	// sweepEvery is the time between sweeps of idle connections.
	sweepInterval = time.Second
	// backendPause lets one call of the store return several changes of backend servers. It is a
	// small part of the time within which a leaving server must get no more requests.
	backendWatchPause = 250 * time.Millisecond
	// holderListEvery and listEvery are the times between lists of a node that covers for others and of
	// one that none covers for. A watch can miss changes, so these bound how late a change
	// is seen; a configuration must be in force within 2 s.
	leaderListInterval = 700 * time.Millisecond
	listInterval       = 1100 * time.Millisecond
	// holderLinkMbps is the link in Mbit/s from which on a node can tell 150 others of loads and
	// objects without filling it. Others wait smallNodeReluctance longer for the lease.
	minLeaderLinkMbps  = 100
	slowLinkLeaseDelay = 700 * time.Millisecond
	// doubtFor is the time after the store's return in which missing entries may come back. The
	// platform states about two seconds.
	suspectTimeout = 2200 * time.Millisecond
	// refusedFor is the time after which the platform sends a node no new connections: two
	// questions a second apart, and the way there.
	outOfRotationDelay = 2500 * time.Millisecond
	// stopMargin is kept of the grace for the end of the process.
	shutdownMargin = 700 * time.Millisecond
	// idleLimit and headerLimit bound a client's connection without a request and the time for a
	// header. They are above what configurations state (15 s and 3 s), so that a client that keeps to
	// its limits never finds its connection closed.
	idleTimeout   = 65 * time.Second
	headerTimeout = 10 * time.Second
	// headerBytesDefault is net/http's allowance on top of which it adds 4 KB of its own.
	maxHeaderBytes = 32 << 10
)

// Node is one process of the gateway. Use Run once.
type Node struct {
	opt         Options
	registry    *backends.Registry
	versions    *weights.Versions
	config      *configTarget
	retryBudget *forward.RetryBudget
	mirrors     []*mirror.Mirror
	fetcher     *peers.Fetcher
	prefixes    *cachemap.Map
	// controller and link are set by connect.
	controller *weights.Controller
	board      *board
	link       *peers.Link
	draining   atomic.Bool
}

// New returns a node that has read nothing yet.
func New(opt Options) *Node {
	n := &Node{
		opt:         opt,
		registry:    backends.NewRegistry(opt.Settings.DataCentre),
		versions:    weights.NewVersions(opt.Settings.OldVersionLimit, opt.Settings.ReconnectGrace),
		retryBudget: forward.NewRetryBudget(opt.Settings.RetryBudget),
		config:      &configTarget{decoder: opt.Decoder, logger: opt.Logger},
		fetcher:     peers.NewFetcher(),
		prefixes:    cachemap.New(),
	}
	n.mirrors = []*mirror.Mirror{
		n.newMirror(opt.Kinds.Config, n.config, 0),
		n.newMirror(opt.Kinds.Backends, &backendTarget{decoder: opt.Decoder, logger: opt.Logger, registry: n.registry}, backendWatchPause),
		n.newMirror(opt.Kinds.Versions, &versionTarget{decoder: opt.Decoder, logger: opt.Logger, versions: n.versions}, 0),
	}
	return n
}

func (n *Node) newMirror(kind string, target mirror.Target, pause time.Duration) *mirror.Mirror {
	return mirror.New(mirror.Options{
		Kind: kind, Source: n.opt.Store, Target: target, Logger: n.opt.Logger, BatchDelay: pause,
		IsFollower: func() bool { return n.board.isFollower() },
		OnChange:   func() { n.link.RequestHeartbeat() },
		ListInterval: func() time.Duration {
			if n.controller.ActingLeader() || n.link.IsStandby() {
				return leaderListInterval
			}
			return listInterval
		},
	})
}

// connect prepares the controller of weights and the link to the other nodes.
func (n *Node) connect() error {
	s := n.opt.Settings
	n.board = &board{node: n, lagging: map[string]lag{}}
	timing := weights.LeaseTiming(s.LeaderChangeGap)
	if s.LinkMbps < minLeaderLinkMbps {
		timing.Reluctance = slowLinkLeaseDelay
	}
	n.controller = weights.New(weights.Options{
		PeerAddress: s.PeerAddress, Instance: fmt.Sprint(s.Name, "/", time.Now().UnixNano()),
		Timing: timing, Versions: n.versions, Backends: n.registry, Engines: n.opt.Engines,
		Leases: n.opt.Store, NotifyPeers: func() time.Duration { return n.link.RequestHeartbeat() }, Logger: n.opt.Logger,
		Metrics: n.opt.Metrics,
	})
	link, err := peers.Listen(peers.Options{
		Address: s.PeerAddress, Seeds: s.Seeds, Leader: n.controller.Leader, HoldsLease: n.controller.HoldsLease,
		ActingLeader: n.controller.ActingLeader,
		Board:        n.board, Logger: n.opt.Logger,
	})
	n.link = link
	return err
}

// Run serves until stop ends, then lets running requests finish within the grace.
func (n *Node) Run(stop context.Context) error {
	s := n.opt.Settings
	event.NodeStarted.Emit(n.opt.Logger, "node", s.Name, "data_centre", s.DataCentre, "front", s.ClientAddress, "store", s.StoreAddress)
	clientListener, err := net.Listen("tcp4", s.ClientAddress)
	if err != nil {
		return fmt.Errorf("clients' address: %w; check that no other process uses it", err)
	}
	readyListener, err := net.Listen("tcp4", s.ReadyAddress)
	if err != nil {
		return fmt.Errorf("readiness address: %w; check that no other process uses it", err)
	}
	peerListener, err := net.Listen("tcp4", s.PeerAddress)
	if err != nil {
		return fmt.Errorf("peers' address: %w; check that no other process uses it", err)
	}
	if err := n.connect(); err != nil {
		return err
	}
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopController := n.startBackground(backgroundCtx)
	server := n.frontServer()
	failed := make(chan error, 4)
	if n.opt.MetricsPort > 0 {
		n.registerGauges()
		go func() { failed <- n.serveMetrics() }()
	}
	go func() { failed <- server.Serve(clientListener) }()
	go func() {
		peersServer := &http.Server{Handler: peers.Handler(n.mirrors), ReadHeaderTimeout: headerTimeout}
		failed <- peersServer.Serve(peerListener)
	}()
	go func() { failed <- n.readyServer().Serve(readyListener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("listener ended: %w", err)
	case <-stop.Done():
	}
	n.shutdown(server, stopController)
	return nil
}

// Reload takes over the settings that may change while a node runs: the other nodes to begin with.
func (n *Node) Reload(s Settings) {
	n.link.AddPeers(s.Seeds)
	event.SettingsRead.Emit(n.opt.Logger, "seeds", s.Seeds)
}

// start begins the work beside requests. It returns a function that ends this node's part in
// giving orders and waits for it.
func (n *Node) startBackground(ctx context.Context) (stopController func()) {
	for _, m := range n.mirrors {
		go m.Run(ctx)
	}
	go n.link.Run(ctx)
	go n.watchCacheStore(ctx)
	go wait.Every(ctx, sweepInterval, func(context.Context) {
		now := time.Now()
		n.registry.Sweep(now)
		if gone := n.registry.RemoveSuspects(now, suspectTimeout); len(gone) > 0 {
			event.BackendGone.Emit(n.opt.Logger, "backends", gone)
		}
	})
	orders, end := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.controller.Run(orders)
	}()
	return func() {
		end()
		<-done
	}
}

func (n *Node) router() *forward.Router {
	return forward.NewRouter(forward.Options{
		Protocol: n.opt.Protocol, Backends: n.registry, Weights: n.versions, RetryBudget: n.retryBudget, Prefixes: n.prefixes,
		Config:   func() *routes.Config { return n.config.current.Load() },
		Draining: n.draining.Load, Logger: n.opt.Logger, Metrics: n.opt.Metrics,
	})
}

// frontServer returns the server for clients. Its limits leave room above those of the
// configuration, which clients keep to.
func (n *Node) frontServer() *http.Server {
	return &http.Server{
		Handler:           n.router(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.opt.Logger.Handler(), slog.LevelDebug),
	}
}

// readyServer answers whether the node takes new connections.
func (n *Node) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(n.opt.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.draining.Load() || n.config.current.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// stop lets the platform take the node out of rotation, then closes idle connections and waits for
// running requests.
func (n *Node) shutdown(server *http.Server, stopController func()) {
	began := time.Now()
	n.draining.Store(true)
	event.NodeDraining.Emit(n.opt.Logger)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopController()
	}()
	wait.Pause(context.Background(), outOfRotationDelay)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.opt.Settings.ShutdownGrace-shutdownMargin))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		event.RequestsCutAtStop.Emit(n.opt.Logger, "error", err.Error())
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	event.NodeStopped.Emit(n.opt.Logger, "took_ms", time.Since(began).Milliseconds())
}
