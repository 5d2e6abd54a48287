package node

import (
	"context"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
)

// retryFetch fetches the objects up to a revision that a relaying peer has announced if the mirror still lacks them.
func (b *board) retryFetch(peer, kind string, revision int64) {
	b.mu.Lock()
	l := b.lagByKind[kind]
	l.retrying = false
	b.lagByKind[kind] = l
	b.mu.Unlock()
	b.node.guard().Run("fetch from a peer", func() { b.HandlePeerRevision(peer, kind, revision, true, time.Time{}) })
}

// fetchFromPeer imports the objects that changed since the mirror's complete revision from a peer.
func (b *board) fetchFromPeer(peer string, m *mirror.Mirror, relayed bool) {
	failed := false
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		l := b.lagByKind[m.Kind()]
		l.fetching = false
		if relayed {
			l.fetchFailed = failed
		}
		b.lagByKind[m.Kind()] = l
	}()
	content, err := b.node.fetcher.Fetch(context.Background(), peer, m.Kind(), m.CompleteRevision())
	imported := err == nil && m.Import(content, relayed)
	if err != nil {
		failed = true
		event.ObjectsNotFetched.Emit(b.node.opt.Logger, "kind", m.Kind(), "peer", peer, "error", err.Error())
		return
	}
	event.ObjectsFetched.Emit(b.node.opt.Logger, slog.String("kind", m.Kind()), slog.String("peer", peer),
		slog.Int64("revision", content.Revision), slog.Bool("newer", imported), slog.Bool("relayed", relayed))
}

// mirrorByKind returns the mirror of a kind, or nil if there is none.
func (n *Node) mirrorByKind(kind string) *mirror.Mirror {
	for _, m := range n.mirrors {
		if m.Kind() == kind {
			return m
		}
	}
	return nil
}
