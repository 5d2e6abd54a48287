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
	reportEvery = 200 * time.Millisecond
	// reportPerNode stretches the reports with the number of nodes, so that the holder handles at
	// most 200 reports a second, and reportMost bounds that.
	reportPerNode = 5 * time.Millisecond
	reportMost    = 800 * time.Millisecond
	// announceGap is the least time between the holder's words for each node, so that changes in
	// quick succession do not fill its link.
	announceGap = time.Millisecond
	// nodeLife is the time without a report after which a node no longer counts.
	nodeLife = 3 * time.Second
	// holderLife is the time without a word of the holder after which a node asks others.
	holderLife = 1500 * time.Millisecond
	// strangersAsked is the number of other nodes that a node without a holder reports to.
	strangersAsked = 2
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 60 << 10
	// peersEvery is the number of the holder's reports of which one lists the nodes.
	peersEvery = 10
	// peersListed bounds that list, which keeps the datagram small.
	peersListed = 24
)

// Board is what a link reads and writes for its node.
type Board interface {
	// Loads returns this node's running requests.
	Loads() []backends.Load
	// Prefixes returns and forgets this node's news of cached prefixes; Merge takes those of other
	// nodes, to be passed on if this node holds the lease.
	Prefixes() []byte
	Merge(prefixes []byte, passOn bool)
	// Revisions returns those of this node's mirrors.
	Revisions() []Revision
	// Word returns the word of a node that holds the lease, from the loads of all nodes by the IDs of
	// the backend servers.
	Word(nodes int, total map[string]backends.Load) Word
	// Take applies the word of the holder.
	Take(w Word)
	// Fresh reports whether this node follows the platform's store closely.
	Fresh() bool
	// Covered notes that a deputy follows the store closely.
	Covered()
	// Behind tells that another node has newer objects of a kind.
	Behind(peer, kind string, revision int64, holder bool)
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
	Holder  func() string
	Holding func() bool
	Leading func() bool
	Board   Board
	Logger  *slog.Logger
}

// Link exchanges datagrams with other nodes. Use Run once.
type Link struct {
	opt  Options
	conn *net.UDPConn

	mu      sync.Mutex
	reports map[string]report
	known   []string
	// heard is the time of the last word, and leader the node that it came from.
	heard  time.Time
	leader string
	// followed is the time of the last word of a leader that follows the platform's store.
	followed time.Time
	// deputies are those that the last word names.
	deputies []string
	nodes    int
	sent     int
	// announced is the time of this node's last word, and pending is set while the next is due.
	announced time.Time
	pending   bool
}

// report is another node's last report.
type report struct {
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
	return &Link{opt: opt, conn: conn, reports: map[string]report{}, known: slices.Clone(opt.Seeds), nodes: 1}, nil
}

// Run exchanges reports until ctx ends.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	go l.receive(ctx)
	for wait.Pause(ctx, l.pause()) {
		if l.opt.Leading() {
			l.announce()
		} else {
			l.report()
		}
	}
}

// pause returns the time until the next report. The first question to the deputies is not put off.
func (l *Link) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := Interval(l.nodes)
	if ask := time.Until(l.followed.Add(after(askLeast, askWords, l.nodes))); ask > 0 {
		return min(interval, ask)
	}
	return interval
}

// Interval returns the time between the reports, and between the holder's words, of a number of nodes.
func Interval(nodes int) time.Duration {
	return min(max(reportEvery, time.Duration(nodes)*reportPerNode), reportMost)
}

// Announce sends the holder's word, after an assignment has changed, and returns the time until it goes
// out.
func (l *Link) Announce() time.Duration {
	if !l.opt.Leading() {
		return 0
	}
	l.mu.Lock()
	left := time.Duration(l.nodes)*announceGap - time.Since(l.announced)
	if left > 0 && !l.pending {
		l.pending = true
		time.AfterFunc(left, func() {
			l.mu.Lock()
			l.pending = false
			l.mu.Unlock()
			l.announce()
		})
	}
	l.mu.Unlock()
	if left > 0 {
		return left
	}
	l.announce()
	return 0
}

// announce tells all nodes that report to this one the sum of their loads.
func (l *Link) announce() {
	now := time.Now()
	l.mu.Lock()
	total := map[string]backends.Load{}
	add(total, l.opt.Board.Loads())
	var to []string
	for address, r := range l.reports {
		if now.Sub(r.at) > nodeLife {
			delete(l.reports, address)
			continue
		}
		add(total, r.loads)
		to = append(to, address)
	}
	l.nodes, l.announced = len(to)+1, now
	l.sent++
	listPeers := l.sent%peersEvery == 0
	nodes := l.nodes
	l.mu.Unlock()
	word := l.opt.Board.Word(nodes, total)
	word.Deputies = spread(to, deputyCount)
	l.mu.Lock()
	l.deputies = word.Deputies
	l.mu.Unlock()
	l.opt.Board.Take(word)
	m := &message{
		From: l.opt.Address, Holder: true, Revisions: l.opt.Board.Revisions(), Prefixes: l.opt.Board.Prefixes(), Word: word,
	}
	if listPeers {
		m.Peers = pickSome(to, peersListed)
	}
	l.send(m, to...)
}

func add(total map[string]backends.Load, loads []backends.Load) {
	for _, x := range loads {
		t := total[x.Backend]
		t.Backend = x.Backend
		t.Long += x.Long
		t.Short += x.Short
		t.Unreachable += x.Unreachable
		total[x.Backend] = t
	}
}

func pickSome(from []string, n int) []string {
	some := slices.Clone(from)
	rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(n, len(some))]
}

// report tells the holder what this node runs, and asks other nodes while the holder is silent.
func (l *Link) report() {
	m := &message{From: l.opt.Address, Revisions: l.opt.Board.Revisions(), Loads: l.opt.Board.Loads(), Prefixes: l.opt.Board.Prefixes()}
	var to []string
	l.mu.Lock()
	silent := time.Since(l.heard) > holderLife
	holder := l.opt.Holder()
	if holder == "" && !silent {
		holder = l.leader
	}
	if holder != "" && holder != l.opt.Address {
		to = append(to, holder)
	}
	if time.Since(l.followed) > after(askLeast, askWords, l.nodes) && !slices.Contains(l.deputies, l.opt.Address) {
		m.Reply = true
		to = append(to, l.deputies...)
	}
	if silent {
		m.Reply = true
		to = append(to, pickSome(l.known, strangersAsked)...)
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
const maxKnown = 64

// Remember keeps addresses of other nodes for the time without a holder.
func (l *Link) Remember(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a == "" || a == l.opt.Address || slices.Contains(l.known, a) {
			continue
		}
		if len(l.known) >= maxKnown {
			l.known = l.known[1:]
		}
		l.known = append(l.known, a)
	}
}
