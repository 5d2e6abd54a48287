// Package openai defines the request and response bodies of the API for clients, which follows the
// OpenAI API.
package openai

import (
	"encoding/json"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Common
	Messages            []Message `json:"messages"`
	MaxCompletionTokens *int      `json:"max_completion_tokens,omitempty"`
}

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Common
	Prompt string `json:"prompt"`
}

// Common holds the fields that chat and completion requests share. A nil pointer means that the
// request does not set the field.
type Common struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     *int           `json:"max_tokens,omitempty"`
	Seed          int64          `json:"seed,omitempty"`
	Temperature   *float64       `json:"temperature,omitempty"`
	// User identifies the caller within the workspace.
	User string `json:"user,omitempty"`
	N    *int   `json:"n,omitempty"`
	// Tools, Logprobs and Stop are not supported. Validate rejects requests that set them.
	Tools    json.RawMessage `json:"tools,omitempty"`
	Logprobs json.RawMessage `json:"logprobs,omitempty"`
	Stop     json.RawMessage `json:"stop,omitempty"`
}

// StreamOptions requests a chunk with token counts at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one chat message.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or an array of text parts.
type Content string

// UnmarshalJSON accepts a string or an array of text parts, which it concatenates. A part of another
// type is an error of kind fault.BadRequest.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fault.New(fault.BadRequest, "content part of type %q is not supported", p.Type)
		}
		joined.WriteString(p.Text)
	}
	*c = Content(joined.String())
	return nil
}

// Validate returns an error of kind fault.BadRequest if a field is invalid or not supported.
func (c *Common) Validate() error {
	switch {
	case c.Model == "":
		return fault.New(fault.BadRequest, "field model is missing")
	case c.N != nil && *c.N != 1:
		return fault.New(fault.BadRequest, "field n must be 1")
	case isSet(c.Tools):
		return fault.New(fault.BadRequest, "field tools is not supported")
	case isSet(c.Logprobs) && string(c.Logprobs) != "false":
		return fault.New(fault.BadRequest, "field logprobs is not supported")
	case isSet(c.Stop):
		return fault.New(fault.BadRequest, "field stop is not supported")
	case c.MaxTokens != nil && *c.MaxTokens < 1:
		return fault.New(fault.BadRequest, "field max_tokens must be at least 1")
	}
	return nil
}

// isSet reports whether the field is present and not null.
func isSet(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// Text returns the message as it appears in the prompt for an engine.
func (m Message) Text() string { return m.Role + "\n" + string(m.Content) + "\n" }

// ChatText returns the prompt for an engine that consists of all messages.
func ChatText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Text())
	}
	return b.String()
}
