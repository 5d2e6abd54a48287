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

// network runs machines on a common clock. Messages take one tick, so rounds are deterministic.
type network struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Time
	nodes    []*node
	byAddr   map[string]*node
	inFlight []packet
	// lost tells whether a message between two nodes is lost.
	lost  func(from, to *node) bool
	bytes int
}

type packet struct {
	from, to *node
	data     []byte
}

type node struct {
	*Machine
	name, address, dc, region string
	starts                    uint64
	down, paused              bool
	dead                      int
}

const tick = DefaultTickInterval

// newNetwork places count nodes in turn into the data centres, each given as region/name.
func newNetwork(t *testing.T, seed uint64, count int, places ...[2]string) *network {
	n := &network{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byAddr: map[string]*node{}}
	n.lost = func(_, _ *node) bool { return false }
	for i := range count {
		place := places[i%len(places)]
		x := &node{name: fmt.Sprintf("node-%03d", i), address: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250), region: place[0], dc: place[1]}
		n.nodes = append(n.nodes, x)
		n.byAddr[x.address] = x
		n.start(x)
	}
	return n
}

// start gives the node a new process that knows the first three addresses as seeds.
func (n *network) start(x *node) {
	x.starts++
	x.down = false
	x.Machine = New(Options{
		Self: Member{Name: x.name, GossipAddress: x.address, RPCAddress: x.address, DataCentre: x.dc, Region: x.region, Incarnation: x.starts},
		Rand: rand.New(rand.NewPCG(n.rand.Uint64(), x.starts)),
	}, n.now)
	x.SetSeeds([]string{n.nodes[0].address, n.nodes[min(1, len(n.nodes)-1)].address, n.nodes[min(2, len(n.nodes)-1)].address})
}

func (n *network) carryOut(from *node, actions Actions) {
	for _, change := range actions.Changes {
		if change.Member.State == blackboard.MemberDead && !change.Forgotten {
			from.dead++
		}
	}
	for _, s := range actions.Sends {
		data, err := proto.Marshal(s.Message)
		if err != nil || len(data) > DefaultMaxPayload {
			n.t.Fatalf("message of %d bytes: %v", len(data), err)
		}
		n.bytes += len(data)
		to, ok := n.byAddr[s.Address]
		if ok && !n.lost(from, to) {
			n.inFlight = append(n.inFlight, packet{from, to, data})
		}
	}
}

// run advances by whole ticks. A paused node keeps its packets until it runs again.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tick)
		arrived := n.inFlight
		n.inFlight = nil
		for _, p := range arrived {
			n.deliver(p)
		}
		for _, x := range n.nodes {
			if !x.down && !x.paused {
				n.carryOut(x, x.Tick(n.now))
			}
		}
	}
}

func (n *network) deliver(p packet) {
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
	n.carryOut(p.to, p.to.Receive(n.now, p.from.address, &message))
}

// runUntil runs until done and fails after limit.
func (n *network) runUntil(limit time.Duration, done func() bool, what string) time.Duration {
	n.t.Helper()
	started := n.now
	for !done() {
		if n.now.Sub(started) >= limit {
			n.t.Fatal(what)
		}
		n.run(tick)
	}
	return n.now.Sub(started)
}

// agreed reports whether all running nodes take exactly the running nodes to be live.
func (n *network) agreed() bool {
	running := 0
	for _, x := range n.nodes {
		if !x.down {
			running++
		}
	}
	for _, x := range n.nodes {
		if !x.down && (x.Live() != running || x.Digest() != n.firstRunning().Digest()) {
			return false
		}
	}
	return true
}

// complete reports whether all nodes take all nodes to be live. Unlike agreed it allows for
// refutations on their way, of which there are always some under loss.
func (n *network) complete() bool {
	for _, x := range n.nodes {
		if x.Live() != len(n.nodes) {
			return false
		}
	}
	return true
}

func (n *network) firstRunning() *node {
	i := slices.IndexFunc(n.nodes, func(x *node) bool { return !x.down })
	return n.nodes[i]
}

// seen returns how often a running node other than those in except holds the state about name.
func (n *network) seen(name string, state blackboard.MemberState) int {
	count := 0
	for _, x := range n.nodes {
		if m, ok := x.Member(name); !x.down && ok && m.State == state {
			count++
		}
	}
	return count
}

func (n *network) deaths() int {
	total := 0
	for _, x := range n.nodes {
		total += x.dead
	}
	return total
}
