package peers

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/limits"
)

// quotaMark is the first byte of a datagram with a limits.Message. No msgpack value begins with it.
const quotaMark = 0xc1

// SendQuota sends a message about the workspaces' quotas to another node.
func (l *Link) SendQuota(to string, m *limits.Message) error {
	data, err := appendEncoded([]byte{quotaMark}, m)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("parse peer address: %w", err)
	}
	_, err = l.conn.WriteToUDPAddrPort(data, address)
	return err
}

// handleQuota passes a message about quotas on, if the datagram holds one and this node has quotas. The sender is
// identified by its address.
func (l *Link) handleQuota(from netip.AddrPort, data []byte) (handled bool) {
	if l.opt.OnQuota == nil || len(data) == 0 || data[0] != quotaMark {
		return false
	}
	m, err := decodeQuota(data[1:])
	if err != nil {
		event.PeerMessageSkipped.Emit(l.opt.Logger, "error", err.Error())
		return true
	}
	l.opt.OnQuota(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), m)
	return true
}

func decodeQuota(data []byte) (*limits.Message, error) {
	if err := checkLengths(data, 1); err != nil {
		return nil, fmt.Errorf("decode quota message of %d bytes: %w", len(data), err)
	}
	var m limits.Message
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Decode(&m); err != nil {
		return nil, fmt.Errorf("decode quota message of %d bytes: %w", len(data), err)
	}
	return &m, nil
}

// QuotaEnv returns what the link knows about the other nodes: the sender of the last leader heartbeat or "", the standbys, and
// some peers.
func (l *Link) QuotaEnv() (heard string, standbys, peers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heartbeatFrom, slices.Clone(l.standbys), pickRandom(l.knownPeers, randomPeerCount)
}
