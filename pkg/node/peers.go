package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/controller/owner"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/settings"
	"cassiawall.example/cassiawall/pkg/tlsconfig"
)

// ownerClient calls the owners of engines. Calls to this node's own owner do not use the network.
type ownerClient struct {
	self  string
	local *owner.Owner
	pool  *peer.Pool
}

// Acquire implements routing.Owners.
func (c *ownerClient) Acquire(ctx context.Context, owner blackboard.MemberEntry, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if owner.Name == c.self {
		return c.local.Acquire(ctx, request)
	}
	return c.pool.Client(owner.RPCAddress).Acquire(ctx, request)
}

// Release implements routing.Owners.
func (c *ownerClient) Release(ctx context.Context, owner blackboard.MemberEntry, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	if owner.Name == c.self {
		return c.local.Release(ctx, request)
	}
	return c.pool.Client(owner.RPCAddress).Release(ctx, request)
}

// claimClient calls the preferred writers of claim shards. A claim is the record that lets a request
// run at most once; the claims are divided into shards.
type claimClient struct {
	board *blackboard.Board
	pool  *peer.Pool
}

// Claim implements claims.Peer.
func (c *claimClient) Claim(ctx context.Context, node string, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	client, err := c.client(node)
	if err != nil {
		return nil, err
	}
	return client.Claim(ctx, request)
}

// RecordOutcome implements claims.Peer.
func (c *claimClient) RecordOutcome(ctx context.Context, node string, request *peerpb.RecordOutcomeRequest) (*peerpb.RecordOutcomeReply, error) {
	client, err := c.client(node)
	if err != nil {
		return nil, err
	}
	return client.RecordOutcome(ctx, request)
}

func (c *claimClient) client(node string) (peerpb.Peer, error) {
	member, ok := c.board.Members.Get(node)
	if !ok {
		return nil, fault.New(fault.BackendUnavailable, "node %s is not a member", node)
	}
	return c.pool.Client(member.Value.RPCAddress), nil
}

// keyring returns the fleet's keys for the secrets of the settings, the signing key first. The ID of a
// key is derived from the hash of its secret, so that all nodes use the same ID whatever the order of
// the secrets.
func keyring(secrets [][]byte) (*peer.Keyring, error) {
	keys := make([]peer.Key, len(secrets))
	for i, secret := range secrets {
		hash := sha256.Sum256(append([]byte("cassiawall key id 1"), secret...))
		keys[i] = peer.Key{ID: binary.BigEndian.Uint32(hash[:]), Secret: secret}
	}
	return peer.NewKeyring(keys...)
}

// rpcServer serves the RPC calls of other nodes.
type rpcServer struct{ node *Node }

var _ peerpb.Peer = (*rpcServer)(nil)

// Acquire implements peerpb.Peer.
func (s *rpcServer) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return s.node.owner.Acquire(ctx, r)
}

// Release implements peerpb.Peer.
func (s *rpcServer) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return s.node.owner.Release(ctx, r)
}

// FetchBurn implements peerpb.Peer.
func (s *rpcServer) FetchBurn(ctx context.Context, r *peerpb.FetchBurnRequest) (*peerpb.FetchBurnReply, error) {
	return s.node.report.FetchBurn(ctx, r)
}

// Status implements peerpb.Peer.
func (s *rpcServer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	document, err := s.node.status.JSON()
	return &peerpb.StatusReply{Document: document}, err
}

// Claim implements peerpb.Peer.
func (s *rpcServer) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.node.claims.Claim(ctx, r)
}

// RecordOutcome implements peerpb.Peer.
func (s *rpcServer) RecordOutcome(ctx context.Context, r *peerpb.RecordOutcomeRequest) (*peerpb.RecordOutcomeReply, error) {
	return s.node.claims.RecordOutcome(ctx, r)
}

// peerPool returns the pool of RPC clients for other nodes. Either all nodes use TLS on their peers'
// listeners, or none does.
func peerPool(files settings.TLS, auth *peer.Auth, logger *slog.Logger) (*peer.Pool, error) {
	if !files.Enabled() {
		return peer.NewPool(auth), nil
	}
	source, err := tlsconfig.New(files, logger, time.Now)
	if err != nil {
		return nil, err
	}
	return peer.NewTLSPool(auth, source.Client()), nil
}

// FetchConfig implements peerpb.Peer.
func (s *rpcServer) FetchConfig(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return peer.FetchConfig(s.node.board, r), nil
}

// Bootstrap implements peerpb.Peer.
func (s *rpcServer) Bootstrap(context.Context, *peerpb.BootstrapRequest) (*peerpb.BootstrapReply, error) {
	var prefixes []*peerpb.SoftPrefix
	for _, p := range s.node.placer.CachedPrefixes(maxBootstrapPrefixes) {
		prefixes = append(prefixes, &peerpb.SoftPrefix{Key: p.PrefixHash, Engine: p.Engine, Incarnation: p.Incarnation, Depth: uint32(p.Pieces)})
	}
	return peer.Bootstrap(s.node.board, prefixes), nil
}

// importPrefixes adds the prefix index entries of a peer's bootstrap reply to this node's prefix index.
func (n *Node) importPrefixes(list []*peerpb.SoftPrefix) {
	prefixes := make([]placement.CachedPrefix, len(list))
	for i, p := range list {
		prefixes[i] = placement.CachedPrefix{PrefixHash: p.GetKey(), Engine: p.GetEngine(), Incarnation: p.GetIncarnation(), Pieces: int(p.GetDepth())}
	}
	n.refreshPlacement()
	n.placer.ImportPrefixes(time.Now(), prefixes)
}

// followMembers cancels calls to nodes that membership reports as suspect for a while, dead or left.
func (n *Node) followMembers(ctx context.Context) error { return n.pool.WatchMembers(ctx, n.board) }
