// Package localfleet runs nodes and stand-ins of the platform in one process on loopback, for the
// demo, the bench and the end-to-end tests.
package localfleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/controller/configwatch"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/node"
	"cassiawall.example/cassiawall/pkg/routing"
	"cassiawall.example/cassiawall/pkg/settings"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	"cassiawall.example/cassiawall/pkg/vms"
)

// Options describes a fleet.
type Options struct {
	// Nodes is the number of cassiawall nodes.
	Nodes int
	// DataCentres are assigned round-robin to nodes, engines and backend servers.
	DataCentres []string
	// Engines are the stand-in engines to start.
	Engines []enginestandin.Config
	// Config is the configuration to apply at start.
	Config *config.Config
	// Policy is the name of a baseline placement policy, or empty for the default placement.
	Policy string
	// Seed seeds the random faults of the stand-ins.
	Seed   uint64
	Logger *slog.Logger
	// DrainBound is the maximum time that a graceful shutdown waits for running requests. Default 20 s.
	DrainBound time.Duration
	// DrainNotice is the time for which a node still accepts connections during a graceful shutdown.
	// Default 200 ms.
	DrainNotice time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Engines  []*enginestandin.Engine
	Platform *Platform

	opt      Options
	keys     [][]byte
	inflight *routing.Inflight

	mu      sync.Mutex
	members []*member
}

// member is a node with the settings and channels that a restart needs.
type member struct {
	settings *settings.Settings
	node     *node.Node
	cancel   context.CancelFunc
	done     chan error
}

const (
	loopback = "127.0.0.1:0"
	// headerTimeout is the time in which the stand-ins must receive the headers of a request.
	headerTimeout = 10 * time.Second
	// configObjectName is the name of the configuration in the object API.
	configObjectName = "config/current"
)

// defaultDrainBound is longer than the streams of a local fleet, which last seconds.
const defaultDrainBound = 20 * time.Second

// defaultDrainNotice is longer than a local load balancer takes to detect that a node is not ready.
const defaultDrainNotice = 200 * time.Millisecond

// Start starts the stand-ins and the nodes and waits until the nodes are ready. It returns an error if
// ctx ends first.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	f := &Fleet{opt: opt, inflight: routing.NewInflight(), keys: [][]byte{make([]byte, settings.MinPeerKeyBytes)}}
	// rand.Read never fails on the supported platforms.
	_, _ = rand.Read(f.keys[0])
	var err error
	if f.Platform, err = startPlatform(opt.Config, opt.DataCentres, opt.Seed); err != nil {
		return nil, err
	}
	for i, c := range opt.Engines {
		if err := f.startEngine(i, c); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	if err := f.storeInitialConfig(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	for i := range opt.Nodes {
		m := &member{settings: f.nodeSettings(i)}
		f.members = append(f.members, m)
		if err := f.startNode(m); err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.Platform.publish(vms.VM{Name: m.settings.Name, Address: m.settings.Gossip.Address, DataCentre: m.settings.DataCentre,
			Role: vms.RoleNode, State: vms.Live})
	}
	return f, f.waitReady(ctx)
}

func (f *Fleet) startEngine(i int, c enginestandin.Config) error {
	e := enginestandin.New(c)
	f.Engines = append(f.Engines, e)
	if err := e.Start(); err != nil {
		return err
	}
	f.Platform.publish(vms.VM{Name: e.ID(), Address: hostPort(e.URL()), DataCentre: f.dataCentre(i), Role: vms.RoleEngine, State: vms.Live})
	return nil
}

// storeInitialConfig validates the configuration, fills in its defaults and stores it in the object API.
func (f *Fleet) storeInitialConfig(ctx context.Context) error {
	document, err := yaml.Marshal(f.opt.Config)
	if err != nil {
		return err
	}
	if f.opt.Config, err = config.Parse(document); err != nil {
		return err
	}
	return f.Platform.createConfig(ctx, document)
}

// ApplyConfig replaces the configuration, as "cassiawall apply" does, and returns its new version.
func (f *Fleet) ApplyConfig(ctx context.Context, c *config.Config) (uint64, error) {
	document, err := yaml.Marshal(c)
	if err != nil {
		return 0, err
	}
	current, err := f.Platform.Objects.Get(ctx, configObjectName)
	if err != nil {
		return 0, err
	}
	return configwatch.Apply(ctx, f.Platform.Objects, document, current.Version)
}

func (f *Fleet) dataCentre(i int) string { return f.opt.DataCentres[i%len(f.opt.DataCentres)] }

func (f *Fleet) nodeSettings(i int) *settings.Settings {
	listener := settings.Listener{Address: loopback}
	s := &settings.Settings{
		Name: fmt.Sprintf("node-%d", i+1), DataCentre: f.dataCentre(i), Region: "local",
		Callers: listener, Peers: listener, Operators: listener, Gossip: settings.Gossip{Address: loopback},
		DrainBound: config.Duration(cmp.Or(f.opt.DrainBound, defaultDrainBound)), DrainNotice: config.Duration(cmp.Or(f.opt.DrainNotice, defaultDrainNotice)),
		Platform: settings.Platform{Objects: f.Platform.objectsURL, VMs: f.Platform.vmsURL, Weights: f.Platform.weightsURL},
		Engines:  settings.Engines{VMRole: vms.RoleEngine},
	}
	return s
}

func (f *Fleet) startNode(m *member) error {
	n, err := node.New(node.Options{Settings: m.settings, PeerKeys: f.keys, Logger: f.opt.Logger, Policy: f.opt.Policy, Inflight: f.inflight})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.keepAddresses(n)
	f.mu.Lock()
	m.node, m.cancel, m.done = n, cancel, make(chan error, 1)
	f.mu.Unlock()
	go func() { m.done <- n.Run(ctx) }()
	return nil
}

// keepAddresses stores the bound addresses in the settings, so that the node binds the same addresses
// after a restart, as on a VM.
func (m *member) keepAddresses(n *node.Node) {
	a := n.Addresses()
	m.settings.Callers.Address, m.settings.Peers.Address, m.settings.Operators.Address = a.Callers, a.Peers, a.Operators
	m.settings.Gossip.Address = a.Gossip
}

// Restart stops a node without draining it, as a crash does, and starts it again on the same addresses.
// It waits until the node is ready or ctx ends.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	m := f.members[i]
	m.cancel()
	if err := <-m.done; err != nil {
		return err
	}
	if err := f.startNode(m); err != nil {
		return err
	}
	return f.waitNode(ctx, m)
}

// RestartGracefully drains a node, as a planned replacement of its VM does, and starts it again on the
// same addresses. It waits until the node is ready or ctx ends.
func (f *Fleet) RestartGracefully(ctx context.Context, i int) error {
	m := f.members[i]
	m.node.Shutdown()
	if err := <-m.done; err != nil {
		return err
	}
	if err := f.startNode(m); err != nil {
		return err
	}
	return f.waitNode(ctx, m)
}

// SetObjectsDown starts or ends an outage of the object API.
func (f *Fleet) SetObjectsDown(down bool) { f.Platform.SetObjectsDown(down) }

// readyPollInterval is the interval at which waitNode checks whether a node is ready.
const readyPollInterval = 5 * time.Millisecond

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, m := range f.members {
		if err := f.waitNode(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitNode(ctx context.Context, m *member) error {
	for !m.node.Ready() {
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Internal, "node %s did not become ready", m.settings.Name)
		case err := <-m.done:
			return fault.Wrap(err, fault.Internal, "node %s stopped before it was ready", m.settings.Name)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Nodes returns the running nodes.
func (f *Fleet) Nodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := make([]*node.Node, len(f.members))
	for i, m := range f.members {
		nodes[i] = m.node
	}
	return nodes
}

// Close stops the nodes and the stand-ins.
func (f *Fleet) Close() error {
	var errs []error
	for _, m := range f.members {
		if m.cancel != nil {
			m.cancel()
			errs = append(errs, <-m.done)
		}
	}
	for _, e := range f.Engines {
		errs = append(errs, e.Close())
	}
	if f.Platform != nil {
		errs = append(errs, f.Platform.close())
	}
	return errors.Join(errs...)
}
