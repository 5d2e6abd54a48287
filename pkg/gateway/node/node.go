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
	weights.Leases
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
	sweepEvery = time.Second
	// backendPause lets one call of the store return several changes of backend servers. It is a
	// small part of the time within which a leaving server must get no more requests.
	backendPause = 250 * time.Millisecond
	// holderListEvery and listEvery are the times between lists of a node that covers for others and of
	// one that none covers for. A watch can miss changes, so these bound how late a change
	// is seen; a configuration must be in force within 2 s.
	holderListEvery = 700 * time.Millisecond
	listEvery       = 1100 * time.Millisecond
	// holderLinkMbps is the link in Mbit/s from which on a node can tell 150 others of loads and
	// objects without filling it. Others wait smallNodeReluctance longer for the lease.
	holderLinkMbps      = 100
	smallNodeReluctance = 700 * time.Millisecond
	// doubtFor is the time after the store's return in which missing entries may come back. The
	// platform states about two seconds.
	doubtFor = 2200 * time.Millisecond
	// refusedFor is the time after which the platform sends a node no new connections: two
	// questions a second apart, and the way there.
	refusedFor = 2500 * time.Millisecond
	// stopMargin is kept of the grace for the end of the process.
	stopMargin = 700 * time.Millisecond
	// idleLimit and headerLimit bound a client's connection without a request and the time for a
	// header. They are above what configurations state (15 s and 3 s), so that a client that keeps to
	// its limits never finds its connection closed.
	idleLimit   = 65 * time.Second
	headerLimit = 10 * time.Second
	// headerBytesDefault is net/http's allowance on top of which it adds 4 KB of its own.
	headerBytesDefault = 32 << 10
)

// Node is one process of the gateway. Use Run once.
type Node struct {
	opt      Options
	registry *backends.Registry
	wanted   *weights.Wanted
	config   *configTarget
	budget   *forward.RetryBudget
	mirrors  []*mirror.Mirror
	fetcher  *peers.Fetcher
	prefixes *cachemap.Map
	// controller and link are set by connect.
	controller *weights.Controller
	board      *board
	link       *peers.Link
	draining   atomic.Bool
}

// New returns a node that has read nothing yet.
func New(opt Options) *Node {
	n := &Node{
		opt:      opt,
		registry: backends.NewRegistry(opt.Settings.DataCentre),
		wanted:   weights.NewWanted(opt.Settings.VersionLimit, opt.Settings.Contact),
		budget:   forward.NewRetryBudget(opt.Settings.Budget),
		config:   &configTarget{decoder: opt.Decoder, logger: opt.Logger},
		fetcher:  peers.NewFetcher(),
		prefixes: cachemap.New(),
	}
	n.mirrors = []*mirror.Mirror{
		n.mirror(opt.Kinds.Config, n.config, 0),
		n.mirror(opt.Kinds.Backends, &backendTarget{decoder: opt.Decoder, logger: opt.Logger, registry: n.registry}, backendPause),
		n.mirror(opt.Kinds.Versions, &versionTarget{decoder: opt.Decoder, logger: opt.Logger, wanted: n.wanted}, 0),
	}
	return n
}

func (n *Node) mirror(kind string, target mirror.Target, pause time.Duration) *mirror.Mirror {
	return mirror.New(mirror.Options{
		Kind: kind, Source: n.opt.Store, Target: target, Logger: n.opt.Logger, BatchDelay: pause,
		IsFollower: func() bool { return n.board.covered() },
		OnChange:   func() { n.link.RequestHeartbeat() },
		ListInterval: func() time.Duration {
			if n.controller.Leading() || n.link.IsStandby() {
				return holderListEvery
			}
			return listEvery
		},
	})
}

// connect prepares the controller of weights and the link to the other nodes.
func (n *Node) connect() error {
	s := n.opt.Settings
	n.board = &board{node: n, behind: map[string]lag{}}
	timing := weights.LeaseTiming(s.LeaseGap)
	if s.LinkMbps < holderLinkMbps {
		timing.AcquireDelay = smallNodeReluctance
	}
	n.controller = weights.New(weights.Options{
		Node: s.Control, Instance: fmt.Sprint(s.Name, "/", time.Now().UnixNano()),
		Timing: timing, Wanted: n.wanted, Backends: n.registry, Engines: n.opt.Engines,
		Leases: n.opt.Store, Changed: func() time.Duration { return n.link.RequestHeartbeat() }, Logger: n.opt.Logger,
		Metrics: n.opt.Metrics,
	})
	link, err := peers.Listen(peers.Options{
		Address: s.Control, Seeds: s.Seeds, Leader: n.controller.Holder, HoldsLease: n.controller.Holding,
		ActingLeader: n.controller.Leading,
		Board:        n.board, Logger: n.opt.Logger,
	})
	n.link = link
	return err
}

// Run serves until stop ends, then lets running requests finish within the grace.
func (n *Node) Run(stop context.Context) error {
	s := n.opt.Settings
	event.NodeStarted.Emit(n.opt.Logger, "node", s.Name, "data_centre", s.DataCentre, "front", s.Front, "store", s.Store)
	front, err := net.Listen("tcp4", s.Front)
	if err != nil {
		return fmt.Errorf("clients' address: %w; check that no other process uses it", err)
	}
	ready, err := net.Listen("tcp4", s.Ready)
	if err != nil {
		return fmt.Errorf("readiness address: %w; check that no other process uses it", err)
	}
	control, err := net.Listen("tcp4", s.Control)
	if err != nil {
		return fmt.Errorf("peers' address: %w; check that no other process uses it", err)
	}
	if err := n.connect(); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := n.start(background)
	server := n.frontServer()
	failed := make(chan error, 4)
	if n.opt.MetricsPort > 0 {
		n.registerGauges()
		go func() { failed <- n.serveMetrics() }()
	}
	go func() { failed <- server.Serve(front) }()
	go func() {
		peersServer := &http.Server{Handler: peers.Handler(n.mirrors), ReadHeaderTimeout: headerLimit}
		failed <- peersServer.Serve(control)
	}()
	go func() { failed <- n.readyServer().Serve(ready) }()
	select {
	case err := <-failed:
		return fmt.Errorf("listener ended: %w", err)
	case <-stop.Done():
	}
	n.stop(server, leader)
	return nil
}

// Reload takes over the settings that may change while a node runs: the other nodes to begin with.
func (n *Node) Reload(s Settings) {
	n.link.AddPeers(s.Seeds)
	event.SettingsRead.Emit(n.opt.Logger, "seeds", s.Seeds)
}

// start begins the work beside requests. It returns a function that ends this node's part in
// giving orders and waits for it.
func (n *Node) start(ctx context.Context) (endOrders func()) {
	for _, m := range n.mirrors {
		go m.Run(ctx)
	}
	go n.link.Run(ctx)
	go n.watchCacheStore(ctx)
	go wait.Every(ctx, sweepEvery, func(context.Context) {
		now := time.Now()
		n.registry.Sweep(now)
		if gone := n.registry.RemoveSuspects(now, doubtFor); len(gone) > 0 {
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
		Protocol: n.opt.Protocol, Backends: n.registry, Weights: n.wanted, RetryBudget: n.budget, Prefixes: n.prefixes,
		Config:   func() *routes.Config { return n.config.current.Load() },
		Draining: n.draining.Load, Logger: n.opt.Logger, Metrics: n.opt.Metrics,
	})
}

// frontServer returns the server for clients. Its limits leave room above those of the
// configuration, which clients keep to.
func (n *Node) frontServer() *http.Server {
	return &http.Server{
		Handler:           n.router(),
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerBytesDefault,
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
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
}

// stop lets the platform take the node out of rotation, then closes idle connections and waits for
// running requests.
func (n *Node) stop(server *http.Server, endOrders func()) {
	began := time.Now()
	n.draining.Store(true)
	event.NodeDraining.Emit(n.opt.Logger)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		endOrders()
	}()
	wait.Pause(context.Background(), refusedFor)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.opt.Settings.Grace-stopMargin))
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
