package peer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// Headers of an authenticated call and its reply.
const (
	headerKey       = "X-Cassiawall-Key"
	headerSent      = "X-Cassiawall-Sent"
	headerNonce     = "X-Cassiawall-Nonce"
	headerSignature = "X-Cassiawall-Signature"
)

// Labels keep a code of one use from being valid for another.
var (
	labelCall     = []byte("cassiawall call 1")
	labelReply    = []byte("cassiawall reply 1")
	labelDatagram = []byte("cassiawall datagram 1")
)

// refusalLogInterval bounds the log when somebody sends many wrong messages.
const refusalLogInterval = time.Second

// AuthOptions configure an Auth.
type AuthOptions struct {
	Keyring *Keyring
	// Address is the RPC address under which the other nodes know this one. Calls that were
	// signed for another address are refused. Empty accepts calls for any address.
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

// signCall adds the headers of an authenticated call and returns the nonce that the reply is
// bound to.
func (a *Auth) signCall(r *http.Request, target string, body []byte) nonce {
	n := newNonce()
	sent := strconv.FormatInt(a.now().UnixMilli(), 10)
	id, mac := a.keyring.sign(callParts(r.URL.Path, target, sent, n, body)...)
	r.Header.Set(headerKey, strconv.FormatUint(uint64(id), 10))
	r.Header.Set(headerSent, sent)
	r.Header.Set(headerNonce, hex.EncodeToString(n[:]))
	r.Header.Set(headerSignature, base64.StdEncoding.EncodeToString(mac))
	return n
}

// checkCall returns the call's nonce, or the reason why it is refused.
func (a *Auth) checkCall(r *http.Request, body []byte) (n nonce, reason string) {
	if a.address != "" && r.Host != a.address {
		return n, "signed for another node"
	}
	id, mac, ok := signature(r.Header)
	if !ok {
		return n, "not signed"
	}
	raw, err := hex.DecodeString(r.Header.Get(headerNonce))
	if err != nil || len(raw) != len(n) {
		return n, "bad nonce"
	}
	copy(n[:], raw)
	sent := r.Header.Get(headerSent)
	if !a.keyring.verify(id, mac, callParts(r.URL.Path, r.Host, sent, n, body)...) {
		return n, "wrong signature"
	}
	ms, err := strconv.ParseInt(sent, 10, 64)
	if err != nil || !a.replay.fresh(a.now(), time.UnixMilli(ms), n) {
		return n, "replayed or outside the time window"
	}
	return n, ""
}

func callParts(path, target, sent string, n nonce, body []byte) [][]byte {
	hash := sha256.Sum256(body)
	return [][]byte{labelCall, []byte(path), []byte(target), []byte(sent), n[:], hash[:]}
}

func (a *Auth) signReply(h http.Header, n nonce, status int, body []byte) {
	id, mac := a.keyring.sign(replyParts(n, status, body)...)
	h.Set(headerKey, strconv.FormatUint(uint64(id), 10))
	h.Set(headerSignature, base64.StdEncoding.EncodeToString(mac))
}

func (a *Auth) checkReply(h http.Header, n nonce, status int, body []byte) bool {
	id, mac, ok := signature(h)
	return ok && a.keyring.verify(id, mac, replyParts(n, status, body)...)
}

func replyParts(n nonce, status int, body []byte) [][]byte {
	hash := sha256.Sum256(body)
	return [][]byte{labelReply, n[:], binary.BigEndian.AppendUint32(nil, uint32(status)), hash[:]}
}

func signature(h http.Header) (id uint32, mac []byte, ok bool) {
	wide, err := strconv.ParseUint(h.Get(headerKey), 10, 32)
	if err != nil {
		return 0, nil, false
	}
	mac, err = base64.StdEncoding.DecodeString(h.Get(headerSignature))
	return uint32(wide), mac, err == nil && len(mac) == sha256.Size
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
