package enginestandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/engine"
)

// foreignID is the request id of chunks that the foreign-chunk fault inserts.
const foreignID = "request-of-another-caller"

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body engine.CompletionBody
	if !decode(w, r, &body) {
		return
	}
	in, err := parseSubmission(r.Header, &body)
	if err != nil {
		refuse(w, err)
		return
	}
	if !hasID(in.id) {
		in.id = e.newID()
	}
	reading, err := e.submit(in)
	if err != nil {
		refuse(w, err)
		return
	}
	if body.Stream {
		newEventWriter(w, in, isChat(r)).run(e, r, reading)
		return
	}
	e.respondWhole(w, r, in, reading)
}

// respondWhole sends the answer in one piece when it is complete.
func (e *Engine) respondWhole(w http.ResponseWriter, r *http.Request, in *submission, reading *reading) {
	defer e.leave(reading)
	var text strings.Builder
	for {
		chunks, end, ok := e.read(reading)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for _, c := range chunks {
			text.WriteString(c.Text)
			if c.Final {
				reply(w, wholeBody(in, isChat(r), text.String(), c.FinishReason))
				return
			}
		}
		if end > finished {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-reading.s.wake:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func wholeBody(in *submission, chat bool, text, finish string) engine.ChunkBody {
	body := engine.ChunkBody{ID: in.id, Object: "text_completion", Model: in.model}
	choice := engine.Choice{Text: text, FinishReason: &finish}
	if chat {
		body.Object = "chat.completion"
		choice.Text = ""
		choice.Message = &engine.Message{Role: "assistant", Content: text}
	}
	body.Choices = []engine.Choice{choice}
	return body
}

// eventWriter sends chunks as server-sent events and shows the stream faults. It builds the
// JSON itself, because a pool sends thousands of chunks a second in one process.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	chat    bool
	id      string
	model   string
	buffer  []byte
	sent    int
}

func newEventWriter(w http.ResponseWriter, in *submission, chat bool) *eventWriter {
	id, _ := json.Marshal(in.id)
	model, _ := json.Marshal(in.model)
	return &eventWriter{
		w:       w,
		control: http.NewResponseController(w),
		chat:    chat,
		id:      string(id),
		model:   string(model),
	}
}

// verdict tells how a response goes on after some chunks.
type verdict int

const (
	goOn verdict = iota
	complete
	// cut drops the connection; endEarly ends the response in order. Both leave the
	// sequence resumable.
	cut
	endEarly
)

// run sends the sequence until it ends, the reader leaves or a fault cuts the stream.
func (w *eventWriter) run(e *Engine, r *http.Request, reading *reading) {
	w.w.Header().Set("Content-Type", "text/event-stream")
	if w.control.Flush() != nil {
		e.leave(reading)
		return
	}
	for {
		chunks, end, ok := e.read(reading)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if len(chunks) > 0 && w.sent == 0 {
			chunks[0] = e.withHead(reading, chunks[0])
		}
		switch w.send(chunks, &reading.faults) {
		case complete:
			e.leave(reading)
			return
		case cut:
			e.detach(reading)
			panic(http.ErrAbortHandler)
		case endEarly:
			e.detach(reading)
			return
		}
		if end == dropped {
			panic(http.ErrAbortHandler)
		}
		if end == cancelled {
			return
		}
		select {
		case <-reading.s.wake:
		case <-r.Context().Done():
			e.leave(reading)
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes chunks with the faults applied.
func (w *eventWriter) send(chunks []engine.Chunk, f *Faults) verdict {
	if len(chunks) == 0 {
		return goOn
	}
	w.buffer = w.buffer[:0]
	result := goOn
	for i := range chunks {
		result = w.appendFaulty(&chunks[i], f)
		if result != goOn {
			break
		}
	}
	if result == complete {
		w.buffer = append(w.buffer, "data: "+engine.EndOfStream+"\n\n"...)
	}
	_, _ = w.w.Write(w.buffer)
	_ = w.control.Flush()
	return result
}

func (w *eventWriter) appendFaulty(c *engine.Chunk, f *Faults) verdict {
	w.sent++
	if w.sent == f.GapAt {
		return goOn
	}
	w.appendChunk(c, w.id)
	if w.sent == f.RepeatAfter {
		w.appendChunk(c, w.id)
	}
	if w.sent == f.ForeignAfter {
		foreign := engine.Chunk{Seq: c.Seq + 1, Text: "not yours ", Tokens: 1}
		w.appendChunk(&foreign, strconv.Quote(foreignID))
	}
	switch {
	case w.sent == f.CutAfter:
		return cut
	case w.sent == f.EndAfter:
		return endEarly
	case c.Final:
		return complete
	}
	return goOn
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
	b = appendHead(b, c)
	w.buffer = append(b, "}\n\n"...)
}

func appendHead(b []byte, c *engine.Chunk) []byte {
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
