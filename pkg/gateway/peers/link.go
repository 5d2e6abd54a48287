package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/limits"
	"cassiawall.example/cassiawall/pkg/recovery"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// minReportInterval is the minimum time between a node's reports. Requests run for some hundred
	// milliseconds, so older reports would be out of date.
	minReportInterval = 200 * time.Millisecond
	// startInterval is the time between the reports of a node that has received no heartbeat since its start.
	startInterval = 100 * time.Millisecond
	// reportIntervalPerNode lengthens the interval with the number of nodes, so that the leader handles at
	// most 200 reports a second. In large fleets, the interval grows more slowly from slowReportInterval on and
	// stops growing at maxReportInterval: a node's loads would be out of date.
	reportIntervalPerNode     = 5 * time.Millisecond
	slowReportInterval        = 800 * time.Millisecond
	slowReportIntervalPerNode = 2500 * time.Microsecond
	maxReportInterval         = time.Second
	// minHeartbeatGapPerNode times the number of nodes is the minimum time between the leader's heartbeats, so
	// that changes in quick succession do not fill its network link. An update is about a tenth of a
	// heartbeat's size and is sent more often: each load of weights waits for one.
	minHeartbeatGapPerNode = time.Millisecond
	minUpdateGapPerNode    = 300 * time.Microsecond
	// reportTTL is the time without a report after which a node no longer counts.
	reportTTL = 3 * time.Second
	// leaderTimeout is the time without a leader heartbeat after which a node also reports to random peers.
	leaderTimeout = 1500 * time.Millisecond
	// randomPeerCount is the number of random peers that a node without a leader reports to.
	randomPeerCount = 2
	// maxDatagramBytes is the size of the receive buffer. Longer datagrams are truncated and fail to decode.
	maxDatagramBytes = 60 << 10
	// Every heartbeatsPerPeerList-th heartbeat lists addresses of nodes.
	heartbeatsPerPeerList = 10
	// maxPeersListed bounds that list, which keeps the datagram small.
	maxPeersListed = 24
)

// Board is the state of a node that its link reads and updates. The times that it receives are on the clock of
// clock.Now.
type Board interface {
	SpeedBoard
	// Loads returns this node's running requests.
	Loads() []backends.Load
	// TakePrefixUpdates returns and clears this node's pending entries of cached prefixes. MergePrefixUpdates
	// adds entries of other nodes, and queues them for the next message if relay is set.
	TakePrefixUpdates() []byte
	MergePrefixUpdates(updates []byte, relay bool)
	// TakeCounts returns and clears this node's counts of requests by prefix. AddCounts adds those of another
	// node, Frequent returns the rates of the frequent prefixes, and ApplyFrequent applies those of the leader.
	TakeCounts() []byte
	AddCounts(counts []byte)
	Frequent() []byte
	ApplyFrequent(rates []byte)
	// Evidence returns the encoded evidence about prompt parts on which engines crash that has changed after a
	// number of changes, in at most maxBytes, and the present number of changes. MergeEvidence adds that of another
	// node, which encoded it at readAt or later, and relays it in further messages if relay is set. readAt is zero if
	// that is not known.
	Evidence(after uint64, maxBytes int) (data []byte, changes uint64)
	MergeEvidence(data []byte, relay bool, readAt time.Time)
	// QuotaReport returns this node's encoded quota.Report. AddQuotaReport records that of another node at the leader, and
	// reports whether the limit of a backend server has begun or ended by it.
	QuotaReport() []byte
	AddQuotaReport(node string, report []byte) (changed bool)
	// IssuePermits returns the encoded permits that are due, by node, and ApplyPermits applies those that the leader issued
	// at issuedAt or later. issuedAt is zero if that is not known.
	IssuePermits(nodes []string) map[string][]byte
	ApplyPermits(permits []byte, issuedAt time.Time)
	// Revisions returns those of this node's mirrors.
	Revisions() []Revision
	// BuildHeartbeat returns the heartbeat of a leader to which nodes report.
	BuildHeartbeat(nodes int) Heartbeat
	// ApplyHeartbeat applies the leader's heartbeat, whose content was read at readAt or later, with the revisions that
	// the leader's mirrors had. readAt is zero if the heartbeat does not show it.
	ApplyHeartbeat(heartbeat Heartbeat, revisions []Revision, readAt time.Time)
	// States returns encoded states of backend servers for a message of the leader, from the loads of all nodes
	// by backend server ID.
	States(total map[string]backends.Load, scope StateScope) []byte
	// ApplyStates applies the states in a message of the leader, which read them at readAt or later, and after the
	// revisions of its mirrors. readAt is zero if that is not known.
	ApplyStates(states []byte, revisions []Revision, readAt time.Time)
	// SmallContents returns the content of the mirrors of few small objects. ImportContents applies that of
	// the leader.
	SmallContents() []KindContent
	ImportContents(contents []KindContent)
	// Lease returns the last known lease in stored form and its version, which is 0 if there is none.
	// ObserveLease applies that of another node.
	Lease() (record []byte, version uint64)
	ObserveLease(record []byte, version uint64)
	// Synced reports whether this node is in sync with the platform's store, that is, whether the store
	// responded to it a moment ago.
	Synced() bool
	// RenewFollower records that a node in sync with the store at readAt relays store changes to this node.
	RenewFollower(readAt time.Time)
	// HandlePeerRevision compares the revision of a peer's mirror with that of this node's, so that newer
	// objects are fetched. relayed is set if the peer relays store changes to this node. The mirror held all
	// changes at currentAt, which is zero if that is not known.
	HandlePeerRevision(peer, kind string, revision int64, relayed bool, currentAt time.Time)
}

// StateScope determines which states of backend servers a message of the leader contains.
type StateScope int

// Scopes of states.
const (
	// ForHeartbeat are the states of a heartbeat to all nodes.
	ForHeartbeat StateScope = iota
	// ForUpdate are the states that must reach all nodes before the next heartbeat.
	ForUpdate
	// ForNewNode are the states for a node that has received none.
	ForNewNode
)

// Options configures a Link.
type Options struct {
	// Address is this node's peer address, for TCP and UDP.
	Address string
	// Seeds are the peer addresses known at start.
	Seeds []string
	// Leader returns the peer address of the node that holds the lease, or "". HoldsLease reports whether this
	// node holds it. ActingLeader is also true for the former leader until another node has taken the lease.
	Leader       func() string
	HoldsLease   func() bool
	ActingLeader func() bool
	Board        Board
	// OnQuota handles messages about the workspaces' quotas. It is nil if there are none.
	OnQuota func(from string, m *limits.Message)
	Logger  *slog.Logger
	// Guard contains panics while messages are handled.
	Guard recovery.Guard
}

// Link exchanges datagrams with other nodes. Run may be called once.
type Link struct {
	opt        Options
	conn       Conn
	timestamps timestamps

	mu         sync.Mutex
	reports    map[string]loadReport
	knownPeers []string
	// heartbeatAt is the time of the last leader heartbeat, and heartbeatFrom its sender.
	heartbeatAt   time.Time
	heartbeatFrom string
	// syncedHeartbeatAt is the time at which the leader was last known to be in sync with the platform's store.
	syncedHeartbeatAt time.Time
	// standbys are those that the last leader heartbeat lists.
	standbys []string
	// relayedBy is the relay that was last known, at relayedAt, to relay store changes to this node. relayHeardAt is the time
	// of the last message of the leader or of a relay.
	relayedBy               string
	relayedAt, relayHeardAt time.Time
	// nodes is the number of nodes in the last heartbeat, sent or received. nodesSettled is set once it is not
	// too low.
	nodes          int
	nodesSettled   bool
	heartbeatsSent int
	// leadingSince is the time of the first heartbeat since this node acts as the leader.
	leadingSince time.Time
	// heartbeats and updates pace the messages of the leader.
	heartbeats, updates pacer
	// reportPacer paces the reports between the regular ones.
	reportPacer pacer
	// changesPacer paces the messages of a relay about changes.
	changesPacer pacer
	// evidenceBudget is what the messages of the leader have used since the last heartbeat.
	evidenceBudget evidenceBudget
	// announcedRevisions are those in the last message of the leader to all nodes.
	announcedRevisions []Revision
}

// pacer keeps a minimum gap between messages of one type.
type pacer struct {
	sentAt time.Time
	// pending is set while the next message is scheduled.
	pending bool
}

// loadReport is the last report of another node.
type loadReport struct {
	at    time.Time
	loads []backends.Load
	// sentAt is the timestamp of the report, and receivedAt the time of its receipt on the clock of clock.Now.
	sentAt     int64
	receivedAt time.Time
	// replyRequested is set if the node queried this one.
	replyRequested bool
}

// echo returns what a message in return states about the report, if its content is read from now on.
func (r loadReport) echo() echo {
	if r.sentAt == 0 {
		return echo{}
	}
	return echo{SentAt: r.sentAt, HeldMS: clock.Since(r.receivedAt).Milliseconds()}
}

// Listen returns a link that is bound to its address.
func Listen(opt Options) (*Link, error) {
	address, err := net.ResolveUDPAddr("udp4", opt.Address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on peer address: %w; check that no other process uses it", err)
	}
	return New(opt, conn), nil
}

// Run exchanges reports and heartbeats until ctx ends.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	go l.opt.Guard.Loop(ctx, "peer messages", l.receive)
	for {
		if l.opt.ActingLeader() {
			l.sendHeartbeat()
		} else {
			l.sendReport()
		}
		if !wait.Pause(ctx, l.nextInterval()) {
			return
		}
	}
}

// nextInterval returns the time until the next report. It is shorter than the report interval if the first
// query to the standbys is due earlier.
func (l *Link) nextInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := Interval(l.nodes)
	if l.heartbeatAt.IsZero() && !l.opt.ActingLeader() {
		interval = startInterval
		if clock.Since(l.relayHeardAt) < leaderTimeout {
			interval = heardStartInterval
		}
	}
	if untilQuery := clock.Until(l.syncedHeartbeatAt.Add(heartbeatsDuration(minQueryTimeout, queryTimeoutHeartbeats, l.nodes))); untilQuery > 0 {
		return min(interval, untilQuery)
	}
	return interval
}

// Interval returns the time between a node's reports, and between the leader's heartbeats, for a number of
// nodes.
func Interval(nodes int) time.Duration {
	slow := min(max(slowReportInterval, time.Duration(nodes)*slowReportIntervalPerNode), maxReportInterval)
	return min(max(minReportInterval, time.Duration(nodes)*reportIntervalPerNode), slow)
}

func pickRandom(addresses []string, n int) []string {
	shuffled := slices.Clone(addresses)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// sendReport reports this node's running requests to the leader. While the leader is silent, it queries the
// standbys and reports to random peers.
func (l *Link) sendReport() {
	m := &message{From: l.opt.Address, Revisions: l.opt.Board.Revisions(), Loads: l.opt.Board.Loads(), PrefixUpdates: l.opt.Board.TakePrefixUpdates(), Counts: l.opt.Board.TakeCounts(), Quota: l.opt.Board.QuotaReport(), Speeds: l.opt.Board.SpeedReport()}
	targets, replyRequested := l.reportTargets()
	m.ReplyRequested = replyRequested
	m.SentAt = l.timestamps.next()
	m.Evidence, _ = l.opt.Board.Evidence(0, maxEvidenceBytes)
	l.mu.Lock()
	l.reportPacer.sentAt = time.Now()
	l.mu.Unlock()
	l.send(m, targets...)
}

// reportTargets returns the receivers of the next report and whether they should reply.
func (l *Link) reportTargets() (targets []target, replyRequested bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leadingSince = time.Time{}
	var addresses []string
	leaderSilent := time.Since(l.heartbeatAt) > leaderTimeout
	leader := l.opt.Leader()
	if leader == "" && !leaderSilent {
		leader = l.heartbeatFrom
	}
	if leader != "" && leader != l.opt.Address {
		addresses = append(addresses, leader)
	}
	if clock.Since(l.syncedHeartbeatAt) > heartbeatsDuration(minQueryTimeout, queryTimeoutHeartbeats, l.nodes) && !l.isRelayLocked() {
		replyRequested = true
		addresses = append(addresses, l.relaysToQueryLocked()...)
	}
	if leaderSilent {
		replyRequested = true
		addresses = append(addresses, pickRandom(l.knownPeers, randomPeerCount)...)
	}
	slices.Sort(addresses)
	for _, a := range slices.Compact(addresses) {
		if a == l.opt.Address {
			continue
		}
		targets = append(targets, target{address: a})
	}
	return targets, replyRequested
}

// send sends a message to each target, followed by the target's echo if it has one.
func (l *Link) send(m *message, to ...target) {
	data, err := encode(m)
	if err != nil {
		event.PeerMessageNotSent.Emit(l.opt.Logger, "error", err.Error())
		return
	}
	for _, t := range to {
		if err := l.sendDatagram(data, t); err != nil {
			l.opt.Logger.Debug("peer message not sent", "to", t.address, "error", err.Error())
		}
	}
}

func (l *Link) sendDatagram(data []byte, to target) error {
	address, err := netip.ParseAddrPort(to.address)
	if err != nil {
		return err
	}
	if !to.echo.isZero() {
		if data, err = appendEncoded(slices.Clip(data), &to.echo); err != nil {
			return err
		}
	}
	_, err = l.conn.WriteToUDPAddrPort(data, address)
	return err
}

// maxKnownPeers bounds the recorded addresses. The oldest are dropped first.
const maxKnownPeers = 64

// AddPeers records addresses of other nodes, to report to while there is no leader.
func (l *Link) AddPeers(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a == "" || a == l.opt.Address || slices.Contains(l.knownPeers, a) {
			continue
		}
		if len(l.knownPeers) >= maxKnownPeers {
			l.knownPeers = l.knownPeers[1:]
		}
		l.knownPeers = append(l.knownPeers, a)
	}
}
