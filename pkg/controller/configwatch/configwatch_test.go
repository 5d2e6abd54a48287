package configwatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	standin "cassiawall.example/cassiawall/pkg/standin/objects"
	"cassiawall.example/cassiawall/pkg/wait"
)

// document returns a valid configuration with one workspace for each name.
func document(names ...string) []byte {
	var b strings.Builder
	b.WriteString("models:\n  - {name: m, weights_version: v1}\nworkspaces:\n")
	for i, name := range names {
		fmt.Fprintf(&b, "  - name: %s\n    api_key_hashes: [%064x]\n    models: [m]\n", name, i+1)
	}
	return []byte(b.String())
}

// cluster runs one controller per node. Once a second it copies the version in force of each node to
// the member lists of all nodes.
type cluster struct {
	t      *testing.T
	mu     sync.Mutex
	store  *standin.Store
	boards map[string]*blackboard.Board
	nodes  map[string]*Controller
	cancel map[string]context.CancelFunc
	// unresponsive holds the nodes whose RPC calls fail.
	unresponsive map[string]bool
}

// clusterPeer is the RPC client of one node, served from the node's board without a network.
type clusterPeer struct {
	peerpb.Peer
	cluster *cluster
	name    string
}

func (p clusterPeer) board() (*blackboard.Board, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	board, ok := p.cluster.boards[p.name]
	if !ok || p.cluster.unresponsive[p.name] {
		return nil, errors.New("connection refused")
	}
	return board, nil
}

func (p clusterPeer) FetchConfig(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	board, err := p.board()
	if err != nil {
		return nil, err
	}
	return peer.FetchConfig(board, r), nil
}

func (p clusterPeer) Bootstrap(_ context.Context, _ *peerpb.BootstrapRequest) (*peerpb.BootstrapReply, error) {
	board, err := p.board()
	if err != nil {
		return nil, err
	}
	return peer.Bootstrap(board, nil), nil
}

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{
		t: t, store: standin.NewStore(1), boards: map[string]*blackboard.Board{},
		nodes: map[string]*Controller{}, cancel: map[string]context.CancelFunc{}, unresponsive: map[string]bool{},
	}
	for i := range count {
		c.start(i)
	}
	go c.exchangeVersions(t.Context())
	return c
}

func (c *cluster) start(i int) {
	ctx, cancel := context.WithCancel(c.t.Context())
	name := fmt.Sprint("n", i)
	board := blackboard.New()
	controller := New(Options{
		Name: name, DataCentre: fmt.Sprint("dc", i%3), Region: "r", Board: board, Store: c.store,
		Peers:  func(address string) peerpb.Peer { return clusterPeer{cluster: c, name: address} },
		Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(uint64(i), 1)),
	})
	c.mu.Lock()
	c.boards[name], c.nodes[name], c.cancel[name] = board, controller, cancel
	c.mu.Unlock()
	go func() { _ = controller.Run(ctx) }()
}

func (c *cluster) exchangeVersions(ctx context.Context) {
	for wait.Pause(ctx, time.Second) {
		c.mu.Lock()
		for _, to := range c.boards {
			for i := range len(c.boards) {
				name := fmt.Sprint("n", i)
				entry, _ := c.boards[name].Config.Get(blackboard.ConfigKey)
				to.Members.Put(name, blackboard.MemberEntry{
					Name: name, RPCAddress: name, DataCentre: fmt.Sprint("dc", i%3), Region: "r",
					State: blackboard.MemberAlive, ConfigVersion: entry.Value.Version,
				}, blackboard.Evidence{})
			}
		}
		c.mu.Unlock()
	}
}

func (c *cluster) stop() {
	for _, cancel := range c.cancel {
		cancel()
	}
}

func (c *cluster) versions() map[uint64]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[uint64]int{}
	for _, controller := range c.nodes {
		counts[controller.version()]++
	}
	return counts
}

func (c *cluster) apply(ifVersion uint64, names ...string) uint64 {
	version, err := Apply(c.t.Context(), c.store, document(names...), ifVersion)
	require.NoError(c.t, err)
	return version
}

// Guards against changes that take longer than 5 s to reach all nodes, and against a rate of object
// API calls that grows with the fleet because more nodes than the chosen watchers call it.
func TestChangeReachesAllNodesWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20)
		defer c.stop()
		first := c.apply(0, "a")
		time.Sleep(10 * time.Second)
		assert.Equal(t, map[uint64]int{first: 20}, c.versions())
		for name, controller := range c.nodes {
			assert.True(t, controller.Ready(), name)
		}
		before := c.store.Counters()
		time.Sleep(10 * time.Minute)
		after := c.store.Counters()
		calls := float64(after.Calls()-before.Calls()) / 600
		t.Logf("%.2f calls/s and %d waiting watches at rest", calls, after.Waiting)
		assert.LessOrEqual(t, calls+float64(after.Waiting), 10.0)
		assert.Equal(t, 3*configsync.WatchersPerDataCentre, after.Waiting)
		second := c.apply(first, "a", "b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, map[uint64]int{second: 20}, c.versions())
	})
}

// Guards against a configuration that is lost or reverted during an outage of the object API, and
// against a node that does not become ready when it restarts during the outage.
func TestObjectAPIOutageKeepsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		defer c.stop()
		version := c.apply(0, "a")
		time.Sleep(10 * time.Second)
		c.store.SetFaults(standin.Faults{Outage: true})
		for i := range 10 {
			c.cancel[fmt.Sprint("n", i)]()
			c.start(i)
			time.Sleep(time.Minute)
			assert.True(t, c.nodes[fmt.Sprint("n", i)].Ready())
		}
		assert.Equal(t, map[uint64]int{version: 12}, c.versions())
		c.store.SetFaults(standin.Faults{})
		next := c.apply(version, "a", "b")
		time.Sleep(maxRetryBackoff + 10*time.Second)
		assert.Equal(t, map[uint64]int{next: 12}, c.versions(), "the watch resumes after the outage")
	})
}

// Guards against a return to an older configuration when a read or a watch of the object API returns
// an older version.
func TestStaleReadsNeverRevertConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stop()
		version := c.apply(0, "a")
		time.Sleep(10 * time.Second)
		c.store.SetFaults(standin.Faults{StaleReadShare: 0.7, StaleWatchShare: 0.7})
		highest := map[string]uint64{}
		for i := range 30 {
			version = c.apply(version, "a", fmt.Sprint("b", i))
			for range 20 {
				time.Sleep(250 * time.Millisecond)
				for name, controller := range c.nodes {
					require.GreaterOrEqual(t, controller.version(), highest[name])
					highest[name] = controller.version()
				}
			}
		}
		controller := c.nodes["n0"]
		controller.applyVersion(t.Context(), version-1, document("a"), "test", "test")
		assert.Equal(t, highest["n0"], controller.version())
		assert.Positive(t, controller.StaleOffers())
		c.store.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, map[uint64]int{version: 6}, c.versions())
	})
}

// Guards against an invalid document that is put into force, and against nodes that fetch it again
// and again.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stop()
		version := c.apply(0, "a")
		time.Sleep(10 * time.Second)
		broken, err := c.store.Put(t.Context(), configsync.CurrentObjectName, []byte("models: 7"), version)
		require.NoError(t, err)
		before := c.store.Counters().Calls()
		time.Sleep(time.Minute)
		assert.Equal(t, map[uint64]int{version: 6}, c.versions())
		assert.Less(t, c.store.Counters().Calls()-before, uint64(30))
		fixed := c.apply(broken, "a", "b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, map[uint64]int{fixed: 6}, c.versions())
	})
}

// Guards against a first node that reports ready without a configuration, and against one that waits
// for peers although none exist.
func TestFirstNodeIsReadyWithTheObjectAPIAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		time.Sleep(10 * time.Second)
		assert.False(t, c.nodes["n0"].Ready(), "no configuration yet")
		c.apply(0, "a")
		time.Sleep(5 * time.Second)
		assert.True(t, c.nodes["n0"].Ready())
	})
}

// Guards against a starting node that serves an older configuration, which the object API returns as a stale
// read, because gossip finds the listed peers only after seconds, as on a machine under load.
func TestListedPeersAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stop()
		first := c.apply(0, "a")
		time.Sleep(10 * time.Second)
		second := c.apply(first, "a", "b")
		time.Sleep(10 * time.Second)
		require.Equal(t, map[uint64]int{second: 3}, c.versions())
		c.store.SetFaults(standin.Faults{StaleReadShare: 1, StaleWatchShare: 1})
		const discoveryDelay = 5 * time.Second
		board := blackboard.New()
		restarted := New(Options{
			Name: "restarted", DataCentre: "dc0", Region: "r", Board: board, Store: c.store, PeersListed: func() bool { return true },
			Peers:  func(address string) peerpb.Peer { return clusterPeer{cluster: c, name: address} },
			Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(9, 1)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = restarted.Run(ctx) }()
		for range discoveryDelay / time.Second {
			time.Sleep(time.Second)
			assert.False(t, restarted.Ready() && restarted.version() < second, "ready with version %d", restarted.version())
		}
		board.Members.Put("n0", blackboard.MemberEntry{Name: "n0", RPCAddress: "n0", DataCentre: "dc0", Region: "r", State: blackboard.MemberAlive}, blackboard.Evidence{})
		time.Sleep(3 * time.Second)
		assert.True(t, restarted.Ready())
		assert.Equal(t, second, restarted.version())
	})
}

// Guards against an operator's change that is silently overwritten by another operator's, when both
// are based on the same version.
func TestApplyConflictListsChanges(t *testing.T) {
	ctx := t.Context()
	store := standin.NewStore(1)
	first, err := Apply(ctx, store, document("a", "b"), 0)
	require.NoError(t, err)
	second, err := Apply(ctx, store, document("a", "c"), first)
	require.NoError(t, err)
	_, err = Apply(ctx, store, document("a", "b"), first)
	require.True(t, fault.Is(err, fault.Conflict))
	var details *ConflictError
	require.ErrorAs(t, err, &details)
	assert.Equal(t, second, details.Current)
	assert.Equal(t, []string{"workspaces added: c", "workspaces removed: b"}, details.Changes)
	_, err = Apply(ctx, store, []byte("models: 7"), second)
	assert.True(t, fault.Is(err, fault.InvalidConfiguration))
}

// manyWorkspaces returns a document with 2,500 workspaces, which is long enough to be stored in parts.
func manyWorkspaces(extra ...string) []byte {
	names := make([]string, 0, 2500)
	for i := range 2500 {
		names = append(names, fmt.Sprintf("workspace-%05d", i))
	}
	return document(append(names, extra...)...)
}

// Guards against a configuration that exceeds the object API's size limit, against parts that are
// never deleted or are deleted while in use, and against small changes that transfer the whole
// document.
func TestLongDocumentIsStoredInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		c := newCluster(t, 6)
		defer c.stop()
		first, err := Apply(ctx, c.store, manyWorkspaces(), 0)
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.Equal(t, map[uint64]int{first: 6}, c.versions())
		before := c.store.Counters()
		second, err := Apply(ctx, c.store, manyWorkspaces("new"), first)
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.Equal(t, map[uint64]int{second: 6}, c.versions())
		for _, board := range c.boards {
			entry, _ := board.Config.Get(blackboard.ConfigKey)
			require.Equal(t, manyWorkspaces("new"), entry.Value.Document)
		}
		after := c.store.Counters()
		assert.LessOrEqual(t, after.Writes()-before.Writes(), uint64(4), "one part, the manifest and the old part")
		assert.LessOrEqual(t, after.Gets-before.Gets, uint64(12))
		_, err = Apply(ctx, c.store, manyWorkspaces("other"), first)
		var details *ConflictError
		require.ErrorAs(t, err, &details)
		assert.Equal(t, []string{"workspaces added: new", "workspaces removed: other"}, details.Changes)
		parts, err := c.store.List(ctx, "config/part/")
		require.NoError(t, err)
		manifest, _ := configsync.NewManifest(manyWorkspaces("new"))
		assert.LessOrEqual(t, len(parts), len(manifest.Parts)+1, "only the rejected Apply leaves an unused part")
		third, err := Apply(ctx, c.store, document("a"), second)
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		assert.Equal(t, map[uint64]int{third: 6}, c.versions())
	})
}

// Guards against a change that is applied twice or reported as failed when the response to its write
// is lost.
func TestApplyWithLostResponse(t *testing.T) {
	ctx := t.Context()
	store := standin.NewStore(1)
	store.SetFaults(standin.Faults{LostResponseShare: 1})
	version, err := Apply(ctx, store, document("a"), 0)
	require.NoError(t, err)
	_, err = Apply(ctx, store, document("b"), version-1)
	assert.True(t, fault.Is(err, fault.Conflict))
	current, err := store.Get(ctx, configsync.CurrentObjectName)
	require.NoError(t, err)
	assert.Equal(t, version, current.Version)
}

// Guards against a version that is reported as in force on all nodes while one does not respond.
func TestWaitEnforcedReturnsLaggingNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9)
		defer c.stop()
		version := c.apply(0, "a")
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		c.unresponsive["n4"] = true
		c.mu.Unlock()
		c.cancel["n4"]()
		version = c.apply(version, "a", "b")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		assert.Equal(t, []string{"n4"}, c.nodes["n1"].WaitEnforced(ctx, version))
		c.mu.Lock()
		delete(c.unresponsive, "n4")
		c.mu.Unlock()
		c.start(4)
		assert.Empty(t, c.nodes["n1"].WaitEnforced(t.Context(), version))
	})
}
