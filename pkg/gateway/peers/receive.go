package peers

import (
	"context"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/wait"
)

// receive handles datagrams until the socket is closed.
func (l *Link) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// An unreachable receiver of an earlier datagram shows up here.
			l.opt.Logger.Debug("peer socket", "error", err.Error())
			if !wait.Pause(ctx, time.Millisecond) {
				return
			}
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			event.PeerMessageSkipped.Emit(l.opt.Logger, "error", err.Error())
			continue
		}
		l.handle(m)
	}
}

// handle takes one message: a word of a leader, the answer of a node that was asked, or another node's report.
func (l *Link) handle(m *message) {
	l.Remember(append(m.Peers, m.From))
	switch {
	case m.Holder:
		l.handleWord(m)
	case m.Answer:
		l.handleAnswer(m)
	default:
		l.handleReport(m)
	}
}

// handleWord takes over the word of the holder, or of another leader while no holder is heard.
func (l *Link) handleWord(m *message) {
	l.mu.Lock()
	current := !l.opt.Holding() && (m.From == l.opt.Holder() || l.opt.Holder() == "" || time.Since(l.heard) > holderLife)
	if current {
		l.heard, l.leader, l.nodes, l.deputies = time.Now(), m.From, m.Word.Nodes, m.Word.Deputies
		if m.Word.Fresh {
			l.followed = l.heard
		}
	}
	l.mu.Unlock()
	l.compare(m, current)
	if current {
		l.opt.Board.Take(m.Word)
		l.opt.Board.Merge(m.Prefixes, false)
	}
}

// handleAnswer looks whether a deputy covers for this node. Deputies do not cover for each other.
func (l *Link) handleAnswer(m *message) {
	l.mu.Lock()
	covers := m.Fresh && slices.Contains(l.deputies, m.From) && !slices.Contains(l.deputies, l.opt.Address)
	l.mu.Unlock()
	if covers {
		l.opt.Board.Covered()
	}
	l.compare(m, covers)
}

// handleReport keeps another node's report and answers it if that node asks for it.
func (l *Link) handleReport(m *message) {
	l.compare(m, false)
	l.mu.Lock()
	_, known := l.reports[m.From]
	l.reports[m.From] = report{at: time.Now(), loads: m.Loads}
	peers := pickSome(l.known, peersListed)
	l.mu.Unlock()
	if !known {
		// The node follows the store by itself until it hears a word.
		l.Announce()
	}
	l.opt.Board.Merge(m.Prefixes, l.opt.Leading())
	if m.Reply && !l.opt.Leading() {
		l.send(&message{From: l.opt.Address, Answer: true, Fresh: l.opt.Board.Fresh(), Revisions: l.opt.Board.Revisions(), Peers: peers}, m.From)
	}
}

// compare looks whether the sender has newer objects than this node.
func (l *Link) compare(m *message, holder bool) {
	for _, r := range m.Revisions {
		l.opt.Board.Behind(m.From, r.Kind, r.Revision, holder)
	}
}
