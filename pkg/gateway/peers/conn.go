package peers

import "net/netip"

// Conn is the part of a net.UDPConn that a link uses.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// New returns a link that exchanges its datagrams over conn.
func New(opt Options, conn Conn) *Link {
	l := &Link{opt: opt, conn: conn, timestamps: newTimestamps(), reports: map[string]loadReport{}, nodes: 1}
	l.AddPeers(opt.Seeds)
	return l
}
