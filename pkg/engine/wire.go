package engine

import (
	"encoding/hex"

	"cassiawall.example/cassiawall/pkg/prefix"
)

// Header names of the engines' HTTP interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Priority"
	HeaderResumeOffset   = "X-Resume-Offset"
	HeaderWeightsVersion = "X-Weights-Version"
	HeaderIncarnation    = "X-Engine-Incarnation"
	HeaderFencingToken   = "X-Fencing-Number"
)

// EndOfStream is the data of the last event of a complete event stream.
const EndOfStream = "[DONE]"

// CompletionBody is the body of /v1/completions and /v1/chat/completions.
type CompletionBody struct {
	Model       string     `json:"model"`
	Prompt      string     `json:"prompt,omitempty"`
	Messages    []Message  `json:"messages,omitempty"`
	MaxTokens   int        `json:"max_tokens,omitempty"`
	Seed        int64      `json:"seed,omitempty"`
	Temperature *float64   `json:"temperature,omitempty"`
	Stream      bool       `json:"stream"`
	Cassiawall  *Extension `json:"cassiawall,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Extension holds the fields of a request that the OpenAI API does not have.
type Extension struct {
	Workspace    string  `json:"workspace,omitempty"`
	Adapter      string  `json:"adapter,omitempty"`
	Pieces       []Piece `json:"pieces,omitempty"`
	Replay       string  `json:"replay,omitempty"`
	ReplayTokens int     `json:"replay_tokens,omitempty"`
}

// ChunkBody is the wire form of a Chunk: a completion chunk of the OpenAI API with the additional
// fields that the router needs.
type ChunkBody struct {
	ID             string   `json:"id"`
	Object         string   `json:"object"`
	Model          string   `json:"model"`
	Choices        []Choice `json:"choices"`
	Seq            int      `json:"seq"`
	Tokens         int      `json:"tokens"`
	Incarnation    string   `json:"incarnation,omitempty"`
	ReusedTokens   int      `json:"reused_tokens,omitempty"`
	ComputedTokens int      `json:"computed_tokens,omitempty"`
	PrefillMS      int      `json:"prefill_ms,omitempty"`
}

// Choice holds the text of a chunk: Text for completions, Delta or Message for chats.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

func (b *ChunkBody) toChunk() Chunk {
	c := Chunk{
		RequestID:      b.ID,
		Seq:            b.Seq,
		Tokens:         b.Tokens,
		Incarnation:    b.Incarnation,
		ReusedTokens:   b.ReusedTokens,
		ComputedTokens: b.ComputedTokens,
		PrefillMS:      b.PrefillMS,
	}
	if len(b.Choices) == 0 {
		return c
	}
	choice := b.Choices[0]
	c.Text = choice.Text
	if choice.Delta != nil {
		c.Text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		c.Final = true
		c.FinishReason = *choice.FinishReason
	}
	return c
}

// WirePieces returns the wire form of a prompt's pieces, without content keys.
func WirePieces(pieces []prefix.Piece) []Piece {
	wire := make([]Piece, len(pieces))
	for i, p := range pieces {
		wire[i] = Piece{Key: p.PrefixHash, Tokens: p.Tokens, Bytes: p.End - p.Start}
	}
	return wire
}

// ContentKeys returns the hex content keys by which engines identify the cached blocks of a prompt.
// Engines do not know level names, so the keys are prefix hashes of the salt and the text only.
func ContentKeys(salt prefix.Salt, prompt string, pieces []Piece) []string {
	ranges := make([]prefix.Piece, len(pieces))
	start := 0
	for i, p := range pieces {
		end := min(len(prompt), start+max(0, p.Bytes))
		ranges[i] = prefix.Piece{Start: start, End: end}
		start = end
	}
	keys := prefix.ContentKeys(salt, prompt, ranges)
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = hex.EncodeToString(k[:])
	}
	return names
}
