package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/decisions"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/gateway/popularity"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/gateway/speed"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/recovery"
	"cassiawall.example/cassiawall/pkg/tcpstate"
)

// DesiredWeights provides the desired versions of model weights. Its times are on the clock of clock.Now.
type DesiredWeights interface {
	// DesiredVersions returns the newest version, the time from which it counts as set, and the lowest
	// version on which a request may still start. Zero values mean that no version is set.
	DesiredVersions(model string, now time.Time) (newest int, since time.Time, lowest int)
	// StartDeadline returns the time before which a request must start on a version, or the zero time
	// if no newer version is desired.
	StartDeadline(model string, version int) time.Time
}

// Options holds the dependencies of a Router. All are required unless stated otherwise.
type Options struct {
	Protocol    Protocol
	Backends    *backends.Registry
	Weights     DesiredWeights
	RetryBudget *RetryBudget
	Prefixes    *cachemap.Map
	// PrefixCounts counts the requests by shared prefix, and PrefixRates are the rates over all nodes.
	PrefixCounts *popularity.Counter
	PrefixRates  *popularity.Rates
	Quarantine   *Quarantine
	// Speeds models the time to the first event of a prompt on each engine.
	Speeds *speed.Tracker
	// Quotas may be nil: no workspace has a quota then.
	Quotas Quotas
	// Config returns the configuration in force, or nil before the first one.
	Config func() *routes.Config
	// BodyMemory bounds the memory of request bodies.
	BodyMemory *BodyMemory
	// Shutdown is the state of the node's shutdown.
	Shutdown *Shutdown
	Logger   *slog.Logger
	Metrics  *metrics.Registry
}

// Router is the http.Handler for clients' requests. It is safe for concurrent use.
type Router struct {
	opt         Options
	saveLimiter *rate.Limiter
	// rejectionLogLimiter limits the rate of log lines about requests that are rejected.
	rejectionLogLimiter *rate.Limiter
	notices             *Notices
}

// NewRouter returns a router.
func NewRouter(opt Options) *Router {
	return &Router{opt: opt, notices: NewNotices(opt.Backends, opt.Logger, opt.Metrics), saveLimiter: rate.NewLimiter(savesPerSecond, saveBurst), rejectionLogLimiter: rate.NewLimiter(rejectionLogsPerSecond, rejectionLogsPerSecond)}
}

// rejectionLogsPerSecond is the rate and the burst of log lines about requests that are rejected.
const rejectionLogsPerSecond = 20

// count increments a counter.
func (r *Router) count(name string, labels ...string) { r.opt.Metrics.Counter(name, labels...).Inc(1) }

// observe adds a duration to a histogram in milliseconds.
func (r *Router) observe(name string, d time.Duration) {
	r.opt.Metrics.Histogram(name).Update(d.Milliseconds())
}

// Causes of requests that are not served, in log lines and metric labels.
const (
	causeNoConfig    = "no configuration yet"
	causeNoBackend   = "no backend server"
	causeRetryBudget = "retry budget is spent"
	causeBackend     = "backend server failed"
	causeRefused     = "backend servers refused"
	causeQuarantined = "prompt part is quarantined: engines crash on it"
	causeInDoubt     = "engines crash on requests like this"
	causeShedding    = "backend servers have asked this node for a pause"
	causeShutdown    = "this node shuts down before the timeout of the request"
	causeBodyMemory  = "this node holds too many large request bodies"
	causeConnMemory  = "the connections of clients hold too much memory on this node"
	causeLimited     = "backend servers are at the limits that they state"
	causeOverQuota   = "workspace is over its quota"
	causeNoQuota     = "no owner of the quotas answered in time"
)

// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// refusalRetryAfter is the longest Retry-After of a request that was not run.
const refusalRetryAfter = 250 * time.Millisecond

// bodyRetryAfter is the Retry-After of a request whose body does not fit into memory: responses to large requests take about
// a second.
const bodyRetryAfter = time.Second

// minQuarantineRetryAfter is the shortest Retry-After of a request with a quarantined part.
const minQuarantineRetryAfter = time.Second

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	defer r.containPanic(w, req)
	receivedAt := time.Now()
	if r.opt.Shutdown.Began() {
		w.Header().Set("Connection", "close")
	}
	config := r.opt.Config()
	if config == nil {
		r.refuseWithoutConfig(w, req, receivedAt)
		return
	}
	request, err := r.opt.Protocol.DecodeRequest(req.Header)
	if err != nil {
		r.reject(w, req, request.ID, http.StatusBadRequest, err.Error())
		return
	}
	route := config.Match(req.Host, req.URL.EscapedPath())
	if route == nil {
		r.reject(w, req, request.ID, http.StatusNotFound, "no route for this host and path")
		return
	}
	workspace := config.WorkspaceByKey(request.APIKey)
	if workspace == nil && config.RequiresAPIKeys() && !route.Public {
		r.reject(w, req, request.ID, http.StatusUnauthorized, "unknown API key")
		return
	}
	if route.Public {
		workspace = nil
	}
	memory := bodyReservation{memory: r.opt.BodyMemory}
	defer memory.release()
	body, status, err := readBody(req, config.Limits, &memory)
	if errors.Is(err, errBodyMemory) {
		r.refuseBody(w, req, request.ID, receivedAt)
		return
	}
	if err != nil {
		if status == 0 {
			// The client disconnected, so no response is possible.
			r.count("requests", "outcome", "broken_off")
			panic(http.ErrAbortHandler)
		}
		r.reject(w, req, request.ID, status, err.Error())
		return
	}
	r.forward(w, req, activeRequest{
		router: r, config: config, route: route, workspace: workspace, request: request, body: body, receivedAt: receivedAt,
		service: route.PickService(rand.Float64()),
	})
}

// containPanic ends the client's connection after an unexpected panic, without a response that could be wrong, and after
// http.ErrAbortHandler.
func (r *Router) containPanic(w http.ResponseWriter, req *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		recovery.Guard{Logger: r.opt.Logger, Metrics: r.opt.Metrics}.Report("request", cause)
	}
	tcpstate.ResetUnframed(w, req)
	panic(http.ErrAbortHandler)
}

// forward sends an accepted request to backend servers and relays the response.
func (r *Router) forward(w http.ResponseWriter, req *http.Request, a activeRequest) {
	timeout := a.route.Timeout
	if a.request.Timeout > 0 && (timeout == 0 || a.request.Timeout < timeout) {
		timeout = a.request.Timeout
	}
	parent := req.Context()
	if a.route.Kind == routes.Unsafe {
		// A request that must not run twice continues after its client has disconnected, so that it
		// completes instead of being interrupted midway.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, a.receivedAt.Add(timeout+responseGrace))
	defer cancel()
	ctx, stop := r.opt.Shutdown.withEnd(ctx)
	defer stop()
	a.w, a.req, a.ctx, a.timeout = w, req, ctx, timeout
	a.trace = decisions.NewTrace(r.opt.Logger, a.request.ID)
	a.traceAdmitted()
	r.opt.RetryBudget.RecordRequest(a.service, a.receivedAt)
	r.opt.Backends.CountDemand(a.service)
	if key := a.affinityKey(); key != 0 {
		r.opt.PrefixCounts.Record(popularity.Key(key))
	}
	a.sendWithRetries()
}

// responseGrace is the time after the deadline in which the backend server's own timeout response can
// still arrive.
const responseGrace = 40 * time.Millisecond

// errBodyTooLarge is returned for a request body over the limit.
var errBodyTooLarge = errors.New("the body is over the limit of the configuration")

// readBody reads the whole request body into memory that it reserves. On an error, status is the response status, or 0 if
// the client disconnected. The error is errBodyMemory if the body does not fit.
func readBody(req *http.Request, limits routes.Limits, memory *bodyReservation) (body exchange.Body, status int, err error) {
	maxBytes := limits.MaxBodyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if req.ContentLength > maxBytes {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	if req.ContentLength > 0 {
		if err := memory.reserve(req.ContentLength); err != nil {
			return nil, 0, err
		}
		whole := make([]byte, req.ContentLength)
		if _, err := io.ReadFull(req.Body, whole); err != nil {
			return nil, 0, err
		}
		return exchange.Body{whole}, 0, nil
	}
	body, err = memory.readAll(req.Body, maxBytes)
	if err != nil {
		return nil, 0, err
	}
	if int64(body.Len()) > maxBytes {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	return body, 0, nil
}
