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
	"cassiawall.example/cassiawall/pkg/tcpstate"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// writer names this package in the evidence of blackboard entries.
	writer = "service"
	// maxAttempts limits the backend servers that are tried for one call.
	maxAttempts = 3
	// probeInterval is the interval between connection checks of unreachable backend servers.
	probeInterval = time.Second
	// unavailableRetryAfter is the Retry-After of errors after which no backend server ran the call.
	unavailableRetryAfter = time.Second
)

// Options configures a Dispatcher.
type Options struct {
	DataCentre string
	Board      *blackboard.Board
	// Guard claims non-idempotent calls, so that each is sent at most once. If it is nil, they are
	// refused.
	Guard   *claims.Controller
	Metrics *metrics.Registry
	Logger  *slog.Logger
	// OnResult, if not nil, is called with the result of each call.
	OnResult func(Result)
	// Seed seeds the random order of backend servers that are equally preferred.
	Seed uint64
}

// Result is the outcome of one call.
type Result struct {
	Workspace     string
	NonIdempotent bool
	// Err is the typed error that was sent to the caller, or nil if a response was relayed in full.
	Err error
	// Abandoned reports whether the caller disconnected before the end of the call.
	Abandoned bool
}

// Dispatcher serves calls of plain services. It implements entry.Services and is safe for
// concurrent use.
type Dispatcher struct {
	opt    Options
	client *Client

	mu     sync.Mutex
	random *rand.Rand
	// budgets holds the retry budget of each service by its name.
	budgets map[string]*retry.Budget
}

var _ entry.Services = (*Dispatcher)(nil)

// New returns a dispatcher. Run must run for unreachable backend servers to be used again as
// reachable ones.
func New(opt Options) *Dispatcher {
	return &Dispatcher{opt: opt, client: NewClient(), random: rand.New(rand.NewPCG(opt.Seed, 0)), budgets: map[string]*retry.Budget{}}
}

// Dispatch serves r, whose caller is authenticated and may use the route. Errors are written as
// typed JSON documents.
func (d *Dispatcher) Dispatch(w http.ResponseWriter, r *http.Request, call entry.ServiceCall) {
	// This result is reported if serve panics to abort the connection after a truncated response.
	var result error = fault.New(fault.BackendFailed, "backend server's response was truncated").WithWork(fault.Unknown)
	if d.opt.OnResult != nil {
		defer func() {
			d.opt.OnResult(Result{Workspace: call.Workspace.Name, NonIdempotent: call.Route.NonIdempotent, Err: result, Abandoned: r.Context().Err() != nil})
		}()
	}
	result = d.serve(w, r, call)
}

// serve handles the call and returns the error that it has written to the caller, or nil.
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

// serveIdempotent serves a call of a route that is not marked non-idempotent. Backend servers that
// cannot be reached are skipped. Once bytes were sent, the call is retried at most once, and only
// if its method is idempotent, no part of a response has arrived and the service's retry budget
// allows it.
func (d *Dispatcher) serveIdempotent(w http.ResponseWriter, r *http.Request, call entry.ServiceCall, request *Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), call.Service.Timeout.AsDuration())
	defer cancel()
	d.depositRetryBudget(call.Service.Name)
	failure := unreachableError(call)
	retried := false
	for _, c := range d.candidates(call) {
		response, err := d.send(ctx, c.address, request)
		if err == nil {
			defer response.Body.Close()
			return relayResponse(w, r, response, call.RequestID)
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

// depositRetryBudget credits the service's retry budget for a first attempt.
func (d *Dispatcher) depositRetryBudget(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.budgets[service] == nil {
		d.budgets[service] = retry.NewBudget(now, retry.BudgetConfig{})
	}
	d.budgets[service].Deposit(now)
}

// waitForRetry waits for the backoff delay and reports whether the retry may be sent.
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

// isIdempotentMethod reports whether RFC 9110, section 9.2.2, defines the method as idempotent.
// TRACE is left out.
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

// mergeFailure returns the failure to report to the caller: the first one after which the request
// may have run, else the latest.
func mergeFailure(previous, failure *fault.Error) *fault.Error {
	if previous.Work != fault.NotRun {
		return previous
	}
	if failure.Work == fault.NotRun {
		failure = failure.WithRetryAfter(unavailableRetryAfter)
	}
	return failure
}

// relayResponse relays a response. If the response is truncated, it aborts the caller's connection,
// so that the caller does not mistake the part for a complete response.
func relayResponse(w http.ResponseWriter, r *http.Request, response *http.Response, requestID string) error {
	copyResponseHeader(w.Header(), response.Header, requestID)
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(flushWriter{w, http.NewResponseController(w)}, response.Body); err != nil {
		tcpstate.ResetUnframed(w, r)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// flushWriter flushes after each write, so that streamed responses reach the caller without delay.
type flushWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		// A writer that cannot flush still delivers the response when the handler returns.
		_ = f.control.Flush()
	}
	return n, err
}

// recordFailure marks the backend server as unreachable on the board if the connection failed. A
// cancelled call is ignored: it is no evidence about the backend server.
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

// Run checks unreachable backend servers until ctx ends and marks those that accept connections as
// reachable.
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
