package scale

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"cassiawall.example/cassiawall/pkg/peer"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

func init() {
	Register(Role{
		Name:     "peer_calls",
		SizeUnit: "requests",
		// One minute at one node: 5,200 requests/s over 400 nodes are 13 requests/s per node.
		TargetSize: 13 * 60,
		Sizes:      []int{500, 1000, 2000, 4000},
		Measure:    measurePeerCalls,
	})
}

// piecesPerCall is the number of prefix hashes, one per piece, in a call of Acquire.
const piecesPerCall = 10

// measurePeerCalls measures the peer calls of a number of requests, each with one Acquire and two
// Releases over an authenticated persistent connection. The CPU time is the sum of client and
// server.
func measurePeerCalls(ctx context.Context, requests int) (map[string]float64, error) {
	var listener countingListener
	client, stop, err := startPeerServer(&listener)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := callAsRequest(ctx, client, 0); err != nil {
		return nil, err
	}
	bytesBefore, cpuBefore := listener.bytes.Load(), cpuTime()
	for i := range requests {
		if err := callAsRequest(ctx, client, i+1); err != nil {
			return nil, err
		}
	}
	return map[string]float64{
		"bytes":       float64(listener.bytes.Load() - bytesBefore),
		"cpu_seconds": (cpuTime() - cpuBefore).Seconds(),
	}, nil
}

// startPeerServer starts a server that grants every Acquire, and returns a client for it. stop closes
// both.
func startPeerServer(listener *countingListener) (client peerpb.Peer, stop func(), err error) {
	keys, err := peer.NewKeyring(peer.Key{ID: 1, Secret: make([]byte, peer.MinSecretBytes)})
	if err != nil {
		return nil, nil, err
	}
	if listener.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, nil, err
	}
	address := listener.Addr().String()
	auth := func() *peer.Auth {
		return peer.NewAuth(peer.AuthOptions{Keyring: keys, Address: address, Logger: slog.New(slog.DiscardHandler)})
	}
	server := &http.Server{Handler: peer.NewServer(grantingPeer{}, auth())}
	peer.Configure(server)
	// Serve returns when stop closes the server.
	go func() { _ = server.Serve(listener) }()
	pool := peer.NewPool(auth())
	return pool.Client(address), func() {
		pool.Close()
		_ = server.Close()
	}, nil
}

// callAsRequest makes the peer calls of one request. The number makes its prefix hashes unique.
func callAsRequest(ctx context.Context, client peerpb.Peer, number int) error {
	acquire := &peerpb.AcquireRequest{RequestId: "0123456789abcdef0123456789abcdef", Engine: "engine-123", Workspace: "workspace-12345",
		EntryNode: "node-123", MaxOutputTokens: 256, DeadlineMs: 30_000, DeclineOverMs: 400, Weight: 1, AgeMs: 1}
	for piece := range piecesPerCall {
		acquire.Keys = append(acquire.Keys, uint64(number*piecesPerCall+piece)*hashMultiplier)
		acquire.PieceTokens = append(acquire.PieceTokens, 4000)
	}
	if _, err := client.Acquire(ctx, acquire); err != nil {
		return err
	}
	for _, stage := range []peerpb.ReleaseRequest_Stage{peerpb.ReleaseRequest_FIRST_TOKEN, peerpb.ReleaseRequest_DONE} {
		if _, err := client.Release(ctx, &peerpb.ReleaseRequest{Slot: uint64(number), Engine: acquire.Engine, Stage: stage, ReusedTokens: 36_000}); err != nil {
			return err
		}
	}
	return nil
}

// grantingPeer responds to calls as the owner of an engine with a free slot does.
type grantingPeer struct{ peerpb.Peer }

func engineSummary(engine string) *peerpb.EngineSummary {
	return &peerpb.EngineSummary{Engine: engine, Incarnation: "engine-123-1-0123abcd", Owner: "node-321", Running: 8, Queued: 2,
		BacklogTokens: 12_000, PrefillRate: 20_000, StepUs: 12_000, Version: 1 << 50, Model: "lugha", WeightsVersion: "v1"}
}

// Acquire implements peerpb.Peer.
func (grantingPeer) Acquire(_ context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return &peerpb.AcquireReply{Verdict: peerpb.AcquireReply_GRANTED, Slot: 1 << 60, CachedPieces: 9, PredictedMs: 100,
		Incarnation: "engine-123-1-0123abcd", Summary: engineSummary(r.Engine)}, nil
}

// Release implements peerpb.Peer.
func (grantingPeer) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return &peerpb.ReleaseReply{Summary: engineSummary(r.Engine)}, nil
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
