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
	// reportEvery is the least time between a node's reports. Requests run for some hundred
	// milliseconds, so older reports would say little.
	minReportInterval = 200 * time.Millisecond
	// reportPerNode stretches the reports with the number of nodes, so that the holder handles at
	// most 200 reports a second, and reportMost bounds that.
	reportIntervalPerNode = 5 * time.Millisecond
	maxReportInterval     = 800 * time.Millisecond
	// announceGap is the least time between the holder's words for each node, so that changes in
	// quick succession do not fill its link.
	minHeartbeatGapPerNode = time.Millisecond
	// nodeLife is the time without a report after which a node no longer counts.
	reportTTL = 3 * time.Second
	// holderLife is the time without a word of the holder after which a node asks others.
	leaderTimeout = 1500 * time.Millisecond
	// strangersAsked is the number of other nodes that a node without a holder reports to.
	randomPeerCount = 2
	// maxDatagram bounds a datagram in bytes.
	maxDatagramBytes = 60 << 10
	// peersEvery is the number of the holder's reports of which one lists the nodes.
	heartbeatsPerPeerList = 10
	// peersListed bounds that list, which keeps the datagram small.
	maxPeersListed = 24
)

// Board is what a link reads and writes for its node.
type Board interface {
	// Loads returns this node's running requests.
	Loads() []backends.Load
	// Prefixes returns and forgets this node's news of cached prefixes; Merge takes those of other
	// nodes, to be passed on if this node holds the lease.
	TakePrefixUpdates() []byte
	MergePrefixUpdates(updates []byte, relay bool)
	// Revisions returns those of this node's mirrors.
	Revisions() []Revision
	// Word returns the word of a node that holds the lease, from the loads of all nodes by the IDs of
	// the backend servers.
	BuildHeartbeat(nodes int, total map[string]backends.Load) Heartbeat
	// Take applies the word of the holder.
	ApplyHeartbeat(heartbeat Heartbeat)
	// Fresh reports whether this node follows the platform's store closely.
	Synced() bool
	// Covered notes that a deputy follows the store closely.
	RenewFollower()
	// Behind tells that another node has newer objects of a kind.
	HandlePeerRevision(peer, kind string, revision int64, relayed bool)
}

// Options configures a Link.
type Options struct {
	// Address is this node's peer address, for TCP and UDP.
	Address string
	// Seeds are peer addresses to begin with.
	Seeds []string
	// Holder returns the peer address of the holder of the lease, or "". Holding reports whether
	// this node is the holder. Leading is also set while a former holder stands in until another node
	// has taken the lease.
	Leader       func() string
	HoldsLease   func() bool
	ActsAsLeader func() bool
	Board        Board
	Logger       *slog.Logger
}

// Link exchanges datagrams with other nodes. Use Run once.
type Link struct {
	opt  Options
	conn *net.UDPConn

	mu         sync.Mutex
	reports    map[string]loadReport
	knownPeers []string
	// heard is the time of the last word, and leader the node that it came from.
	heartbeatAt   time.Time
	heartbeatFrom string
	// followed is the time of the last word of a leader that follows the platform's store.
	syncedHeartbeatAt time.Time
	// deputies are those that the last word names.
	standbys       []string
	nodes          int
	heartbeatsSent int
	// announced is the time of this node's last word, and pending is set while the next is due.
	heartbeatSentAt  time.Time
	heartbeatPending bool
}

// report is another node's last report.
type loadReport struct {
	at    time.Time
	loads []backends.Load
}

// Listen returns a link that is bound to its address.
func Listen(opt Options) (*Link, error) {
	address, err := net.ResolveUDPAddr("udp4", opt.Address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w; check that no other process uses it", err)
	}
	return &Link{opt: opt, conn: conn, reports: map[string]loadReport{}, knownPeers: slices.Clone(opt.Seeds), nodes: 1}, nil
}

// Run exchanges reports until ctx ends.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	go l.receive(ctx)
	for wait.Pause(ctx, l.nextInterval()) {
		if l.opt.ActsAsLeader() {
			l.sendHeartbeat()
		} else {
			l.sendReport()
		}
	}
}

// pause returns the time until the next report. The first question to the deputies is not put off.
func (l *Link) nextInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := Interval(l.nodes)
	if ask := time.Until(l.syncedHeartbeatAt.Add(heartbeatsDuration(minQueryTimeout, queryTimeoutHeartbeats, l.nodes))); ask > 0 {
		return min(interval, ask)
	}
	return interval
}

// Interval returns the time between the reports, and between the holder's words, of a number of nodes.
func Interval(nodes int) time.Duration {
	return min(max(minReportInterval, time.Duration(nodes)*reportIntervalPerNode), maxReportInterval)
}

// Announce sends the holder's word, after an assignment has changed, and returns the time until it goes
// out.
func (l *Link) RequestHeartbeat() time.Duration {
	if !l.opt.ActsAsLeader() {
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

// announce tells all nodes that report to this one the sum of their loads.
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

// report tells the holder what this node runs, and asks other nodes while the holder is silent.
func (l *Link) sendReport() {
	m := &message{From: l.opt.Address, Revisions: l.opt.Board.Revisions(), Loads: l.opt.Board.Loads(), PrefixUpdates: l.opt.Board.TakePrefixUpdates()}
	var to []string
	l.mu.Lock()
	leaderSilent := time.Since(l.heartbeatAt) > leaderTimeout
	leader := l.opt.Leader()
	if leader == "" && !leaderSilent {
		leader = l.heartbeatFrom
	}
	if leader != "" && leader != l.opt.Address {
		to = append(to, leader)
	}
	if time.Since(l.syncedHeartbeatAt) > heartbeatsDuration(minQueryTimeout, queryTimeoutHeartbeats, l.nodes) && !slices.Contains(l.standbys, l.opt.Address) {
		m.ReplyRequested = true
		to = append(to, l.standbys...)
	}
	if leaderSilent {
		m.ReplyRequested = true
		to = append(to, pickRandom(l.knownPeers, randomPeerCount)...)
	}
	l.mu.Unlock()
	slices.Sort(to)
	l.send(m, slices.Compact(to)...)
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

// maxKnown bounds the remembered addresses.
const maxKnownPeers = 64

// Remember keeps addresses of other nodes for the time without a holder.
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
