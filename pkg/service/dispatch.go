package service

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/retry"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	writer = "service"
	// maxAttempts bounds the backend servers that one call is tried at.
	maxAttempts = 3
	// probeInterval is the time between probes of unreachable backend servers.
	probeInterval = time.Second
	// unavailableRetryAfter is the pause that callers are told to make when no backend server answers.
	unavailableRetryAfter = time.Second
)

// Options configures a Dispatcher.
type Options struct {
	DataCentre string
	Board      *blackboard.Board
	// Guard keeps non-idempotent calls at most once.
	Guard   *claims.Controller
	Metrics *metrics.Registry
	Logger  *slog.Logger
	// OnResult is told what became of each call. Nil switches it off.
	OnResult func(Result)
	// Seed starts the random choice among equal backend servers.
	Seed uint64
}

// Result is what became of one call.
type Result struct {
	Workspace     string
	NonIdempotent bool
	// Err is the typed error that the caller was told, or nil for a whole answer.
	Err error
	// Abandoned says that the caller left before the end.
	Abandoned bool
}

// Dispatcher serves calls of plain services. It implements entry.Services and is safe for
// concurrent use.
type Dispatcher struct {
	opt    Options
	client *Client

	mu     sync.Mutex
	random *rand.Rand
	// budgets bound the retries of each service.
	budgets map[string]*retry.Budget
}

var _ entry.Services = (*Dispatcher)(nil)

// New returns a dispatcher. Run keeps its view of unreachable backend servers up to date.
func New(opt Options) *Dispatcher {
	return &Dispatcher{opt: opt, client: NewClient(), random: rand.New(rand.NewPCG(opt.Seed, 0)), budgets: map[string]*retry.Budget{}}
}

// Dispatch serves r, whose caller is authenticated and may use the route. Errors are written as
// typed JSON documents.
func (d *Dispatcher) Dispatch(w http.ResponseWriter, r *http.Request, call entry.ServiceCall) {
	// Stays when an answer is cut, which ends the handler by a panic.
	var result error = fault.New(fault.BackendFailed, "the answer was cut").WithWork(fault.Unknown)
	if d.opt.OnResult != nil {
		defer func() {
			d.opt.OnResult(Result{Workspace: call.Workspace.Name, NonIdempotent: call.Route.NonIdempotent, Err: result, Abandoned: r.Context().Err() != nil})
		}()
	}
	result = d.serve(w, r, call)
}

// serve returns the error that it has told the caller, or nil.
func (d *Dispatcher) serve(w http.ResponseWriter, r *http.Request, call entry.ServiceCall) error {
	request, err := readRequest(r, call)
	if err == nil && call.Route.NonIdempotent {
		err = d.serveAtMostOnce(w, r, call, request)
	} else if err == nil {
		err = d.serveIdempotent(w, r, call, request)
	}
	outcome := "answered"
	if err != nil {
		outcome = string(fault.As(err).Kind)
		fault.WriteHTTP(w, err, call.RequestID)
	}
	d.opt.Metrics.Counter("service_calls_total", "service", call.Service.Name, "outcome", outcome).Inc(1)
	return err
}

func readRequest(r *http.Request, call entry.ServiceCall) (*Request, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.Wrap(err, fault.BodyTooLarge, "request body is over %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.Wrap(err, fault.RequestTimeout, "request body did not arrive in time")
	case err != nil:
		return nil, fault.Wrap(err, fault.BadRequest, "request body was cut")
	}
	return &Request{
		Method: r.Method,
		Target: r.URL.RequestURI(),
		Header: backendHeader(r, call.RequestID),
		Body:   body,
	}, nil
}

func (d *Dispatcher) candidates(call entry.ServiceCall) []candidate {
	entries := d.opt.Board.Services.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	found := rankBackends(entries, call.Service.Name, d.opt.DataCentre, d.random)
	return found[:min(len(found), maxAttempts)]
}

// serveIdempotent serves an idempotent call. A backend server that cannot be reached is passed over. After
// bytes were sent the call is retried once, if its method is idempotent, no part of an answer has
// arrived and the service's retry budget covers it.
func (d *Dispatcher) serveIdempotent(w http.ResponseWriter, r *http.Request, call entry.ServiceCall, request *Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), call.Service.Timeout.D())
	defer cancel()
	d.depositRetryBudget(call.Service.Name)
	failure := unreachableError(call)
	retried := false
	for _, c := range d.candidates(call) {
		response, err := d.send(ctx, c.address, request)
		if err == nil {
			defer response.Body.Close()
			return relayResponse(w, response, call.RequestID)
		}
		failure = mergeFailure(failure, fault.As(err))
		d.recordFailure(call, c.address, err)
		if ctx.Err() != nil {
			break
		}
		if fault.As(err).Work == fault.NotRun {
			continue
		}
		if !d.waitForRetry(ctx, call, request, retried) {
			break
		}
		retried = true
	}
	return failure
}

// depositRetryBudget earns a share of a retry for a service.
func (d *Dispatcher) depositRetryBudget(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.budgets[service] == nil {
		d.budgets[service] = retry.NewBudget(now, retry.BudgetConfig{})
	}
	d.budgets[service].Deposit(now)
}

// waitForRetry waits before a retry and reports whether it may be sent.
func (d *Dispatcher) waitForRetry(ctx context.Context, call entry.ServiceCall, request *Request, retried bool) bool {
	deadline, _ := ctx.Deadline()
	attempt := retry.Attempt{IsRetry: retried, Retriable: isIdempotentMethod(request.Method), Deadline: deadline}
	d.mu.Lock()
	delay, ok := retry.Decide(time.Now(), attempt, d.budgets[call.Service.Name], retry.Backoff{}, d.random)
	d.mu.Unlock()
	return ok && wait.Pause(ctx, delay)
}

func (d *Dispatcher) send(ctx context.Context, address string, request *Request) (*http.Response, error) {
	if isIdempotentMethod(request.Method) {
		return d.client.Send(ctx, address, request)
	}
	return d.client.SendOnce(ctx, address, request, func() error { return nil })
}

// isIdempotentMethod lists the methods that RFC 9110, section 9.2.2, defines as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func unreachableError(call entry.ServiceCall) *fault.Error {
	return fault.New(fault.BackendUnavailable, "no backend server of %s is reachable", call.Service.Name).WithRetryAfter(unavailableRetryAfter)
}

// mergeFailure keeps the first failure after which the work may have run.
func mergeFailure(old, failure *fault.Error) *fault.Error {
	if old.Work != fault.NotRun {
		return old
	}
	if failure.Work == fault.NotRun {
		failure = failure.WithRetryAfter(unavailableRetryAfter)
	}
	return failure
}

// relayResponse relays an answer. If the backend server cuts it, the caller's connection is cut too,
// so that the caller does not take the part for the whole.
func relayResponse(w http.ResponseWriter, response *http.Response, requestID string) error {
	copyResponseHeader(w.Header(), response.Header, requestID)
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(flushWriter{w, http.NewResponseController(w)}, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// flushWriter passes each part on at once, for answers that arrive over a long time.
type flushWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		// A writer that cannot flush still delivers at the end.
		_ = f.control.Flush()
	}
	return n, err
}

// recordFailure marks an unreachable backend server on the board. A caller that left is no evidence.
func (d *Dispatcher) recordFailure(call entry.ServiceCall, address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if fault.Is(err, fault.BackendUnavailable) && d.setReachable(call.Service.Name, address, false) {
		event.BackendUnreachable.Log(context.Background(), d.opt.Logger, slog.String("service", call.Service.Name),
			slog.String("address", address), slog.Any("error", err))
	}
}

func (d *Dispatcher) setReachable(service, address string, reachable bool) (changed bool) {
	key := blackboard.ServiceKey{Service: service, Address: address}
	ev := blackboard.Evidence{Writer: writer, Source: "connection", ObservedAt: time.Now()}
	return d.opt.Board.Services.Update(key, ev, func(old blackboard.Entry[blackboard.ServiceEntry], ok bool) (blackboard.ServiceEntry, bool) {
		next := old.Value
		next.Reachable = reachable
		return next, ok && next != old.Value
	})
}

// Run probes unreachable backend servers until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	wait.Every(ctx, probeInterval, d.probeUnreachable)
	return nil
}

func (d *Dispatcher) probeUnreachable(ctx context.Context) {
	var probes sync.WaitGroup
	for key, e := range d.opt.Board.Services.Snapshot() {
		if e.Value.Reachable {
			continue
		}
		probes.Go(func() {
			if d.client.Probe(ctx, key.Address) == nil && d.setReachable(key.Service, key.Address, true) {
				event.BackendReachable.Log(ctx, d.opt.Logger, slog.String("service", key.Service), slog.String("address", key.Address))
			}
		})
	}
	probes.Wait()
}
