package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
)

// behindFor is the time for which another node must be ahead before its objects are fetched. The
// store brings them to most nodes by itself within a few hundred milliseconds.
const behindFor = 600 * time.Millisecond

// board connects the link to what the node knows. It implements peers.Board.
type board struct {
	node *Node

	mu     sync.Mutex
	behind map[string]lag
}

// lag is the time since which this node has been behind in one kind of objects.
type lag struct {
	revision int64
	since    time.Time
	fetching bool
}

var _ peers.Board = (*board)(nil)

// Loads implements peers.Board.
func (b *board) Loads() []peers.Load {
	var loads []peers.Load
	for _, l := range b.node.registry.Loads() {
		loads = append(loads, peers.Load{Backend: l.Backend, Long: l.Long, Short: l.Short})
	}
	return loads
}

// Revisions implements peers.Board.
func (b *board) Revisions() []peers.Revision {
	var revisions []peers.Revision
	for _, m := range b.node.mirrors {
		revisions = append(revisions, peers.Revision{Kind: m.Kind(), Revision: m.Revision()})
	}
	return revisions
}

// Prefixes implements peers.Board.
func (b *board) Prefixes() []byte { return b.node.prefixes.News() }

// Merge implements peers.Board.
func (b *board) Merge(prefixes []byte, passOn bool) {
	b.node.prefixes.Merge(prefixes, passOn, time.Now())
}

// Word implements peers.Board.
func (b *board) Word(nodes int, total []peers.Load) peers.Word {
	loads := map[string]backends.Load{}
	for _, l := range total {
		loads[l.Backend] = backends.Load{Backend: l.Backend, Long: l.Long, Short: l.Short}
	}
	w := peers.Word{Nodes: nodes, CacheEpoch: b.node.cacheEpoch.Load()}
	for id, a := range b.node.registry.Assignments(loads, time.Now()) {
		w.Assignments = append(w.Assignments, peers.Assignment{
			Backend: id, Long: a.Long, Short: a.Short, Loading: a.Loading, TakesLong: a.TakesLong,
		})
	}
	for id, models := range b.node.registry.Learned() {
		for _, m := range models {
			w.Versions = append(w.Versions, peers.Version{Backend: id, Model: m.Name, Version: m.Version})
		}
	}
	return w
}

// Take implements peers.Board.
func (b *board) Take(w peers.Word) {
	b.node.budget.SetNodes(w.Nodes)
	taken := make(map[string]backends.Assignment, len(w.Assignments))
	for _, a := range w.Assignments {
		taken[a.Backend] = backends.Assignment{Long: a.Long, Short: a.Short, Loading: a.Loading, TakesLong: a.TakesLong}
	}
	b.node.registry.Assign(taken, time.Now())
	for _, v := range w.Versions {
		b.node.registry.Learn(v.Backend, v.Model, v.Version)
	}
	b.node.cacheEpoch.Store(w.CacheEpoch)
	b.node.prefixes.SetStore(w.CacheEpoch)
}

// Behind implements peers.Board. It fetches the objects of a kind from a node that stays ahead.
func (b *board) Behind(peer, kind string, revision int64) {
	m := b.node.mirrorOf(kind)
	if m == nil || m.Revision() >= revision {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.behind == nil {
		b.behind = map[string]lag{}
	}
	l, ok := b.behind[kind]
	if !ok || m.Revision() >= l.revision {
		b.behind[kind] = lag{revision: revision, since: time.Now()}
		return
	}
	if l.fetching || time.Since(l.since) < behindFor {
		return
	}
	l.fetching = true
	b.behind[kind] = l
	go b.fetch(peer, m)
}

func (b *board) fetch(peer string, m *mirror.Mirror) {
	entries, revision, err := b.node.fetcher.Fetch(context.Background(), peer, m.Kind())
	imported := err == nil && m.Import(entries, revision)
	b.mu.Lock()
	delete(b.behind, m.Kind())
	b.mu.Unlock()
	if err != nil {
		b.node.opt.Logger.Info("objects not fetched", "kind", m.Kind(), "peer", peer, "error", err.Error())
		return
	}
	b.node.opt.Logger.Info("objects fetched from a peer", slog.String("kind", m.Kind()), slog.String("peer", peer),
		slog.Int64("revision", revision), slog.Bool("newer", imported))
}

// mirrorOf returns the mirror of a kind, or nil.
func (n *Node) mirrorOf(kind string) *mirror.Mirror {
	for _, m := range n.mirrors {
		if m.Kind() == kind {
			return m
		}
	}
	return nil
}
