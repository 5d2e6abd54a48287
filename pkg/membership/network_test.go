package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// simNetwork runs machines on a simulated clock. Every message takes one tick, so that runs with the
// same seed are identical.
type simNetwork struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Time
	nodes    []*simNode
	byAddr   map[string]*simNode
	inFlight []simPacket
	// dropped reports whether a message between two nodes is lost.
	dropped func(from, to *simNode) bool
	// bytes is the total size of all messages sent.
	bytes int
}

type simPacket struct {
	from, to *simNode
	data     []byte
}

// simNode is a node of the simulated fleet.
type simNode struct {
	*Machine
	name, address, dataCentre, region string
	starts                            uint64
	down, paused                      bool
	// deadDeclared is the number of changes of a member to dead in this node's view.
	deadDeclared int
}

const tick = DefaultTickInterval

// newSimNetwork starts count nodes, distributed round-robin over the data centres. Each data centre
// is given as {region, name}.
func newSimNetwork(t *testing.T, seed uint64, count int, dataCentres ...[2]string) *simNetwork {
	n := &simNetwork{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byAddr: map[string]*simNode{}}
	n.dropped = func(_, _ *simNode) bool { return false }
	for i := range count {
		dataCentre := dataCentres[i%len(dataCentres)]
		node := &simNode{name: fmt.Sprintf("node-%03d", i), address: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250), region: dataCentre[0], dataCentre: dataCentre[1]}
		n.nodes = append(n.nodes, node)
		n.byAddr[node.address] = node
		n.start(node)
	}
	return n
}

// start starts a new process of the node, with the addresses of the first three nodes as seeds.
func (n *simNetwork) start(node *simNode) {
	node.starts++
	node.down = false
	node.Machine = New(Options{
		Self: Member{Name: node.name, GossipAddress: node.address, RPCAddress: node.address, DataCentre: node.dataCentre, Region: node.region, Incarnation: node.starts},
		Rand: rand.New(rand.NewPCG(n.rand.Uint64(), node.starts)),
	}, n.now)
	node.SetSeeds([]string{n.nodes[0].address, n.nodes[min(1, len(n.nodes)-1)].address, n.nodes[min(2, len(n.nodes)-1)].address})
}

func (n *simNetwork) apply(from *simNode, actions Actions) {
	for _, change := range actions.Changes {
		if change.Member.State == blackboard.MemberDead && !change.Removed {
			from.deadDeclared++
		}
	}
	for _, s := range actions.Sends {
		data, err := proto.Marshal(s.Message)
		if err != nil || len(data) > DefaultMaxPayload {
			n.t.Fatalf("message of %d bytes: %v", len(data), err)
		}
		n.bytes += len(data)
		to, ok := n.byAddr[s.Address]
		if ok && !n.dropped(from, to) {
			n.inFlight = append(n.inFlight, simPacket{from, to, data})
		}
	}
}

// run advances the clock by d in whole ticks. Messages to a paused node wait until it resumes.
func (n *simNetwork) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tick)
		arrived := n.inFlight
		n.inFlight = nil
		for _, p := range arrived {
			n.deliver(p)
		}
		for _, node := range n.nodes {
			if !node.down && !node.paused {
				n.apply(node, node.Tick(n.now))
			}
		}
	}
}

func (n *simNetwork) deliver(p simPacket) {
	if p.to.down {
		return
	}
	if p.to.paused {
		n.inFlight = append(n.inFlight, p)
		return
	}
	var message peerpb.Gossip
	if err := proto.Unmarshal(p.data, &message); err != nil {
		n.t.Fatal(err)
	}
	n.apply(p.to, p.to.Receive(n.now, p.from.address, &message))
}

// runUntil runs until done returns true and returns the simulated time taken. After limit it fails
// the test with the message failure.
func (n *simNetwork) runUntil(limit time.Duration, done func() bool, failure string) time.Duration {
	n.t.Helper()
	started := n.now
	for !done() {
		if n.now.Sub(started) >= limit {
			n.t.Fatal(failure)
		}
		n.run(tick)
	}
	return n.now.Sub(started)
}

// converged reports whether in the views of all running nodes exactly the running nodes are live.
func (n *simNetwork) converged() bool {
	running := 0
	for _, node := range n.nodes {
		if !node.down {
			running++
		}
	}
	for _, node := range n.nodes {
		if !node.down && (node.Live() != running || node.Digest() != n.firstRunning().Digest()) {
			return false
		}
	}
	return true
}

// allLive reports whether all nodes are live in the views of all nodes. Unlike converged it ignores
// differing incarnations: under message loss some refutation is always still in transit.
func (n *simNetwork) allLive() bool {
	for _, node := range n.nodes {
		if node.Live() != len(n.nodes) {
			return false
		}
	}
	return true
}

func (n *simNetwork) firstRunning() *simNode {
	i := slices.IndexFunc(n.nodes, func(node *simNode) bool { return !node.down })
	return n.nodes[i]
}

// nodesWithState returns the number of running nodes that have the named member in the given state.
func (n *simNetwork) nodesWithState(name string, state blackboard.MemberState) int {
	count := 0
	for _, node := range n.nodes {
		if m, ok := node.Member(name); !node.down && ok && m.State == state {
			count++
		}
	}
	return count
}

func (n *simNetwork) deadDeclarations() int {
	total := 0
	for _, node := range n.nodes {
		total += node.deadDeclared
	}
	return total
}
