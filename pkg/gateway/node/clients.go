package node

import (
	"net"
	"net/http"

	"cassiawall.example/cassiawall/pkg/clientconn"
)

const (
	// connMemoryShare is the share of the process's memory that clients' connections, the heads of requests and running
	// requests may use. With bodyMemoryShare it leaves 45% for the objects, the heap's overhead and the program: a node of
	// 120 MB has 36 MB for connections, which is 430 running requests.
	connMemoryShare = 0.25
	// runBytes is what a running request holds besides its head and body, in bytes: its goroutines, the connection to the
	// backend server, and buffers. 200 unread streams held 65 KB each.
	runBytes = 64 << 10
	// maxFields bounds the fields of a head. Heads of 16,384 bytes, the limit of the configurations, have at most 5,461.
	maxFields = 5500
	// headerMargin is what net/http allows above the bound of a head, in bytes.
	headerMargin = 4 << 10
	// socketBytes bounds the system's buffers of a connection for each direction. Linux lets them grow to several MB for a
	// client that does not read, or that sends while its request runs; 256 KB carry 8 MB/s at a round trip of 30 ms.
	socketBytes = 256 << 10

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
		MaxBytes: int64(connMemoryShare * n.opt.Settings.MemoryMB * (1 << 20)), Logger: n.opt.Logger, Metrics: n.opt.Metrics,
	})
}

// connLimit returns the bound of the connections of a listener with a share of the descriptors, or 0 for none.
func (n *Node) connLimit(share float64) int {
	if n.opt.Settings.MaxDescriptors == 0 {
		return 0
	}
	return max(minDescriptors, int(share*float64(n.opt.Settings.MaxDescriptors-fileDescriptors)))
}

// serveClients serves requests of clients.
func (n *Node) serveClients(s *http.Server, l net.Listener) error {
	return n.serve(s, l, clientconn.ListenerOptions{
		Name: "clients", MaxConns: n.connLimit(clientDescriptorShare), MaxFields: maxFields, RunBytes: runBytes,
		Refuse: n.requests.RefuseMemory,
	})
}

// serveOthers serves a listener that is not for clients, and to which they may connect nevertheless.
func (n *Node) serveOthers(s *http.Server, l net.Listener, name string, share float64) error {
	return n.serve(s, l, clientconn.ListenerOptions{Name: name, MaxConns: n.connLimit(share), MaxFields: maxFields})
}

func (n *Node) serve(s *http.Server, l net.Listener, opt clientconn.ListenerOptions) error {
	s.MaxHeaderBytes, opt.MaxHeadBytes, opt.HeadTimeout = maxHeaderBytes, maxHeaderBytes+headerMargin, headerTimeout
	if n.opt.Settings.MemoryMB > 0 {
		opt.SocketBytes = socketBytes
	}
	bounded := n.connections.Listen(l, opt)
	bounded.Configure(s)
	return s.Serve(bounded)
}
