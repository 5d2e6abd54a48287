package node

import (
	"log/slog"
	"math"
	"net/http"
	"syscall"

	"cassiawall.example/cassiawall/pkg/clientconn"
	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/settings"
)

const (
	// maxFields bounds the fields of a head. Heads of maxHeaderBytes have at most 21,845.
	maxFields = 22_000
	// headerMargin is what net/http allows above maxHeaderBytes, in bytes.
	headerMargin = 4 << 10
	// runBytes is the estimate of what a running request holds besides its head and body, in bytes. The system's buffers for its
	// response are added.
	runBytes = 64 << 10
	// largeBufferShare is the size of large socket buffers as a share of what the connections may hold.
	largeBufferShare = 0.125
	// callersFileShare is the part of the process's limit of open files that the callers' listener gets by default, and
	// peersFileShare and operatorsFileShare those of the other listeners. The rest is for connections that the node opens.
	callersFileShare   = 0.5
	peersFileShare     = 0.125
	operatorsFileShare = 0.03125
)

// newConnections returns the bound of what the connections of callers, peers and operators hold.
func newConnections(s *settings.Settings, logger *slog.Logger, m *metrics.Registry) *clientconn.Budget {
	maxMB := int64(s.ClientMemoryMB)
	if maxMB == 0 {
		maxMB = settings.DefaultClientMemoryMB
	}
	maxBytes := maxMB << 20
	return clientconn.New(clientconn.Options{MaxBytes: maxBytes, MaxLargeBytes: int64(largeBufferShare * float64(maxBytes)), Logger: logger, Metrics: m})
}

// connLimit returns a share of the process's limit of open files, or 0 if the limit is not known.
func connLimit(share float64) int {
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) != nil {
		return 0
	}
	return int(share * min(float64(files.Cur), math.MaxInt32))
}

// peerSockets are the bounds of the connections of other nodes, which carry many calls at once.
var peerSockets = clientconn.Sockets{ReceiveBytes: 64 << 10, SendBytes: 64 << 10, Backlog: 128}

// boundedListeners are the listeners with their bounds, below TLS.
type boundedListeners struct{ callers, peers, operators *clientconn.Listener }

// listenerOptions returns the bounds of the listeners of callers, peers and operators.
func (n *Node) listenerOptions() (callers, peers, operators clientconn.ListenerOptions) {
	s := n.opt.Settings
	callers = clientconn.ListenerOptions{
		Name: "callers", MaxConns: s.MaxConnections, ChargeBodies: true, Sockets: clientconn.ClientSockets,
		RunBytes: int64(runBytes + defaults.BackendReceiveBytes + clientconn.ClientSockets.SendBytes),
		Refuse:   func(w http.ResponseWriter, r *http.Request) { n.entry.RefuseMemory(w, r) },
	}
	if callers.MaxConns == 0 {
		callers.MaxConns = connLimit(callersFileShare)
	}
	peers = clientconn.ListenerOptions{
		Name: "peers", MaxConns: connLimit(peersFileShare), ChargeBodies: true, HTTP2: !s.Peers.TLS.Enabled(),
		Sockets: peerSockets,
	}
	operators = clientconn.ListenerOptions{Name: "operators", MaxConns: connLimit(operatorsFileShare), Sockets: clientconn.ClientSockets}
	return callers, peers, operators
}
