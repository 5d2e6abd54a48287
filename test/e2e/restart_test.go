package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/localfleet"
	"cassiawall.example/cassiawall/pkg/node"
	messages "cassiawall.example/cassiawall/pkg/openai"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	"cassiawall.example/cassiawall/pkg/vms"
)

// loadGenerator runs clients that send chats to the ready nodes in turn, as a load balancer does, until stopped.
type loadGenerator struct {
	fleet     *localfleet.Fleet
	pickCount atomic.Int64
	done      sync.WaitGroup
	mu        sync.Mutex
	complete  int
	failed    []loadgen.Result
	stopped   atomic.Bool
}

func startLoad(ctx context.Context, f *localfleet.Fleet, n int) *loadGenerator {
	g := &loadGenerator{fleet: f}
	for i := range n {
		g.done.Go(func() { g.runClient(ctx, i) })
	}
	return g
}

func (g *loadGenerator) runClient(ctx context.Context, client int) {
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	for i := 0; !g.stopped.Load(); i++ {
		chat := &loadgen.Chat{APIKey: apiKey, Model: model, MaxTokens: 24, Seed: int64(i), Messages: []messages.Message{
			{Role: "system", Content: messages.Content(strings.Repeat("school ", 100))},
			{Role: "user", Content: messages.Content(fmt.Sprint("slot ", client, i))}}}
		want := enginestandin.Completion(messages.ChatText(chat.Messages), chat.Seed, chat.MaxTokens)
		target := loadgen.Client{BaseURL: g.pickNode(), HTTP: httpClient}
		result := target.Stream(ctx, chat)
		g.record(result, result.Complete && result.Text == want)
	}
}

// pickNode returns the URL of the next ready node. It waits while no node is ready.
func (g *loadGenerator) pickNode() string {
	for {
		nodes := g.fleet.Nodes()
		n := nodes[int(g.pickCount.Add(1))%len(nodes)]
		if n.Ready() {
			return n.CallersURL()
		}
	}
}

func (g *loadGenerator) record(r loadgen.Result, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if complete {
		g.complete++
		return
	}
	g.failed = append(g.failed, r)
}

// stop stops the clients, waits for them and checks that every response was complete and correct.
func (g *loadGenerator) stop(t testing.TB) {
	t.Helper()
	g.stopped.Store(true)
	g.done.Wait()
	assert.Empty(t, g.failed)
	assert.Positive(t, g.complete)
}

// Guards against a rolling restart that cuts or refuses requests.
func TestRollingRestartCutsNoRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4, 3)
	load := startLoad(t.Context(), f, 8)
	for i := range f.Nodes() {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		require.NoError(t, f.RestartGracefully(ctx, i))
		cancel()
	}
	load.stop(t)
}

// Guards against a node that restarts with an older configuration, or with none, because the object API is down.
func TestRestartDuringOutageKeepsConfiguration(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 2)
	version := configVersion(t, f, 0)
	f.SetObjectsDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, f.Restart(ctx, 1))
	assert.Equal(t, version, configVersion(t, f, 1))
	params, want := chatParams("slot")
	c := newClient(f.Nodes()[1])
	got, err := c.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	assert.Equal(t, want, got.Choices[0].Message.Content)
}

func configVersion(t *testing.T, f *localfleet.Fleet, node int) uint64 {
	t.Helper()
	e, ok := f.Nodes()[node].Board().Config.Get(blackboard.ConfigKey)
	require.True(t, ok)
	return e.Value.Version
}

// Guards against a new configuration that some nodes never apply.
func TestNewConfigurationReachesAllNodes(t *testing.T) {
	f := startFleet(t, 5, 1)
	c := fleetConfig()
	c.Workspaces[0].Limits.RequestsPerSecond = 1000
	version, err := f.ApplyConfig(t.Context(), c)
	require.NoError(t, err)
	for i := range f.Nodes() {
		require.Eventually(t, func() bool { return configVersion(t, f, i) >= version }, testTimeout, pollInterval)
	}
}

// Guards against new requests to an engine whose VM is leaving.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	f := startFleet(t, 2, 2)
	leaving := f.Engines[0]
	require.True(t, f.Platform.VMs.SetState(leaving.ID(), vms.Leaving))
	for _, n := range f.Nodes() {
		require.Eventually(t, func() bool { e, _ := n.Board().Engines.Get(leaving.ID()); return e.Value.Leaving }, testTimeout, pollInterval)
	}
	before := leaving.Counters().Requests
	load := startLoad(t.Context(), f, 4)
	require.Eventually(t, func() bool { load.mu.Lock(); defer load.mu.Unlock(); return load.complete > 20 }, testTimeout, pollInterval)
	load.stop(t)
	assert.Equal(t, before, leaving.Counters().Requests)
}

// Guards against a concurrency limit that each node grants in full. Two nodes start with half of the limit each.
// Until both have received their first shares, one can have the whole limit while the other still has half of it,
// but both never grant all of it. Package limits tests the tolerance of 5% in the steady state.
func TestConcurrencyLimitIsShared(t *testing.T) {
	const limit, nodes, requests = 4, 2, 24
	c := fleetConfig()
	c.Workspaces[0].Limits.Concurrency = limit
	f := startFleetWith(t, c, nodes, 1)
	for _, n := range f.Nodes() {
		require.Eventually(t, func() bool { return gauge(t, n, "limits_live_nodes") == nodes }, testTimeout, pollInterval)
	}
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 1000})
	const wantRefused = requests - limit - limit/nodes
	refused := 0
	var calls sync.WaitGroup
	var mu sync.Mutex
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for i := range requests {
		calls.Go(func() {
			client := loadgen.Client{BaseURL: f.Nodes()[i%nodes].CallersURL(), HTTP: http.DefaultClient}
			r := client.Stream(ctx, &loadgen.Chat{APIKey: apiKey, Model: model, MaxTokens: 8, Messages: []messages.Message{{Role: "user", Content: "slot"}}})
			mu.Lock()
			defer mu.Unlock()
			if r.Kind == fault.RateLimited {
				refused++
			}
			if refused >= wantRefused {
				cancel()
			}
		})
	}
	calls.Wait()
	assert.GreaterOrEqual(t, refused, wantRefused)
}

// gauge returns the value of a gauge from a node's metrics endpoint.
func gauge(t *testing.T, n *node.Node, name string) float64 {
	t.Helper()
	response, err := http.Get(n.OperatorsURL() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "cassiawall_"+name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			require.NoError(t, err)
			return value
		}
	}
	t.Fatalf("metric cassiawall_%s is missing", name)
	return 0
}

// Guards against a restarted node that becomes ready without the locations of cached prefixes and routes requests
// to engines without them. It has served no requests itself, so it must load the locations from its peers.
func TestRestartedNodeLoadsCachedPrefixes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 2)
	for i := range 4 {
		params, _ := chatParams(fmt.Sprint("slot ", i))
		c := newClient(f.Nodes()[0])
		_, err := c.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
	}
	require.Zero(t, gauge(t, f.Nodes()[1], "soft_prefixes"))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, f.Restart(ctx, 1))
	assert.Positive(t, gauge(t, f.Nodes()[1], "soft_prefixes"))
}
