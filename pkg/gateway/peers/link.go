package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// minReportInterval is the minimum time between a node's reports. Requests run for some hundred
	// milliseconds, so older reports would be out of date.
	minReportInterval = 200 * time.Millisecond
	// reportIntervalPerNode lengthens the interval with the number of nodes, so that the leader handles at
	// most 200 reports a second. The interval stops growing at maxReportInterval.
	reportIntervalPerNode = 5 * time.Millisecond
	maxReportInterval     = 800 * time.Millisecond
	// minHeartbeatGapPerNode times the number of nodes is the minimum time between the leader's heartbeats, so
	// that changes in quick succession do not fill its network link.
	minHeartbeatGapPerNode = time.Millisecond
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

// Board is the state of a node that its link reads and updates.
type Board interface {
	// Loads returns this node's running requests.
	Loads() []backends.Load
	// TakePrefixUpdates returns and clears this node's pending entries of cached prefixes. MergePrefixUpdates
	// adds entries of other nodes, and queues them for the next message if relay is set.
	TakePrefixUpdates() []byte
	MergePrefixUpdates(updates []byte, relay bool)
	// Revisions returns those of this node's mirrors.
	Revisions() []Revision
	// BuildHeartbeat returns the heartbeat of a leader to which nodes report, from the loads of all nodes by
	// backend server ID.
	BuildHeartbeat(nodes int, total map[string]backends.Load) Heartbeat
	// ApplyHeartbeat applies the leader's heartbeat.
	ApplyHeartbeat(heartbeat Heartbeat)
	// Synced reports whether this node is in sync with the platform's store, that is, whether the store
	// responded to it a moment ago.
	Synced() bool
	// RenewFollower records that a standby in sync with the store relays store changes to this node.
	RenewFollower()
	// HandlePeerRevision compares the revision of a peer's mirror with that of this node's, so that newer
	// objects are fetched. relayed is set if the peer relays store changes to this node.
	HandlePeerRevision(peer, kind string, revision int64, relayed bool)
}

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
	Logger       *slog.Logger
}

// Link exchanges datagrams with other nodes. Run may be called once.
type Link struct {
	opt  Options
	conn *net.UDPConn

	mu         sync.Mutex
	reports    map[string]loadReport
	knownPeers []string
	// heartbeatAt is the time of the last leader heartbeat, and heartbeatFrom its sender.
	heartbeatAt   time.Time
	heartbeatFrom string
	// syncedHeartbeatAt is the time of the last heartbeat of a leader in sync with the platform's store.
	syncedHeartbeatAt time.Time
	// standbys are those that the last leader heartbeat lists.
	standbys       []string
	nodes          int
	heartbeatsSent int
	// heartbeatSentAt is the time of this node's last heartbeat. heartbeatPending is set while the next one is
	// scheduled.
	heartbeatSentAt  time.Time
	heartbeatPending bool
}

// loadReport is the last report of another node.
type loadReport struct {
	at    time.Time
	loads []backends.Load
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
	return &Link{opt: opt, conn: conn, reports: map[string]loadReport{}, knownPeers: slices.Clone(opt.Seeds), nodes: 1}, nil
}

// Run exchanges reports and heartbeats until ctx ends.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	go l.receive(ctx)
	for wait.Pause(ctx, l.nextInterval()) {
		if l.opt.ActingLeader() {
			l.sendHeartbeat()
		} else {
			l.sendReport()
		}
	}
}

// nextInterval returns the time until the next report. It is shorter than the report interval if the first
// query to the standbys is due earlier.
func (l *Link) nextInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := Interval(l.nodes)
	if untilQuery := time.Until(l.syncedHeartbeatAt.Add(heartbeatsDuration(minQueryTimeout, queryTimeoutHeartbeats, l.nodes))); untilQuery > 0 {
		return min(interval, untilQuery)
	}
	return interval
}

// Interval returns the time between a node's reports, and between the leader's heartbeats, for a number of
// nodes.
func Interval(nodes int) time.Duration {
	return min(max(minReportInterval, time.Duration(nodes)*reportIntervalPerNode), maxReportInterval)
}

// RequestHeartbeat sends a heartbeat after an assignment has changed, at once or as soon as the minimum gap
// has passed. It returns the time until it is sent. On a node that does not act as the leader it does nothing
// and returns 0.
func (l *Link) RequestHeartbeat() time.Duration {
	if !l.opt.ActingLeader() {
		return 0
	}
	l.mu.Lock()
	left := time.Duration(l.nodes)*minHeartbeatGapPerNode - time.Since(l.heartbeatSentAt)
	if left > 0 && !l.heartbeatPending {
		l.heartbeatPending = true
		time.AfterFunc(left, func() {
			l.mu.Lock()
			l.heartbeatPending = false
			l.mu.Unlock()
			l.sendHeartbeat()
		})
	}
	l.mu.Unlock()
	if left > 0 {
		return left
	}
	l.sendHeartbeat()
	return 0
}

// sendHeartbeat sends a heartbeat with the sum of all loads to all nodes that report to this one, and applies
// it to this node.
func (l *Link) sendHeartbeat() {
	now := time.Now()
	l.mu.Lock()
	total := map[string]backends.Load{}
	addLoads(total, l.opt.Board.Loads())
	var targets []string
	for address, r := range l.reports {
		if now.Sub(r.at) > reportTTL {
			delete(l.reports, address)
			continue
		}
		addLoads(total, r.loads)
		targets = append(targets, address)
	}
	l.nodes, l.heartbeatSentAt = len(targets)+1, now
	l.heartbeatsSent++
	listPeers := l.heartbeatsSent%heartbeatsPerPeerList == 0
	nodes := l.nodes
	l.mu.Unlock()
	heartbeat := l.opt.Board.BuildHeartbeat(nodes, total)
	heartbeat.Standbys = pickEvenly(targets, standbyCount)
	l.mu.Lock()
	l.standbys = heartbeat.Standbys
	l.mu.Unlock()
	l.opt.Board.ApplyHeartbeat(heartbeat)
	m := &message{
		From: l.opt.Address, Leader: true, Revisions: l.opt.Board.Revisions(), PrefixUpdates: l.opt.Board.TakePrefixUpdates(), Heartbeat: heartbeat,
	}
	if listPeers {
		m.Peers = pickRandom(targets, maxPeersListed)
	}
	l.send(m, targets...)
}

func addLoads(total map[string]backends.Load, loads []backends.Load) {
	for _, load := range loads {
		sum := total[load.Backend]
		sum.Backend = load.Backend
		sum.Long += load.Long
		sum.Short += load.Short
		sum.Unreachable += load.Unreachable
		total[load.Backend] = sum
	}
}

func pickRandom(addresses []string, n int) []string {
	shuffled := slices.Clone(addresses)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// sendReport reports this node's running requests to the leader. While the leader is silent, it queries the
// standbys and reports to random peers.
func (l *Link) sendReport() {
	m := &message{From: l.opt.Address, Revisions: l.opt.Board.Revisions(), Loads: l.opt.Board.Loads(), PrefixUpdates: l.opt.Board.TakePrefixUpdates()}
	var targets []string
	l.mu.Lock()
	leaderSilent := time.Since(l.heartbeatAt) > leaderTimeout
	leader := l.opt.Leader()
	if leader == "" && !leaderSilent {
		leader = l.heartbeatFrom
	}
	if leader != "" && leader != l.opt.Address {
		targets = append(targets, leader)
	}
	if time.Since(l.syncedHeartbeatAt) > heartbeatsDuration(minQueryTimeout, queryTimeoutHeartbeats, l.nodes) && !slices.Contains(l.standbys, l.opt.Address) {
		m.ReplyRequested = true
		targets = append(targets, l.standbys...)
	}
	if leaderSilent {
		m.ReplyRequested = true
		targets = append(targets, pickRandom(l.knownPeers, randomPeerCount)...)
	}
	l.mu.Unlock()
	slices.Sort(targets)
	l.send(m, slices.Compact(targets)...)
}

func (l *Link) send(m *message, to ...string) {
	data, err := encode(m)
	if err != nil {
		event.PeerMessageNotSent.Emit(l.opt.Logger, "error", err.Error())
		return
	}
	for _, address := range to {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = l.conn.WriteToUDP(data, target)
		}
		if err != nil {
			l.opt.Logger.Debug("peer message not sent", "to", address, "error", err.Error())
		}
	}
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
