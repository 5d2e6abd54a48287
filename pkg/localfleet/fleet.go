// Package localfleet runs nodes and stand-ins of the platform in one process on loopback. The
// demo, the bench and the end-to-end tests use it.
package localfleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/node"
	"cassiawall.example/cassiawall/pkg/routing"
	"cassiawall.example/cassiawall/pkg/settings"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Options describes a fleet.
type Options struct {
	// Nodes is the number of cassiawall nodes.
	Nodes int
	// DataCentres are assigned to nodes and engines in turn.
	DataCentres []string
	// Engines are the stand-in engines to start.
	Engines []enginestandin.Config
	// Config is the configuration to apply at start.
	Config *config.Config
	// Policy names a baseline policy; empty means the system's own placement.
	Policy string
	Logger *slog.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	Engines []*enginestandin.Engine
	opt     Options
	keys    [][]byte
	flights *routing.Inflight

	mu      sync.Mutex
	members []*member
}

// member is one node and what is needed to restart it.
type member struct {
	settings *settings.Settings
	node     *node.Node
	cancel   context.CancelFunc
	done     chan error
}

const loopback = "127.0.0.1:0"

// drainBound is the drain bound of local nodes; their streams last seconds.
const drainBound = 20 * time.Second

// Start starts the stand-ins and the nodes and waits until the nodes are ready or ctx ends.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	f := &Fleet{opt: opt, flights: routing.NewInflight(), keys: [][]byte{make([]byte, settings.MinPeerKeyBytes)}}
	// rand.Read never fails on the supported platforms.
	_, _ = rand.Read(f.keys[0])
	for _, c := range opt.Engines {
		e := enginestandin.New(c)
		f.Engines = append(f.Engines, e)
		if err := e.Start(); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	for i := range opt.Nodes {
		m := &member{settings: f.nodeSettings(i)}
		f.members = append(f.members, m)
		if err := f.startNode(m); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, f.waitReady(ctx)
}

func (f *Fleet) dataCentre(i int) string { return f.opt.DataCentres[i%len(f.opt.DataCentres)] }

func (f *Fleet) nodeSettings(i int) *settings.Settings {
	listener := settings.Listener{Address: loopback}
	s := &settings.Settings{
		Name: fmt.Sprintf("node-%d", i+1), DataCentre: f.dataCentre(i), Region: "local",
		Callers: listener, Peers: listener, Operators: listener, Gossip: settings.Gossip{Address: loopback},
		DrainBound: config.Duration(drainBound),
	}
	for j, e := range f.Engines {
		s.Engines.Static = append(s.Engines.Static, settings.StaticEngine{ID: e.ID(), Address: e.URL()[len("http://"):], DataCentre: f.dataCentre(j)})
	}
	return s
}

func (f *Fleet) startNode(m *member) error {
	n, err := node.New(node.Options{Settings: m.settings, PeerKeys: f.keys, Logger: f.opt.Logger, Policy: f.opt.Policy, Inflight: f.flights})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	m.node, m.cancel, m.done = n, cancel, make(chan error, 1)
	f.mu.Unlock()
	n.Board().Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: f.opt.Config}, blackboard.Evidence{})
	n.Board().Members.Put(m.settings.Name, blackboard.MemberEntry{Name: m.settings.Name, DataCentre: m.settings.DataCentre,
		Region: m.settings.Region, State: blackboard.MemberAlive}, blackboard.Evidence{})
	go func() { m.done <- n.Run(ctx) }()
	return nil
}

// readyPoll is the interval at which waiting calls look again.
const readyPoll = 5 * time.Millisecond

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
			return fault.Wrap(err, fault.Internal, "node %s stopped while starting", m.settings.Name)
		case <-time.After(readyPoll):
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
	return errors.Join(errs...)
}
