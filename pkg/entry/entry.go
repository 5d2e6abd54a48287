// Package entry serves the callers: it authenticates, checks limits, cuts prompts into pieces,
// routes generation requests to engines and calls of plain services to backend servers.
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

// Limiter holds the workspaces' budgets. Package limits implements it.
type Limiter interface {
	// Allow takes one request of the given tokens from the workspace's budgets. If it refuses,
	// retryAfter is the time until a retry can succeed.
	Allow(now time.Time, workspace string, tokens int) (ok bool, retryAfter time.Duration)
	// AcquireConcurrency takes a place of the workspace's concurrency and reports whether there was one.
	AcquireConcurrency(now time.Time, workspace string) bool
	// ReleaseConcurrency frees a place that AcquireConcurrency took.
	ReleaseConcurrency(now time.Time, workspace string)
}

// Services handles calls of plain services.
type Services interface {
	// Dispatch serves r, whose caller is authenticated and may use the route.
	Dispatch(w http.ResponseWriter, r *http.Request, call ServiceCall)
}

// ServiceCall is an authenticated call of a plain service.
type ServiceCall struct {
	RequestID string
	Workspace *config.Workspace
	Service   *config.Service
	Route     *config.Route
}

// Outcome sums up a generation request for the service-level report.
type Outcome struct {
	Workspace      string
	Model          string
	WeightsVersion string
	TTFT           time.Duration
	// WaitBeforeAbandon is how long a caller waited who left before the first token.
	WaitBeforeAbandon time.Duration
	MaxBetweenTokens  time.Duration
	Complete          bool
	Abandoned         bool
	ReusedTokens      int
	ComputedTokens    int
	NonIdempotent     bool
	// OutcomeKnown tells that the caller of a non-idempotent request learned whether it ran.
	OutcomeKnown bool
	// Cause is the kind of the failure, or empty.
	Cause fault.Kind
}

// Recorder takes the outcomes of requests.
type Recorder interface {
	RecordGeneration(now time.Time, o Outcome)
}

// Options configures a Server. Nil parts switch the corresponding step off.
type Options struct {
	Board   *blackboard.Board
	Router  routing.Router
	Engines func(address string) engine.Generator
	// WeightsVersion returns the weights version for a request that the failed engines did not take. Nil
	// means the configured one.
	WeightsVersion func(model *config.Model, failed map[string]bool) string
	// Limiter may be nil: no limits.
	Limiter Limiter
	// Services may be nil: no plain services.
	Services Services
	// Guard may be nil: requests that run at most once are refused.
	Guard AtMostOnceGuard
	// Recorder may be nil.
	Recorder Recorder
	Logger   *slog.Logger
	Now      func() time.Time
	// RequestID returns a new unique identifier.
	RequestID func() string
	// WriteTimeout is the time in which a caller must take a chunk. Default 10s.
	WriteTimeout time.Duration
}

// defaultWriteTimeout bounds how long a caller may block its stream.
const defaultWriteTimeout = 10 * time.Second

// Server is the callers' side of a node.
type Server struct {
	opt      Options
	app      *iris.Application
	keys     atomic.Pointer[keyIndex]
	draining atomic.Bool
	running  atomic.Int64
	callers  *callerTable
	retries  *retryBudget
	// stopped ends all requests; its cause is told to the callers.
	stopped context.Context
	stop    context.CancelCauseFunc
}

// New returns a server. The error is of the router library.
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

// Drain makes the server close each connection after its current answer. Requests that still
// arrive are served, so that a restart refuses none.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop ends all running requests with a typed error. It is the last step of a shutdown whose
// time bound has passed.
func (s *Server) Stop() {
	s.stop(fault.New(fault.Draining, "this node shut down before the answer was whole"))
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// unwrappingWriter lets http.ResponseController reach the connection's own unwrappingWriter.
type unwrappingWriter struct{ iriscontext.ResponseWriter }

// Unwrap returns the writer below the router library's.
func (w unwrappingWriter) Unwrap() http.ResponseWriter { return w.Naive() }

// handlerFunc serves one request. It returns an error only if nothing was written yet.
type handlerFunc func(w http.ResponseWriter, r *http.Request, id string) error

// handler runs handle with a request id and writes its error, if any.
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
