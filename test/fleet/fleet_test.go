// Package fleet tests several nodes of the platform's program together, in one process and on loopback addresses, against
// the stand-ins of the platform.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/node"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/platform"
	"cassiawall.example/cassiawall/platform/standin"
)

// startTimeout is the time within which all nodes must be ready.
const startTimeout = 15 * time.Second

// fleet is a store, engines and nodes.
type fleet struct {
	t *testing.T
	// host is the fleet's IP address, and port the last one in use.
	host    string
	port    int
	store   *standin.Store
	journal *standin.Journal
	engines []*standin.Engine
	// clientAddresses are those at which the nodes accept requests.
	clientAddresses []string
	// peerAddresses are those at which the nodes exchange messages with each other.
	peerAddresses []string
	client        *http.Client
	logs          *logBuffer
	// quotas is set if the deployment has quotas of workspaces.
	quotas bool
	// listen replaces the listener of a server, unless it is nil.
	listen func(net.Listener) net.Listener
	// cancels stop the nodes, which then send their results to ended.
	cancels []context.CancelFunc
	ended   []chan error
}

// logBuffer collects the log lines of all nodes.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the lines so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startFleet starts a fleet whose backend servers start adds, and waits until its nodes are ready. It ends with the test. The
// log lines of a failed test are written to its output.
func startFleet(t *testing.T, nodes int, start func(f *fleet)) *fleet {
	t.Helper()
	pid := os.Getpid()
	f := &fleet{
		t: t, host: fmt.Sprintf("127.%d.%d.%d", 128+fleetCount.Add(1)%64, pid>>8&255, 1+pid%254), port: 7000,
		store: standin.NewStore(), journal: standin.NewJournal(), logs: &logBuffer{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	storeServer := httptest.NewServer(f.store)
	t.Cleanup(storeServer.CloseClientConnections)
	standin.Configure(f.store, standin.Config{Version: 1, Timeout: 4 * time.Second, Tenants: []standin.Tenant{{Name: "north", Key: "key-north"}}})
	standin.SetDesiredVersion(f.store, 1)
	start(f)
	settings := make([]standin.NodeSettings, nodes)
	var seeds []string
	for i := range settings {
		settings[i] = standin.NodeSettings{
			Name: fmt.Sprintf("node-%d", i), IP: f.host, ClientAddress: f.nextAddress(), ReadyAddress: f.nextAddress(), PeerAddress: f.nextAddress(),
			StoreAddress: strings.TrimPrefix(storeServer.URL, "http://"), Quotas: f.quotas,
		}
		seeds = append(seeds, settings[i].PeerAddress)
	}
	t.Cleanup(f.stop)
	for _, s := range settings {
		s.Seeds = seeds
		f.startNode(s)
	}
	for _, s := range settings {
		require.Eventually(t, func() bool { return standin.IsReady(t.Context(), f.client, s.ReadyAddress) }, startTimeout, 20*time.Millisecond)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logs.String())
		}
	})
	return f
}

// waitForServers waits until all nodes serve a request. A node is ready once it has a configuration, and may not know the
// backend servers then.
func (f *fleet) waitForServers(nodes int) {
	f.t.Helper()
	for node := range nodes {
		tries := 0
		require.Eventually(f.t, func() bool {
			tries++
			return f.send(node, standin.Safe, fmt.Sprintf("%s-first-%d-%d", f.t.Name(), node, tries)).Status == http.StatusOK
		}, startTimeout, 20*time.Millisecond)
	}
}

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Int32

// nextAddress returns an unused address on the fleet's own loopback IP address. Its port is below the range that the system
// uses for outgoing connections, so no connection can occupy it.
func (f *fleet) nextAddress() string {
	f.port++
	return fmt.Sprintf("%s:%d", f.host, f.port)
}

// addEngines starts engines that serve standin.Model.
func (f *fleet) addEngines(n int) { f.addBackends(n, standin.EngineService, standin.Model) }

// addPlain starts backend servers of the plain service.
func (f *fleet) addPlain(n int) { f.addBackends(n, standin.PlainService, "") }

func (f *fleet) addBackends(n int, service, model string) {
	for range n {
		f.addBackend(service, model)
	}
}

func (f *fleet) addBackend(service, model string) *standin.Engine {
	var config net.ListenConfig
	// Sockets of Multipath TCP take no filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(f.t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(f.t, err)
	if f.listen != nil {
		l = f.listen(l)
	}
	e := standin.StartEngine(standin.EngineOptions{
		ID: fmt.Sprintf("engine-%d", len(f.engines)), Service: service, Model: model, Version: 1, Store: f.store, Journal: f.journal, Listener: l,
	})
	f.t.Cleanup(e.Crash)
	f.engines = append(f.engines, e)
	return e
}

// startNode starts a node.
func (f *fleet) startNode(s standin.NodeSettings) {
	path := filepath.Join(f.t.TempDir(), "settings")
	_, err := standin.WriteSettings(path, s)
	require.NoError(f.t, err)
	settings, err := platform.LoadSettings(path)
	require.NoError(f.t, err)
	registry := metrics.New()
	n := node.New(node.Options{
		Settings: settings, Protocol: platform.Headers{}, Store: platform.NewStore(settings.StoreAddress, func(string, time.Duration, error) {}),
		Kinds:   node.Kinds{Config: platform.KindConfig, Backends: platform.KindServers, Versions: platform.KindVersions},
		Decoder: platform.Decoder{}, Engines: platform.NewEngines(), CacheStore: platform.NewCacheStore(), ReadyPath: platform.ReadyPath,
		Logger: slog.New(slog.NewTextHandler(f.logs, nil)).With("node", s.Name), Metrics: registry,
	})
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(stop) }()
	f.clientAddresses, f.peerAddresses = append(f.clientAddresses, s.ClientAddress), append(f.peerAddresses, s.PeerAddress)
	f.cancels, f.ended = append(f.cancels, cancel), append(f.ended, ended)
}

// stop stops all nodes at the same time.
func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	for _, ended := range f.ended {
		assert.NoError(f.t, <-ended)
	}
}

// send sends one request with its ID to a node.
func (f *fleet) send(node int, kind standin.Kind, id string) standin.Response {
	return standin.Send(context.Background(), f.client, f.clientAddresses[node], standin.Request{ID: id, Kind: kind, Key: "key-north", Deadline: 3 * time.Second})
}
