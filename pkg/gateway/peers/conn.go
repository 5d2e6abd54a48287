package peers

import "net"

// Conn is the part of a net.UDPConn that a link uses.
type Conn interface {
	ReadFromUDP(b []byte) (n int, from *net.UDPAddr, err error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// New returns a link that exchanges its datagrams over conn.
func New(opt Options, conn Conn) *Link {
	l := &Link{opt: opt, conn: conn, timestamps: newTimestamps(), reports: map[string]loadReport{}, nodes: 1}
	l.AddPeers(opt.Seeds)
	return l
}
