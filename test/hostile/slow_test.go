package hostile

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The tests of this file run a process for a fifth of the time on one processor, as on a machine with a small share of one. What
// clients send then waits in the system's buffers, which count toward the memory of the machine as well.

const (
	// slowMemoryMB and slowDescriptors are the limits of the smallest machine of the users' deployments.
	slowMemoryMB    = 88
	slowDescriptors = 4100
	slowClients     = 600
	// runTime and stopTime are the parts of a period in which a slow process runs and does not run.
	runTime  = 10 * time.Millisecond
	stopTime = 40 * time.Millisecond
)

// slowEnvironment gives a process one processor.
const slowEnvironment = "GOMAXPROCS=1"

// slowDown stops the process for most of the time until the returned function is called.
func (s *target) slowDown(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		// The process may have ended.
		defer func() { _ = s.command.Process.Signal(syscall.SIGCONT) }()
		for ctx.Err() == nil {
			_ = s.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(stopTime)
			_ = s.command.Process.Signal(syscall.SIGCONT)
			time.Sleep(runTime)
		}
	})
	stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(stop)
	return stop
}

// withstandsSlowly is withstandsCrowds for a process that is slowed down meanwhile.
func (s *target) withstandsSlowly(t *testing.T, b bounds, crowds ...attackers) {
	t.Helper()
	fast := s.slowDown(t)
	s.withstandsCrowds(t, b, fast, crowds...)
}

// slowBounds are the bounds of startSlowNode.
var slowBounds = bounds{memoryMB: slowMemoryMB, descriptors: slowDescriptors}

// startSlowNode starts a node with the limits of the smallest machine.
func startSlowNode(t *testing.T) *target {
	t.Helper()
	return startNodeWith(t, nodeOptions{memoryMB: slowMemoryMB, descriptors: slowDescriptors, maxBodyBytes: maxBodyBytes, environment: []string{slowEnvironment}})
}

// testSlowNode checks that a slow node withstands crowds of some kinds, which share its clients evenly.
func testSlowNode(t *testing.T, kinds ...kind) {
	t.Helper()
	s := startSlowNode(t)
	var crowds []attackers
	for _, k := range kinds {
		crowds = append(crowds, attackers{kind: k, address: s.clients, clients: slowClients / len(kinds)})
	}
	s.withstandsSlowly(t, slowBounds, crowds...)
}

var largestBodies = newBodyKinds(maxBodyBytes)

// Each of these guards against requests of legal size whose bytes wait in the system's buffers while the process is slow.

func TestSlowNodeHeads(t *testing.T)          { testSlowNode(t, heads) }
func TestSlowNodeEndlessHeads(t *testing.T)   { testSlowNode(t, endlessHeads) }
func TestSlowNodeEmptyLines(t *testing.T)     { testSlowNode(t, emptyLinesAgain) }
func TestSlowNodeWholeBodies(t *testing.T)    { testSlowNode(t, largestBodies.whole) }
func TestSlowNodeBodiesInPieces(t *testing.T) { testSlowNode(t, largestBodies.pieces) }
func TestSlowNodeStalledBodies(t *testing.T)  { testSlowNode(t, largestBodies.stalled) }
func TestSlowNodeLargeChunks(t *testing.T)    { testSlowNode(t, largestBodies.largeChunks) }
func TestSlowNodeOneChunk(t *testing.T)       { testSlowNode(t, largestBodies.oneChunk) }
func TestSlowNodeSmallChunks(t *testing.T)    { testSlowNode(t, largestBodies.smallChunks) }
func TestSlowNodeWholeChunked(t *testing.T)   { testSlowNode(t, largestBodies.wholeChunked) }
func TestSlowNodeUnreadStreams(t *testing.T)  { testSlowNode(t, pipelinedStreams) }
func TestSlowNodeBodiesAndChunks(t *testing.T) {
	testSlowNode(t, largestBodies.stalled, largestBodies.largeChunks)
}
func TestSlowNodeChunksAndStreams(t *testing.T) {
	testSlowNode(t, largestBodies.smallChunks, pipelinedStreams)
}

// Guards against bounds that hold at each listener alone, or not before a connection is accepted.
func TestSlowNodeAllListeners(t *testing.T) {
	s := startSlowNode(t)
	addresses := append(slices.Sorted(maps.Values(s.others)), s.clients)
	var crowds []attackers
	for _, address := range addresses {
		crowds = append(crowds, attackers{kind: largestBodies.largeChunks, address: address, clients: slowClients / len(addresses)})
	}
	s.withstandsSlowly(t, slowBounds, crowds...)
}

// slowProductBodies are bodies of the largest size that is legal at the product's own node.
var slowProductBodies = newBodyKinds(productMaxBodyBytes)

func testSlowProduct(t *testing.T, kinds ...kind) {
	t.Helper()
	s := startProduct(t, slowEnvironment)
	var crowds []attackers
	for _, k := range kinds {
		crowds = append(crowds, attackers{kind: k, address: s.clients, clients: productClients / len(kinds)})
	}
	s.withstandsSlowly(t, productBounds, crowds...)
}

// Each of these guards against the same at the product's own node.

func TestSlowProductHeads(t *testing.T)          { testSlowProduct(t, heads) }
func TestSlowProductEndlessHeads(t *testing.T)   { testSlowProduct(t, endlessHeads) }
func TestSlowProductEmptyLines(t *testing.T)     { testSlowProduct(t, emptyLinesAgain) }
func TestSlowProductWholeBodies(t *testing.T)    { testSlowProduct(t, slowProductBodies.whole) }
func TestSlowProductBodiesInPieces(t *testing.T) { testSlowProduct(t, slowProductBodies.pieces) }
func TestSlowProductStalledBodies(t *testing.T)  { testSlowProduct(t, slowProductBodies.stalled) }
func TestSlowProductLargeChunks(t *testing.T)    { testSlowProduct(t, slowProductBodies.largeChunks) }
func TestSlowProductOneChunk(t *testing.T)       { testSlowProduct(t, slowProductBodies.oneChunk) }
func TestSlowProductSmallChunks(t *testing.T)    { testSlowProduct(t, slowProductBodies.smallChunks) }
func TestSlowProductWholeChunked(t *testing.T)   { testSlowProduct(t, slowProductBodies.wholeChunked) }
func TestSlowProductUnreadStreams(t *testing.T)  { testSlowProduct(t, pipelinedStreams) }

func TestSlowProductAllListeners(t *testing.T) {
	s := startProduct(t, slowEnvironment)
	addresses := append(slices.Sorted(maps.Values(s.others)), s.clients)
	var crowds []attackers
	for _, address := range addresses {
		crowds = append(crowds, attackers{kind: slowProductBodies.largeChunks, address: address, clients: productClients / len(addresses)})
	}
	s.withstandsSlowly(t, productBounds, crowds...)
}
