package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

// relayBuffered reads the whole answer and passes it on, or keeps it if another backend server may
// do better.
func (a *activeRequest) relayBuffered(c *backends.Choice, response *exchange.Response, sent time.Time) sendOutcome {
	latency := time.Since(sent)
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		c.Done(backends.Bad, 0)
		a.recordSendFailed(c, "answer was cut: "+err.Error(), response.Status)
		return a.retryAfterRun()
	}
	stored := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if len(body) > maxBufferedBytes {
		c.Done(backends.Good, latency)
		return a.relayOversized(stored, response)
	}
	if response.Status >= 500 {
		c.Done(backends.Bad, 0)
		a.recordSendFailed(c, "backend server failed the request", response.Status)
		a.failedResponse = stored
		return a.retryAfterRun()
	}
	c.Done(backends.Good, latency)
	a.writeBuffered(stored)
	return outcomeDone
}

// writeBuffered passes a whole answer on to the client.
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

// writeHeader writes the header of the answer.
func (a *activeRequest) writeHeader(status int) {
	a.headerWritten, a.firstByteAt = true, time.Now()
	a.w.WriteHeader(status)
}

// relayOversized passes an answer on that is too long to be kept.
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

// streamReadBytes is the size in bytes of one read of a stream. Events are some hundred bytes at most.
const streamReadBytes = 2 << 10

// streamIdleTimeout is the pause in a resumable stream after which it goes on at another engine. Engines make an
// event at least every few hundred milliseconds; clients give a stream up after two seconds.
const streamIdleTimeout = 1500 * time.Millisecond

// relayStream passes complete events on as they arrive.
func (a *activeRequest) relayStream(c *backends.Choice, response *exchange.Response, sent time.Time) sendOutcome {
	flusher := http.NewResponseController(a.w)
	var buffer [streamReadBytes]byte
	var latency time.Duration
	for {
		if a.route.Resumable {
			if err := response.SetReadTimeout(streamIdleTimeout); err != nil {
				a.recordSendFailed(c, "connection: "+err.Error(), response.Status)
			}
		}
		n, err := response.Read(buffer[:])
		if n > 0 {
			if latency == 0 {
				latency = time.Since(sent)
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
			c.Done(backends.Good, latency)
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
			c.Done(backends.Bad, 0)
			a.recordSendFailed(c, "stream was cut: "+err.Error(), response.Status)
			a.events.reset()
			return a.retryAfterRun()
		}
	}
}

// writeStreamHeader writes the header of the first answer; a stream that goes on elsewhere keeps it.
func (a *activeRequest) writeStreamHeader(response *exchange.Response) {
	a.router.opt.Protocol.CopyResponseHeader(a.w.Header(), response.Header)
	a.writeHeader(response.Status)
}

// relayEvents writes events to the client. It reports whether the client still takes them.
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
