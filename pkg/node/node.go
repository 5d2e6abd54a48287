// Package node assembles the components of one cassiawall process and runs them.
package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/controller/configwatch"
	"cassiawall.example/cassiawall/pkg/controller/discovery"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/controller/gossip"
	"cassiawall.example/cassiawall/pkg/controller/lease"
	"cassiawall.example/cassiawall/pkg/controller/limitshare"
	"cassiawall.example/cassiawall/pkg/controller/owner"
	"cassiawall.example/cassiawall/pkg/controller/rollout"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/recovery"
	"cassiawall.example/cassiawall/pkg/report"
	"cassiawall.example/cassiawall/pkg/routing"
	"cassiawall.example/cassiawall/pkg/service"
	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/status"
	"cassiawall.example/cassiawall/pkg/weights"
)

// Limits of HTTP connections. Package entry limits the time to read a request body of a caller.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Options configures a Node.
type Options struct {
	Settings *settings.Settings
	// PeerKeys are the shared keys that authenticate the fleet's nodes to each other, the signing
	// key first.
	PeerKeys [][]byte
	Logger   *slog.Logger
	// Policy is the name of a baseline routing policy, or empty for cassiawall's own placement.
	Policy string
	// Inflight counts the requests in flight of all nodes that use the same baseline policy. It is
	// not used if Policy is empty.
	Inflight *routing.Inflight
}

// Node is one process of cassiawall.
type Node struct {
	opt       Options
	board     *blackboard.Board
	metrics   *metrics.Registry
	engines   *engineClients
	transport *peer.Transport
	gossip    *gossip.Controller
	config    *configwatch.Controller
	limiter   *limits.Limiter
	shares    *limitshare.Controller
	discovery *discovery.Controller
	owner     *owner.Owner
	placer    *placement.Placer
	feederMu  sync.Mutex
	feeder    *engineview.Feeder
	auth      *peer.Auth
	pool      *peer.Pool
	store     objects.Store
	weights   weights.Store
	claims    *claims.Controller
	leases    *lease.Controller
	rollouts  *rollout.Controller
	versions  versionCounts
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

// New binds the node's listeners and assembles its components. Errors are of kind
// fault.InvalidSettings, or errors of the network.
func New(opt Options) (*Node, error) {
	n := &Node{opt: opt, board: blackboard.New(), metrics: metrics.New(), engines: newEngineClients(), stop: make(chan struct{})}
	var err error
	if n.listeners, err = n.listen(newConnections(opt.Settings, opt.Logger, n.metrics)); err != nil {
		return nil, err
	}
	if err := n.assemble(); err != nil {
		return nil, errors.Join(err, n.close())
	}
	return n, nil
}

// close closes the listeners and the gossip transport that New opened.
func (n *Node) close() error {
	err := n.listeners.close()
	if n.transport != nil {
		err = errors.Join(err, n.transport.Close())
	}
	return err
}

// Board returns the node's blackboard.
func (n *Node) Board() *blackboard.Board { return n.board }

// Addresses are the bound addresses of a node's listeners, as host:port.
type Addresses struct{ Callers, Peers, Operators, Gossip string }

// Addresses returns the bound addresses of the node's listeners.
func (n *Node) Addresses() Addresses {
	l := &n.listeners
	return Addresses{
		Callers: l.callers.Addr().String(), Peers: l.peers.Addr().String(), Operators: l.operators.Addr().String(),
		Gossip: n.transport.Address(),
	}
}

// CallersURL returns the base URL of the callers' listener.
func (n *Node) CallersURL() string { return baseURL(&n.opt.Settings.Callers, n.listeners.callers) }

// OperatorsURL returns the base URL of the operators' listener.
func (n *Node) OperatorsURL() string {
	return baseURL(&n.opt.Settings.Operators, n.listeners.operators)
}

// Ready reports whether load balancers should send requests to the node. It is false until the node
// serves, and from the start of a shutdown.
func (n *Node) Ready() bool { return n.ready.Load() }

// Shutdown starts a graceful shutdown. Run returns when the shutdown is complete.
func (n *Node) Shutdown() { n.stopOnce.Do(func() { close(n.stop) }) }

// Run serves until ctx ends or Shutdown is called. The end of ctx closes all connections at once;
// Shutdown lets running requests finish within the drain bound.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	event.NodeStarted.Log(ctx, n.opt.Logger, slog.String("node", n.opt.Settings.Name))
	group, groupCtx := errgroup.WithContext(ctx)
	guard := recovery.Guard{Logger: n.opt.Logger, Metrics: n.metrics}
	for task, controller := range n.controllers() {
		group.Go(func() (err error) {
			guard.Loop(groupCtx, task, func(ctx context.Context) { err = controller(ctx) })
			return err
		})
	}
	peers := &http.Server{
		Handler: peer.NewServer(&rpcServer{node: n}, n.auth), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	peer.Configure(peers)
	if bounded := n.listeners.bounded.peers; bounded != nil {
		bounded.Configure(peers)
	}
	group.Go(func() error { return serve(peers, n.listeners.peers) })
	callers := n.callersServer()
	n.listeners.bounded.callers.Configure(callers)
	operators := &http.Server{Handler: n.operatorsHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.listeners.bounded.operators.Configure(operators)
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

// controllers returns the background loops by name. They run until their context ends, and again after a panic.
func (n *Node) controllers() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"discovery": n.discovery.Run, "gossip": n.gossip.Run, "members": n.followMembers, "configuration": n.config.Run, "limits": n.shares.Run,
		"engines": n.owner.Run, "services": n.services.Run, "leases": n.leases.Run, "rollouts": n.rollouts.Run, "placement": n.refreshLoop,
		"workspaces": n.followConfig,
	}
}
