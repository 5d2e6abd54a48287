package peer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// headerAuth is the header that authenticates a call and its reply. In a call it holds the key id
// (4 bytes), the send time in Unix milliseconds (8), the nonce (8) and the HMAC-SHA256 truncated to
// 16 bytes; in a reply it holds the key id and the truncated HMAC. It is one short header, because
// the three calls that each request causes count against the limit of control traffic.
const (
	headerAuth     = "Cassiawall-Auth"
	callAuthBytes  = 4 + 8 + nonceBytes + macBytes
	replyAuthBytes = 4 + macBytes
)

// The labels separate the domains of the HMAC: one made for a call is not valid for a reply or a
// datagram.
var (
	labelCall     = []byte("cassiawall call 1")
	labelReply    = []byte("cassiawall reply 1")
	labelDatagram = []byte("cassiawall datagram 1")
)

// refusalLogInterval limits the log when many invalid messages arrive.
const refusalLogInterval = time.Second

// AuthOptions configure an Auth.
type AuthOptions struct {
	Keyring *Keyring
	// Address is the RPC address at which other nodes call this one. Calls that were signed for
	// another address are refused. Empty accepts calls for any address.
	Address string
	// Logger receives refusals, at most one record a second. Default: slog.Default().
	Logger *slog.Logger
	// Metrics receives the counter peer_calls_refused_total. Default: a registry of its own.
	Metrics *metrics.Registry
	// Now is the wall clock. Default: time.Now.
	Now func() time.Time
}

// Auth signs and checks calls between nodes.
type Auth struct {
	keyring  *Keyring
	address  string
	now      func() time.Time
	replay   replayCheck
	refusals *refusalLog
}

// NewAuth returns an Auth.
func NewAuth(o AuthOptions) *Auth {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Auth{
		keyring:  o.Keyring,
		address:  o.Address,
		now:      o.Now,
		refusals: newRefusalLog(event.PeerCallRefused, "peer_calls_refused_total", o.Logger, o.Metrics),
	}
}

// Refused returns the number of calls refused so far.
func (a *Auth) Refused() int64 { return a.refusals.counter.Count() }

// signCall sets the authentication header of a call and returns its nonce, to which the reply is
// bound.
func (a *Auth) signCall(r *http.Request, target string, body []byte) nonce {
	n := newNonce()
	sendTime := binary.BigEndian.AppendUint64(nil, uint64(a.now().UnixMilli()))
	id, mac := a.keyring.sign(callMACInput(r.URL.Path, target, sendTime, n, body)...)
	value := binary.BigEndian.AppendUint32(nil, id)
	value = append(value, sendTime...)
	value = append(value, n[:]...)
	value = append(value, mac[:macBytes]...)
	r.Header.Set(headerAuth, base64.RawURLEncoding.EncodeToString(value))
	return n
}

// checkCall returns the call's nonce, and the reason for refusing the call or an empty reason.
func (a *Auth) checkCall(r *http.Request, body []byte) (n nonce, reason string) {
	if a.address != "" && r.Host != a.address {
		return n, "signed for another node"
	}
	value, err := base64.RawURLEncoding.DecodeString(r.Header.Get(headerAuth))
	if err != nil || len(value) != callAuthBytes {
		return n, "not signed"
	}
	id, sendTime := binary.BigEndian.Uint32(value), value[4:12]
	copy(n[:], value[12:12+nonceBytes])
	if !a.keyring.verify(id, value[12+nonceBytes:], callMACInput(r.URL.Path, r.Host, sendTime, n, body)...) {
		return n, "wrong signature"
	}
	sent := time.UnixMilli(int64(binary.BigEndian.Uint64(sendTime)))
	if !a.replay.accept(a.now(), sent, n) {
		return n, "replayed or outside the time window"
	}
	return n, ""
}

func callMACInput(path, target string, sendTime []byte, n nonce, body []byte) [][]byte {
	hash := sha256.Sum256(body)
	return [][]byte{labelCall, []byte(path), []byte(target), sendTime, n[:], hash[:]}
}

func (a *Auth) signReply(h http.Header, n nonce, status int, body []byte) {
	id, mac := a.keyring.sign(replyMACInput(n, status, body)...)
	value := append(binary.BigEndian.AppendUint32(nil, id), mac[:macBytes]...)
	h.Set(headerAuth, base64.RawURLEncoding.EncodeToString(value))
}

func (a *Auth) checkReply(h http.Header, n nonce, status int, body []byte) bool {
	value, err := base64.RawURLEncoding.DecodeString(h.Get(headerAuth))
	if err != nil || len(value) != replyAuthBytes {
		return false
	}
	return a.keyring.verify(binary.BigEndian.Uint32(value), value[4:], replyMACInput(n, status, body)...)
}

func replyMACInput(n nonce, status int, body []byte) [][]byte {
	hash := sha256.Sum256(body)
	return [][]byte{labelReply, n[:], binary.BigEndian.AppendUint32(nil, uint32(status)), hash[:]}
}

func newNonce() nonce {
	var n nonce
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(n[:])
	return n
}

// refusalLog counts refused messages and logs them at a bounded rate.
type refusalLog struct {
	event      event.Event
	logger     *slog.Logger
	counter    gometrics.Counter
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func newRefusalLog(e event.Event, metric string, logger *slog.Logger, registry *metrics.Registry) *refusalLog {
	if logger == nil {
		logger = slog.Default()
	}
	if registry == nil {
		registry = metrics.New()
	}
	return &refusalLog{
		event:   e,
		logger:  logger,
		counter: registry.Counter(metric),
		limiter: rate.NewLimiter(rate.Every(refusalLogInterval), 1),
	}
}

func (l *refusalLog) add(ctx context.Context, now time.Time, from, reason string) {
	l.counter.Inc(1)
	if !l.limiter.AllowN(now, 1) {
		l.suppressed.Add(1)
		return
	}
	l.event.Log(ctx, l.logger,
		slog.String("from", from),
		slog.String("reason", reason),
		slog.Int64("not_logged", l.suppressed.Swap(0)))
}
