package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
)

// QuotaReport implements peers.Board.
func (b *board) QuotaReport() []byte { return b.node.registry.QuotaReport().Encode() }

// AddQuotaReport implements peers.Board.
func (b *board) AddQuotaReport(node string, report []byte) (changed bool) {
	b.distributorMu.Lock()
	defer b.distributorMu.Unlock()
	return b.distributor.AddReport(node, quota.DecodeReport(report), clock.Now())
}

// IssuePermits implements peers.Board.
func (b *board) IssuePermits(nodes []string) map[string][]byte {
	own, servers, now := b.node.registry.QuotaReport(), b.node.registry.LimitableServers(), clock.Now()
	b.distributorMu.Lock()
	defer b.distributorMu.Unlock()
	b.distributor.AddReport(b.node.opt.Settings.PeerAddress, own, now)
	permits := make(map[string][]byte, len(nodes))
	for node, p := range b.distributor.Issue(servers, nodes, now) {
		permits[node] = p.Encode()
	}
	return permits
}

// ApplyPermits implements peers.Board.
func (b *board) ApplyPermits(permits []byte, issuedAt time.Time) {
	if p, ok := quota.DecodePermits(permits); ok && !issuedAt.IsZero() {
		b.node.registry.ApplyPermits(p, issuedAt)
	}
}

// setLimited marks the states of the backend servers that state a limit. A new leader does not have the reports of all
// nodes and adds what its predecessor announced.
func (b *board) setLimited(states []backends.State) {
	b.distributorMu.Lock()
	defer b.distributorMu.Unlock()
	var known map[uint32]bool
	if !b.distributor.Authoritative(clock.Now()) {
		known = b.node.registry.LimitedHashes()
	}
	for i := range states {
		states[i].Limited = b.distributor.Limited(states[i].Hash) || known[states[i].Hash]
	}
}
