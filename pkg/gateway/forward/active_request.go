package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/cachemap"
	"cassiawall.example/cassiawall/pkg/gateway/decisions"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// maxRefusedSends is the number of sends beyond the route's MaxAttempts that a request may use
	// on backend servers that refuse it or cannot be reached. Retries after a refusal count against
	// the retry budget, which all nodes share.
	maxRefusedSends = 3
	// minRemaining is the shortest remaining time in which the response to a first or repeated send can
	// arrive.
	minRemaining = 30 * time.Millisecond
	// pickInterval is the polling interval while no backend server is available.
	pickInterval = 25 * time.Millisecond
	// refusedBackoff is the time for which other backend servers are preferred to one that refused a
	// request, which it does when it is full.
	refusedBackoff = 250 * time.Millisecond
	// unreachableBackoff is the time for which other backend servers are preferred to one that did
	// not accept a connection.
	unreachableBackoff = 1500 * time.Millisecond
	// preferNewestDelay is the age of a weights version from which engines with older weights are
	// avoided. The platform counts responses from older weights as less valuable from 1.5 s on; the
	// difference allows for the time that a request is in flight.
	preferNewestDelay = 1200 * time.Millisecond
	// maxBufferedBytes is the size in bytes up to which a response is buffered before it is relayed. With 64
	// endless responses at once, a node stays below the memory of the smallest VMs (120 MB).
	maxBufferedBytes = 256 << 10
)

// activeRequest is the state of one client request that is being forwarded. It is used by a single
// goroutine.
type activeRequest struct {
	router     *Router
	config     *routes.Config
	route      *routes.Route
	workspace  *routes.Workspace
	request    Request
	service    string
	body       exchange.Body
	receivedAt time.Time

	w       http.ResponseWriter
	req     *http.Request
	ctx     context.Context
	timeout time.Duration

	// sends counts the sends for which a connection was established, and runs those among them that
	// the backend server may have run. tried lists the backend servers of all sends.
	sends, runs int
	tried       []string
	// headerWritten is set once the response header is written to the client.
	headerWritten bool
	events        eventSplitter
	trace         *decisions.Trace
	// firstByteAt is the time at which the response to the client began, or zero.
	firstByteAt time.Time
	// moved is set once the stream has left an engine that was silent.
	moved bool
	// wasIdle is set once the trace records that the stream was idle and stayed at its engine.
	wasIdle bool
	// noBackendTraced is set once the trace records that no backend server was available.
	noBackendTraced bool
	// excluded counts why the last pick found no backend server.
	excluded backends.CandidateCounts
	// saveRequested is set if the current send requests that the engine save the prompt to the KV cache store.
	saveRequested bool
	// prefixHashes caches the result of sharedPrefixHashes for prefixHashesVersion.
	prefixHashes        []cachemap.Key
	prefixHashesVersion int
	// eventDelivered is set once the current send has delivered a complete event, at firstEventAt on the clock of the
	// quarantine. shownSound is set once it has shown that the engine survives the request's parts.
	eventDelivered bool
	firstEventAt   time.Time
	shownSound     bool
	// partHashes caches the result of hashedParts. waiting is the current send until its first event. trial is set
	// if the request may be sent although a part is quarantined. retryAfter is the time until such a part may be
	// sent again, if the request is refused because of it.
	// quarantineSentAt is the time of the current send on the clock of the quarantine.
	partHashes       []quarantine.Part
	waiting          *waitingSend
	trial            bool
	retryAfter       time.Duration
	quarantineSentAt time.Time
	// tokensToRead is the part of the prompt that the engine of the current send is assumed to read, because it neither has
	// the tokens in memory nor fetches them.
	tokensToRead int
	speedSample  speedSample
	// affinity caches the result of affinityKey once affinityKnown is set.
	affinity      uint64
	affinityKnown bool
	// quota is what the request has been charged.
	quota quotaCharge
	// reserved is the backend server of the next send, or nil if it has yet to be picked.
	reserved *backends.Choice
	// retryGrants is the number of further sends that the retry budget has granted and that have not reached a backend
	// server.
	retryGrants int
	// failedResponse is the last complete response with a 5xx status, or nil. It is relayed if no
	// retry succeeds.
	failedResponse *bufferedResponse
}

// bufferedResponse is a response that was read into memory before it is relayed.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// sendOutcome is the next step after a send.
type sendOutcome int

const (
	outcomeDone sendOutcome = iota
	// outcomeRetry is returned only if the request was not run or may run again.
	outcomeRetry
	outcomeFail
	// outcomeQuarantined is returned if a part was quarantined, and outcomeInDoubt if a part may be the cause of
	// several crashes.
	outcomeQuarantined
	outcomeInDoubt
)

// sendWithRetries sends the request to one backend server after another until the client has a
// response.
func (a *activeRequest) sendWithRetries() {
	defer a.cancelUnusedTrial()
	defer a.releaseReserved()
	defer a.refundRetries()
	defer a.refundCharge()
	for {
		if a.isQuarantined() {
			a.failRequest(causeQuarantined)
			return
		}
		if a.exceedsShutdown() {
			a.failRequest(causeShutdown)
			return
		}
		if cause := a.takeCharge(); cause != "" {
			if a.mustContinue() && wait.Pause(a.ctx, refusedBackoff) {
				continue
			}
			a.failRequest(cause)
			return
		}
		choice := a.takeReserved()
		if choice == nil {
			if choice = a.pickBackend(); choice == nil {
				a.failRequest(a.noBackendCause())
				return
			}
			if a.sends > 0 && !a.allowRetry() {
				choice.Done(backends.Neutral, 0)
				if a.mustContinue() && wait.Pause(a.ctx, refusedBackoff) {
					continue
				}
				a.failRequest(causeRetryBudget)
				return
			}
		}
		switch a.send(choice) {
		case outcomeDone:
			a.recordAnswered()
			return
		case outcomeFail:
			a.failRequest(a.failureCause())
			return
		case outcomeQuarantined:
			a.failRequest(causeQuarantined)
			return
		case outcomeInDoubt:
			a.failRequest(causeInDoubt)
			return
		}
	}
}

// failureCause returns causeRefused if no backend server can have run the request, and causeBackend
// otherwise.
func (a *activeRequest) failureCause() string {
	if a.runs == 0 {
		return causeRefused
	}
	return causeBackend
}

// remaining returns the time until the timeout of the client or the route.
func (a *activeRequest) remaining(now time.Time) time.Duration {
	return a.timeout - now.Sub(a.receivedAt)
}

// backendRequest returns the fields that the node sets for this send. It also decides on the KV cache
// transfers of the send.
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

// send sends the request to one backend server and relays its response.
func (a *activeRequest) send(c *backends.Choice) sendOutcome {
	sentAt := time.Now()
	if a.startDeadlinePassed(c) {
		c.Done(backends.Neutral, 0)
		return a.retryIf(wait.Pause(a.ctx, pickInterval))
	}
	tracked, untrack, ok := a.trackSend(a.ctx)
	if !ok {
		c.Done(backends.Neutral, 0)
		return outcomeQuarantined
	}
	defer untrack()
	a.sends++
	a.eventDelivered, a.shownSound = false, false
	a.tried = append(a.tried, c.ID)
	backendReq := a.backendRequest(c, sentAt)
	a.beginSpeedSample(c, clock.Now())
	a.traceBackendChosen(c, backendReq)
	if a.sends == 1 {
		a.router.observe("queue_wait_ms", sentAt.Sub(a.receivedAt))
	}
	request := exchange.Request{
		ID: a.request.ID, Method: a.req.Method, Target: a.req.RequestURI, Host: a.req.Host, Body: a.body,
		Header:       a.router.opt.Protocol.EncodeRequest(a.req.Header, backendReq),
		LastSend:     !a.route.Repeatable(),
		OnSilentHost: func() { a.markUnreachable(c) },
	}
	var stopTimer func()
	request.StartDeadline, stopTimer = a.withStartDeadline(tracked, c)
	a.quarantineSentAt = a.router.opt.Quarantine.opt.Now()
	returnCharge := a.useCharge(&request)
	sendTime := clock.Now()
	if c.Limited {
		a.router.count("sends_to_limited_backends")
	}
	response, err := exchange.Do(tracked, c.Pool, request, func(h http.Header) bool {
		return a.router.opt.Protocol.DecodeResponse(h).RequestID == a.request.ID
	})
	stopTimer()
	if reachedBackend(err) {
		a.useRetry()
	} else {
		returnCharge()
	}
	if errors.Is(err, errChargeEnded) {
		a.sends--
		a.tried = a.tried[:len(a.tried)-1]
		c.Done(backends.Neutral, 0)
		return a.retryIf(true)
	}
	if err != nil {
		return a.handleNoResponse(c, err)
	}
	defer response.Close()
	a.router.observe("backend_first_byte_ms", time.Since(sentAt))
	info := a.router.opt.Protocol.DecodeResponse(response.Header)
	if response.Status != http.StatusMisdirectedRequest {
		// With that status, another server may have responded.
		a.router.notices.Observe(c.ID, c.Started, a.router.opt.Protocol.DecodeNotice(response.Status, response.Header), sendTime, a.request.ID)
	}
	if a.request.Model != "" && info.WeightsVersion > 0 {
		sentAt := sendTime
		if response.Status == http.StatusMisdirectedRequest {
			// A version of another server must not replace the engine's own.
			sentAt = time.Time{}
		}
		a.router.opt.Backends.ObserveVersion(c.ID, c.Started, a.request.Model, info.WeightsVersion, sentAt)
	}
	if info.NotRun || response.Status == http.StatusMisdirectedRequest {
		returnCharge()
		return a.handleRefusal(c, response, info)
	}
	a.runs++
	// The engine has not refused the request, so that a move does not need its second grant.
	a.refundRetries()
	if !info.Signed || response.Status < 200 {
		c.Done(backends.Failure, 0)
		a.recordSendFailed(c, phaseResponse, "response is not signed", response.Status)
		return a.retryAfterRun()
	}
	if a.route.Kind == routes.Stream && response.Status < 300 {
		return a.relayStream(tracked, c, response, sentAt)
	}
	return a.relayBuffered(tracked, c, response, sentAt)
}

// reachedBackend reports whether a send with the result err may have reached its backend server.
func reachedBackend(err error) bool {
	var exchangeErr *exchange.Error
	return !errors.As(err, &exchangeErr) || exchangeErr.Sent
}

// handleNoResponse returns the next step after a send that got no response.
func (a *activeRequest) handleNoResponse(c *backends.Choice, err error) sendOutcome {
	mayHaveRun := reachedBackend(err)
	phase := phaseConnect
	if mayHaveRun {
		a.runs++
		phase = phaseNoResponse
	}
	if a.req.Context().Err() != nil {
		c.Done(backends.Neutral, 0)
		return outcomeFail
	}
	ended := endOf(err)
	if ended == errQuarantined {
		return a.endQuarantined(c, phase, 0)
	}
	c.Done(backends.Failure, 0)
	a.recordSendFailed(c, phase, failureReason(ended, err), 0)
	if !mayHaveRun {
		a.sends--
		a.markUnreachable(c)
		return a.retryAfterRefusal()
	}
	if a.recordEnd(ended, c, err) {
		return outcomeInDoubt
	}
	return a.retryAfterRun()
}

// endOf returns why this node ended a send that got no response, or nil if it did not end it.
func endOf(err error) error {
	var exchangeErr *exchange.Error
	if errors.As(err, &exchangeErr) {
		return exchangeErr.Ended
	}
	return nil
}

// failureReason returns why a send failed. ended is why this node ended it, or nil if it did not; otherwise err only reports
// that the connection was closed.
func failureReason(ended, err error) string {
	if ended != nil {
		return ended.Error()
	}
	return err.Error()
}

// markUnreachable makes this node prefer other backend servers to one that cannot be connected to.
func (a *activeRequest) markUnreachable(c *backends.Choice) {
	a.router.opt.Backends.MarkUnreachable(c.ID, time.Now().Add(unreachableBackoff))
}

// endQuarantined ends a send that was cancelled because a part of the request is quarantined.
func (a *activeRequest) endQuarantined(c *backends.Choice, phase sendPhase, status int) sendOutcome {
	c.Done(backends.Neutral, 0)
	a.recordSendFailed(c, phase, errQuarantined.Error(), status)
	return outcomeQuarantined
}

// handleRefusal returns the next step after a backend server has reported that it did not run the request.
func (a *activeRequest) handleRefusal(c *backends.Choice, response *exchange.Response, info ResponseInfo) sendOutcome {
	response.MarkRefused()
	if response.Framed {
		// The body is read only so that the connection can be reused.
		if _, err := io.Copy(io.Discard, io.LimitReader(response, maxBufferedBytes)); err != nil {
			a.recordSendFailed(c, phaseRefused, "refusal truncated: "+err.Error(), response.Status)
		}
	}
	c.Done(backends.Neutral, 0)
	a.recordSendFailed(c, phaseRefused, "refused", response.Status)
	a.router.opt.Backends.Pause(c.ID, time.Now().Add(refusedBackoff))
	return a.retryAfterRefusal()
}
