package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

// relayBuffered reads the whole response and relays it. A 5xx response is kept instead, because a retry
// may succeed.
func (a *activeRequest) relayBuffered(c *backends.Choice, response *exchange.Response, sentAt time.Time) sendOutcome {
	latency := time.Since(sentAt)
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		c.Done(backends.Failure, 0)
		a.recordSendFailed(c, "response truncated: "+err.Error(), response.Status)
		return a.retryAfterRun()
	}
	stored := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if len(body) > maxBufferedBytes {
		c.Done(backends.Success, latency)
		return a.relayOversized(stored, response)
	}
	if response.Status >= 500 {
		c.Done(backends.Failure, 0)
		a.recordSendFailed(c, "backend server returned a server error", response.Status)
		a.failedResponse = stored
		return a.retryAfterRun()
	}
	c.Done(backends.Success, latency)
	a.writeBuffered(stored)
	return outcomeDone
}

// writeBuffered writes a complete response to the client.
func (a *activeRequest) writeBuffered(stored *bufferedResponse) {
	if a.headerWritten {
		panic(http.ErrAbortHandler)
	}
	a.router.opt.Protocol.CopyResponseHeader(a.w.Header(), stored.header)
	if len(stored.body) > 0 || stored.status != http.StatusNoContent && stored.status != http.StatusNotModified {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(stored.body)))
	}
	a.writeHeader(stored.status)
	if _, err := a.w.Write(stored.body); err != nil {
		panic(http.ErrAbortHandler)
	}
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
		panic(http.ErrAbortHandler)
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

// streamIdleTimeout is the time without data after which a resumable stream continues at another
// engine. Engines send an event at least every few hundred milliseconds, and clients time out after two
// seconds.
const streamIdleTimeout = 1500 * time.Millisecond

// relayStream relays complete events as they arrive.
func (a *activeRequest) relayStream(c *backends.Choice, response *exchange.Response, sentAt time.Time) sendOutcome {
	flusher := http.NewResponseController(a.w)
	var buffer [streamReadBytes]byte
	var latency time.Duration
	for {
		if a.route.Resumable {
			if err := response.SetReadTimeout(streamIdleTimeout); err != nil {
				a.recordSendFailed(c, "set read deadline: "+err.Error(), response.Status)
			}
		}
		n, err := response.Read(buffer[:])
		if n > 0 {
			if latency == 0 {
				latency = time.Since(sentAt)
				a.recordCachedPrompt(c, time.Now())
			}
			if !a.relayEvents(flusher, response, a.events.push(buffer[:n])) {
				c.Done(backends.Neutral, 0)
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && (response.Framed || len(a.events.pending) == 0):
			c.Done(backends.Success, latency)
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
		default:
			c.Done(backends.Failure, 0)
			a.recordSendFailed(c, "stream was cut: "+err.Error(), response.Status)
			a.events.reset()
			return a.retryAfterRun()
		}
	}
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
