package enginestandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/engine"
)

// foreignRequestID is the request id of the chunks that the fault ForeignAfter inserts.
const foreignRequestID = "request-of-another-caller"

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(engine.HeaderRequestID); id != "" {
		w.Header().Set(engine.HeaderRequestID, id)
	}
	var body engine.CompletionBody
	if !decodeBody(w, r, &body) {
		return
	}
	req, err := parseRequest(r.Header, &body)
	if err != nil {
		writeError(w, err)
		return
	}
	if !isUsableID(req.id) {
		req.id = e.newID()
	}
	reader, err := e.submit(req)
	if err != nil {
		writeError(w, err)
		return
	}
	if body.Stream {
		newEventWriter(w, req, isChat(r)).sendChunks(e, r, reader)
		return
	}
	e.respondComplete(w, r, req, reader)
}

// respondComplete waits for the complete text and sends it as one response.
func (e *Engine) respondComplete(w http.ResponseWriter, r *http.Request, req *parsedRequest, reader *responseReader) {
	defer e.endResponse(reader)
	var text strings.Builder
	for {
		chunks, end, ok := e.nextChunks(reader)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for _, c := range chunks {
			text.WriteString(c.Text)
			if c.Final {
				writeJSON(w, completionBody(req, isChat(r), text.String(), c.FinishReason))
				return
			}
		}
		if end > finished {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-reader.sequence.wake:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func completionBody(req *parsedRequest, chat bool, text, finishReason string) engine.ChunkBody {
	body := engine.ChunkBody{ID: req.id, Object: "text_completion", Model: req.model}
	choice := engine.Choice{Text: text, FinishReason: &finishReason}
	if chat {
		body.Object = "chat.completion"
		choice.Text = ""
		choice.Message = &engine.Message{Role: "assistant", Content: text}
	}
	body.Choices = []engine.Choice{choice}
	return body
}

// eventWriter sends chunks as server-sent events and injects the stream faults. It appends the JSON
// by hand instead of using encoding/json, because the engines of a pool send thousands of chunks per
// second in one process.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	chat       bool
	id         string
	model      string
	buffer     []byte
	sentChunks int
}

func newEventWriter(w http.ResponseWriter, req *parsedRequest, chat bool) *eventWriter {
	id, _ := json.Marshal(req.id)
	model, _ := json.Marshal(req.model)
	return &eventWriter{
		w:          w,
		controller: http.NewResponseController(w),
		chat:       chat,
		id:         string(id),
		model:      string(model),
	}
}

// streamAction is the action after some chunks of a response have been written.
type streamAction int

const (
	continueStream streamAction = iota
	completeStream
	// abortConnection closes the connection; endWithoutMarker ends the HTTP response normally
	// but without the end-of-stream marker. After both, the request can be resumed.
	abortConnection
	endWithoutMarker
)

// sendChunks sends the chunks of a sequence until it ends, the client disconnects or a fault cuts the
// stream.
func (w *eventWriter) sendChunks(e *Engine, r *http.Request, reader *responseReader) {
	w.w.Header().Set("Content-Type", "text/event-stream")
	if w.controller.Flush() != nil {
		e.endResponse(reader)
		return
	}
	for {
		chunks, end, ok := e.nextChunks(reader)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if len(chunks) > 0 && w.sentChunks == 0 {
			chunks[0] = e.withExecutionInfo(reader, chunks[0])
		}
		switch w.writeChunks(chunks, &reader.faults) {
		case completeStream:
			e.endResponse(reader)
			return
		case abortConnection:
			e.detach(reader)
			panic(http.ErrAbortHandler)
		case endWithoutMarker:
			e.detach(reader)
			return
		}
		if end == dropped {
			panic(http.ErrAbortHandler)
		}
		if end == cancelled {
			return
		}
		select {
		case <-reader.sequence.wake:
		case <-r.Context().Done():
			e.endResponse(reader)
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// writeChunks writes chunks with the stream faults of f.
func (w *eventWriter) writeChunks(chunks []engine.Chunk, f *Faults) streamAction {
	if len(chunks) == 0 {
		return continueStream
	}
	w.buffer = w.buffer[:0]
	action := continueStream
	for i := range chunks {
		action = w.appendWithFaults(&chunks[i], f)
		if action != continueStream {
			break
		}
	}
	if action == completeStream {
		w.buffer = append(w.buffer, "data: "+engine.EndOfStream+"\n\n"...)
	}
	_, _ = w.w.Write(w.buffer)
	_ = w.controller.Flush()
	return action
}

func (w *eventWriter) appendWithFaults(c *engine.Chunk, f *Faults) streamAction {
	w.sentChunks++
	if w.sentChunks == f.GapAt {
		return continueStream
	}
	w.appendChunk(c, w.id)
	if w.sentChunks == f.RepeatAfter {
		w.appendChunk(c, w.id)
	}
	if w.sentChunks == f.ForeignAfter {
		foreign := engine.Chunk{Seq: c.Seq + 1, Text: "not yours ", Tokens: 1}
		w.appendChunk(&foreign, strconv.Quote(foreignRequestID))
	}
	switch {
	case w.sentChunks == f.CutAfter:
		return abortConnection
	case w.sentChunks == f.EndAfter:
		return endWithoutMarker
	case c.Final:
		return completeStream
	}
	return continueStream
}

func (w *eventWriter) appendChunk(c *engine.Chunk, id string) {
	b := w.buffer
	b = append(b, `data: {"id":`...)
	b = append(b, id...)
	if w.chat {
		b = append(b, `,"object":"chat.completion.chunk","model":`...)
	} else {
		b = append(b, `,"object":"text_completion","model":`...)
	}
	b = append(b, w.model...)
	b = append(b, `,"choices":[{"index":0,`...)
	if w.chat {
		b = append(b, `"delta":{"role":"assistant","content":`...)
		b = strconv.AppendQuote(b, c.Text)
		b = append(b, '}')
	} else {
		b = append(b, `"text":`...)
		b = strconv.AppendQuote(b, c.Text)
	}
	b = append(b, `,"finish_reason":`...)
	if c.Final {
		b = strconv.AppendQuote(b, c.FinishReason)
	} else {
		b = append(b, "null"...)
	}
	b = append(b, `}],"seq":`...)
	b = strconv.AppendInt(b, int64(c.Seq), 10)
	b = append(b, `,"tokens":`...)
	b = strconv.AppendInt(b, int64(c.Tokens), 10)
	b = appendExecutionInfo(b, c)
	w.buffer = append(b, "}\n\n"...)
}

// appendExecutionInfo appends the fields that only the first chunk of a response has.
func appendExecutionInfo(b []byte, c *engine.Chunk) []byte {
	if c.Incarnation == "" {
		return b
	}
	b = append(b, `,"incarnation":`...)
	b = strconv.AppendQuote(b, c.Incarnation)
	b = append(b, `,"reused_tokens":`...)
	b = strconv.AppendInt(b, int64(c.ReusedTokens), 10)
	b = append(b, `,"computed_tokens":`...)
	b = strconv.AppendInt(b, int64(c.ComputedTokens), 10)
	b = append(b, `,"prefill_ms":`...)
	return strconv.AppendInt(b, int64(c.PrefillMS), 10)
}
