// Package node assembles the parts of one cassiawall process and runs them.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/controller/discovery"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/controller/owner"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/report"
	"cassiawall.example/cassiawall/pkg/routing"
	"cassiawall.example/cassiawall/pkg/service"
	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/status"
	"cassiawall.example/cassiawall/pkg/vms"
)

// Bounds of callers' connections. Package entry bounds the time of a body.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Options configures a Node.
type Options struct {
	Settings *settings.Settings
	// PeerKeys are the shared keys of the fleet, the signing key first.
	PeerKeys [][]byte
	Logger   *slog.Logger
	// Policy is the name of a baseline policy, or empty for the system's own placement.
	Policy string
	// Inflight is shared by nodes with the same baseline policy.
	Inflight *routing.Inflight
}

// Node is one process of cassiawall.
type Node struct {
	opt       Options
	board     *blackboard.Board
	metrics   *metrics.Registry
	engines   *engineClients
	discovery *discovery.Controller
	owner     *owner.Owner
	placer    *placement.Placer
	feeding   sync.Mutex
	feeder    *engineview.Feeder
	auth      *peer.Auth
	pool      *peer.Pool
	store     objects.Store
	claims    *claims.Controller
	services  *service.Dispatcher
	recorder  *burn.Recorder
	report    *report.Collector
	status    *status.Reporter
	entry     *entry.Server
	listeners listeners
	ready     atomic.Bool
	stopOnce  sync.Once
	stop      chan struct{}
}

// New binds the node's listeners and assembles its parts. The error is of kind
// fault.InvalidSettings or of the network.
func New(opt Options) (*Node, error) {
	n := &Node{opt: opt, board: blackboard.New(), metrics: metrics.New(), engines: newEngineClients(), stop: make(chan struct{})}
	var err error
	if n.listeners, err = listen(opt.Settings, opt.Logger); err != nil {
		return nil, err
	}
	if err := n.assemble(); err != nil {
		return nil, errors.Join(err, n.listeners.close())
	}
	return n, nil
}

func (n *Node) assemble() error {
	s := n.opt.Settings
	n.metrics.AddProcess()
	n.connectPlatform()
	keys, err := keyring(n.opt.PeerKeys)
	if err != nil {
		return err
	}
	n.auth = peer.NewAuth(peer.AuthOptions{Keyring: keys, Address: advertised(&s.Peers, n.listeners.peers), Logger: n.opt.Logger})
	if n.pool, err = peerPool(s.Peers.TLS, n.auth, n.opt.Logger); err != nil {
		return err
	}
	n.owner = owner.New(owner.Options{Board: n.board, Engines: n.reporter, Self: s.Name, Logger: n.opt.Logger})
	if n.placer, err = placement.New(placement.Options{Region: s.Region}); err != nil {
		return err
	}
	n.feeder = engineview.New(engineview.Options{Board: n.board, DataCentre: s.DataCentre, Region: s.Region}, n.placer)
	router, err := n.newRouter()
	if err != nil {
		return err
	}
	n.claims = claims.New(claims.Options{
		Node: s.Name, Board: n.board, Store: n.store, Peer: &claimCalls{board: n.board, pool: n.pool}, Metrics: n.metrics, Logger: n.opt.Logger,
	})
	n.services = service.New(service.Options{
		DataCentre: s.DataCentre, Board: n.board, Guard: n.claims, Metrics: n.metrics, Logger: n.opt.Logger, Seed: rand.Uint64(),
		Done: n.serviceDone,
	})
	n.recorder = burn.NewRecorder(s.Name, time.Now())
	n.report = report.NewCollector(report.Options{Self: s.Name, Board: n.board, Recorder: n.recorder, Client: n.pool.Client, Now: time.Now})
	n.status = status.NewReporter(status.Options{Self: s.Name, Board: n.board, Now: time.Now})
	n.entry, err = entry.New(entry.Options{
		Board: n.board, Router: router, Logger: n.opt.Logger, Now: time.Now, RequestID: newRequestID,
		Services: n.services, Guard: n.claims, Recorder: &observer{burn: n.recorder, metrics: n.metrics},
		Engines: func(address string) engine.Generator { return n.engines.at(address) },
	})
	return err
}

// connectPlatform makes the adapters of the platform.
func (n *Node) connectPlatform() {
	s := n.opt.Settings
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformIdlePerHost, IdleConnTimeout: engineIdleTimeout}}
	n.store = objects.NewClient(s.Platform.Objects, client)
	options := discovery.Options{Board: n.board, EngineRole: s.Engines.VMRole, Static: staticEngines(s), Logger: n.opt.Logger, Now: time.Now}
	if s.Platform.VMs != "" {
		options.VMs = vms.NewClient(s.Platform.VMs, client)
	}
	n.discovery = discovery.New(options)
}

// platformIdlePerHost is the number of connections to the object API that are kept.
const platformIdlePerHost = 16

// reporter returns the adapter of an engine, or nil if its address is not known.
func (n *Node) reporter(id string) engine.Reporter {
	e, ok := n.board.Engines.Get(id)
	if !ok {
		return nil
	}
	return n.engines.at(e.Value.Address)
}

func (n *Node) newRouter() (routing.Router, error) {
	if n.opt.Policy != "" {
		return routing.NewBaseline(n.opt.Policy, n.board, n.opt.Inflight)
	}
	calls := &ownerCalls{self: n.opt.Settings.Name, local: n.owner, pool: n.pool}
	router := routing.NewOwnerRouter(routing.OwnerOptions{
		Board: n.board, Placer: n.placer, Owners: calls, Table: owner.NewTable(n.board),
		Self: n.opt.Settings.Name, Logger: n.opt.Logger, Now: time.Now,
	})
	return routing.NewHealthRouter(router, n.board, time.Now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), nil
}

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
	// rand.Read never fails on the supported platforms.
	_, _ = crand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Board returns the node's blackboard.
func (n *Node) Board() *blackboard.Board { return n.board }

// Addresses returns the bound addresses of the listeners as host:port.
func (n *Node) Addresses() (callers, peers, operators string) {
	l := &n.listeners
	return l.callers.Addr().String(), l.peers.Addr().String(), l.operators.Addr().String()
}

// CallersURL returns the base URL of the callers' listener.
func (n *Node) CallersURL() string { return baseURL(&n.opt.Settings.Callers, n.listeners.callers) }

// OperatorsURL returns the base URL of the operators' listener.
func (n *Node) OperatorsURL() string {
	return baseURL(&n.opt.Settings.Operators, n.listeners.operators)
}

// Ready reports whether the node takes requests.
func (n *Node) Ready() bool { return n.ready.Load() }

// Shutdown starts a graceful shutdown. Run returns when it is done.
func (n *Node) Shutdown() { n.stopOnce.Do(func() { close(n.stop) }) }

// Run serves until ctx ends, which stops at once, or Shutdown is called, which lets the running
// requests finish within the drain bound.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	event.NodeStarted.Log(ctx, n.opt.Logger, slog.String("node", n.opt.Settings.Name))
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.discovery.Run(groupCtx) })
	group.Go(func() error { return n.owner.Run(groupCtx) })
	group.Go(func() error { return n.feed(groupCtx) })
	group.Go(func() error { return n.services.Run(groupCtx) })
	group.Go(func() error { return n.followConfig(groupCtx) })
	peers := &http.Server{Handler: peer.NewServer(&rpcServer{node: n}, n.auth), ReadHeaderTimeout: headerTimeout}
	group.Go(func() error { return serve(peers, n.listeners.peers) })
	callers := n.callersServer()
	operators := &http.Server{Handler: n.operatorsHandler(), ReadHeaderTimeout: headerTimeout}
	group.Go(func() error { return serve(operators, n.listeners.operators) })
	group.Go(func() error {
		defer cancel()
		return n.serveCallers(groupCtx, callers)
	})
	group.Go(func() error {
		<-groupCtx.Done()
		return errors.Join(operators.Close(), peers.Close(), callers.Close())
	})
	err := group.Wait()
	n.engines.close()
	n.pool.Close()
	event.NodeStopped.Log(context.Background(), n.opt.Logger, slog.String("node", n.opt.Settings.Name))
	return err
}

// feedInterval bounds the age of the engine loads that placement sees.
const feedInterval = 20 * time.Millisecond

// feed passes the board's engines to placement until ctx ends.
func (n *Node) feed(ctx context.Context) error {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for {
		n.refreshPlacement()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// followConfig passes each new configuration to the parts that keep state by workspace.
func (n *Node) followConfig(ctx context.Context) error {
	changes, cancel := n.board.Config.Subscribe()
	defer cancel()
	for {
		if c := n.board.CurrentConfig(); c != nil {
			n.recorder.SetConfig(c)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}

func (n *Node) refreshPlacement() {
	n.feeding.Lock()
	defer n.feeding.Unlock()
	n.feeder.Refresh()
}

func (n *Node) callersServer() *http.Server {
	return &http.Server{
		Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveCallers serves until shutdown and then drains.
func (n *Node) serveCallers(ctx context.Context, s *http.Server) error {
	n.waitReady(ctx)
	served := make(chan error, 1)
	go func() { served <- serve(s, n.listeners.callers) }()
	n.ready.Store(true)
	event.NodeReady.Log(ctx, n.opt.Logger, slog.String("node", n.opt.Settings.Name))
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return nil
	case <-n.stop:
	}
	n.drain(ctx, s)
	n.claims.Close(ctx)
	return <-served
}

// drain lets the running requests finish within the drain bound and then ends them with a
// typed error.
func (n *Node) drain(ctx context.Context, s *http.Server) {
	n.ready.Store(false)
	n.entry.Drain()
	event.NodeDraining.Log(ctx, n.opt.Logger, slog.Int("running", n.entry.Running()))
	bound, cancel := context.WithTimeout(ctx, n.opt.Settings.DrainBound.D())
	defer cancel()
	if s.Shutdown(bound) != nil {
		n.entry.Stop()
		last, cancelLast := context.WithTimeout(ctx, lastWordTimeout)
		defer cancelLast()
		_ = s.Shutdown(last)
	}
}

// lastWordTimeout is the time to write the typed endings after the drain bound.
const lastWordTimeout = 2 * time.Second
