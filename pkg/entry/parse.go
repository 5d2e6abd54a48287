package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/clientconn"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/openai"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// Request headers of the API besides the standard ones.
const (
	// headerDeadline is the maximum time to the first token, in milliseconds.
	headerDeadline = "X-Deadline-Ms"
	// headerPrompt names the declared prompt whose levels the messages follow.
	headerPrompt = "X-Prompt"
	// headerCaller identifies the caller within the workspace. It overrides the field user of the body.
	headerCaller = "X-Caller-Id"
)

// defaultMaxTokens is the maximum number of output tokens of a request that sets none.
const defaultMaxTokens = 1024

// generation is a parsed generation request.
type generation struct {
	id        string
	chat      bool
	body      []byte
	common    *openai.Common
	config    *config.Config
	workspace *config.Workspace
	// configuredModel is the model as configured; model is a copy with the weights version of this
	// request.
	configuredModel *config.Model
	model           *config.Model
	caller          string
	segments        []prefix.Segment
	pieces          []prefix.Piece
	maxTokens       int
	arrived         time.Time
	deadline        time.Time
}

// prompt returns the prompt as the engine receives it.
func (g *generation) prompt() string {
	var b strings.Builder
	for _, s := range g.segments {
		b.WriteString(s.Text)
	}
	return b.String()
}

// parse authenticates r and parses it as a generation request.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, id string, chat bool) (*generation, error) {
	arrived := s.opt.Now()
	current, workspace, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, workspace.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	g := &generation{id: id, chat: chat, body: body, config: current, workspace: workspace, arrived: arrived}
	if chat {
		err = g.readChat(r)
	} else {
		err = g.readCompletion()
	}
	if err != nil {
		return nil, err
	}
	if err := s.applyConfig(g, r); err != nil {
		return nil, err
	}
	return g, nil
}

// bodyTimeout bounds the time in which a caller must send the body. A read timeout of the HTTP server
// is not used because it would also cancel long streams.
const bodyTimeout = time.Minute

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	control := http.NewResponseController(w)
	// The error is ignored: writers without deadlines, as in tests, have no slow sender.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, "the body is longer than %d bytes", maxBytes)
	case errors.Is(err, clientconn.ErrMemory):
		return nil, memoryRefusal()
	case err != nil:
		return nil, fault.Wrap(err, fault.RequestTimeout, "the body did not arrive whole")
	}
	return body, nil
}

// memoryRetryAfter is the Retry-After of a request for which there is no memory: stalled bodies are closed after a second.
const memoryRetryAfter = time.Second

// memoryRefusal is the error of a request for which there is no memory.
func memoryRefusal() error {
	return fault.New(fault.Overloaded, "the connections of callers hold too much memory on this node").WithRetryAfter(memoryRetryAfter)
}

// RefuseMemory refuses a request before its body is read, because the connections of callers hold too much memory. It does not
// log, because a crowd of callers would flood the log.
func (s *Server) RefuseMemory(w http.ResponseWriter, _ *http.Request) {
	fault.WriteHTTP(w, memoryRefusal(), s.opt.RequestID())
}

func (g *generation) readChat(r *http.Request) error {
	var request openai.ChatRequest
	if err := decode(g.body, &request); err != nil {
		return err
	}
	if len(request.Messages) == 0 {
		return fault.New(fault.BadRequest, "field messages is empty")
	}
	g.common = &request.Common
	if request.MaxCompletionTokens != nil {
		g.common.MaxTokens = request.MaxCompletionTokens
	}
	prompt, err := findPrompt(g.workspace, r.Header.Get(headerPrompt))
	if err != nil {
		return err
	}
	g.segments = chatSegments(request.Messages, prompt)
	return nil
}

func (g *generation) readCompletion() error {
	var request openai.CompletionRequest
	if err := decode(g.body, &request); err != nil {
		return err
	}
	if request.Prompt == "" {
		return fault.New(fault.BadRequest, "field prompt is empty")
	}
	g.common = &request.Common
	g.segments = []prefix.Segment{{Level: unsharedLevel, Text: request.Prompt}}
	return nil
}

func decode(body []byte, into any) error {
	err := json.Unmarshal(body, into)
	if err == nil {
		return nil
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.Wrap(err, fault.BadRequest, "the body is not a valid request")
}

// unsharedLevel is the level of text that only one caller uses.
const unsharedLevel = "own"

// findPrompt returns the prompt called name that the workspace declares. If name is empty, it returns
// the only declared prompt, or nil if there is none or more than one.
func findPrompt(w *config.Workspace, name string) (*config.Prompt, error) {
	if name == "" {
		if len(w.Prompts) == 1 {
			return &w.Prompts[0], nil
		}
		return nil, nil
	}
	for i := range w.Prompts {
		if w.Prompts[i].Name == name {
			return &w.Prompts[i], nil
		}
	}
	return nil, fault.New(fault.NotFound, "prompt %q is not declared in workspace %s", name, w.Name)
}

// chatSegments assigns message i to level i of the prompt. Messages beyond the declared levels, or all
// if prompt is nil, are not shared with other callers.
func chatSegments(messages []openai.Message, prompt *config.Prompt) []prefix.Segment {
	segments := make([]prefix.Segment, len(messages))
	for i, m := range messages {
		segments[i] = prefix.Segment{Level: unsharedLevel, Text: m.Text()}
		if prompt != nil && i < len(prompt.Levels) {
			segments[i].Level = prompt.Levels[i].Name
			segments[i].Shared = prompt.Levels[i].Shared
		}
	}
	return segments
}

// applyConfig checks the request against the configuration, fills in defaults and splits the prompt
// into pieces.
func (s *Server) applyConfig(g *generation, r *http.Request) error {
	if err := g.common.Validate(); err != nil {
		return err
	}
	model, ok := g.config.Model(g.common.Model)
	if !ok || !slices.Contains(g.workspace.Models, model.Name) {
		return fault.New(fault.NotFound, "model %q is not declared in workspace %s", g.common.Model, g.workspace.Name)
	}
	g.configuredModel = model
	g.caller = r.Header.Get(headerCaller)
	if g.caller == "" {
		g.caller = g.common.User
	}
	g.maxTokens = defaultMaxTokens
	if g.common.MaxTokens != nil {
		g.maxTokens = *g.common.MaxTokens
	}
	deadline, err := readDeadline(r, g.workspace.Limits.Deadline.AsDuration())
	if err != nil {
		return err
	}
	g.deadline = g.arrived.Add(deadline)
	s.splitPrompt(g, nil)
	return nil
}

// splitPrompt selects the weights version and splits the prompt into pieces. The keys of the pieces
// depend on the version. failed holds the engines that rejected or failed the request.
func (s *Server) splitPrompt(g *generation, failed map[string]bool) {
	g.model = s.withWeightsVersion(g.configuredModel, failed)
	salt := prefix.Salt{Workspace: g.workspace.Name, Model: g.model.Name, WeightsVersion: g.model.WeightsVersion}
	geometry := prefix.Geometry{PieceTokens: g.model.PieceTokens, BytesPerToken: g.model.BytesPerToken}
	g.pieces = prefix.Split(salt, geometry, g.segments)
}

// withWeightsVersion returns model with the weights version that this request uses.
func (s *Server) withWeightsVersion(model *config.Model, failed map[string]bool) *config.Model {
	if s.opt.WeightsVersion == nil {
		return model
	}
	selected := *model
	selected.WeightsVersion = s.opt.WeightsVersion(model, failed)
	return &selected
}

// readDeadline returns the maximum time to the first token: limit, which is that of the workspace, or
// the caller's own value if it is shorter.
func readDeadline(r *http.Request, limit time.Duration) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 1 {
		return 0, fault.New(fault.BadRequest, "header %s must be a positive number of milliseconds", headerDeadline)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}
