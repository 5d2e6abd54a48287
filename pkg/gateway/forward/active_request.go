package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/decisions"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// maxRefusedSends bounds the backend servers that one request is offered to after others
	// have refused it. Refused sends count against the budget of all nodes.
	maxRefusedSends = 3
	// minRemaining is the least time in which an answer to another send can still arrive.
	minRemaining = 30 * time.Millisecond
	// pickInterval is the wait before another look for a backend server while all are busy with
	// new weights.
	pickInterval = 25 * time.Millisecond
	// refusedBackoff keeps requests away from a backend server that refused one as full.
	refusedBackoff = 250 * time.Millisecond
	// unreachableBackoff keeps requests away from a backend server that could not be reached.
	unreachableBackoff = 1500 * time.Millisecond
	// preferNewestDelay is the age of a version from which on answers of older weights lose
	// part of their worth. The platform's rules name 1.5 s; the difference is time in flight.
	preferNewestDelay = 1200 * time.Millisecond
	// maxBufferedBytes is the largest answer in bytes that is read whole before it is passed on.
	maxBufferedBytes = 1 << 20
)

// activeRequest is one request on its way through backend servers. It belongs to one goroutine.
type activeRequest struct {
	router     *Router
	config     *routes.Config
	route      *routes.Route
	workspace  *routes.Workspace
	request    Request
	service    string
	body       []byte
	receivedAt time.Time

	w       http.ResponseWriter
	req     *http.Request
	ctx     context.Context
	timeout time.Duration

	// sends counts all sends, runs those that may have run.
	sends, runs int
	tried       []string
	// headerWritten is set once the header of an answer is on its way to the client.
	headerWritten bool
	events        eventSplitter
	trace         *decisions.Trace
	// firstByteAt is the time of the first byte for the client.
	firstByteAt time.Time
	// noBackendTraced is set once the trace says that no backend server was left.
	noBackendTraced bool
	// saveRequested is set if the present send tells the engine to save the prompt's shared parts.
	saveRequested bool
	// prefixHashes are those of the shared prefixes for keysVersion.
	prefixHashes        []cachemap.Key
	prefixHashesVersion int
	// failedResponse is the last complete answer of a backend server that failed.
	failedResponse *bufferedResponse
}

// bufferedResponse is a complete answer that is not passed on yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// sendOutcome is what follows a send.
type sendOutcome int

const (
	outcomeDone sendOutcome = iota
	// outcomeRetry may follow only if the request was not run or may be repeated.
	outcomeRetry
	outcomeFail
)

// sendWithRetries sends the request until it is answered or must be given up.
func (a *activeRequest) sendWithRetries() {
	for {
		choice := a.pickBackend()
		if choice == nil {
			a.failRequest(causeNoBackend)
			return
		}
		if a.sends > 0 && !a.allowRetry() {
			choice.Done(backends.Neutral, 0)
			a.failRequest(causeBudget)
			return
		}
		switch a.send(choice) {
		case outcomeDone:
			a.recordAnswered()
			return
		case outcomeFail:
			a.failRequest(a.failureCause())
			return
		}
	}
}

// failureCause tells a request that may have run from one that all backend servers refused.
func (a *activeRequest) failureCause() string {
	if a.runs == 0 {
		return causeRefused
	}
	return causeBackend
}

// allowRetry takes a further send from the budget.
func (a *activeRequest) allowRetry() bool {
	if a.router.opt.RetryBudget.AllowRetry(a.service, time.Now()) {
		a.router.count("further_sends", "budget", "granted")
		return true
	}
	a.router.count("further_sends", "budget", "spent")
	return false
}

// pickBackend returns a backend server. It waits for one while engines take new weights, because these are
// back soon; otherwise a refusal that comes early lets the client try elsewhere.
func (a *activeRequest) pickBackend() *backends.Choice {
	query := backends.Query{Service: a.service, Model: a.request.Model, Exclude: a.tried, Affinity: a.affinityKey(), Long: a.isDecodeHeavy()}
	prefixVersion := 0
	for {
		now := time.Now()
		if a.ctx.Err() != nil || a.req.Context().Err() != nil || a.remaining(now) < minRemaining {
			return nil
		}
		if a.request.Model != "" {
			newest, since, lowest := a.router.opt.Weights.DesiredVersions(a.request.Model, now)
			query.MinVersion = lowest
			query.PreferVersion = 0
			prefixVersion = newest
			if now.Sub(since) >= preferNewestDelay {
				query.PreferVersion = newest
			}
		}
		query.Holder = a.engineWithPrefix(prefixVersion, now)
		c, considered := a.router.opt.Backends.Pick(query, now)
		if c != nil {
			return c
		}
		a.traceNoBackend(considered)
		if a.runs == 0 {
			// A server that refused may take the request now.
			query.Exclude = nil
		}
		maxWait := a.route.LatencyObjective / 8
		if a.router.opt.Backends.Loading(a.service, now) {
			maxWait = a.route.LatencyObjective / 2
		}
		if now.Sub(a.receivedAt) > maxWait || !wait.Pause(a.ctx, pickInterval) {
			return nil
		}
	}
}

// remaining returns the time until the client or the route gives up.
func (a *activeRequest) remaining(now time.Time) time.Duration {
	return a.timeout - now.Sub(a.receivedAt)
}

// minLongOutputTokens is the length of an answer from which on a request counts as long: about half a second
// of an engine's steps.
const minLongOutputTokens = 100

// maxPromptPerOutput is the length of a prompt, in lengths of its answer, from which on reading the prompt
// delays other answers more than the answer itself occupies the engine.
const maxPromptPerOutput = 10

// isDecodeHeavy reports whether the request keeps its engine busy for long by its answer and not by its prompt.
func (a *activeRequest) isDecodeHeavy() bool {
	expected := a.request.ExpectedOutputTokens
	if expected == 0 {
		expected = a.request.MaxOutputTokens
	}
	return expected >= minLongOutputTokens && a.request.PromptTokens < maxPromptPerOutput*expected
}

// backendRequest describes this send to the backend server.
func (a *activeRequest) backendRequest(c *backends.Choice, now time.Time) BackendRequest {
	backendReq := BackendRequest{
		Timeout: a.remaining(now), BackendID: c.ID, Priority: a.route.Priority,
		StripAPIKey: a.config.RequiresAPIKeys(), LastEventID: a.events.lastID,
	}
	if a.workspace != nil {
		backendReq.Workspace, backendReq.HasWorkspace = a.workspace.Name, true
		if a.workspace.HasPriority {
			backendReq.Priority = a.workspace.Priority
		}
	}
	if a.config.Services[a.service].HasEngines {
		backendReq.HasPriority = true
		backendReq.WeightsVersion = c.Version
		backendReq.CacheSalt = cacheSalt(c.Version, a.workspace)
		backendReq.FetchFrom, backendReq.SaveTo = a.planCacheTransfers(c, now)
		a.countSharedTokens(backendReq.FetchFrom)
	}
	return backendReq
}

// send sends the request to one backend server and relays its answer.
func (a *activeRequest) send(c *backends.Choice) sendOutcome {
	sentAt := time.Now()
	a.sends++
	a.tried = append(a.tried, c.ID)
	backendReq := a.backendRequest(c, sentAt)
	a.traceBackendChosen(c, backendReq)
	if a.sends == 1 {
		a.router.observe("queue_wait_ms", sentAt.Sub(a.receivedAt))
	}
	request := exchange.Request{
		Method: a.req.Method, Target: a.req.RequestURI, Host: a.req.Host, Body: a.body,
		Header: a.router.opt.Protocol.EncodeRequest(a.req.Header, backendReq),
	}
	ctx, stopTimer := a.withStartDeadline(c, sentAt)
	response, err := exchange.Do(ctx, c.Pool, request, func(h http.Header) bool {
		return a.router.opt.Protocol.DecodeResponse(h).RequestID == a.request.ID
	})
	stopTimer()
	if err != nil {
		return a.handleNoResponse(ctx, c, err)
	}
	defer response.Close()
	a.router.observe("backend_first_byte_ms", time.Since(sentAt))
	info := a.router.opt.Protocol.DecodeResponse(response.Header)
	if a.request.Model != "" && info.WeightsVersion > 0 {
		a.router.opt.Backends.Learn(c.ID, a.request.Model, info.WeightsVersion)
	}
	if info.NotRun || response.Status == http.StatusMisdirectedRequest {
		return a.handleRefusal(c, response, info)
	}
	a.runs++
	if !info.Signed || response.Status < 200 {
		c.Done(backends.Bad, 0)
		a.recordSendFailed(c, "answer without signature", response.Status)
		return a.retryAfterRun()
	}
	if a.route.Kind == routes.Stream && response.Status < 300 {
		return a.relayStream(c, response, sentAt)
	}
	return a.relayBuffered(c, response, sentAt)
}

// withStartDeadline returns a context that ends when the request must no longer begin on the weights of the
// chosen engine. began must be called once the engine has answered. A request that waits in an
// engine's queue is dropped when its connection closes.
func (a *activeRequest) withStartDeadline(c *backends.Choice, now time.Time) (ctx context.Context, stopTimer func()) {
	if a.request.Model == "" {
		return a.ctx, func() {}
	}
	deadline := a.router.opt.Weights.StartDeadline(a.request.Model, c.Version)
	if deadline.IsZero() {
		return a.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	timer := time.AfterFunc(deadline.Sub(now), func() { cancel(errStartDeadline) })
	return ctx, func() { timer.Stop() }
}

// errStartDeadline ends a send whose request waited at an engine until its weights had become too old.
var errStartDeadline = errors.New("not begun before the limit for older weights")

// handleNoResponse decides after a send without an answer. ctx is that of the send.
func (a *activeRequest) handleNoResponse(ctx context.Context, c *backends.Choice, err error) sendOutcome {
	var exchangeErr *exchange.Error
	mayHaveRun := !errors.As(err, &exchangeErr) || exchangeErr.Sent
	if a.req.Context().Err() != nil {
		c.Done(backends.Neutral, 0)
		if mayHaveRun {
			a.runs++
		}
		return outcomeFail
	}
	c.Done(backends.Bad, 0)
	reason := err.Error()
	if cause := context.Cause(ctx); cause != nil {
		// The end of the context has closed the connection.
		reason = cause.Error()
	}
	if mayHaveRun {
		a.runs++
	}
	a.recordSendFailed(c, reason, 0)
	if !mayHaveRun {
		a.sends--
		a.router.opt.Backends.Unreachable(c.ID, time.Now().Add(unreachableBackoff))
		return a.retryIf(len(a.tried) < maxRefusedSends+a.route.MaxAttempts)
	}
	return a.retryAfterRun()
}

// handleRefusal decides after a backend server has stated that it did not run the request.
func (a *activeRequest) handleRefusal(c *backends.Choice, response *exchange.Response, info ResponseInfo) sendOutcome {
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxBufferedBytes)); err != nil {
		a.recordSendFailed(c, "refusal was cut: "+err.Error(), response.Status)
	}
	c.Done(backends.Neutral, 0)
	a.recordSendFailed(c, "refused", response.Status)
	a.router.opt.Backends.Pause(c.ID, time.Now().Add(refusedBackoff))
	return a.retryIf(len(a.tried) < maxRefusedSends+a.route.MaxAttempts)
}

// retryAfterRun decides after a send that may have run and brought no whole answer.
func (a *activeRequest) retryAfterRun() sendOutcome {
	return a.retryIf(a.route.Repeatable() && a.runs < a.route.MaxAttempts)
}

// retryIf turns a permission to send retryIf into the next step.
func (a *activeRequest) retryIf(allowed bool) sendOutcome {
	if !allowed || a.ctx.Err() != nil || a.req.Context().Err() != nil || a.remaining(time.Now()) < minRemaining {
		return outcomeFail
	}
	return outcomeRetry
}
