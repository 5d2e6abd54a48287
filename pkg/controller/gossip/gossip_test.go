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
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// wire connects the transports of one test by address.
type wire struct {
	mu    sync.Mutex
	ports map[string]chan packet
	bytes int
}

type packet struct {
	from string
	data []byte
}

// sent returns the bytes sent so far.
func (w *wire) sent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

type port struct {
	wire    *wire
	address string
	inbox   chan packet
}

func (w *wire) open(address string) *port {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &port{wire: w, address: address, inbox: make(chan packet, 1000)}
	w.ports[address] = p.inbox
	return p
}

func (p *port) Address() string { return p.address }

func (p *port) Send(address string, message *peerpb.Gossip) error {
	data, err := proto.Marshal(message)
	if err != nil || len(data) > peer.MaxMessageBytes {
		panic(fmt.Sprintf("message of %d bytes: %v", len(data), err))
	}
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	p.wire.bytes += len(data)
	if inbox, ok := p.wire.ports[address]; ok {
		select {
		case inbox <- packet{p.address, data}:
		default:
		}
	}
	return nil
}

func (p *port) Run(ctx context.Context, handle func(string, *peerpb.Gossip)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-p.inbox:
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

// start runs count nodes, half of them in each of two data centres of one region.
func start(t *testing.T, count int) (*wire, []*testNode) {
	w := &wire{ports: map[string]chan packet{}}
	nodes := make([]*testNode, count)
	for i := range nodes {
		ctx, cancel := context.WithCancel(t.Context())
		n := &testNode{board: blackboard.New(), cancel: cancel}
		n.Controller = New(Options{
			Name: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i%2), Region: "r", RPCAddress: fmt.Sprint("rpc", i),
			Transport: w.open(fmt.Sprint("g", i)), Board: n.board, Logger: slog.New(slog.DiscardHandler),
			Seeds: func() []string { return []string{"g0"} }, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		go func() { _ = n.Run(ctx) }()
		nodes[i] = n
	}
	return w, nodes
}

func stop(nodes []*testNode) {
	for _, n := range nodes {
		n.cancel()
	}
	synctest.Wait()
}

func live(n *testNode) int {
	count := 0
	for _, m := range n.board.Members.Snapshot() {
		if m.Value.State == blackboard.MemberAlive {
			count++
		}
	}
	return count
}

// Guards against boards that miss members, leavers, draining nodes or configuration versions.
func TestMembersReachEveryBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := start(t, 12)
		defer stop(nodes)
		time.Sleep(30 * time.Second)
		for i, n := range nodes {
			assert.Equal(t, 12, live(n), "node %d", i)
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

func summaryEntry(owner string, running int) blackboard.SummaryEntry {
	return blackboard.SummaryEntry{
		Owner: owner, Incarnation: "i1", Model: "m", WeightsVersion: "w1", Running: running,
		PrefillRate: 9000, StepTime: 20 * time.Millisecond, Version: uint64(time.Now().UnixMicro()),
	}
}

// Guards against engines that other nodes do not know, loads that stay old, and a load that
// wipes out an engine's identity.
func TestSummariesReachEveryBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := start(t, 10)
		defer stop(nodes)
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

// Guards against summaries that take more than their part of the traffic budget.
func TestSummariesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, nodes := start(t, 10)
		defer stop(nodes)
		time.Sleep(30 * time.Second)
		rest := w.sent()
		time.Sleep(30 * time.Second)
		rest = w.sent() - rest
		before := w.sent()
		// Two full refreshes of 200 engines take 216 s.
		for load := range 900 {
			for e := range 200 {
				owner := e % len(nodes)
				entry := summaryEntry(fmt.Sprint("n", owner), load*e%17)
				nodes[owner].board.Summaries.Put(fmt.Sprint("engine-", e), entry, blackboard.Evidence{})
			}
			time.Sleep(250 * time.Millisecond)
		}
		perNode := (float64(w.sent()-before)/225 - float64(rest)/30) / float64(len(nodes))
		assert.LessOrEqual(t, perNode, 1.05*summaryBytesPerSecond)
		for i, n := range nodes {
			assert.Equal(t, 200, n.board.Summaries.Len(), "node %d", i)
		}
	})
}

// Guards against shares that do not come back or add up to another sum than the limit.
func TestDemandsBringShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := start(t, 8)
		defer stop(nodes)
		parsed := &config.Config{Workspaces: []config.Workspace{{Name: "w", Limits: config.Limits{RequestsPerSecond: 100, Concurrency: 40}}}}
		for _, n := range nodes {
			n.board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: parsed}, blackboard.Evidence{})
		}
		time.Sleep(30 * time.Second)
		for range 40 {
			for i, n := range nodes {
				rate := float64(10 * (i + 1))
				share, _ := n.board.Shares.Get("w")
				n.board.Demands.Put(blackboard.DemandKey{Node: n.o.Name, Workspace: "w"}, blackboard.DemandEntry{
					RequestsPerSecond: rate, AdmittedRequests: min(rate, share.Value.RequestsPerSecond), DesiredConcurrency: 10 * (i + 1),
				}, blackboard.Evidence{})
			}
			time.Sleep(time.Second)
		}
		requests, slots := 0.0, 0
		for i, n := range nodes {
			share, ok := n.board.Shares.Get("w")
			require.True(t, ok, "node %d", i)
			requests += share.Value.RequestsPerSecond
			slots += share.Value.Concurrency
		}
		assert.InDelta(t, 100, requests, 5)
		assert.InDelta(t, 40, slots, 2)
		first, _ := nodes[0].board.Shares.Get("w")
		last, _ := nodes[7].board.Shares.Get("w")
		assert.Greater(t, last.Value.RequestsPerSecond, 5*first.Value.RequestsPerSecond)
	})
}

// Guards against a restarted node that does not use the members from its bootstrap reply.
func TestBootstrapMembersAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := start(t, 3)
		defer stop(nodes)
		time.Sleep(20 * time.Second)
		reply := peer.Bootstrap(nodes[0].board, nil)
		fresh := blackboard.New()
		stale, err := peer.ImportBootstrap(fresh, reply, "n0", time.Now())
		require.NoError(t, err)
		assert.False(t, stale)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		joiner := &testNode{board: fresh, cancel: cancel}
		joiner.Controller = New(Options{
			Name: "joiner", DataCentre: "dc0", Region: "r", Transport: nodes[0].o.Transport.(*port).wire.open("gj"),
			Board: fresh, Logger: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(9, 9)),
		})
		go func() { _ = joiner.Run(ctx) }()
		time.Sleep(20 * time.Second)
		assert.Equal(t, 4, live(joiner))
		assert.Equal(t, 4, live(nodes[2]))
		cancel()
	})
}
