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
	// leastLeft is the least time in which an answer to another send can still arrive.
	leastLeft = 30 * time.Millisecond
	// pickPause is the wait before another look for a backend server while all are busy with
	// new weights.
	pickPause = 25 * time.Millisecond
	// refusedPause keeps requests away from a backend server that refused one as full.
	refusedPause = 250 * time.Millisecond
	// failedPause keeps requests away from a backend server that could not be reached.
	failedPause = 1500 * time.Millisecond
	// preferNewestAfter is the age of a version from which on answers of older weights lose
	// part of their worth. The platform's rules name 1.5 s; the difference is time in flight.
	preferNewestAfter = 1200 * time.Millisecond
	// plainAnswer is the largest answer in bytes that is read whole before it is passed on.
	plainAnswer = 1 << 20
)

// job is one request on its way through backend servers. It belongs to one goroutine.
type job struct {
	router  *Router
	config  *routes.Config
	route   *routes.Route
	tenant  *routes.Tenant
	request Request
	service string
	body    []byte
	arrived time.Time

	w     http.ResponseWriter
	q     *http.Request
	ctx   context.Context
	limit time.Duration

	// sends counts all sends, runs those that may have run.
	sends, runs int
	tried       []string
	// begun is set once the header of an answer is on its way to the client.
	begun  bool
	events eventSplitter
	trace  *decisions.Trace
	// firstByte is the time of the first byte for the client.
	firstByte time.Time
	// withoutBackend is set once the trace says that no backend server was left.
	withoutBackend bool
	// saving is set if the present send tells the engine to save the prompt's shared parts.
	saving bool
	// keys are those of the shared prefixes for keysVersion.
	keys        []cachemap.Key
	keysVersion int
	// failure is the last complete answer of a backend server that failed.
	failure *storedAnswer
}

// storedAnswer is a complete answer that is not passed on yet.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// step is what follows a send.
type step int

const (
	finished step = iota
	// sendAgain may follow only if the request was not run or may be repeated.
	sendAgain
	giveUp
)

// serve sends the request until it is answered or must be given up.
func (j *job) serve() {
	for {
		choice := j.choose()
		if choice == nil {
			j.giveUp(causeNoBackend)
			return
		}
		if j.sends > 0 && !j.mayRepeat() {
			choice.Done(backends.Neutral, 0)
			j.giveUp(causeBudget)
			return
		}
		switch j.send(choice) {
		case finished:
			j.end()
			return
		case giveUp:
			j.giveUp(j.causeOfEnd())
			return
		}
	}
}

// causeOfEnd tells a request that may have run from one that all backend servers refused.
func (j *job) causeOfEnd() string {
	if j.runs == 0 {
		return causeRefused
	}
	return causeBackend
}

// mayRepeat takes a further send from the budget.
func (j *job) mayRepeat() bool {
	if j.router.opt.Budget.Take(j.service, time.Now()) {
		j.router.count("further_sends", "budget", "granted")
		return true
	}
	j.router.count("further_sends", "budget", "spent")
	return false
}

// choose returns a backend server. It waits for one while engines take new weights, because these are
// back soon; otherwise a refusal that comes early lets the client try elsewhere.
func (j *job) choose() *backends.Choice {
	query := backends.Query{Service: j.service, Model: j.request.Model, Exclude: j.tried, Affinity: j.affinity(), Long: j.isLong()}
	prefixVersion := 0
	for {
		now := time.Now()
		if j.ctx.Err() != nil || j.q.Context().Err() != nil || j.left(now) < leastLeft {
			return nil
		}
		if j.request.Model != "" {
			newest, since, lowest := j.router.opt.Weights.Wanted(j.request.Model, now)
			query.MinVersion = lowest
			query.PreferVersion = 0
			prefixVersion = newest
			if now.Sub(since) >= preferNewestAfter {
				query.PreferVersion = newest
			}
		}
		query.PrefixEngine = j.cacheHolder(prefixVersion, now)
		c, considered := j.router.opt.Backends.Pick(query, now)
		if c != nil {
			return c
		}
		j.noteNoBackend(considered)
		if j.runs == 0 {
			// A server that refused may take the request now.
			query.Exclude = nil
		}
		patience := j.route.Objective / 8
		if j.router.opt.Backends.Loading(j.service, now) {
			patience = j.route.Objective / 2
		}
		if now.Sub(j.arrived) > patience || !wait.Pause(j.ctx, pickPause) {
			return nil
		}
	}
}

// left returns the time until the client or the route gives up.
func (j *job) left(now time.Time) time.Duration { return j.limit - now.Sub(j.arrived) }

// longTokens is the length of an answer from which on a request counts as long: about half a second
// of an engine's steps.
const longTokens = 100

// promptsPerAnswer is the length of a prompt, in lengths of its answer, from which on reading the prompt
// delays other answers more than the answer itself occupies the engine.
const promptsPerAnswer = 10

// isLong reports whether the request keeps its engine busy for long by its answer and not by its prompt.
func (j *job) isLong() bool {
	expected := j.request.ExpectedTokens
	if expected == 0 {
		expected = j.request.OutputTokens
	}
	return expected >= longTokens && j.request.PromptTokens < promptsPerAnswer*expected
}

// call describes this send to the backend server.
func (j *job) call(c *backends.Choice, now time.Time) Call {
	call := Call{
		Deadline: j.left(now), Backend: c.ID, Priority: j.route.Priority,
		StripKey: j.config.NeedsKeys(), ResumeAfter: j.events.lastID,
	}
	if j.tenant != nil {
		call.Tenant, call.WithTenant = j.tenant.Name, true
		if j.tenant.HasPriority {
			call.Priority = j.tenant.Priority
		}
	}
	if j.config.Services[j.service].HasEngines {
		call.WithRanking = true
		call.Version = c.Version
		call.CacheNamespace = cacheNamespace(c.Version, j.tenant)
		call.FetchFrom, call.SaveTo = j.cachePlan(c, now)
		j.countShared(call.FetchFrom)
	}
	return call
}

// send sends the request to one backend server and relays its answer.
func (j *job) send(c *backends.Choice) step {
	sent := time.Now()
	j.sends++
	j.tried = append(j.tried, c.ID)
	call := j.call(c, sent)
	j.noteChosen(c, call)
	if j.sends == 1 {
		j.router.observe("queue_wait_ms", sent.Sub(j.arrived))
	}
	request := exchange.Request{
		Method: j.q.Method, Target: j.q.RequestURI, Host: j.q.Host, Body: j.body,
		Header: j.router.opt.Protocol.Encode(j.q.Header, call),
	}
	ctx, began := j.beginInTime(c, sent)
	answer, err := exchange.Do(ctx, c.Pool, request, func(h http.Header) bool {
		return j.router.opt.Protocol.Answer(h).RequestID == j.request.ID
	})
	began()
	if err != nil {
		return j.unanswered(ctx, c, err)
	}
	defer answer.Close()
	j.router.observe("backend_first_byte_ms", time.Since(sent))
	head := j.router.opt.Protocol.Answer(answer.Header)
	if j.request.Model != "" && head.Version > 0 {
		j.router.opt.Backends.ObserveVersion(c.ID, j.request.Model, head.Version)
	}
	if head.NotRun || answer.Status == http.StatusMisdirectedRequest {
		return j.refusedBy(c, answer, head)
	}
	j.runs++
	if !head.Signed || answer.Status < 200 {
		c.Done(backends.Failure, 0)
		j.log(c, "answer without signature", answer.Status)
		return j.afterRun()
	}
	if j.route.Kind == routes.Stream && answer.Status < 300 {
		return j.relayStream(c, answer, sent)
	}
	return j.relayWhole(c, answer, sent)
}

// beginInTime returns a context that ends when the request must no longer begin on the weights of the
// chosen engine. began must be called once the engine has answered. A request that waits in an
// engine's queue is dropped when its connection closes.
func (j *job) beginInTime(c *backends.Choice, now time.Time) (ctx context.Context, began func()) {
	if j.request.Model == "" {
		return j.ctx, func() {}
	}
	limit := j.router.opt.Weights.BeginBefore(j.request.Model, c.Version)
	if limit.IsZero() {
		return j.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(j.ctx)
	timer := time.AfterFunc(limit.Sub(now), func() { cancel(errOldWeights) })
	return ctx, func() { timer.Stop() }
}

// errOldWeights ends a send whose request waited at an engine until its weights had become too old.
var errOldWeights = errors.New("not begun before the limit for older weights")

// unanswered decides after a send without an answer. ctx is that of the send.
func (j *job) unanswered(ctx context.Context, c *backends.Choice, err error) step {
	var failed *exchange.Error
	mayHaveRun := !errors.As(err, &failed) || failed.Sent
	if j.q.Context().Err() != nil {
		c.Done(backends.Neutral, 0)
		if mayHaveRun {
			j.runs++
		}
		return giveUp
	}
	c.Done(backends.Failure, 0)
	reason := err.Error()
	if cause := context.Cause(ctx); cause != nil {
		// The end of the context has closed the connection.
		reason = cause.Error()
	}
	if mayHaveRun {
		j.runs++
	}
	j.log(c, reason, 0)
	if !mayHaveRun {
		j.sends--
		j.router.opt.Backends.MarkUnreachable(c.ID, time.Now().Add(failedPause))
		return j.again(len(j.tried) < maxRefusedSends+j.route.Attempts)
	}
	return j.afterRun()
}

// refusedBy decides after a backend server has stated that it did not run the request.
func (j *job) refusedBy(c *backends.Choice, answer *exchange.Response, head Answer) step {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, plainAnswer)); err != nil {
		j.log(c, "refusal was cut: "+err.Error(), answer.Status)
	}
	c.Done(backends.Neutral, 0)
	j.log(c, "refused", answer.Status)
	j.router.opt.Backends.Pause(c.ID, time.Now().Add(refusedPause))
	return j.again(len(j.tried) < maxRefusedSends+j.route.Attempts)
}

// afterRun decides after a send that may have run and brought no whole answer.
func (j *job) afterRun() step {
	return j.again(j.route.Repeatable() && j.runs < j.route.Attempts)
}

// again turns a permission to send again into the next step.
func (j *job) again(allowed bool) step {
	if !allowed || j.ctx.Err() != nil || j.q.Context().Err() != nil || j.left(time.Now()) < leastLeft {
		return giveUp
	}
	return sendAgain
}
