package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/controller/owner"
	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// ownerCalls reaches the owners of engines: this node's own without the network.
type ownerCalls struct {
	self  string
	local *owner.Owner
	pool  *peer.Pool
}

// Acquire implements routing.Owners.
func (o *ownerCalls) Acquire(ctx context.Context, m blackboard.MemberEntry, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if m.Name == o.self {
		return o.local.Acquire(ctx, r)
	}
	return o.pool.Client(m.RPCAddress).Acquire(ctx, r)
}

// Release implements routing.Owners.
func (o *ownerCalls) Release(ctx context.Context, m blackboard.MemberEntry, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	if m.Name == o.self {
		return o.local.Release(ctx, r)
	}
	return o.pool.Client(m.RPCAddress).Release(ctx, r)
}

// keyring builds the keys of the fleet from the secrets of the settings, the signing key first.
// A key's id is taken from its hash, so that the order of two live keys does not matter.
func keyring(secrets [][]byte) (*peer.Keyring, error) {
	keys := make([]peer.Key, len(secrets))
	for i, secret := range secrets {
		hash := sha256.Sum256(append([]byte("cassiawall key id 1"), secret...))
		keys[i] = peer.Key{ID: binary.BigEndian.Uint32(hash[:]), Secret: secret}
	}
	return peer.NewKeyring(keys...)
}

// rpcServer answers the other nodes.
type rpcServer struct {
	peerpb.Peer
	node *Node
}

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
