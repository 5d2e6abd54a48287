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

// callers send chats to ready nodes, as a load balancer does, until stopped.
type callers struct {
	fleet   *localfleet.Fleet
	turn    atomic.Int64
	done    sync.WaitGroup
	mu      sync.Mutex
	whole   int
	faulty  []loadgen.Result
	stopped atomic.Bool
}

func startCallers(ctx context.Context, f *localfleet.Fleet, n int) *callers {
	c := &callers{fleet: f}
	for i := range n {
		c.done.Go(func() { c.loop(ctx, i) })
	}
	return c
}

func (c *callers) loop(ctx context.Context, caller int) {
	connections := &http.Client{Transport: &http.Transport{}}
	defer connections.CloseIdleConnections()
	for i := 0; !c.stopped.Load(); i++ {
		chat := &loadgen.Chat{APIKey: apiKey, Model: model, MaxTokens: 24, Seed: int64(i), Messages: []messages.Message{
			{Role: "system", Content: messages.Content(strings.Repeat("school ", 100))},
			{Role: "user", Content: messages.Content(fmt.Sprint("slot ", caller, i))}}}
		want := enginestandin.Completion(messages.ChatText(chat.Messages), chat.Seed, chat.MaxTokens)
		client := loadgen.Client{BaseURL: c.balance(), HTTP: connections}
		result := client.Stream(ctx, chat)
		c.count(result, result.Complete && result.Text == want)
	}
}

// balance picks the next ready node.
func (c *callers) balance() string {
	for {
		nodes := c.fleet.Nodes()
		n := nodes[int(c.turn.Add(1))%len(nodes)]
		if n.Ready() {
			return n.CallersURL()
		}
	}
}

func (c *callers) count(r loadgen.Result, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		c.whole++
		return
	}
	c.faulty = append(c.faulty, r)
}

// stop waits for the callers and checks that every answer was whole.
func (c *callers) stop(t testing.TB) {
	t.Helper()
	c.stopped.Store(true)
	c.done.Wait()
	assert.Empty(t, c.faulty)
	assert.Positive(t, c.whole)
}

// Guards against requests that a rolling restart cuts or refuses.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4, 3)
	load := startCallers(t.Context(), f, 8)
	for i := range f.Nodes() {
		ctx, cancel := context.WithTimeout(t.Context(), giveUp)
		require.NoError(t, f.RestartGracefully(ctx, i))
		cancel()
	}
	load.stop(t)
}

// Guards against a node that comes back with an older configuration, or with none, while the
// object API is down.
func TestRestartDuringOutageKeepsConfiguration(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 2)
	version := configVersion(t, f, 0)
	f.SetObjectsDown(true)
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	require.NoError(t, f.Restart(ctx, 1))
	assert.Equal(t, version, configVersion(t, f, 1))
	params, want := chat("slot")
	c := client(f.Nodes()[1])
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

// Guards against a new configuration that some nodes never enforce.
func TestNewConfigurationReachesAllNodes(t *testing.T) {
	f := startFleet(t, 5, 1)
	c := fleetConfig()
	c.Workspaces[0].Limits.RequestsPerSecond = 1000
	version, err := f.ApplyConfig(t.Context(), c)
	require.NoError(t, err)
	for i := range f.Nodes() {
		require.Eventually(t, func() bool { return configVersion(t, f, i) >= version }, giveUp, poll)
	}
}

// Guards against new work to an engine whose VM leaves.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f := startFleet(t, 2, 2)
	leaving := f.Engines[0]
	require.True(t, f.Platform.VMs.SetState(leaving.ID(), vms.Leaving))
	for _, n := range f.Nodes() {
		require.Eventually(t, func() bool { e, _ := n.Board().Engines.Get(leaving.ID()); return e.Value.Leaving }, giveUp, poll)
	}
	before := leaving.Counters().Requests
	load := startCallers(t.Context(), f, 4)
	require.Eventually(t, func() bool { load.mu.Lock(); defer load.mu.Unlock(); return load.whole > 20 }, giveUp, poll)
	load.stop(t)
	assert.Equal(t, before, leaving.Counters().Requests)
}

// Guards against a limit that each node grants in full. The nodes start with half of the limit each;
// while the first shares are on their way, one of them can hold the whole limit and the other still
// half of it, but never do both grant all of it. Package limits tests the 5% of the steady state.
func TestConcurrencyLimitIsShared(t *testing.T) {
	const limit, nodes, requests = 4, 2, 24
	c := fleetConfig()
	c.Workspaces[0].Limits.Concurrency = limit
	f := startFleetWith(t, c, nodes, 1)
	for _, n := range f.Nodes() {
		require.Eventually(t, func() bool { return gauge(t, n, "limits_live_nodes") == nodes }, giveUp, poll)
	}
	f.Engines[0].SetFaults(enginestandin.Faults{SlowFactor: 1000})
	const wantRefused = requests - limit - limit/nodes
	refused := 0
	var calls sync.WaitGroup
	var mu sync.Mutex
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
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

// gauge reads a gauge from a node's metrics.
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
	t.Fatalf("the metrics have no %s", name)
	return 0
}

// Guards against a cold start: a restarted node that has served nothing must know from its peers,
// before it is ready, where prefixes are cached.
func TestRestartedNodeKnowsPrefixes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 2)
	for i := range 4 {
		params, _ := chat(fmt.Sprint("slot ", i))
		c := client(f.Nodes()[0])
		_, err := c.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
	}
	require.Zero(t, gauge(t, f.Nodes()[1], "soft_prefixes"))
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	require.NoError(t, f.Restart(ctx, 1))
	assert.Positive(t, gauge(t, f.Nodes()[1], "soft_prefixes"))
}
