package node

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// versionStore is a store with one object, the weights version of a model.
type versionStore struct {
	keeperStore
	mu       sync.Mutex
	revision int64
	lists    int
}

func (s *versionStore) set(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *versionStore) List(context.Context, string) ([]mirror.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return []mirror.Entry{{Name: "m", Revision: s.revision}}, s.revision, nil
}

func (s *versionStore) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *versionStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]mirror.Change, int64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 10*time.Millisecond)):
	}
	return nil, after, ctx.Err()
}

// versionDecoder decodes an entry of a versionStore: the version is the revision.
type versionDecoder struct{ Decoder }

func (versionDecoder) DesiredVersion(e mirror.Entry) (backends.Model, error) {
	return backends.Model{Name: e.Name, Version: int(e.Revision)}, nil
}

// Guards against a node that stays a follower although it cannot fetch the changes that the leader's messages announce:
// a firewall or a full table of connections may stop TCP and not UDP.
func TestFollowerThatCannotFetchCallsTheStore(t *testing.T) {
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	silent := peer.Addr().String()
	defer peer.Close()
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	for name, leader := range map[string]string{"silent": silent, "refused": closed.Addr().String()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const changeDeadline = 2 * time.Second
			socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
			require.NoError(t, err)
			address := socket.LocalAddr().String()
			require.NoError(t, socket.Close())
			store := &versionStore{revision: 1}
			n := New(Options{
				Settings: Settings{PeerAddress: address, ChangeDeadline: changeDeadline, OldVersionLimit: 8 * time.Second},
				Store:    store, Kinds: Kinds{Config: "config", Backends: "servers", Versions: "versions"},
				Decoder: versionDecoder{}, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
			})
			require.NoError(t, n.connect())
			m := n.mirrorByKind("versions")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			hears := func(d time.Duration, revision int64) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					n.board.ApplyHeartbeat(peers.Heartbeat{Nodes: 2, Synced: true}, nil, clock.Now())
					n.board.HandlePeerRevision(leader, "versions", revision, true, clock.Now())
				}
			}
			go m.Run(ctx)
			hears(300*time.Millisecond, 1)
			require.Equal(t, int64(1), m.CompleteRevision())
			lists := store.listCount()
			hears(200*time.Millisecond, 1)
			assert.Equal(t, lists, store.listCount(), "a follower does not call the store")
			store.set(2)
			hears(changeDeadline, 2)
			newest, _ := n.versions.Newest()
			assert.Equal(t, 2, newest["m"])
			lists = store.listCount()
			hears(300*time.Millisecond, 2)
			assert.Equal(t, lists, store.listCount(), "it is a follower again once it has the change")
		})
	}
}
