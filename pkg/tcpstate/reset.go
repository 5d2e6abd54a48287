package tcpstate

import (
	"net"
	"net/http"
)

// netConner is a connection over another one, such as of crypto/tls.
type netConner interface{ NetConn() net.Conn }

// lingerer is a *net.TCPConn, or a wrapper of one.
type lingerer interface{ SetLinger(seconds int) error }

// ResetUnframed resets the connection of a request of HTTP/1.0, whose handler ends before its response is complete. Such a
// response may have no length and then ends with its connection, so that one that is only closed seems complete. It does nothing
// for later versions: their responses have a length or chunks.
func ResetUnframed(w http.ResponseWriter, req *http.Request) {
	if req.ProtoAtLeast(1, 1) {
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if over, ok := c.(netConner); ok {
		// The alert that crypto/tls sends at Close would state a regular end.
		c = over.NetConn()
	}
	defer c.Close()
	if tcp, ok := c.(lingerer); ok {
		// Without lingering, Close sends RST instead of FIN. If the call fails, the connection has been closed.
		_ = tcp.SetLinger(0)
	}
}
