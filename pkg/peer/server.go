package peer

import (
	"bytes"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// maxCallBytes limits the body of a call. The largest is that of RecordOutcome, with the response of a
// backend server.
const maxCallBytes = 4 << 20

// Configure sets the protocols of a server whose handler is NewServer's. Nodes use HTTP/2 for calls
// to each other: its compressed headers take less than half of the bytes of HTTP/1.1, and a
// cancelled call does not close its connection. Without TLS it is HTTP/2 with prior knowledge.
func Configure(s *http.Server) {
	s.Protocols = protocols(false)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
}

// maxStreams limits the concurrent calls on one connection. It is high because Acquire calls stay open
// while they are queued.
const maxStreams = 1000

// protocols returns the protocols that a node uses for its calls.
func protocols(tls bool) *http.Protocols {
	var p http.Protocols
	p.SetHTTP2(tls)
	p.SetHTTP1(tls)
	p.SetUnencryptedHTTP2(!tls)
	return &p
}

// NewServer returns the handler of the node's RPC listener. Calls without a valid signature get
// the Twirp error "unauthenticated". Replies are signed and bound to the call.
func NewServer(impl peerpb.Peer, auth *Auth) http.Handler {
	return &server{next: peerpb.NewPeerServer(impl), auth: auth}
}

type server struct {
	next http.Handler
	auth *Auth
}

// ServeHTTP checks the call, runs it and signs the reply.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		s.refuse(w, r, "unreadable or too large")
		return
	}
	n, reason := s.auth.checkCall(r, body)
	if reason != "" {
		s.refuse(w, r, reason)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	reply := &bufferedReply{header: w.Header(), status: http.StatusOK}
	s.next.ServeHTTP(reply, r)
	// A nil entry keeps net/http from sending a Date header.
	w.Header()["Date"] = nil
	s.auth.signReply(w.Header(), n, reply.status, reply.body.Bytes())
	w.WriteHeader(reply.status)
	// A failed write means that the caller has disconnected, which also cancels the call's context.
	_, _ = w.Write(reply.body.Bytes())
}

func (s *server) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	s.auth.refusals.add(r.Context(), s.auth.now(), r.RemoteAddr, reason)
	// A failed write means that the caller has disconnected.
	_ = twirp.WriteError(w, twirp.Unauthenticated.Error("call refused: check the peer keys, the clocks and the address of both nodes"))
}

// bufferedReply buffers a reply until it is complete and can be signed.
type bufferedReply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedReply) Header() http.Header { return b.header }

func (b *bufferedReply) WriteHeader(status int) { b.status = status }

func (b *bufferedReply) Write(p []byte) (int, error) { return b.body.Write(p) }
