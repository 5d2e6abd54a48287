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
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// DesiredWeights tells which version of a model's weights is wanted.
type DesiredWeights interface {
	// DesiredVersions returns the newest version, when this node learned of it, and the lowest version
	// that may still begin a request. Zero values mean that no version is known.
	DesiredVersions(model string, now time.Time) (newest int, since time.Time, lowest int)
	// StartDeadline returns the time before which a request must have begun on a version, or zero
	// while no newer version is named.
	StartDeadline(model string, version int) time.Time
}

// Options configures a Router.
type Options struct {
	Protocol    Protocol
	Backends    *backends.Registry
	Weights     DesiredWeights
	RetryBudget *RetryBudget
	Prefixes    *cachemap.Map
	// Config returns the configuration in force, or nil before the first one.
	Config func() *routes.Config
	// Draining reports whether the node is shutting down.
	Draining func() bool
	Logger   *slog.Logger
	Metrics  *metrics.Registry
}

// Router answers clients' requests. It is safe for concurrent use.
type Router struct {
	opt         Options
	saveLimiter *rate.Limiter
	// rejectionLogLimiter bounds the lines about requests that the configuration does not allow.
	rejectionLogLimiter *rate.Limiter
}

// NewRouter returns a router.
func NewRouter(opt Options) *Router {
	return &Router{opt: opt, saveLimiter: rate.NewLimiter(savesPerSecond, saveBurst), rejectionLogLimiter: rate.NewLimiter(rejectionLogsPerSecond, rejectionLogsPerSecond)}
}

// rejectionLogsPerSecond is the number of lines a second about requests that the configuration does not allow.
const rejectionLogsPerSecond = 20

// count adds one to a counter.
func (r *Router) count(name string, labels ...string) { r.opt.Metrics.Counter(name, labels...).Inc(1) }

// observe adds a duration to a histogram in milliseconds.
func (r *Router) observe(name string, d time.Duration) {
	r.opt.Metrics.Histogram(name).Update(d.Milliseconds())
}

// Causes of requests that are not served, in lines and in the labels of metrics.
const (
	causeNoConfig  = "no configuration yet"
	causeNoBackend = "no backend server"
	causeBudget    = "retry budget is spent"
	causeBackend   = "backend server failed"
	causeRefused   = "backend servers refused"
)

// defaultMaxBodyBytes bounds a body where the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// refusalRetryAfter is the time that a client is told to wait before it comes back to a request that
// was not run.
const refusalRetryAfter = 250 * time.Millisecond

// ServeHTTP answers one request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	receivedAt := time.Now()
	if r.opt.Draining() {
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
	body, status, err := readBody(req, config.Limits)
	if err != nil {
		if status == 0 {
			// The client broke off; nothing can be answered.
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

// forward answers a request that is allowed.
func (r *Router) forward(w http.ResponseWriter, req *http.Request, a activeRequest) {
	timeout := a.route.Timeout
	if a.request.Timeout > 0 && (timeout == 0 || a.request.Timeout < timeout) {
		timeout = a.request.Timeout
	}
	parent := req.Context()
	if a.route.Kind == routes.Unsafe {
		// Work that may not be repeated goes on when its client leaves, so that its outcome is
		// that of one whole run.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, a.receivedAt.Add(timeout+responseGrace))
	defer cancel()
	a.w, a.req, a.ctx, a.timeout = w, req, ctx, timeout
	a.trace = decisions.NewTrace(r.opt.Logger, a.request.ID)
	a.traceAdmitted()
	r.opt.RetryBudget.RecordRequest(a.service, a.receivedAt)
	a.sendWithRetries()
}

// responseGrace lets a backend server's own answer at its deadline arrive before the node gives up.
const responseGrace = 40 * time.Millisecond

// errBodyTooLarge is the cause of a refused body.
var errBodyTooLarge = errors.New("the body is over the limit of the configuration")

// readBody reads the whole body. status is 0 if the client broke off.
func readBody(req *http.Request, limits routes.Limits) (body []byte, status int, err error) {
	timeout := limits.MaxBodyBytes
	if timeout == 0 {
		timeout = defaultMaxBodyBytes
	}
	if req.ContentLength > timeout {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	if req.ContentLength > 0 {
		body = make([]byte, req.ContentLength)
		if _, err := io.ReadFull(req.Body, body); err != nil {
			return nil, 0, err
		}
		return body, 0, nil
	}
	body, err = io.ReadAll(io.LimitReader(req.Body, timeout+1))
	if err != nil {
		return nil, 0, err
	}
	if int64(len(body)) > timeout {
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	}
	return body, 0, nil
}
