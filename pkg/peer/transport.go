package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// readBufferBytes is the size of the socket's receive buffer. It holds the datagrams that arrive
// during a pause of the process of about a second while all nodes of a fleet start.
const readBufferBytes = 1 << 20

// TransportOptions configure a Transport.
type TransportOptions struct {
	// Listen is the address of the UDP socket (host:port).
	Listen string
	// Advertise is the address under which other nodes reach the socket. Default: the socket's
	// own address, which must then not be unspecified.
	Advertise string
	Keyring   *Keyring
	// Logger receives dropped datagrams, at most one record a second. Default: slog.Default().
	Logger *slog.Logger
	// Metrics receives the counters gossip_*. Default: a registry of its own.
	Metrics *metrics.Registry
	// Now is the wall clock. Default: time.Now.
	Now func() time.Time
}

// Transport sends and receives authenticated datagrams.
type Transport struct {
	conn      *net.UDPConn
	codec     codec
	refusals  *refusalLog
	dropped   map[string]gometrics.Counter
	sent      gometrics.Counter
	sentBytes gometrics.Counter
	received  gometrics.Counter
	readBytes gometrics.Counter
}

// Listen opens the UDP socket. The error is of kind fault.InvalidSettings.
func Listen(o TransportOptions) (*Transport, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	conn, err := openSocket(o.Listen)
	if err != nil {
		return nil, err
	}
	own, err := advertisedAddress(conn, o.Advertise)
	if err != nil {
		// An error of Close is less useful than the address error.
		_ = conn.Close()
		return nil, err
	}
	t := &Transport{
		conn:      conn,
		codec:     codec{keyring: o.Keyring, ownAddress: own, now: o.Now},
		refusals:  newRefusalLog(event.DatagramRefused, "gossip_datagrams_refused_total", o.Logger, o.Metrics),
		dropped:   map[string]gometrics.Counter{},
		sent:      o.Metrics.Counter("gossip_datagrams_sent_total"),
		sentBytes: o.Metrics.Counter("gossip_bytes_sent_total"),
		received:  o.Metrics.Counter("gossip_datagrams_received_total"),
		readBytes: o.Metrics.Counter("gossip_bytes_received_total"),
	}
	for _, reason := range []string{dropSize, dropSignature, dropReplay, dropMalformed, dropSend} {
		t.dropped[reason] = o.Metrics.Counter("gossip_datagrams_dropped_total", "reason", reason)
	}
	return t, nil
}

func openSocket(address string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "invalid gossip address %q", address)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "invalid gossip address %q", address)
	}
	// An error is ignored: the kernel can limit the size of the receive buffer, and the socket also works
	// with the default size.
	_ = conn.SetReadBuffer(readBufferBytes)
	return conn, nil
}

func advertisedAddress(conn *net.UDPConn, address string) (string, error) {
	if address == "" {
		address = conn.LocalAddr().String()
	}
	own, err := resolveAddress(address)
	if err != nil {
		return "", err
	}
	if own.Addr().IsUnspecified() {
		return "", fault.New(fault.InvalidSettings, "gossip address %s is unspecified and other nodes cannot send to it; set gossip.advertise", own)
	}
	return own.String(), nil
}

func resolveAddress(address string) (netip.AddrPort, error) {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()), nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return netip.AddrPort{}, fault.Wrap(err, fault.InvalidSettings, "invalid gossip address %q", address)
	}
	parsed := resolved.AddrPort()
	return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()), nil
}

// Address returns the address under which other nodes reach this one.
func (t *Transport) Address() string { return t.codec.ownAddress }

// Send sends a message to the node at address. An error means that the message was not sent. Without
// an error the message can still be lost, because UDP does not guarantee delivery.
func (t *Transport) Send(address string, message *peerpb.Gossip) error {
	to, err := resolveAddress(address)
	if err != nil {
		t.dropped[dropSend].Inc(1)
		return err
	}
	data, err := t.codec.encode(to.String(), message)
	if err != nil {
		t.dropped[dropSize].Inc(1)
		return err
	}
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.dropped[dropSend].Inc(1)
		return fault.Wrap(err, fault.Internal, "cannot send gossip datagram to %s", to)
	}
	t.sent.Inc(1)
	t.sentBytes.Inc(int64(len(data)))
	return nil
}

// Run calls handle for each valid message until ctx ends, then closes the socket and returns nil. It
// makes all calls from one goroutine.
func (t *Transport) Run(ctx context.Context, handle func(from string, message *peerpb.Gossip)) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	// The additional byte reveals datagrams that are too long, which would otherwise be truncated.
	buffer := make([]byte, MaxDatagramBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(err, fault.Internal, "gossip socket closed")
		}
		if err != nil {
			continue
		}
		t.receive(ctx, buffer[:n], from, handle)
	}
}

func (t *Transport) receive(ctx context.Context, data []byte, from netip.AddrPort, handle func(string, *peerpb.Gossip)) {
	t.received.Inc(1)
	t.readBytes.Inc(int64(len(data)))
	message, reason := t.codec.decode(data)
	if reason != "" {
		t.dropped[reason].Inc(1)
		t.refusals.add(ctx, t.codec.now(), from.String(), reason)
		return
	}
	handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), message)
}

// Close closes the socket of a transport that does not run.
func (t *Transport) Close() error { return t.conn.Close() }
