package scale

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/controller/gossip"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/peer"
)

func init() {
	Register(Role{
		Name:       "gossip",
		SizeUnit:   "nodes",
		TargetSize: 400,
		Sizes:      []int{10, 25, 50, 100, 200},
		Measure:    measureGossip,
	})
}

const (
	// At every size the nodes are spread over as many data centres and regions as at the target
	// size.
	dataCentres    = 8
	regions        = 3
	enginesPerNode = 2
	// demandsPerNode is the number of workspaces whose demand a node reports each second, drawn
	// from all workspaces. It is the maximum that package limitshare reports.
	demandsPerNode = 8
	workspaces     = 500

	convergeTimeout = 2 * time.Minute
	// settleTime is the wait after convergence, so that the gossip of the start is not measured.
	settleTime      = 10 * time.Second
	measureDuration = 10 * time.Second
	// loadInterval is the interval at which nodes publish the loads of the engines they own.
	loadInterval = 250 * time.Millisecond
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
)

// gossipNode is one node of the measured fleet.
type gossipNode struct {
	name    string
	board   *blackboard.Board
	metrics *metrics.Registry
	*gossip.Controller
	transport *peer.Transport
}

// measureGossip runs size nodes in this process over loopback, whose engine loads and limit demands
// change continuously. It measures the time until all nodes have joined, and the messages, bytes,
// CPU time and heap per node.
func measureGossip(ctx context.Context, size int) (map[string]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	heapBefore := liveHeapBytes()
	nodes, err := startFleet(ctx, &running, size)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := waitConverged(ctx, nodes); err != nil {
		return nil, err
	}
	converged := time.Since(started)
	running.Go(func() { publishChanges(ctx, nodes) })
	if !sleep(ctx, settleTime) {
		return nil, ctx.Err()
	}
	sentBefore, cpuBefore := sentTotals(nodes), cpuTime()
	if !sleep(ctx, measureDuration) {
		return nil, ctx.Err()
	}
	sentAfter, cpuAfter := sentTotals(nodes), cpuTime()
	perNode := func(total float64) float64 { return total / measureDuration.Seconds() / float64(size) }
	values := map[string]float64{
		"converged_s":         converged.Seconds(),
		"messages_per_second": perNode(sentAfter.messages - sentBefore.messages),
		"bytes_per_second":    perNode(sentAfter.bytes - sentBefore.bytes + headerBytes*(sentAfter.messages-sentBefore.messages)),
		"cpu_percent":         100 * perNode((cpuAfter - cpuBefore).Seconds()),
		"heap_bytes":          (liveHeapBytes() - heapBefore) / float64(size),
	}
	runtime.KeepAlive(nodes)
	return values, nil
}

func startFleet(ctx context.Context, running *sync.WaitGroup, size int) ([]*gossipNode, error) {
	keys, err := peer.NewKeyring(peer.Key{ID: 1, Secret: []byte("scale measurement key, 32 bytes.")})
	if err != nil {
		return nil, err
	}
	limits := workspaceConfig()
	nodes := make([]*gossipNode, size)
	for i := range nodes {
		if nodes[i], err = newGossipNode(i, keys, nodes, limits); err != nil {
			return nil, err
		}
	}
	for _, n := range nodes {
		running.Go(func() {
			// Run returns nil when ctx ends.
			_ = n.Run(ctx)
		})
	}
	return nodes, nil
}

func newGossipNode(i int, keys *peer.Keyring, nodes []*gossipNode, limits *config.Config) (*gossipNode, error) {
	n := &gossipNode{name: fmt.Sprintf("node-%03d", i), board: blackboard.New(), metrics: metrics.New()}
	transport, err := peer.Listen(peer.TransportOptions{
		Listen: "127.0.0.1:0", Keyring: keys, Logger: slog.New(slog.DiscardHandler), Metrics: n.metrics,
	})
	if err != nil {
		return nil, err
	}
	n.transport = transport
	dataCentre := i % dataCentres
	n.Controller = gossip.New(gossip.Options{
		Name: n.name, DataCentre: fmt.Sprint("dc-", dataCentre), Region: fmt.Sprint("region-", dataCentre%regions),
		RPCAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250), Transport: transport, Board: n.board,
		Seeds: func() []string { return []string{nodes[0].transport.Address()} }, Logger: slog.New(slog.DiscardHandler),
	})
	n.board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: limits}, blackboard.Evidence{})
	return n, nil
}

func workspaceConfig() *config.Config {
	c := &config.Config{}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name:   fmt.Sprintf("workspace-%05d", i),
			Limits: config.Limits{RequestsPerSecond: 50, TokensPerSecond: 20000, Concurrency: 50},
		})
	}
	return c
}

// waitConverged waits until all nodes have joined. The error is that of ctx, or of kind
// fault.Internal after convergeTimeout.
func waitConverged(ctx context.Context, nodes []*gossipNode) error {
	for deadline := time.Now().Add(convergeTimeout); time.Now().Before(deadline); {
		if allJoined(nodes) {
			return nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fault.New(fault.Internal, "gossip of %d nodes did not converge within %s", len(nodes), convergeTimeout)
}

// allJoined returns true if every node lists all nodes as members.
func allJoined(nodes []*gossipNode) bool {
	for _, n := range nodes {
		if n.board.Members.Len() < len(nodes) {
			return false
		}
	}
	return true
}

// publishChanges publishes random engine loads and demands at all nodes until ctx ends: loads every
// loadInterval, demands every second.
func publishChanges(ctx context.Context, nodes []*gossipNode) {
	random := rand.New(rand.NewPCG(1, uint64(len(nodes))))
	for round := 0; sleep(ctx, loadInterval); round++ {
		for i, n := range nodes {
			for engine := range enginesPerNode {
				n.board.Summaries.Put(fmt.Sprintf("engine-%04d", i*enginesPerNode+engine), randomSummary(n.name, random), blackboard.Evidence{})
			}
			if time.Duration(round)*loadInterval%time.Second == 0 {
				n.putDemands(random)
			}
		}
	}
}

func randomSummary(owner string, random *rand.Rand) blackboard.SummaryEntry {
	return blackboard.SummaryEntry{
		Owner: owner, Incarnation: "0123456789abcdef", Model: "model", WeightsVersion: "2026-11-01",
		Running: random.IntN(64), Queued: random.IntN(32), BacklogTokens: random.IntN(200_000),
		PrefillRate: 9000, StepTime: 20 * time.Millisecond, Version: uint64(time.Now().UnixMicro()),
	}
}

func (n *gossipNode) putDemands(random *rand.Rand) {
	for range demandsPerNode {
		key := blackboard.DemandKey{Node: n.name, Workspace: fmt.Sprintf("workspace-%05d", random.IntN(workspaces))}
		n.board.Demands.Put(key, blackboard.DemandEntry{
			RequestsPerSecond: random.Float64() * 5, TokensPerSecond: random.Float64() * 5000,
			AdmittedRequests: random.Float64() * 5, AdmittedTokens: random.Float64() * 5000,
			Running: random.IntN(5), DesiredConcurrency: random.IntN(10),
		}, blackboard.Evidence{})
	}
}

// gossipTotals is the traffic that all nodes sent.
type gossipTotals struct{ messages, bytes float64 }

func sentTotals(nodes []*gossipNode) gossipTotals {
	var total gossipTotals
	for _, n := range nodes {
		total.messages += float64(n.metrics.Counter("gossip_datagrams_sent_total").Count())
		total.bytes += float64(n.metrics.Counter("gossip_bytes_sent_total").Count())
	}
	return total
}

// cpuTime returns the CPU time that this process has used on all cores.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage with RUSAGE_SELF does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeapBytes returns the heap size after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// sleep sleeps for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
