package enginestandin

import (
	"container/heap"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// defaultPieceTokens is the size of the pieces into which the engine splits a prompt whose request
// has none.
const defaultPieceTokens = 4000

// parsedRequest holds the headers and body of a completion request.
type parsedRequest struct {
	id           string
	model        string
	priority     int
	resumeOffset int
	version      string
	incarnation  string
	prompt       string
	maxTokens    int
	seed         int64
	extension    engine.Extension
}

func parseRequest(h http.Header, body *engine.CompletionBody) (*parsedRequest, error) {
	req := &parsedRequest{
		id:          h.Get(engine.HeaderRequestID),
		model:       body.Model,
		version:     h.Get(engine.HeaderWeightsVersion),
		incarnation: h.Get(engine.HeaderIncarnation),
		prompt:      body.Prompt,
		maxTokens:   body.MaxTokens,
		seed:        body.Seed,
	}
	if body.Cassiawall != nil {
		req.extension = *body.Cassiawall
	}
	if len(body.Messages) > 0 {
		req.prompt = chatText(body.Messages)
	}
	if req.maxTokens <= 0 {
		req.maxTokens = defaultMaxTokens
	}
	var err error
	if req.priority, err = intHeader(h, engine.HeaderPriority); err != nil {
		return nil, err
	}
	if req.resumeOffset, err = intHeader(h, engine.HeaderResumeOffset); err != nil {
		return nil, err
	}
	return req, req.validate()
}

func (req *parsedRequest) validate() error {
	if req.prompt == "" {
		return fault.New(fault.BadRequest, "the prompt is empty")
	}
	if req.resumeOffset < 0 {
		return fault.New(fault.BadRequest, "the resume offset is negative")
	}
	sum := 0
	for _, p := range req.extension.Pieces {
		if p.Bytes < 0 || p.Tokens < 0 {
			return fault.New(fault.BadRequest, "a piece has a negative size")
		}
		sum += p.Bytes
	}
	if sum > len(req.prompt) {
		return fault.New(fault.BadRequest, "the pieces have %d bytes, the prompt only %d", sum, len(req.prompt))
	}
	return nil
}

func chatText(messages []engine.Message) string {
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return ChatPrompt(contents)
}

func intHeader(h http.Header, name string) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "header %s is not a number", name)
	}
	return number, nil
}

// splitPrompt returns the pieces of the prompt and the number of tokens after the last piece, which
// are never cached. The content keys are computed from the text, not taken from the request.
func (req *parsedRequest) splitPrompt(bytesPerToken float64) ([]piece, int) {
	pieces := req.extension.Pieces
	if len(pieces) == 0 {
		pieces = splitUnsizedPrompt(req.prompt, bytesPerToken)
	}
	salt := prefix.Salt{
		Workspace:      req.extension.Workspace,
		Model:          req.model,
		WeightsVersion: req.version,
		Adapter:        req.extension.Adapter,
	}
	cut := make([]piece, len(pieces))
	pieceBytes := 0
	for i, name := range engine.ContentKeys(salt, req.prompt, pieces) {
		_, _ = hex.Decode(cut[i].contentKey[:], []byte(name))
		cut[i].routingKey = pieces[i].Key
		cut[i].tokens = pieces[i].Tokens
		pieceBytes += pieces[i].Bytes
	}
	restTokens := float64(len(req.prompt)-pieceBytes) / bytesPerToken
	return cut, int(restTokens + 0.5)
}

func splitUnsizedPrompt(prompt string, bytesPerToken float64) []engine.Piece {
	geometry := prefix.Geometry{PieceTokens: defaultPieceTokens, BytesPerToken: bytesPerToken}
	return engine.WirePieces(prefix.Split(prefix.Salt{}, geometry, []prefix.Segment{{Text: prompt}}))
}

// responseReader reads the chunks of a sequence for one response.
type responseReader struct {
	sequence *sequence
	id       int
	// nextChunk indexes the next chunk to read in sequence.chunks.
	nextChunk int
	// resumed is true if the response continues an earlier one.
	resumed bool
	faults  Faults
}

// submit starts a request. If the engine still has a sequence with the same id, a resumption whose
// offset lies within its chunks attaches to it; otherwise submit cancels it and starts a new one.
func (e *Engine) submit(req *parsedRequest) (*responseReader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAcceptable(req); err != nil {
		e.counters.RefusedRequests++
		return nil, err
	}
	now := time.Now()
	old := e.sequences[req.id]
	if req.resumeOffset > 0 && old != nil && req.resumeOffset >= old.firstSeq {
		old.currentReader++
		old.detachedAt = time.Time{}
		reader := &responseReader{sequence: old, id: old.currentReader, nextChunk: req.resumeOffset - old.firstSeq, resumed: true}
		reader.faults = e.nextStreamFaults()
		return reader, nil
	}
	if old != nil {
		// The router sends a request again only when the earlier response has failed, so that
		// no client reads the old sequence.
		e.finish(old, cancelled, now)
	}
	created := e.newSequence(req, now)
	e.sequences[req.id] = created
	heap.Push(&e.batch.waiting, created)
	e.wakeStepLoop()
	return &responseReader{sequence: created, id: created.currentReader, nextChunk: req.resumeOffset - created.firstSeq, faults: e.nextStreamFaults()}, nil
}

// checkAcceptable returns the error with which the engine refuses a request, or nil. A request
// without a weights version gets the loaded one.
func (e *Engine) checkAcceptable(req *parsedRequest) error {
	if req.version == "" {
		req.version = e.weights.version
	}
	switch {
	case e.faults.Refuse:
		return fault.New(fault.Overloaded, "the engine refuses all requests")
	case req.incarnation != "" && req.incarnation != e.incarnation:
		return fault.New(fault.EngineRefused, "incarnation %s is not %s", req.incarnation, e.incarnation)
	case req.model != e.weights.model:
		return fault.New(fault.EngineRefused, "model %q is not loaded", req.model)
	case req.version != e.weights.version:
		return fault.New(fault.EngineRefused, "weights version %q is not loaded", req.version)
	case req.extension.Adapter != "" && !slices.Contains(e.weights.adapters, req.extension.Adapter):
		return fault.New(fault.EngineRefused, "adapter %q is not loaded", req.extension.Adapter)
	case e.faults.BadVersion != "" && e.faults.BadVersion == e.weights.version:
		return fault.New(fault.EngineFailed, "weights version %q fails", e.weights.version)
	case e.drainsForLoad():
		return fault.New(fault.Overloaded, "the engine is loading weights")
	case len(e.batch.waiting) >= e.config.MaxQueue:
		return fault.New(fault.Overloaded, "the engine's queue is full")
	}
	return nil
}

func (e *Engine) newSequence(req *parsedRequest, now time.Time) *sequence {
	e.arrivals++
	e.counters.Requests++
	s := &sequence{
		id:            req.id,
		priority:      req.priority,
		arrival:       e.arrivals,
		adapter:       req.extension.Adapter,
		ledgerRequest: e.config.Ledger.requestFor(req.prompt),
		chunkTokens:   e.config.ChunkTokens,
		completion:    newCompletion(req.prompt, req.seed, req.maxTokens),
		wake:          make(chan struct{}, 1),
		execution: Execution{
			RequestID:   req.id,
			Engine:      e.config.ID,
			Incarnation: e.incarnation,
			ArrivedAt:   now,
			Outcome:     outcomeRunning,
		},
	}
	s.pieces, s.tailLeft = req.splitPrompt(e.config.BytesPerToken)
	if req.extension.Replay != "" {
		s.completion.skipReplayed(req.extension.Replay)
		s.tailLeft += req.extension.ReplayTokens
		s.firstSeq = req.resumeOffset
		s.nextSeq = req.resumeOffset
	}
	return s
}

// nextStreamFaults returns the faults of the next stream and counts it against MaxFaultyStreams.
func (e *Engine) nextStreamFaults() Faults {
	f := e.faults
	if !f.hasStreamFault() {
		return Faults{}
	}
	if f.MaxFaultyStreams > 0 {
		if e.faultyStreamsLeft == 0 {
			return Faults{}
		}
		e.faultyStreamsLeft--
	}
	return f
}

// nextChunks returns the chunks that reader has not read and the phase of the sequence. ok is false
// if a later response has replaced the reader.
func (e *Engine) nextChunks(reader *responseReader) (chunks []engine.Chunk, end phase, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reader.sequence.currentReader != reader.id {
		return nil, 0, false
	}
	if reader.nextChunk < len(reader.sequence.chunks) {
		chunks = slices.Clone(reader.sequence.chunks[reader.nextChunk:])
		reader.nextChunk = len(reader.sequence.chunks)
	}
	return chunks, reader.sequence.phase, true
}

// withExecutionInfo returns c with the incarnation and the counts of reused and computed tokens that
// the first chunk of a response carries. A resumed response omits the counts, because the earlier
// response has reported them.
func (e *Engine) withExecutionInfo(reader *responseReader, c engine.Chunk) engine.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Incarnation = reader.sequence.execution.Incarnation
	if reader.resumed {
		return c
	}
	c.ReusedTokens = reader.sequence.execution.ReusedTokens
	c.ComputedTokens = reader.sequence.execution.ComputedTokens
	c.PrefillMS = int(reader.sequence.execution.FirstTokenAt.Sub(reader.sequence.execution.StartedAt) / time.Millisecond)
	return c
}

// detach cancels the sequence after Config.DetachGrace, unless another response reads it by then.
func (e *Engine) detach(reader *responseReader) {
	e.mu.Lock()
	current := reader.sequence.currentReader == reader.id
	e.mu.Unlock()
	if !current {
		return
	}
	time.AfterFunc(e.config.DetachGrace, func() { e.endResponse(reader) })
}

// endResponse cancels and removes the sequence, unless a later response has replaced the reader.
func (e *Engine) endResponse(reader *responseReader) {
	e.mu.Lock()
	current := reader.sequence.currentReader == reader.id
	e.mu.Unlock()
	if current {
		e.cancel(reader.sequence)
	}
}

// cancelID cancels the request with the given id, if the engine has it.
func (e *Engine) cancelID(id string) {
	e.mu.Lock()
	s := e.sequences[id]
	e.mu.Unlock()
	if s != nil {
		e.cancel(s)
	}
}

// isUsableID reports whether id is more than white space.
func isUsableID(id string) bool { return strings.TrimSpace(id) != "" }
