package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

// relayWhole reads the whole answer and passes it on, or keeps it if another backend server may
// do better.
func (j *job) relayWhole(c *backends.Choice, answer *exchange.Response, sent time.Time) step {
	latency := time.Since(sent)
	body, err := io.ReadAll(io.LimitReader(answer, plainAnswer+1))
	if err != nil {
		c.Done(backends.Failure, 0)
		j.log(c, "answer was cut: "+err.Error(), answer.Status)
		return j.afterRun()
	}
	stored := &storedAnswer{status: answer.Status, header: answer.Header, body: body}
	if len(body) > plainAnswer {
		c.Done(backends.Success, latency)
		return j.relayLarge(stored, answer)
	}
	if answer.Status >= 500 {
		c.Done(backends.Failure, 0)
		j.log(c, "backend server failed the request", answer.Status)
		j.failure = stored
		return j.afterRun()
	}
	c.Done(backends.Success, latency)
	j.write(stored)
	return finished
}

// write passes a whole answer on to the client.
func (j *job) write(a *storedAnswer) {
	if j.begun {
		panic(http.ErrAbortHandler)
	}
	j.router.opt.Protocol.Copy(j.w.Header(), a.header)
	if len(a.body) > 0 || a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	j.begin(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// begin writes the header of the answer.
func (j *job) begin(status int) {
	j.begun, j.firstByte = true, time.Now()
	j.w.WriteHeader(status)
}

// relayLarge passes an answer on that is too long to be kept.
func (j *job) relayLarge(read *storedAnswer, rest *exchange.Response) step {
	if j.begun {
		panic(http.ErrAbortHandler)
	}
	j.router.opt.Protocol.Copy(j.w.Header(), read.header)
	j.begin(read.status)
	if _, err := j.w.Write(read.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(j.w, rest); err != nil {
		panic(http.ErrAbortHandler)
	}
	return finished
}

// streamBuffer is the size in bytes of one read of a stream. Events are some hundred bytes at most.
const streamBuffer = 2 << 10

// silence is the pause in a resumable stream after which it goes on at another engine. Engines make an
// event at least every few hundred milliseconds; clients give a stream up after two seconds.
const silence = 1500 * time.Millisecond

// relayStream passes complete events on as they arrive.
func (j *job) relayStream(c *backends.Choice, answer *exchange.Response, sent time.Time) step {
	flusher := http.NewResponseController(j.w)
	var buffer [streamBuffer]byte
	var latency time.Duration
	for {
		if j.route.Resumable {
			if err := answer.Expect(silence); err != nil {
				j.log(c, "connection: "+err.Error(), answer.Status)
			}
		}
		n, err := answer.Read(buffer[:])
		if n > 0 {
			if latency == 0 {
				latency = time.Since(sent)
				j.noteCached(c, time.Now())
			}
			if !j.relayEvents(flusher, answer, j.events.take(buffer[:n])) {
				c.Done(backends.Neutral, 0)
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && (answer.Framed || len(j.events.rest) == 0):
			c.Done(backends.Success, latency)
			if !j.begun {
				j.beginStream(answer)
			}
			if !j.relayEvents(flusher, answer, j.events.rest) {
				panic(http.ErrAbortHandler)
			}
			return finished
		case j.q.Context().Err() != nil:
			c.Done(backends.Neutral, 0)
			return giveUp
		default:
			c.Done(backends.Failure, 0)
			j.log(c, "stream was cut: "+err.Error(), answer.Status)
			j.events.reset()
			return j.afterRun()
		}
	}
}

// beginStream writes the header of the first answer; a stream that goes on elsewhere keeps it.
func (j *job) beginStream(answer *exchange.Response) {
	j.router.opt.Protocol.Copy(j.w.Header(), answer.Header)
	j.begin(answer.Status)
}

// relayEvents writes events to the client. It reports whether the client still takes them.
func (j *job) relayEvents(flusher *http.ResponseController, answer *exchange.Response, events []byte) bool {
	if len(events) == 0 {
		return true
	}
	if !j.begun {
		j.beginStream(answer)
	}
	if _, err := j.w.Write(events); err != nil {
		return false
	}
	return flusher.Flush() == nil
}
