package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

// relayBuffered reads the whole response and relays it. A 5xx response is kept instead, because a retry
// may succeed.
func (a *activeRequest) relayBuffered(ctx context.Context, c *backends.Choice, response *exchange.Response, sentAt time.Time) sendOutcome {
	latency := time.Since(sentAt)
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		if context.Cause(ctx) == errQuarantined {
			return a.endQuarantined(c, phaseResponse, response.Status)
		}
		c.Done(backends.Failure, 0)
		a.recordSendFailed(c, phaseResponse, "response truncated: "+failureReason(context.Cause(ctx), err), response.Status)
		if a.recordEnd(context.Cause(ctx), c, err) {
			return outcomeInDoubt
		}
		return a.retryAfterRun()
	}
	stored := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if len(body) > maxBufferedBytes {
		c.Done(backends.Success, latency)
		if response.Status < 300 {
			a.recordComplete(c)
		}
		return a.relayOversized(stored, response)
	}
	if response.Status >= 500 {
		c.Done(backends.Failure, 0)
		a.recordSendFailed(c, phaseResponse, "backend server returned a server error", response.Status)
		a.failedResponse = stored
		return a.retryAfterRun()
	}
	c.Done(backends.Success, latency)
	// An engine that crashes after the header also leaves an empty body without length.
	if response.Status < 300 && (response.Framed || len(body) > 0) {
		a.recordComplete(c)
	}
	a.writeBuffered(stored)
	return outcomeDone
}

// writeBuffered writes a complete response to the client.
func (a *activeRequest) writeBuffered(stored *bufferedResponse) {
	if a.headerWritten {
		a.abortBegun()
	}
	a.router.opt.Protocol.CopyResponseHeader(a.w.Header(), stored.header)
	if length := stored.contentLength(a.req.Method); length != "" {
		a.w.Header().Set("Content-Length", length)
	}
	a.writeHeader(stored.status)
	if _, err := a.w.Write(stored.body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// abortBegun ends a response that has begun and that its next engine answers with another response, such as an error.
func (a *activeRequest) abortBegun() {
	a.recordNotServed(causeBackend, "cut")
	panic(http.ErrAbortHandler)
}

// contentLength returns the Content-Length of the response to a request with the given method, or "" for none. In a
// response to HEAD it is the length that the backend server states for GET.
func (r *bufferedResponse) contentLength(method string) string {
	switch {
	case method == http.MethodHead:
		return r.header.Get("Content-Length")
	case len(r.body) == 0 && (r.status == http.StatusNoContent || r.status == http.StatusNotModified):
		return ""
	}
	return strconv.Itoa(len(r.body))
}

// writeHeader writes the status line and the header of the response.
func (a *activeRequest) writeHeader(status int) {
	a.headerWritten, a.firstByteAt = true, time.Now()
	a.w.WriteHeader(status)
}

// relayOversized relays a response that is larger than maxBufferedBytes: the bytes that were read, then
// the remainder.
func (a *activeRequest) relayOversized(read *bufferedResponse, remainder *exchange.Response) sendOutcome {
	if a.headerWritten {
		a.abortBegun()
	}
	a.router.opt.Protocol.CopyResponseHeader(a.w.Header(), read.header)
	a.writeHeader(read.status)
	if _, err := a.w.Write(read.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(a.w, remainder); err != nil {
		panic(http.ErrAbortHandler)
	}
	return outcomeDone
}

// streamReadBytes is the size of the read buffer of a stream. Events have a few hundred bytes at most.
const streamReadBytes = 2 << 10

// maxEventBytes is the size of an event from which a stream counts as truncated. Events have a few hundred
// bytes; a faulty engine may send bytes without end.
const maxEventBytes = 256 << 10

var (
	errEventTooLong = fmt.Errorf("an event is longer than %d bytes", maxEventBytes)
	errInsideEvent  = errors.New("the stream ended inside an event")
	errNoEvent      = errors.New("the connection was closed before the first event")
	errNoField      = errors.New("the stream has a line that is no field of an event")
	errOtherType    = errors.New("the continuation of a stream of events has another type")
)

// relayStream relays complete events as they arrive.
func (a *activeRequest) relayStream(ctx context.Context, c *backends.Choice, response *exchange.Response, sentAt time.Time) sendOutcome {
	flusher := http.NewResponseController(a.w)
	var buffer [streamReadBytes]byte
	var latency time.Duration
	idle := newIdleWatch(a, c.ID)
	defer idle.ended()
	a.events.strict = a.events.strict || isEventStream(response.Header)
	if a.headerWritten && a.events.strict && !isEventStream(response.Header) {
		c.Done(backends.Failure, 0)
		a.recordSendFailed(c, phaseResponse, errOtherType.Error(), response.Status)
		return a.retryAfterRun()
	}
	for {
		n, err := idle.read(response, buffer[:])
		if n > 0 {
			if latency == 0 {
				latency = time.Since(sentAt)
				a.recordCachedPrompt(c, time.Now())
			}
			events := a.events.push(buffer[:n])
			if len(events) > 0 {
				a.recordFirstEvent(c, time.Since(sentAt))
				a.recordEvent(c)
			}
			if !a.relayEvents(flusher, response, events) {
				c.Done(backends.Neutral, 0)
				panic(http.ErrAbortHandler)
			}
			if len(events) > 0 {
				// The time for which the client blocks a write does not count.
				idle.eventArrived()
			}
		}
		if err == nil && len(a.events.pending) > maxEventBytes {
			err = errEventTooLong
		}
		if err == io.EOF {
			err = a.checkStreamEnd(response)
		}
		if a.events.malformed {
			err = errNoField
		}
		switch {
		case err == nil:
		case err == io.EOF:
			c.Done(backends.Success, latency)
			// An engine that crashes after the header also leaves an empty body without length.
			if a.eventDelivered || response.Framed || latency > 0 {
				a.recordComplete(c)
			}
			if !a.headerWritten {
				a.writeStreamHeader(response)
			}
			if !a.relayEvents(flusher, response, a.events.pending) {
				panic(http.ErrAbortHandler)
			}
			return outcomeDone
		case a.req.Context().Err() != nil:
			c.Done(backends.Neutral, 0)
			return outcomeFail
		case context.Cause(ctx) == errQuarantined:
			outcome := a.endQuarantined(c, a.streamPhase(), response.Status)
			if !a.eventDelivered {
				return outcome
			}
			// The first event arrived as the send was cancelled. Unless the part is still quarantined, the stream
			// continues elsewhere.
			a.events.reset()
			return a.retryAfterRun()
		default:
			c.Done(backends.Failure, 0)
			a.recordSendFailed(c, a.streamPhase(), "stream was cut: "+failureReason(context.Cause(ctx), err), response.Status, "idle_ms", idle.idleTime().Milliseconds())
			a.events.reset()
			if a.recordEnd(context.Cause(ctx), c, err) {
				return outcomeInDoubt
			}
			return a.retryAfterRun()
		}
	}
}

// streamPhase returns the phase of a stream that fails now.
func (a *activeRequest) streamPhase() sendPhase {
	if a.eventDelivered {
		return phaseStream
	}
	return phaseNoEvent
}

// checkStreamEnd returns io.EOF if a response that was read to its end is complete, and the reason otherwise. A stream
// that ends inside an event is truncated even if its framing is complete. A response of another type has no events, so
// that its framing decides.
func (a *activeRequest) checkStreamEnd(response *exchange.Response) error {
	hasEvents := a.events.lastID != "" || isEventStream(response.Header)
	var truncated error
	switch {
	case a.events.insideEvent() && (hasEvents || !response.Framed):
		truncated = errInsideEvent
	case !response.Framed && !a.eventDelivered && a.request.LastEventID == "":
		truncated = errNoEvent
	default:
		return io.EOF
	}
	if hasEvents && !response.Framed {
		// The engine ended the connection.
		return fmt.Errorf("%w (%w)", truncated, io.ErrUnexpectedEOF)
	}
	return truncated
}

// isEventStream reports whether the media type of a response is that of server-sent events.
func isEventStream(h http.Header) bool {
	// A type that cannot be parsed is none of server-sent events.
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == "text/event-stream"
}

// writeStreamHeader writes the header of the first engine's response. It is also the header of a stream
// that continues at another engine.
func (a *activeRequest) writeStreamHeader(response *exchange.Response) {
	a.router.opt.Protocol.CopyResponseHeader(a.w.Header(), response.Header)
	a.writeHeader(response.Status)
}

// relayEvents writes events to the client and flushes them. It reports whether that succeeded.
func (a *activeRequest) relayEvents(flusher *http.ResponseController, response *exchange.Response, events []byte) bool {
	if len(events) == 0 {
		return true
	}
	if !a.headerWritten {
		a.writeStreamHeader(response)
	}
	if _, err := a.w.Write(events); err != nil {
		return false
	}
	return flusher.Flush() == nil
}
