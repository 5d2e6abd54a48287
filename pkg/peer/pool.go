package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Limits of calls between nodes.
const (
	// DefaultCallTimeout is the timeout of a call whose context has no deadline.
	DefaultCallTimeout  = 2 * time.Second
	dialTimeout         = time.Second
	idleTimeout         = 90 * time.Second
	maxIdleConnsPerNode = 8
	// pingInterval is the time without received data after which a connection is pinged. A
	// connection whose ping is not acknowledged within pingTimeout is closed, so that it is not
	// used after a network partition: TCP's own retransmission can then delay calls for minutes.
	// Pings of 400 idle connections take about 0.5 KB/s.
	pingInterval = 30 * time.Second
	pingTimeout  = 5 * time.Second
	// maxClients limits the cached clients. Those of replaced nodes are never used again. A client
	// that was removed from the cache is created again and reuses its connections.
	maxClients = 2000
	// maxReplyBytes limits a reply. The largest is that of Bootstrap, with a configuration of up to
	// 8 MB, members, engines and cached prefixes of the prefix index.
	maxReplyBytes = 16 << 20
)

// Pool creates clients for the RPC addresses of members and pools their connections. It is safe for
// concurrent use.
type Pool struct {
	scheme    string
	transport *http.Transport
	auth      *Auth
	canceller *callCanceller

	mu      sync.Mutex
	clients map[string]peerpb.Peer
}

// NewTLSPool returns a pool that signs its calls with auth and makes them over TLS.
func NewTLSPool(auth *Auth, config *tls.Config) *Pool {
	p := NewPool(auth)
	p.scheme = "https"
	p.transport.Protocols = protocols(true)
	p.transport.TLSClientConfig = config
	return p
}

// NewPool returns a pool that signs its calls with auth.
func NewPool(auth *Auth) *Pool {
	return &Pool{
		scheme: "http",
		transport: &http.Transport{
			Protocols:           protocols(false),
			HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerNode,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes,
		},
		auth:      auth,
		canceller: newCallCanceller(),
		clients:   map[string]peerpb.Peer{},
	}
}

// Client returns the client for an RPC address (host:port). A call whose context has no
// deadline ends after DefaultCallTimeout. Cancelling a call's context cancels the call on the
// callee.
func (p *Pool) Client(address string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if len(p.clients) >= maxClients {
		clear(p.clients)
	}
	c := peerpb.NewPeerProtobufClient(p.scheme+"://"+address, &caller{transport: p.transport, auth: p.auth, canceller: p.canceller})
	p.clients[address] = c
	return c
}

// Close closes idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// caller implements the HTTPClient interface of the generated Twirp clients.
type caller struct {
	transport http.RoundTripper
	auth      *Auth
	canceller *callCanceller
}

// Do signs the call, sends it and checks the reply's signature. The error is of kind
// fault.Unauthenticated if the reply is not from a node that has a key.
func (c *caller) Do(r *http.Request) (*http.Response, error) {
	ctx, cancel := withDefaultDeadline(r.Context())
	defer cancel()
	ctx, detach := c.canceller.attach(ctx, r.URL.Host)
	defer detach()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(ctx)
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	removeUnusedHeaders(signed.Header)
	n := c.auth.signCall(signed, r.URL.Host, body)
	response, err := c.transport.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	return c.verifyReply(response, n)
}

// removeUnusedHeaders removes headers of Twirp and net/http that no node reads, to save traffic.
func removeUnusedHeaders(h http.Header) {
	h.Del("Accept")
	h.Del("Twirp-Version")
	// An empty value keeps net/http from sending its own.
	h["User-Agent"] = []string{""}
}

func (c *caller) verifyReply(response *http.Response, n nonce) (*http.Response, error) {
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(reply) > maxReplyBytes {
		return nil, fault.New(fault.Internal, "reply of a peer exceeds %d bytes", maxReplyBytes).WithWork(fault.Unknown)
	}
	response.Body = io.NopCloser(bytes.NewReader(reply))
	if response.StatusCode == http.StatusUnauthorized {
		return response, nil
	}
	if !c.auth.checkReply(response.Header, n, response.StatusCode, reply) {
		return nil, fault.New(fault.Unauthenticated, "reply of a peer has no valid signature").WithWork(fault.Unknown)
	}
	return response, nil
}

func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultCallTimeout)
}
