package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// fakeNetwork delivers messages between the transports of one test by address. Messages to an unknown
// address or a full inbox are lost.
type fakeNetwork struct {
	mu      sync.Mutex
	inboxes map[string]chan packet
	bytes   int
}

type packet struct {
	from string
	// data is the encoded message, or nil for a message that no handler expects.
	data []byte
}

// sentBytes returns the bytes sent so far, lost messages included.
func (n *fakeNetwork) sentBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

type fakeTransport struct {
	network *fakeNetwork
	address string
	inbox   chan packet
}

func (n *fakeNetwork) newTransport(address string) *fakeTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	transport := &fakeTransport{network: n, address: address, inbox: make(chan packet, 1000)}
	n.inboxes[address] = transport.inbox
	return transport
}

func (t *fakeTransport) Address() string { return t.address }

func (t *fakeTransport) Send(address string, message *peerpb.Gossip) error {
	data, err := proto.Marshal(message)
	if err != nil || len(data) > peer.MaxMessageBytes {
		panic(fmt.Sprintf("message of %d bytes: %v", len(data), err))
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.network.bytes += len(data)
	if inbox, ok := t.network.inboxes[address]; ok {
		select {
		case inbox <- packet{t.address, data}:
		default:
		}
	}
	return nil
}

func (t *fakeTransport) Run(ctx context.Context, handle func(string, *peerpb.Gossip)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-t.inbox:
			if in.data == nil {
				handle(in.from, nil)
				continue
			}
			var message peerpb.Gossip
			if err := proto.Unmarshal(in.data, &message); err != nil {
				return err
			}
			handle(in.from, &message)
		}
	}
}

type testNode struct {
	*Controller
	board  *blackboard.Board
	cancel context.CancelFunc
}

// startNodes runs count nodes, half of them in each of two data centres of one region.
func startNodes(t *testing.T, count int) (*fakeNetwork, []*testNode) {
	network := &fakeNetwork{inboxes: map[string]chan packet{}}
	nodes := make([]*testNode, count)
	for i := range nodes {
		ctx, cancel := context.WithCancel(t.Context())
		n := &testNode{board: blackboard.New(), cancel: cancel}
		n.Controller = New(Options{
			Name: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i%2), Region: "r", RPCAddress: fmt.Sprint("rpc", i),
			Transport: network.newTransport(fmt.Sprint("g", i)), Board: n.board, Logger: slog.New(slog.DiscardHandler),
			Seeds: func() []string { return []string{"g0"} }, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		go func() { _ = n.Run(ctx) }()
		nodes[i] = n
	}
	return network, nodes
}

func stopNodes(nodes []*testNode) {
	for _, n := range nodes {
		n.cancel()
	}
	synctest.Wait()
}

func countLive(n *testNode) int {
	count := 0
	for _, m := range n.board.Members.Snapshot() {
		if m.Value.State == blackboard.MemberAlive {
			count++
		}
	}
	return count
}

// Guards against blackboards that lack a member, or do not show that a member left, is draining or has
// a newer configuration version.
func TestMembersReachEveryBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 12)
		defer stopNodes(nodes)
		time.Sleep(30 * time.Second)
		for i, n := range nodes {
			assert.Equal(t, 12, countLive(n), "node %d", i)
		}
		nodes[3].board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 7}, blackboard.Evidence{})
		nodes[4].SetDraining(t.Context(), true)
		nodes[5].Leave(t.Context())
		nodes[5].cancel()
		time.Sleep(20 * time.Second)
		for i, n := range nodes {
			if i == 5 {
				continue
			}
			get := func(name string) blackboard.MemberEntry {
				e, _ := n.board.Members.Get(name)
				return e.Value
			}
			assert.True(t, get("n4").Draining, "node %d", i)
			assert.Equal(t, blackboard.MemberLeft, get("n5").State, "node %d", i)
			assert.Equal(t, "rpc6", get("n6").RPCAddress)
			assert.EqualValues(t, 7, get("n3").ConfigVersion, "node %d", i)
		}
	})
}

// Guards against a starting node that reads the VM list after its first tick and then probes the seeds only
// more than a second later. It would be ready without its peers' state.
func TestLateSeedsAreProbedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := startNodes(t, 3)
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		const listDelay, limit = 150 * time.Millisecond, 500 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		late := &testNode{board: blackboard.New(), cancel: cancel}
		late.Controller = New(Options{
			Name: "late", DataCentre: "dc0", Region: "r", RPCAddress: "rpc", Transport: network.newTransport("late"), Board: late.board,
			Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(9, 1)),
			Seeds: func() []string {
				if time.Since(startedAt) < listDelay {
					return nil
				}
				return []string{"late", "g0"}
			},
		})
		go func() { _ = late.Run(ctx) }()
		defer stopNodes([]*testNode{late})
		time.Sleep(limit)
		assert.GreaterOrEqual(t, countLive(late), 2)
	})
}

func summaryEntry(owner string, running int) blackboard.SummaryEntry {
	return blackboard.SummaryEntry{
		Owner: owner, Incarnation: "i1", Model: "m", WeightsVersion: "w1", Running: running,
		PrefillRate: 9000, StepTime: 20 * time.Millisecond, Version: uint64(time.Now().UnixMicro()),
	}
}

// Guards against engines that are missing on other nodes, against loads that are not updated, and
// against a load form, which has no identity, that clears the identity of the engine.
func TestSummariesReachEveryBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 10)
		defer stopNodes(nodes)
		time.Sleep(30 * time.Second)
		for load := range 40 {
			nodes[2].board.Summaries.Put("e1", summaryEntry("n2", load), blackboard.Evidence{Writer: "owner/n2", ObservedAt: time.Now()})
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		for i, n := range nodes {
			e, ok := n.board.Summaries.Get("e1")
			require.True(t, ok, "node %d", i)
			assert.Equal(t, "i1", e.Value.Incarnation)
			assert.Equal(t, "m", e.Value.Model)
			assert.GreaterOrEqual(t, e.Value.Running, 35, "node %d", i)
		}
	})
}

// Guards against summaries that exceed summaryBytesPerSecond when the loads of many engines change
// all the time.
func TestSummaryTrafficStaysWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := startNodes(t, 10)
		defer stopNodes(nodes)
		time.Sleep(30 * time.Second)
		idleBytes := network.sentBytes()
		time.Sleep(30 * time.Second)
		idleBytes = network.sentBytes() - idleBytes
		before := network.sentBytes()
		// Two intervals of full summaries of 200 engines take 216 s.
		for load := range 900 {
			for e := range 200 {
				owner := e % len(nodes)
				entry := summaryEntry(fmt.Sprint("n", owner), load*e%17)
				nodes[owner].board.Summaries.Put(fmt.Sprint("engine-", e), entry, blackboard.Evidence{})
			}
			time.Sleep(250 * time.Millisecond)
		}
		perNode := (float64(network.sentBytes()-before)/225 - float64(idleBytes)/30) / float64(len(nodes))
		assert.LessOrEqual(t, perNode, 1.05*summaryBytesPerSecond)
		for i, n := range nodes {
			assert.Equal(t, 200, n.board.Summaries.Len(), "node %d", i)
		}
	})
}

// Guards against demand reports without a reply, shares whose sum differs from the limit, and shares
// that do not follow the demand.
func TestDemandReportsReceiveShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 8)
		defer stopNodes(nodes)
		parsed := &config.Config{Workspaces: []config.Workspace{{Name: "w", Limits: config.Limits{RequestsPerSecond: 100, Concurrency: 40}}}}
		for _, n := range nodes {
			n.board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: parsed}, blackboard.Evidence{})
		}
		time.Sleep(30 * time.Second)
		for range 40 {
			for i, n := range nodes {
				rate := float64(10 * (i + 1))
				share, _ := n.board.Shares.Get("w")
				n.board.Demands.Put(blackboard.DemandKey{Node: n.options.Name, Workspace: "w"}, blackboard.DemandEntry{
					RequestsPerSecond: rate, AdmittedRequests: min(rate, share.Value.RequestsPerSecond), DesiredConcurrency: 10 * (i + 1),
				}, blackboard.Evidence{})
			}
			time.Sleep(time.Second)
		}
		requests, concurrency := 0.0, 0
		for i, n := range nodes {
			share, ok := n.board.Shares.Get("w")
			require.True(t, ok, "node %d", i)
			requests += share.Value.RequestsPerSecond
			concurrency += share.Value.Concurrency
		}
		assert.InDelta(t, 100, requests, 5)
		assert.InDelta(t, 40, concurrency, 2)
		first, _ := nodes[0].board.Shares.Get("w")
		last, _ := nodes[7].board.Shares.Get("w")
		assert.Greater(t, last.Value.RequestsPerSecond, 5*first.Value.RequestsPerSecond)
	})
}

// Guards against a share that a paused node uses as if it were new: it waited in the socket, and the allocator has given
// the share to others meanwhile.
func TestShareCountsFromItsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := startNodes(t, 2)
		node, allocator := nodes[0], nodes[1]
		time.Sleep(10 * time.Second)
		require.Equal(t, 2, countLive(node))
		workspace := "w"
		for rendezvous.Best(workspace, []string{"n0", "n1"}) != "n1" {
			workspace += "w"
		}
		parsed := &config.Config{Workspaces: []config.Workspace{{Name: workspace, Limits: config.Limits{Concurrency: 40}}}}
		allocator.board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: parsed}, blackboard.Evidence{})
		stopNodes(nodes)
		// next returns the next message of a kind that has arrived at an address.
		next := func(address string, kind peerpb.Gossip_Kind) *peerpb.Gossip {
			for {
				var message peerpb.Gossip
				require.NoError(t, proto.Unmarshal((<-network.inboxes[address]).data, &message))
				if message.Kind == kind {
					return &message
				}
			}
		}
		exchange := func() *peerpb.Gossip {
			node.board.Demands.Put(blackboard.DemandKey{Node: "n0", Workspace: workspace}, blackboard.DemandEntry{DesiredConcurrency: 3}, blackboard.Evidence{})
			node.sendDemands(time.Now())
			allocator.receive(t.Context(), "g0", next("g1", peerpb.Gossip_DEMAND))
			return next("g0", peerpb.Gossip_SHARES)
		}
		observedAt := func() time.Time {
			share, _ := node.board.Shares.Get(workspace)
			return share.Evidence.ObservedAt
		}
		sentAt := time.Now()
		early := exchange()
		time.Sleep(2 * time.Second)
		late := exchange()
		node.receive(t.Context(), "g1", early)
		assert.Equal(t, sentAt, observedAt())
		node.receive(t.Context(), "g1", late)
		assert.Equal(t, time.Now(), observedAt())
		node.receive(t.Context(), "g1", early)
		assert.Equal(t, time.Now(), observedAt(), "an earlier share does not replace a later one")
		time.Sleep(limits.ShareTTL)
		node.board.Shares.Delete(workspace)
		node.receive(t.Context(), "g1", late)
		assert.Zero(t, observedAt(), "the share has expired")
		earlierVersion := exchange()
		earlierVersion.Sequence = 1 << 40
		node.receive(t.Context(), "g1", earlierVersion)
		assert.Equal(t, time.Now(), observedAt())
	})
}

// Guards against a restarted node without seeds that does not contact the members from its bootstrap
// reply and so stays alone.
func TestBootstrapMembersAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 3)
		defer stopNodes(nodes)
		time.Sleep(20 * time.Second)
		reply := peer.Bootstrap(nodes[0].board, nil)
		board := blackboard.New()
		stale, err := peer.ImportBootstrap(board, reply, "n0", time.Now())
		require.NoError(t, err)
		assert.False(t, stale)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		joiner := &testNode{board: board, cancel: cancel}
		joiner.Controller = New(Options{
			Name: "joiner", DataCentre: "dc0", Region: "r", Transport: nodes[0].options.Transport.(*fakeTransport).network.newTransport("gj"),
			Board: board, Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(9, 9)),
		})
		go func() { _ = joiner.Run(ctx) }()
		time.Sleep(20 * time.Second)
		assert.Equal(t, 4, countLive(joiner))
		assert.Equal(t, 4, countLive(nodes[2]))
		cancel()
	})
}

// Guards against a node that ends because one message makes the handling of it panic.
func TestPanicOverAMessageSkipsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := startNodes(t, 3)
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		network.inboxes["g1"] <- packet{from: "g0"}
		nodes[2].board.Summaries.Put("e1", summaryEntry("n2", 1), blackboard.Evidence{Writer: "owner/n2", ObservedAt: time.Now()})
		time.Sleep(10 * time.Second)
		_, known := nodes[1].board.Summaries.Get("e1")
		assert.True(t, known)
		assert.EqualValues(t, 1, nodes[1].options.Metrics.Counter("task_panics", "task", "gossip message").Count())
	})
}
