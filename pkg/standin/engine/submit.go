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

// defaultPieceTokens cuts prompts that come without pieces.
const defaultPieceTokens = 4000

// submission is a parsed request.
type submission struct {
	id          string
	model       string
	priority    int
	offset      int
	version     string
	incarnation string
	prompt      string
	maxTokens   int
	seed        int64
	extension   engine.Extension
}

func parseSubmission(h http.Header, body *engine.CompletionBody) (*submission, error) {
	in := &submission{
		id:          h.Get(engine.HeaderRequestID),
		model:       body.Model,
		version:     h.Get(engine.HeaderWeightsVersion),
		incarnation: h.Get(engine.HeaderIncarnation),
		prompt:      body.Prompt,
		maxTokens:   body.MaxTokens,
		seed:        body.Seed,
	}
	if body.Cassiawall != nil {
		in.extension = *body.Cassiawall
	}
	if len(body.Messages) > 0 {
		in.prompt = chatText(body.Messages)
	}
	if in.maxTokens <= 0 {
		in.maxTokens = defaultMaxTokens
	}
	var err error
	if in.priority, err = intHeader(h, engine.HeaderPriority); err != nil {
		return nil, err
	}
	if in.offset, err = intHeader(h, engine.HeaderResumeOffset); err != nil {
		return nil, err
	}
	return in, in.validate()
}

func (in *submission) validate() error {
	if in.prompt == "" {
		return fault.New(fault.BadRequest, "the prompt is empty")
	}
	if in.offset < 0 {
		return fault.New(fault.BadRequest, "the resume offset is negative")
	}
	sum := 0
	for _, p := range in.extension.Pieces {
		if p.Bytes < 0 || p.Tokens < 0 {
			return fault.New(fault.BadRequest, "a piece has a negative size")
		}
		sum += p.Bytes
	}
	if sum > len(in.prompt) {
		return fault.New(fault.BadRequest, "the pieces have %d bytes, the prompt only %d", sum, len(in.prompt))
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
	value := h.Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "header %s is not a number", name)
	}
	return n, nil
}

// cut returns the pieces of the prompt and the tokens after the last piece, which are never
// cached. The content keys come from the text itself, not from the request's keys.
func (in *submission) cut(bytesPerToken float64) ([]piece, int) {
	pieces := in.extension.Pieces
	if len(pieces) == 0 {
		pieces = cutUnsized(in.prompt, bytesPerToken)
	}
	salt := prefix.Salt{
		Workspace:      in.extension.Workspace,
		Model:          in.model,
		WeightsVersion: in.version,
		Adapter:        in.extension.Adapter,
	}
	out := make([]piece, len(pieces))
	covered := 0
	for i, name := range engine.ContentKeys(salt, in.prompt, pieces) {
		_, _ = hex.Decode(out[i].content[:], []byte(name))
		out[i].routing = pieces[i].Key
		out[i].tokens = pieces[i].Tokens
		covered += pieces[i].Bytes
	}
	rest := float64(len(in.prompt)-covered) / bytesPerToken
	return out, int(rest + 0.5)
}

func cutUnsized(prompt string, bytesPerToken float64) []engine.Piece {
	geometry := prefix.Geometry{PieceTokens: defaultPieceTokens, BytesPerToken: bytesPerToken}
	return engine.WirePieces(prefix.Split(prefix.Salt{}, geometry, []prefix.Segment{{Text: prompt}}))
}

// reading is the right of one response to read a sequence.
type reading struct {
	s      *sequence
	number int
	// position indexes the next chunk in the sequence's output.
	position int
	// resumed marks a response that continues an earlier one.
	resumed bool
	faults  Faults
}

// submit starts a request, or attaches to its sequence if the engine still has it.
func (e *Engine) submit(in *submission) (*reading, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refusal(in); err != nil {
		e.counters.RefusedRequests++
		return nil, err
	}
	now := time.Now()
	old := e.sequences[in.id]
	if in.offset > 0 && old != nil && in.offset >= old.firstSeq {
		old.reader++
		old.detached = time.Time{}
		r := &reading{s: old, number: old.reader, position: in.offset - old.firstSeq, resumed: true}
		r.faults = e.takeStreamFaults()
		return r, nil
	}
	if old != nil {
		// The earlier response has lost its reader, or the router would not have sent the
		// request again.
		e.finish(old, cancelled, now)
	}
	s := e.newSequence(in, now)
	e.sequences[in.id] = s
	heap.Push(&e.batch.waiting, s)
	e.nudge()
	return &reading{s: s, number: s.reader, position: in.offset - s.firstSeq, faults: e.takeStreamFaults()}, nil
}

func (e *Engine) refusal(in *submission) error {
	if in.version == "" {
		in.version = e.weights.version
	}
	switch {
	case e.faults.Refuse:
		return fault.New(fault.Overloaded, "the engine refuses all requests")
	case in.incarnation != "" && in.incarnation != e.incarnation:
		return fault.New(fault.EngineRefused, "incarnation %s is not %s", in.incarnation, e.incarnation)
	case in.model != e.weights.model:
		return fault.New(fault.EngineRefused, "model %q is not loaded", in.model)
	case in.version != e.weights.version:
		return fault.New(fault.EngineRefused, "weights version %q is not loaded", in.version)
	case in.extension.Adapter != "" && !slices.Contains(e.weights.adapters, in.extension.Adapter):
		return fault.New(fault.EngineRefused, "adapter %q is not loaded", in.extension.Adapter)
	case e.faults.BadVersion != "" && e.faults.BadVersion == e.weights.version:
		return fault.New(fault.EngineFailed, "weights version %q fails", e.weights.version)
	case e.drainsForLoad():
		return fault.New(fault.Overloaded, "the engine is loading weights")
	case len(e.batch.waiting) >= e.config.MaxQueue:
		return fault.New(fault.Overloaded, "the engine's queue is full")
	}
	return nil
}

func (e *Engine) newSequence(in *submission, now time.Time) *sequence {
	e.arrivals++
	e.counters.Requests++
	s := &sequence{
		id:          in.id,
		priority:    in.priority,
		order:       e.arrivals,
		adapter:     in.extension.Adapter,
		mark:        e.config.Ledger.markOf(in.prompt),
		chunkTokens: e.config.ChunkTokens,
		answer:      newAnswer(in.prompt, in.seed, in.maxTokens),
		wake:        make(chan struct{}, 1),
		run: Execution{
			RequestID:   in.id,
			Engine:      e.config.ID,
			Incarnation: e.incarnation,
			ArrivedAt:   now,
			Outcome:     outcomeRunning,
		},
	}
	s.pieces, s.tailLeft = in.cut(e.config.BytesPerToken)
	if in.extension.Replay != "" {
		s.answer.replay(in.extension.Replay)
		s.tailLeft += in.extension.ReplayTokens
		s.firstSeq = in.offset
		s.nextSeq = in.offset
	}
	return s
}

func (e *Engine) takeStreamFaults() Faults {
	f := e.faults
	if !f.hasStreamFault() {
		return Faults{}
	}
	if f.Streams > 0 {
		if e.faultyLeft == 0 {
			return Faults{}
		}
		e.faultyLeft--
	}
	return f
}

// read returns the chunks after the reading's position and whether the sequence has ended. A
// reading that a later response replaced gets ok false.
func (e *Engine) read(r *reading) (chunks []engine.Chunk, end phase, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.s.reader != r.number {
		return nil, 0, false
	}
	if r.position < len(r.s.out) {
		chunks = slices.Clone(r.s.out[r.position:])
		r.position = len(r.s.out)
	}
	return chunks, r.s.phase, true
}

// withHead returns c with what the first chunk of a response tells about the engine's work. A
// resumed response tells no work, because the first one has.
func (e *Engine) withHead(r *reading, c engine.Chunk) engine.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Incarnation = r.s.run.Incarnation
	if r.resumed {
		return c
	}
	c.ReusedTokens = r.s.run.ReusedTokens
	c.ComputedTokens = r.s.run.ComputedTokens
	c.PrefillMS = int(r.s.run.FirstTokenAt.Sub(r.s.run.StartedAt) / time.Millisecond)
	return c
}

// detach leaves a sequence without a reader for the grace period, after which it is cancelled.
func (e *Engine) detach(r *reading) {
	e.mu.Lock()
	current := r.s.reader == r.number
	e.mu.Unlock()
	if !current {
		return
	}
	time.AfterFunc(e.config.DetachGrace, func() { e.leave(r) })
}

// leave ends a response: without another reader the sequence is cancelled and forgotten.
func (e *Engine) leave(r *reading) {
	e.mu.Lock()
	current := r.s.reader == r.number
	e.mu.Unlock()
	if current {
		e.cancel(r.s)
	}
}

// cancelID cancels the request with an id, if the engine has it.
func (e *Engine) cancelID(id string) {
	e.mu.Lock()
	s := e.sequences[id]
	e.mu.Unlock()
	if s != nil {
		e.cancel(s)
	}
}

// hasID reports whether the request id is usable.
func hasID(id string) bool { return strings.TrimSpace(id) != "" }
