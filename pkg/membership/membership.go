// Package membership detects failed nodes and maintains the list of live ones. It implements the
// SWIM protocol with the extensions of Lifeguard: suspicion timeouts that shorten with each
// independent accuser, and timeouts that grow while this node itself responds slowly. Updates
// spread by gossip, piggybacked on probe messages; anti-entropy syncs repair views that differ.
//
// A node's incarnation is the version number of its state, which only the node itself raises. A node
// that is suspected or declared dead refutes that by announcing itself with a higher incarnation.
//
// The package does no I/O and reads no clock: the caller passes in the time and the received
// messages, sends the returned messages and applies the returned changes.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Member is a node of the fleet with the state in which this node has it.
type Member = blackboard.MemberEntry

// Defaults of Options.
const (
	DefaultTickInterval  = 100 * time.Millisecond
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout is the time for a direct ack from the same region. Other regions get
	// twice that, because round trips between regions take up to 200 ms.
	DefaultProbeTimeout         = 300 * time.Millisecond
	DefaultIndirectProbes       = 3
	DefaultDeadInterval         = 5 * time.Second
	DefaultSeedInterval         = 10 * time.Second
	DefaultIsolatedSeedInterval = time.Second
	// DefaultDeadTTL exceeds the duration of partitions between regions, which last minutes, so
	// that both sides still have each other's addresses when a partition heals.
	DefaultDeadTTL = time.Hour
	// DefaultLeftTTL outlasts all updates about the member that are still in transit. An older
	// update that arrives after the removal would add the member again.
	DefaultLeftTTL = 10 * time.Minute
	// DefaultMaxPayload, in bytes, keeps a datagram with its headers within an Ethernet frame.
	DefaultMaxPayload = 1360
	// DefaultMaxMembers bounds memory. The target size is 400 nodes, of which 150 are replaced
	// each day.
	DefaultMaxMembers = 4096
)

const (
	// maxAwareness bounds the factor by which a slow or isolated node lengthens its timeouts.
	// From 4, successful probes bring a node back to normal timeouts in about 15 s.
	maxAwareness = 4
	// retransmitFactor times the decimal logarithm of the number of live members, rounded up, is
	// the number of times that one node sends an update.
	retransmitFactor = 3
	// suspicionFactor times the decimal logarithm of the number of live members is the shortest
	// suspicion timeout, in probe intervals.
	suspicionFactor = 2.5
	// minSuspicionIntervals leaves a suspected node at least three probe intervals to refute the
	// suspicion.
	minSuspicionIntervals = 3
	// maxSuspicionRatio is the ratio of the longest to the shortest suspicion timeout.
	maxSuspicionRatio = 3
	// fullConfirmations is the number of accusers beyond the first at which the suspicion
	// timeout is shortest.
	fullConfirmations = 2
	// maxFinalPings is the number of pings that one node sends to a suspected member before the
	// suspicion times out, and finalPingers the expected number of nodes that send each of them.
	maxFinalPings = 8
	finalPingers  = 64
	// maxVersionGossipNodes is the fleet size up to which each node's configuration version is
	// gossiped to all others. With 400 nodes and 1,500 configuration changes a day that would
	// take 6 KB/s per node.
	maxVersionGossipNodes = 64
	// leaveFanout is the number of nodes pinged at once when this node leaves, and refuteFanout
	// when it refutes a suspicion of itself. Half of them are in its data centre.
	leaveFanout  = 8
	refuteFanout = 4
	// pauseTicks is the number of tick intervals without a tick from which on this process
	// counts as paused.
	pauseTicks = 4
	// maxIncarnation leaves room to raise the incarnation in refutations without an overflow.
	// Incarnations start at the Unix time in milliseconds.
	maxIncarnation = 1 << 62
	// maxRelays bounds the indirect probes that a node runs concurrently for others.
	maxRelays = 256
)

// Options configure a Machine. Self and Rand are required; other zero values take the defaults.
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
	// DeadInterval is the average interval between probes of dead members, one at a time.
	DeadInterval time.Duration
	// SeedInterval is the average interval between probes of seeds that are not live members,
	// one at a time. IsolatedSeedInterval applies while this node's view has no other live member.
	SeedInterval         time.Duration
	IsolatedSeedInterval time.Duration
	// DeadTTL and LeftTTL are how long a member stays in the view after it was declared dead or
	// has left.
	DeadTTL time.Duration
	LeftTTL time.Duration
	// MaxPayload bounds an encoded message, in bytes.
	MaxPayload int
	// MaxMembers bounds the number of members in the view, dead ones included.
	MaxMembers int
}

// Send is a message to be sent.
type Send struct {
	// Address is the gossip address of the receiver.
	Address string
	// Name is the receiver's name. It is empty for a seed that is not a member.
	Name    string
	Message *peerpb.Gossip
}

// Change describes a change of one member.
type Change struct {
	Member Member
	// Previous is the state before the change. It is zero for a new member.
	Previous blackboard.MemberState
	// Removed is set when the member was removed from the view.
	Removed bool
}

// Actions are the messages to send and the changes to apply after a call.
type Actions struct {
	Sends   []Send
	Changes []Change
}

// record is a member with the data that this node keeps about it.
type record struct {
	Member
	// hash is the member's contribution to the view digest.
	hash      uint64
	changedAt time.Time
	// suspicion is nil unless the member is suspected.
	suspicion *suspicion
	// index is the position in Machine.records.
	index int
}

func (r *record) live() bool {
	return r.State == blackboard.MemberAlive || r.State == blackboard.MemberSuspect
}

// Machine is the membership state of one node. It is not safe for concurrent use.
type Machine struct {
	options Options
	self    *record
	members map[string]*record
	// records holds the same records in an order that depends only on the inputs, so that
	// random choices repeat with the same random seed.
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

// New returns a machine whose only member is this node.
func New(o Options, now time.Time) *Machine {
	o = o.withDefaults()
	o.Self.State = blackboard.MemberAlive
	m := &Machine{
		options: o,
		members: map[string]*record{},
		// A random start keeps acks to an earlier process from matching this one's probes.
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

// Self returns this node as it announces itself to others.
func (m *Machine) Self() Member { return m.self.Member }

// Members returns all members in the view, this node included, in no particular order.
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

// Digest returns a digest of the names and incarnations of the live members. Nodes with the same
// view have the same digest.
func (m *Machine) Digest() uint64 { return m.digest }

// Awareness returns the local health score of Lifeguard, from 0 (healthy) to 4: probe and
// suspicion timeouts of this node are multiplied by 1 + awareness.
func (m *Machine) Awareness() int { return m.awareness }

// Refutations returns how many reports of itself as suspected, dead or left this node has refuted.
func (m *Machine) Refutations() int { return m.refutations }

// SetSeeds replaces the addresses that this node probes to find nodes that are not yet members. If no other
// member is live and an address is new, the next tick probes a seed.
func (m *Machine) SetSeeds(addresses []string) {
	isNew := func(address string) bool { return !slices.Contains(m.seeds, address) }
	if m.live == 1 && slices.ContainsFunc(addresses, isNew) {
		m.nextSeed = time.Time{}
	}
	m.seeds = addresses
}

// SetConfigVersion raises the configuration version that this node announces. A lower version is
// ignored. Every message carries the version; in a fleet of up to 64 nodes it is also gossiped as
// a member update.
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

// Leave announces that this node leaves. Afterwards the node only responds to messages and sends
// no probes of its own.
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

// pingSample pings random nodes at once, half of them in this node's data centre, so that urgent
// updates do not wait for the next probe.
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

// jitter returns a random duration from 0 to d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.options.Rand.Int64N(int64(d) + 1))
}

// scaleTimeout lengthens a timeout while this node is slow.
func (m *Machine) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+m.awareness)
}

// adjustAwareness changes the local health score: up for signs that this node is slow or cut off,
// down for each successful probe.
func (m *Machine) adjustAwareness(delta int) {
	m.awareness = min(max(m.awareness+delta, 0), maxAwareness)
}
