// Package entry serves the API of a node's clients, called callers here. It authenticates requests,
// checks limits, splits prompts into pieces (runs of tokens that engines cache as a unit), routes
// generation requests to engines and forwards calls of plain services to backend servers.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/routing"
)

// Limiter enforces the rate and concurrency limits of workspaces. Package limits implements it.
type Limiter interface {
	// Allow charges one request and its tokens to the rate limits of the workspace. If ok is false,
	// nothing is charged and retryAfter is the time after which a retry can succeed.
	Allow(now time.Time, workspace string, tokens int) (ok bool, retryAfter time.Duration)
	// AcquireConcurrency counts a request as in progress. It returns false if the concurrency limit of
	// the workspace is reached.
	AcquireConcurrency(now time.Time, workspace string) bool
	// ReleaseConcurrency ends a request for which AcquireConcurrency returned true.
	ReleaseConcurrency(now time.Time, workspace string)
}

// Services forwards calls of plain services to backend servers.
type Services interface {
	// Dispatch serves r. The caller is authenticated and its workspace may use the route.
	Dispatch(w http.ResponseWriter, r *http.Request, call ServiceCall)
}

// ServiceCall is an authenticated call of a plain service.
type ServiceCall struct {
	RequestID string
	Workspace *config.Workspace
	Service   *config.Service
	Route     *config.Route
}

// Outcome summarizes a generation request for the service-level report.
type Outcome struct {
	Workspace      string
	Model          string
	WeightsVersion string
	// TTFT is the time from the arrival of the request to the first token, or zero if there was none.
	TTFT time.Duration
	// WaitBeforeAbandon is the time that the caller waited if it disconnected or sent a newer request
	// before the first token, and zero otherwise.
	WaitBeforeAbandon time.Duration
	// MaxBetweenTokens is the longest time between two tokens, or zero if there were fewer than two
	// chunks.
	MaxBetweenTokens time.Duration
	// Complete is set if the whole response was delivered.
	Complete bool
	// Abandoned is set if the caller disconnected or sent a newer request before the response was
	// complete.
	Abandoned bool
	// ReusedTokens and ComputedTokens are the prompt tokens that engines read from their cache and
	// computed.
	ReusedTokens   int
	ComputedTokens int
	NonIdempotent  bool
	// OutcomeKnown is set if the caller of a non-idempotent request was informed whether it ran.
	OutcomeKnown bool
	// Cause is the kind of the error, or empty if the request was completed or abandoned.
	Cause fault.Kind
}

// Recorder records the outcomes of requests.
type Recorder interface {
	RecordGeneration(now time.Time, o Outcome)
}

// Options configures a Server. Only the fields whose comments say so may be nil.
type Options struct {
	Board  *blackboard.Board
	Router routing.Router
	// Engines returns the client of the engine at address.
	Engines func(address string) engine.Generator
	// WeightsVersion selects the weights version for a request. failed holds the engines that rejected
	// or failed the request before. Nil selects the configured version.
	WeightsVersion func(model *config.Model, failed map[string]bool) string
	// Limiter enforces limits. Nil means no limits.
	Limiter Limiter
	// Services forwards calls of plain services. Nil rejects them.
	Services Services
	// Guard runs requests at most once. Nil rejects the requests that need it.
	Guard AtMostOnceGuard
	// Recorder records outcomes. Nil discards them.
	Recorder Recorder
	Logger   *slog.Logger
	Now      func() time.Time
	// RequestID returns a new unique identifier.
	RequestID func() string
	// WriteTimeout is the time within which a caller must accept each write of a stream. Default 10s.
	WriteTimeout time.Duration
}

// defaultWriteTimeout bounds how long a caller that does not read can occupy an engine.
const defaultWriteTimeout = 10 * time.Second

// Server is the client-facing HTTP server of a node.
type Server struct {
	opt      Options
	app      *iris.Application
	keys     atomic.Pointer[keyIndex]
	draining atomic.Bool
	running  atomic.Int64
	callers  *callerTable
	retries  *retryBudget
	// stopped is cancelled by stop. That cancels all requests; its cause is the error that callers
	// receive.
	stopped context.Context
	stop    context.CancelCauseFunc
}

// New returns a server. The error comes from the HTTP routing library.
func New(opt Options) (*Server, error) {
	if opt.WriteTimeout == 0 {
		opt.WriteTimeout = defaultWriteTimeout
	}
	s := &Server{opt: opt, app: iris.New(), callers: newCallerTable(), retries: newRetries(opt.Now())}
	s.stopped, s.stop = context.WithCancelCause(context.Background())
	s.app.Logger().SetLevel("disable")
	s.app.Post("/v1/chat/completions", s.handler(s.chat))
	s.app.Post("/v1/completions", s.handler(s.completion))
	s.app.Get("/v1/models", s.handler(s.models))
	s.app.Any("/{path:path}", s.handler(s.service))
	if err := s.app.Build(); err != nil {
		return nil, err
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Drain makes the server close each connection after its current response. Requests that still
// arrive are served, so that a restart rejects none.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop cancels all requests in progress with an error of kind fault.Draining. It is the last step of
// a shutdown whose time limit has passed.
func (s *Server) Stop() {
	s.stop(fault.New(fault.Draining, "this node shut down before the answer was whole"))
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// unwrappingWriter gives http.ResponseController access to the writer of the HTTP server, which
// supports deadlines and flushing.
type unwrappingWriter struct{ iriscontext.ResponseWriter }

// Unwrap returns the writer that the routing library wraps.
func (w unwrappingWriter) Unwrap() http.ResponseWriter { return w.Naive() }

// handlerFunc serves one request. It returns an error only if nothing has been written yet.
type handlerFunc func(w http.ResponseWriter, r *http.Request, id string) error

// handler runs handle with a request id and a context that Stop cancels. It writes the error of
// handle unless the caller has disconnected.
func (s *Server) handler(handle handlerFunc) iris.Handler {
	return func(ctx iris.Context) {
		w, r := unwrappingWriter{ctx.ResponseWriter()}, ctx.Request()
		id := s.opt.RequestID()
		w.Header().Set(fault.HeaderRequestID, id)
		s.running.Add(1)
		defer s.running.Add(-1)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		requestCtx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(s.stopped, func() { cancel(context.Cause(s.stopped)) })()
		err := handle(w, r.WithContext(requestCtx), id)
		if err != nil && r.Context().Err() == nil {
			s.writeError(r.Context(), w, id, err)
		}
	}
}
