package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/openai"
	"cassiawall.example/cassiawall/pkg/prefix"
	"cassiawall.example/cassiawall/pkg/stream"
)

// responder writes the response to one request.
type responder interface {
	stream.Sink
	// finish writes the end of a complete response.
	finish(result *stream.Result) error
	// started reports whether a part of the response has been written.
	started() bool
	// fail ends a response that has been started with a typed error.
	fail(id string, err error)
}

// responder returns the writer for a streamed or a single response, depending on the request.
func (s *Server) responder(w http.ResponseWriter, g *generation) responder {
	if g.common.Stream {
		return &streamResponder{w: w, control: http.NewResponseController(w), g: g, writeTimeout: s.opt.WriteTimeout}
	}
	return &bufferedResponder{w: w, g: g}
}

// endGeneration ends a response that failed. If the response has been started, it writes err to the
// caller, unless the caller has disconnected, and returns nil. Otherwise it returns err, to be written
// with its HTTP status.
func (s *Server) endGeneration(ctx context.Context, id string, out responder, err error) error {
	if err == nil || !out.started() {
		return err
	}
	if callerDisconnected(ctx) {
		return nil
	}
	s.logFailure(ctx, event.RequestFailed, id, err)
	out.fail(id, err)
	return nil
}

// callerDisconnected reports whether ctx was cancelled because the caller disconnected. When the node
// itself cancels a request, the cause is a typed error.
func callerDisconnected(ctx context.Context) bool {
	var typed *fault.Error
	cause := context.Cause(ctx)
	return cause != nil && !errors.As(cause, &typed)
}

// writeError logs err and writes it as the whole response, with its HTTP status.
func (s *Server) writeError(ctx context.Context, w http.ResponseWriter, id string, err error) {
	typed := fault.As(err)
	kind := event.RequestRefused
	if typed.Work != fault.NotRun {
		kind = event.RequestFailed
	}
	s.logFailure(ctx, kind, id, err)
	fault.WriteHTTP(w, typed, id)
}

func (s *Server) logFailure(ctx context.Context, e event.Event, id string, err error) {
	typed := fault.As(err)
	e.Log(ctx, s.opt.Logger, slog.String("request", id), slog.String("kind", string(typed.Kind)),
		slog.String("work", string(typed.Work)), slog.String("error", typed.Error()))
}

// latencySink measures the time to the first token and the longest time between tokens, and passes
// each chunk to onChunk and the responder. The time between two chunks is divided by the number of
// tokens of the second one, because that is the average time per token that a reader observes.
type latencySink struct {
	responder   responder
	now         func() time.Time
	arrived     time.Time
	onChunk     func(*engine.Chunk)
	lastChunkAt time.Time
	ttft        time.Duration
	maxGap      time.Duration
}

// Deliver implements stream.Sink.
func (t *latencySink) Deliver(c engine.Chunk) error {
	now := t.now()
	if t.lastChunkAt.IsZero() {
		t.ttft = now.Sub(t.arrived)
	} else {
		t.maxGap = max(t.maxGap, now.Sub(t.lastChunkAt)/time.Duration(max(c.Tokens, 1)))
	}
	t.lastChunkAt = now
	t.onChunk(&c)
	return t.responder.Deliver(c)
}

// streamResponder writes a streamed response as server-sent events.
type streamResponder struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	g            *generation
	writeTimeout time.Duration
	begun        bool
	// buffer holds the event that is being encoded or written.
	buffer bytes.Buffer
}

func (o *streamResponder) started() bool { return o.begun }

// Deliver implements stream.Sink. It fails with fault.SlowReader if the caller does not accept the
// chunk within the write timeout.
func (o *streamResponder) Deliver(c engine.Chunk) error {
	if !o.begun {
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.begun = true
	}
	var reason *string
	if c.Final {
		reason = &c.FinishReason
	}
	return o.send(o.chunkBody(c.Text, reason, c.Seq == 0))
}

func (o *streamResponder) chunkBody(text string, reason *string, first bool) any {
	created := o.g.arrived.Unix()
	if !o.g.chat {
		return openai.Completion{ID: "cmpl-" + o.g.id, Object: "text_completion", Created: created, Model: o.g.model.Name,
			Choices: []openai.CompletionChoice{{Text: text, FinishReason: reason}}}
	}
	delta := &openai.ChatMessage{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return openai.ChatCompletion{ID: "chatcmpl-" + o.g.id, Object: "chat.completion.chunk", Created: created, Model: o.g.model.Name,
		Choices: []openai.ChatChoice{{Delta: delta, FinishReason: reason}}}
}

func (o *streamResponder) finish(result *stream.Result) error {
	if o.g.common.StreamOptions != nil && o.g.common.StreamOptions.IncludeUsage {
		if err := o.send(o.usageBody(result)); err != nil {
			return err
		}
	}
	return o.write([]byte("data: [DONE]\n\n"))
}

func (o *streamResponder) usageBody(result *stream.Result) any {
	usage := usageOf(o.g, result)
	created := o.g.arrived.Unix()
	if !o.g.chat {
		return openai.Completion{ID: "cmpl-" + o.g.id, Object: "text_completion", Created: created, Model: o.g.model.Name,
			Choices: []openai.CompletionChoice{}, Usage: usage}
	}
	return openai.ChatCompletion{ID: "chatcmpl-" + o.g.id, Object: "chat.completion.chunk", Created: created, Model: o.g.model.Name,
		Choices: []openai.ChatChoice{}, Usage: usage}
}

// fail writes the error as an event. The end marker [DONE] is left out, so that clients do not treat
// the response as complete.
func (o *streamResponder) fail(id string, err error) {
	_ = o.write(append([]byte("event: error\n"), o.encode(fault.BodyOf(err, id))...))
}

func (o *streamResponder) send(body any) error { return o.write(o.encode(body)) }

// encode returns body as one event. The result is valid until the next call.
func (o *streamResponder) encode(body any) []byte {
	o.buffer.Reset()
	o.buffer.WriteString("data: ")
	if err := json.NewEncoder(&o.buffer).Encode(body); err != nil {
		// Not reachable: the types of package openai hold only strings and numbers, which can always be
		// encoded.
		panic(err)
	}
	o.buffer.WriteByte('\n')
	return o.buffer.Bytes()
}

func (o *streamResponder) write(data []byte) error {
	// The error is ignored: writers without deadlines, as in tests, have no slow reader.
	_ = o.control.SetWriteDeadline(time.Now().Add(o.writeTimeout))
	if _, err := o.w.Write(data); err != nil {
		return o.writeError(err)
	}
	if err := o.control.Flush(); err != nil {
		return o.writeError(err)
	}
	return nil
}

func (o *streamResponder) writeError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.Wrap(err, fault.SlowReader, "the caller took nothing for %s", o.writeTimeout).WithWork(fault.Run)
	}
	return fault.Wrap(err, fault.StreamBroken, "the caller's connection failed").WithWork(fault.Run)
}

// bufferedResponder collects the response and writes it at the end. The maximum number of output
// tokens of the request bounds its size.
type bufferedResponder struct {
	w    http.ResponseWriter
	g    *generation
	text strings.Builder
}

func (o *bufferedResponder) started() bool      { return false }
func (o *bufferedResponder) fail(string, error) {}

// Deliver implements stream.Sink.
func (o *bufferedResponder) Deliver(c engine.Chunk) error {
	o.text.WriteString(c.Text)
	return nil
}

func (o *bufferedResponder) finish(result *stream.Result) error {
	o.w.Header().Set("Content-Type", "application/json")
	reason := result.FinishReason
	created := o.g.arrived.Unix()
	var body any
	if o.g.chat {
		body = openai.ChatCompletion{ID: "chatcmpl-" + o.g.id, Object: "chat.completion", Created: created, Model: o.g.model.Name,
			Choices: []openai.ChatChoice{{Message: &openai.ChatMessage{Role: "assistant", Content: o.text.String()}, FinishReason: &reason}},
			Usage:   usageOf(o.g, result)}
	} else {
		body = openai.Completion{ID: "cmpl-" + o.g.id, Object: "text_completion", Created: created, Model: o.g.model.Name,
			Choices: []openai.CompletionChoice{{Text: o.text.String(), FinishReason: &reason}}, Usage: usageOf(o.g, result)}
	}
	// The status line has been sent with the first byte, so a failed write cannot be reported: the
	// caller has disconnected.
	_ = json.NewEncoder(o.w).Encode(body)
	return nil
}

func usageOf(g *generation, result *stream.Result) *openai.Usage {
	prompt := prefix.Tokens(g.pieces)
	return &openai.Usage{
		PromptTokens: prompt, CompletionTokens: result.Tokens, TotalTokens: prompt + result.Tokens,
		PromptTokensDetails: openai.PromptDetails{CachedTokens: result.ReusedTokens},
	}
}
