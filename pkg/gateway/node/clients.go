package node

import (
	"net"
	"net/http"

	"cassiawall.example/cassiawall/pkg/clientconn"
	"cassiawall.example/cassiawall/pkg/defaults"
)

const (
	// connMemoryShare is the share of the process's memory that clients' connections, the heads of requests and running
	// requests may use, with the system's buffers for them, and largeBufferShare that of large buffers. A node of 120 MB has 36 MB
	// for connections, which is 249 running requests or 1,024 connections. With bodyMemoryShare they leave 37% for the
	// connections that wait to be accepted, the objects, the heap's overhead and the program.
	connMemoryShare  = 0.3
	largeBufferShare = 0.08
	// runBytes is what a running request holds besides its head and body, in bytes: its goroutines, the connection to the
	// backend server, and buffers. 200 unread streams held 65 KB each. The system's buffers for its response are added.
	runBytes = 64 << 10
	// maxFields bounds the fields of a head. Heads of 16,384 bytes, the limit of the configurations, have at most 5,461.
	maxFields = 5500
	// headerMargin is what net/http allows above the bound of a head, in bytes.
	headerMargin = 4 << 10
	// fileDescriptors are the descriptors for files. The rest of Settings.MaxDescriptors is shared between the listeners and
	// the connections that the node opens.
	fileDescriptors = 200
	// clientDescriptorShare is the share of the clients' listener, whose requests each need a connection to a backend server:
	// 45% are left for these, for peers and for the store.
	clientDescriptorShare = 0.45
	// peerDescriptorShare is the share of the listener for other nodes, and otherDescriptorShare that of readiness checks and of
	// metrics. Each has at least minDescriptors.
	peerDescriptorShare  = 0.08
	otherDescriptorShare = 0.01
	minDescriptors       = 8
)

// newConnections returns the bound of what clients' connections hold.
func (n *Node) newConnections() *clientconn.Budget {
	return clientconn.New(clientconn.Options{
		MaxBytes: int64(connMemoryShare * n.opt.Settings.MemoryMB * (1 << 20)), MaxLargeBytes: int64(largeBufferShare * n.opt.Settings.MemoryMB * (1 << 20)),
		Logger: n.opt.Logger, Metrics: n.opt.Metrics,
	})
}

// otherSockets are the bounds of the listeners that are not for clients.
var otherSockets = clientconn.Sockets{ReceiveBytes: 4 << 10, SendBytes: 16 << 10, LargeBytes: 64 << 10, Backlog: 128}

// listen opens a listener whose connections have the given bounds, if the process's memory is limited.
func (n *Node) listen(network, address string, sockets clientconn.Sockets) (listener, error) {
	if n.opt.Settings.MemoryMB == 0 {
		sockets = clientconn.Sockets{}
	}
	l, err := clientconn.ListenTCP(network, address, sockets)
	return listener{Listener: l, sockets: sockets}, err
}

// listener is an open listener with the bounds of its connections.
type listener struct {
	net.Listener
	sockets clientconn.Sockets
}

// connLimit returns the bound of the connections of a listener with a share of the descriptors, or 0 for none.
func (n *Node) connLimit(share float64) int {
	if n.opt.Settings.MaxDescriptors == 0 {
		return 0
	}
	return max(minDescriptors, int(share*float64(n.opt.Settings.MaxDescriptors-fileDescriptors)))
}

// serveClients serves requests of clients.
func (n *Node) serveClients(s *http.Server, l listener) error {
	return n.serve(s, l, clientconn.ListenerOptions{
		Name: "clients", MaxConns: n.connLimit(clientDescriptorShare), MaxFields: maxFields,
		RunBytes: int64(runBytes + defaults.BackendReceiveBytes + clientconn.ClientSockets.SendBytes), Refuse: n.requests.RefuseMemory,
	})
}

// serveOthers serves a listener that is not for clients, and to which they may connect nevertheless.
func (n *Node) serveOthers(s *http.Server, l listener, name string, share float64) error {
	return n.serve(s, l, clientconn.ListenerOptions{Name: name, MaxConns: n.connLimit(share), MaxFields: maxFields})
}

func (n *Node) serve(s *http.Server, l listener, opt clientconn.ListenerOptions) error {
	s.MaxHeaderBytes, opt.MaxHeadBytes, opt.HeadTimeout = maxHeaderBytes, maxHeaderBytes+headerMargin, headerTimeout
	opt.Sockets = l.sockets
	bounded := n.connections.Listen(l.Listener, opt)
	bounded.Configure(s)
	return s.Serve(bounded)
}
