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

// Weights tells which version of a model's weights is wanted.
type Weights interface {
	// Wanted returns the newest version, when this node learned of it, and the lowest version
	// that may still begin a request. Zero values mean that no version is known.
	Wanted(model string, now time.Time) (newest int, since time.Time, lowest int)
	// BeginBefore returns the time before which a request must have begun on a version, or zero
	// while no newer version is named.
	BeginBefore(model string, version int) time.Time
}

// Options configures a Router.
type Options struct {
	Protocol Protocol
	Backends *backends.Registry
	Weights  Weights
	Budget   *Budget
	Prefixes *cachemap.Map
	// Config returns the configuration in force, or nil before the first one.
	Config func() *routes.Config
	// Draining reports whether the node is shutting down.
	Draining func() bool
	Logger   *slog.Logger
	Metrics  *metrics.Registry
}

// Router answers clients' requests. It is safe for concurrent use.
type Router struct {
	opt   Options
	saves *rate.Limiter
	// rejections bounds the lines about requests that the configuration does not allow.
	rejections *rate.Limiter
}

// NewRouter returns a router.
func NewRouter(opt Options) *Router {
	return &Router{opt: opt, saves: rate.NewLimiter(savesPerSecond, saveBurst), rejections: rate.NewLimiter(rejectionLines, rejectionLines)}
}

// rejectionLines is the number of lines a second about requests that the configuration does not allow.
const rejectionLines = 20

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

// defaultBodyBytes bounds a body where the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// refuseAfter is the time that a client is told to wait before it comes back to a request that
// was not run.
const refuseAfter = 250 * time.Millisecond

// ServeHTTP answers one request.
func (r *Router) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	if r.opt.Draining() {
		w.Header().Set("Connection", "close")
	}
	config := r.opt.Config()
	if config == nil {
		r.refuseUnconfigured(w, q, arrived)
		return
	}
	request, err := r.opt.Protocol.Decode(q.Header)
	if err != nil {
		r.reject(w, q, request.ID, http.StatusBadRequest, err.Error())
		return
	}
	route := config.Match(q.Host, q.URL.EscapedPath())
	if route == nil {
		r.reject(w, q, request.ID, http.StatusNotFound, "no route for this host and path")
		return
	}
	tenant := config.TenantOf(request.Key)
	if tenant == nil && config.NeedsKeys() && !route.Public {
		r.reject(w, q, request.ID, http.StatusUnauthorized, "unknown API key")
		return
	}
	if route.Public {
		tenant = nil
	}
	body, status, err := readBody(q, config.Limits)
	if err != nil {
		if status == 0 {
			// The client broke off; nothing can be answered.
			r.count("requests", "outcome", "broken_off")
			panic(http.ErrAbortHandler)
		}
		r.reject(w, q, request.ID, status, err.Error())
		return
	}
	r.run(w, q, job{
		router: r, config: config, route: route, tenant: tenant, request: request, body: body, arrived: arrived,
		service: route.Pick(rand.Float64()),
	})
}

// run answers a request that is allowed.
func (r *Router) run(w http.ResponseWriter, q *http.Request, j job) {
	limit := j.route.Timeout
	if j.request.Deadline > 0 && (limit == 0 || j.request.Deadline < limit) {
		limit = j.request.Deadline
	}
	parent := q.Context()
	if j.route.Kind == routes.Unsafe {
		// Work that may not be repeated goes on when its client leaves, so that its outcome is
		// that of one whole run.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, j.arrived.Add(limit+engineGrace))
	defer cancel()
	j.w, j.q, j.ctx, j.limit = w, q, ctx, limit
	j.trace = decisions.NewTrace(r.opt.Logger, j.request.ID)
	j.noteAdmitted()
	r.opt.Budget.First(j.service, j.arrived)
	j.serve()
}

// engineGrace lets a backend server's own answer at its deadline arrive before the node gives up.
const engineGrace = 40 * time.Millisecond

// errTooLarge is the cause of a refused body.
var errTooLarge = errors.New("the body is over the limit of the configuration")

// readBody reads the whole body. status is 0 if the client broke off.
func readBody(q *http.Request, l routes.Limits) (body []byte, status int, err error) {
	limit := l.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if q.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, errTooLarge
	}
	if q.ContentLength > 0 {
		body = make([]byte, q.ContentLength)
		if _, err := io.ReadFull(q.Body, body); err != nil {
			return nil, 0, err
		}
		return body, 0, nil
	}
	body, err = io.ReadAll(io.LimitReader(q.Body, limit+1))
	if err != nil {
		return nil, 0, err
	}
	if int64(len(body)) > limit {
		return nil, http.StatusRequestEntityTooLarge, errTooLarge
	}
	return body, 0, nil
}
