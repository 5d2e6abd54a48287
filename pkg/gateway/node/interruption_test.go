package node

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/mirror"
	"cassiawall.example/cassiawall/pkg/gateway/peers"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// Guards against a node that does not know of an outage of the store although the leader has stated it: followers make no
// calls of their own that could fail.
func TestHeartbeatTellsOfAnOutageOfTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		synced bool
		age    time.Duration
		want   mirror.Interruption
	}{
		"leader in sync":               {synced: true},
		"leader not in sync":           {want: mirror.Interruption{Known: true, TakenOver: true}},
		"not in sync, read after long": {age: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
			require.NoError(t, err)
			address := socket.LocalAddr().String()
			require.NoError(t, socket.Close())
			n := New(Options{
				Settings: Settings{PeerAddress: address, ChangeDeadline: 2 * time.Second, OldVersionLimit: 8 * time.Second},
				Store:    &versionStore{revision: 1}, Kinds: Kinds{Config: "config", Backends: "servers", Versions: "versions"},
				Decoder: versionDecoder{}, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
			})
			require.NoError(t, n.connect())
			n.board.ApplyHeartbeat(peers.Heartbeat{Nodes: 3, Synced: test.synced}, nil, clock.Now().Add(-test.age))
			assert.Equal(t, test.want, n.mirrorByKind("servers").Interruption())
		})
	}
}
