// Package membership decides which nodes of the fleet are alive. It is a SWIM state machine
// with the extensions of Lifeguard: suspicion that shortens with independent accusers, and
// timeouts that grow while this node itself is slow.
//
// The package does no I/O and reads no clock. The caller passes the time and received messages
// and carries out the returned sends and changes. A Machine is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Member is a node as this node sees it.
type Member = blackboard.MemberEntry

// Defaults of Options.
const (
	DefaultTickInterval  = 100 * time.Millisecond
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout is the wait for a direct answer from the same region. Other regions
	// get twice that, because round trips between regions take up to 200 ms.
	DefaultProbeTimeout         = 300 * time.Millisecond
	DefaultIndirectProbes       = 3
	DefaultDeadInterval         = 5 * time.Second
	DefaultSeedInterval         = 10 * time.Second
	DefaultIsolatedSeedInterval = time.Second
	// DefaultForgetDead is longer than the partitions between regions, which last minutes, so
	// that both sides still know each other when they heal.
	DefaultDeadTTL = time.Hour
	// DefaultForgetLeft outlives every update about the member that is still on its way.
	DefaultLeftTTL = 10 * time.Minute
	// DefaultMaxPayload keeps a datagram with its header within an Ethernet frame.
	DefaultMaxPayload = 1360
	// DefaultMaxMembers bounds memory. The target size is 400 nodes with 150 replaced a day.
	DefaultMaxMembers = 4096
)

const (
	// maxAwareness bounds how far a slow or isolated node stretches its timeouts. From 4 it is
	// back at normal after 15 s of good probes.
	maxAwareness = 4
	// retransmitFactor times the decimal logarithm of the fleet bounds how often one node
	// repeats an update.
	retransmitFactor = 3
	// suspicionFactor times the decimal logarithm of the fleet, in probe intervals, is the
	// shortest time between suspicion and death.
	suspicionFactor = 2.5
	// minSuspicion leaves a suspected node three probe intervals to refute.
	minSuspicionIntervals = 3
	// suspicionSpread is the ratio of the longest to the shortest suspicion.
	maxSuspicionRatio = 3
	// fullConfirmations is the number of further accusers that shorten suspicion fully.
	fullConfirmations = 2
	// lastChecks is the number of pings from one node to a member that it is about to declare
	// dead, and checkers the expected number of nodes that send them.
	maxFinalPings = 8
	finalPingers  = 64
	// versionFleet is the number of nodes up to which each node's configuration version spreads
	// to all others. With 400 nodes and 1,500 changes a day that would take 6 KB/s a node.
	maxVersionGossipNodes = 64
	// leaveFanout is the number of nodes told directly when this node leaves, and
	// refuteFanout when it refutes its own suspicion. Half of them are in its data centre.
	leaveFanout  = 8
	refuteFanout = 4
	// pauseTicks is the number of missed ticks after which this process counts as paused.
	pauseTicks = 4
	// maxIncarnation leaves room for refutations. Incarnations start at Unix milliseconds.
	maxIncarnation = 1 << 62
	// maxRelays bounds the indirect probes that a node runs for others at a time.
	maxRelays = 256
)

// Options configure a Machine. Zero values take the defaults.
type Options struct {
	// Self is this node. Its incarnation must exceed those of earlier processes with the same
	// name; the start time in Unix milliseconds does.
	Self Member
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// TickInterval is the interval at which the caller calls Tick.
	TickInterval   time.Duration
	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	IndirectProbes int
	// DeadInterval is the interval at which one dead member is probed.
	DeadInterval time.Duration
	// SeedInterval is the interval at which one seed that is no live member is probed, and
	// LoneSeedInterval the one while this node knows no other.
	SeedInterval         time.Duration
	IsolatedSeedInterval time.Duration
	DeadTTL              time.Duration
	LeftTTL              time.Duration
	// MaxPayload bounds a message, in bytes.
	MaxPayload int
	// MaxMembers bounds the members known, dead ones included.
	MaxMembers int
}

// Send is a message to be sent.
type Send struct {
	// Address is the gossip address of the receiver.
	Address string
	// Name is the receiver's name. Empty for a seed that is not known as a member.
	Name    string
	Message *peerpb.Gossip
}

// Change reports that a member changed.
type Change struct {
	Member Member
	// Previous is the state before. Zero for a new member.
	Previous blackboard.MemberState
	// Removed tells that the member was removed from the view.
	Removed bool
}

// Actions are what the caller has to do after a call.
type Actions struct {
	Sends   []Send
	Changes []Change
}

// record is a member with its bookkeeping.
type record struct {
	Member
	// hash is the member's part of the view digest.
	hash      uint64
	changedAt time.Time
	suspicion *suspicion
	index     int
}

func (r *record) live() bool {
	return r.State == blackboard.MemberAlive || r.State == blackboard.MemberSuspect
}

// Machine is the membership state of one node.
type Machine struct {
	options Options
	self    *record
	members map[string]*record
	// list holds the same records in an order that depends only on the inputs, so that random
	// choices repeat with the same seed.
	records []*record
	live    int
	digest  uint64
	queue   updateQueue

	awareness          int
	sequence           uint64
	lastTick           time.Time
	leaving            bool
	refutations        int
	nextRefutationPing time.Time

	rings     [distanceClasses]ring
	probe     *probe
	nextProbe time.Time
	nextDead  time.Time
	nextSeed  time.Time
	seeds     []string
	relays    []*relay
	sync      syncState
}

// New returns a machine that knows only itself.
func New(o Options, now time.Time) *Machine {
	o = o.withDefaults()
	o.Self.State = blackboard.MemberAlive
	m := &Machine{
		options: o,
		members: map[string]*record{},
		// Sequence numbers of an earlier process must not match.
		sequence: o.Rand.Uint64() >> 1,
	}
	m.self = m.add(now, o.Self)
	m.enqueueUpdate(m.self, "")
	m.nextProbe = now.Add(m.jitter(o.ProbeInterval))
	m.nextDead = now.Add(m.jitter(o.DeadInterval))
	m.nextSeed = now
	return m
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.TickInterval, DefaultTickInterval)
	defaults.Set(&o.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&o.IndirectProbes, DefaultIndirectProbes)
	defaults.Set(&o.DeadInterval, DefaultDeadInterval)
	defaults.Set(&o.SeedInterval, DefaultSeedInterval)
	defaults.Set(&o.IsolatedSeedInterval, DefaultIsolatedSeedInterval)
	defaults.Set(&o.DeadTTL, DefaultDeadTTL)
	defaults.Set(&o.LeftTTL, DefaultLeftTTL)
	defaults.Set(&o.MaxPayload, DefaultMaxPayload)
	defaults.Set(&o.MaxMembers, DefaultMaxMembers)
	return o
}

// Self returns this node as it announces itself.
func (m *Machine) Self() Member { return m.self.Member }

// Members returns all known members, this node included, in no particular order.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, len(m.records))
	for _, r := range m.records {
		members = append(members, r.Member)
	}
	return members
}

// Member returns the member with the given name.
func (m *Machine) Member(name string) (Member, bool) {
	r, ok := m.members[name]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Live returns the number of members that are alive or suspected, this node included.
func (m *Machine) Live() int { return m.live }

// Digest returns the digest of the live members. Nodes with the same view have the same one.
func (m *Machine) Digest() uint64 { return m.digest }

// Awareness returns how slow this node currently takes itself to be: 0 is healthy, and
// timeouts are stretched by 1 + awareness.
func (m *Machine) Awareness() int { return m.awareness }

// Refutations returns how often this node had to refute its own suspicion or death.
func (m *Machine) Refutations() int { return m.refutations }

// SetSeeds replaces the addresses to try for nodes that are not live members.
func (m *Machine) SetSeeds(addresses []string) { m.seeds = addresses }

// SetConfigVersion sets the configuration version that this node announces. It never goes down.
// Every message carries it; in a small fleet it also spreads as an update.
func (m *Machine) SetConfigVersion(version uint64) {
	if version <= m.self.ConfigVersion {
		return
	}
	m.self.ConfigVersion = version
	if m.live <= maxVersionGossipNodes {
		m.enqueueUpdate(m.self, "")
	}
}

// SetDraining announces whether this node is draining.
func (m *Machine) SetDraining(draining bool) Actions {
	if m.self.Draining == draining {
		return Actions{}
	}
	m.self.Draining = draining
	m.raiseIncarnation(m.self.Incarnation + 1)
	return Actions{Changes: []Change{{Member: m.self.Member, Previous: m.self.State}}}
}

// Leave announces that this node leaves. Afterwards it only answers.
func (m *Machine) Leave(now time.Time) Actions {
	var out Actions
	if m.leaving {
		return out
	}
	m.leaving = true
	m.setState(now, m.self, blackboard.MemberLeft, "", &out)
	m.pingSample(leaveFanout, &out)
	return out
}

// push tells some nodes at once, so that urgent news need not wait for the next probe.
func (m *Machine) pingSample(fanout int, out *Actions) {
	near := m.sampleAlive(fanout/2, func(r *record) bool { return r.DataCentre == m.self.DataCentre })
	far := m.sampleAlive(fanout/2, func(r *record) bool { return r.DataCentre != m.self.DataCentre })
	for _, r := range append(near, far...) {
		m.sendTo(out, r, m.message(peerpb.Gossip_PING, m.nextSequence()))
	}
}

func (m *Machine) nextSequence() uint64 {
	m.sequence++
	return m.sequence
}

// jitter returns a random part of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.options.Rand.Int64N(int64(d) + 1))
}

// stretch lengthens a timeout while this node is slow.
func (m *Machine) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+m.awareness)
}

func (m *Machine) adjustAwareness(delta int) {
	m.awareness = min(max(m.awareness+delta, 0), maxAwareness)
}
