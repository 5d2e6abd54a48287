package limits

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// leaderSuspectTime is the time for which other owners are asked before a leader that has not answered.
const leaderSuspectTime = 3 * time.Second

// Env is what an Agent knows about the other nodes.
type Env struct {
	// ActingLeader is set if this node is the leader, with a lease of version LeaseVersion. HoldsLease is not set once it has
	// released the lease, and another node may be the leader as well.
	ActingLeader, HoldsLease bool
	LeaseVersion             uint64
	// Leader is the address of the leader, or "". Heard is the sender of the last heartbeat since the start, or "".
	Leader, Heard string
	// Standbys are the nodes that hold the parts, in order of preference.
	Standbys []string
	// Peers are some other nodes.
	Peers []string
}

// AgentOptions configures an Agent.
type AgentOptions struct {
	// Self is the node's address.
	Self string
	// Seeds are the addresses that all nodes know at their start.
	Seeds  []string
	Bounds QuotaBounds
	// Term is the time for which a node holds a part after its last appointment. All nodes must have the same. 0 means
	// DefaultTerm.
	Term time.Duration
	// FirstStart is set if all nodes start for the first time.
	FirstStart bool
	// Env returns the present state of the other nodes.
	Env func() Env
	// Send sends a message to another node. It must not call the agent.
	Send func(to string, m *Message)
	// Note receives what is worth a log line. It must not call the agent. It may be nil.
	Note func(n Note)
}

// Note is a change of the parts that an agent holds or uses.
type Note struct {
	// Role is "leader" for the parts that are lent to this node, "interim" for those that it grants from itself, and "holder"
	// if another node holds a part from now on.
	Role string
	// Parts is the number of parts.
	Parts int
	// Part and Holder are set in notes of the role "holder".
	Part   int
	Holder string
}

// Agent enforces the quotas at one node: it asks owners for the tokens of the node's requests, holds parts of the quotas, and
// is an owner itself if it is the leader or grants from parts that it holds. It does no I/O; its times are on the clock of
// clock.Now. It is not safe for concurrent use.
type Agent struct {
	opt       AgentOptions
	start     uint64
	startedAt time.Time
	seeds     []string

	quotas  map[uint64]Quota
	version int64

	// firstLeader is the first leader that this node has heard since its start. heardOther is set once another node has heard of
	// a leader that is not this process.
	firstLeader string
	heardOther  bool
	// otherLeader is the leader of which the first of these nodes has told. It is passed on under its address, because the
	// node that is this leader must not take it for another one.
	otherLeader string

	// freshAt is the time at which each other seed was last asked that had heard of no leader.
	freshAt map[string]time.Time

	parts   partHolder
	interim *Ledger
	owner   *owner
	ledger  *Ledger
	// noted are the last parts that a Note has stated, by role.
	notedLeader, notedInterim int

	accounts   map[uint64]*account
	sent       map[uint64]sentQuery
	nextNumber uint64
	// partHolders are the last known holders of the parts, and preferred the node among them that answered last.
	partHolders  []string
	preferred    string
	suspectUntil time.Time
	// local are messages to this node itself.
	local []*Message
}

// NewAgent returns an agent without quotas.
func NewAgent(opt AgentOptions, now time.Time) *Agent {
	a := &Agent{
		opt: opt, startedAt: now, accounts: map[uint64]*account{}, sent: map[uint64]sentQuery{}, freshAt: map[string]time.Time{},
		// The lowest bits stay free, so that stamps do not overflow.
		start: 1 + uint64(rand.Int64N(1<<60)),
	}
	if opt.Term == 0 {
		a.opt.Term = DefaultTerm
	}
	a.seeds = slices.Compact(slices.Sorted(slices.Values(opt.Seeds)))
	if len(a.seeds) == 0 {
		a.seeds = []string{opt.Self}
	}
	for i := range Parts {
		if a.seeds[i%len(a.seeds)] == opt.Self {
			a.parts.initial |= bit(i)
		}
	}
	return a
}

// SetQuotas sets the quotas by workspace hash and the version of their configuration. Tokens that were granted under
// another limit are dropped.
func (a *Agent) SetQuotas(quotas map[uint64]Quota, version int64, now time.Time) {
	old := a.quotas
	a.quotas, a.version = quotas, version
	for id, c := range a.accounts {
		if old[id] != quotas[id] {
			c.lots, c.deniedUntil = nil, time.Time{}
		}
	}
	for _, l := range []*Ledger{a.ledger, a.interim} {
		if l != nil {
			l.SetQuotas(quotas, version, now)
		}
	}
}

// stamp returns a time of this node's clock. Stamps of different processes differ.
func (a *Agent) stamp(now time.Time) int64 {
	return int64(a.start) + now.Sub(a.startedAt).Microseconds()
}

// stampTime returns the time of a stamp of this process, or the zero time.
func (a *Agent) stampTime(stamp int64, now time.Time) time.Time {
	if stamp < int64(a.start) || stamp > a.stamp(now) {
		return time.Time{}
	}
	return a.startedAt.Add(time.Duration(stamp-int64(a.start)) * time.Microsecond)
}

func (a *Agent) send(to string, m *Message) {
	m.Start, m.FirstLeader = a.start, a.firstLeader
	if m.FirstLeader == "" && a.heardOther {
		m.FirstLeader = a.otherLeader
	}
	if to == a.opt.Self {
		a.local = append(a.local, m)
		return
	}
	a.opt.Send(to, m)
}

// flush handles the messages of this node to itself.
func (a *Agent) flush(now time.Time) {
	for len(a.local) > 0 {
		m := a.local[0]
		a.local = a.local[1:]
		a.handle(a.opt.Self, m, now)
	}
}

// Receive handles a message of another node.
func (a *Agent) Receive(from string, m *Message, now time.Time) {
	if from == a.opt.Self {
		return
	}
	a.handle(from, m, now)
	a.flush(now)
}

func (a *Agent) handle(from string, m *Message, now time.Time) {
	a.hear(a.opt.Env())
	// Until this node is the leader, its own address stands for an earlier process.
	if m.FirstLeader != "" && (m.FirstLeader != a.opt.Self || a.firstLeader != a.opt.Self) {
		if !a.heardOther {
			a.otherLeader = m.FirstLeader
		}
		a.heardOther = true
	}
	if from == a.opt.Env().Leader {
		a.suspectUntil = time.Time{}
	}
	switch {
	case m.Probe != 0:
		a.send(from, &Message{ProbeEcho: m.Probe})
	case m.ProbeEcho != 0:
		if at := a.stampTime(m.ProbeEcho, now); m.FirstLeader == "" && slices.Contains(a.seeds, from) {
			a.freshAt[from] = later(a.freshAt[from], at)
		}
	case m.Query != nil:
		a.handleQuery(from, m, now)
	case m.Return != nil:
		for _, l := range []*Ledger{a.ledger, a.interim} {
			if l != nil && l.Return(from, m.Start, *m.Return, now) {
				return
			}
		}
	case m.Reply != nil:
		a.handleReply(from, m.Reply, now)
	case m.Appointment != nil:
		a.handleAppointment(from, m.Start, m.Appointment, now)
	case m.Ack != nil:
		a.handleAck(from, m, now)
	}
}

// Tick sends what is due. It must be called at least every AppointmentInterval.
func (a *Agent) Tick(now time.Time) {
	env := a.opt.Env()
	a.hear(env)
	if a.firstLeader == "" && !a.heardOther && (now.Sub(a.startedAt) < initialPartsDelay || a.parts.initial != 0) {
		for _, to := range dedupe(slices.Concat(a.seeds, env.Peers)) {
			if to != a.opt.Self {
				a.send(to, &Message{Probe: a.stamp(now)})
			}
		}
	}
	a.lead(env, now)
	a.holdParts(env, now)
	a.sweepAccounts(now)
	a.flush(now)
}

// hear records the first leader.
func (a *Agent) hear(env Env) {
	switch {
	case a.firstLeader != "":
	case env.ActingLeader:
		a.firstLeader = a.opt.Self
	default:
		a.firstLeader = env.Heard
	}
}

// Retry sends the queries again that have got no reply in time. It must be called about every replyTimeout while requests
// wait.
func (a *Agent) Retry(now time.Time) {
	for id, c := range a.accounts {
		if c.flight != nil && now.Sub(c.flight.sentAt) >= replyTimeout {
			a.advanceFlight(id, c, now)
		}
	}
	a.flush(now)
}

// Lent returns the number of parts that are lent to this node as the leader, and that of those that it grants from itself.
func (a *Agent) Lent(now time.Time) (leader, interim int) {
	if a.ledger != nil {
		leader = a.ledger.Lent(now)
	}
	if a.interim != nil {
		interim = a.interim.Lent(now)
	}
	return leader, interim
}

// owners returns the addresses to ask for tokens, in order. The leader comes first, twice, because a message may be lost.
func (a *Agent) owners(now time.Time) []string {
	env := a.opt.Env()
	a.hear(env)
	interim := slices.Concat(a.partHolders, env.Standbys)
	if a.firstLeader == "" || len(interim) == 0 {
		interim = append(interim, a.seeds...)
	}
	interim = slices.DeleteFunc(interim, func(s string) bool { return s == "" })
	interim = dedupe(interim)
	if n := len(interim); n > 0 {
		first := int(rendezvous.Hash(a.opt.Self) % uint64(n))
		if i := slices.Index(interim, a.preferred); i >= 0 {
			first = i
		}
		interim = slices.Concat(interim[first:], interim[:first])
	}
	leader := env.Leader
	if env.ActingLeader {
		leader = a.opt.Self
	}
	if leader == "" {
		leader = env.Heard
	}
	switch {
	case leader == "":
		return interim
	case leader != a.opt.Self && now.Before(a.suspectUntil):
		return append(interim, leader)
	}
	return append([]string{leader, leader}, interim...)
}

// dedupe removes repeated addresses and keeps the order.
func dedupe(addresses []string) []string {
	var out []string
	for _, s := range addresses {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
