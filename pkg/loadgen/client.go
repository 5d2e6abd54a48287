// Package loadgen is a client of cassiawall for load tests. It streams chat completions, calls plain
// services and returns what it received. A caller abandons a request by cancelling its context.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/openai"
)

// Client sends requests to a node.
type Client struct {
	// BaseURL is the URL of the node's listener for callers.
	BaseURL string
	HTTP    *http.Client
}

// Chat is one chat request.
type Chat struct {
	APIKey string
	Caller string
	Model  string
	// Prompt is the name of the declared prompt that assigns the messages to levels, or empty.
	Prompt    string
	Messages  []openai.Message
	MaxTokens int
	Seed      int64
	// OnFirstChunk is called when the first chunk with a choice arrives, if set.
	OnFirstChunk func()
}

// Result is the outcome of one request as the client received it.
type Result struct {
	// Responded is false if no response headers were received.
	Responded bool
	TTFT      time.Duration
	Total     time.Duration
	Text      string
	// Complete is true if a stream ended with a finish reason and [DONE], or if the whole response of
	// a plain service was read and its status was below 400.
	Complete bool
	// CachedTokens and PromptTokens are from the usage in the response.
	CachedTokens int
	PromptTokens int
	// Kind and Work are from the typed error in the response, and empty without one.
	Kind fault.Kind
	Work fault.Work
	// Err is the error of the transport or of decoding the response, or nil.
	Err error
}

// chunk contains the fields of a streamed chunk that the client reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *openai.Usage    `json:"usage"`
	Error *fault.BodyError `json:"error"`
}

// Stream sends a chat request and reads its stream until the stream or ctx ends.
func (c *Client) Stream(ctx context.Context, chat *Chat) Result {
	body, err := json.Marshal(openai.ChatRequest{
		Common: openai.Common{Model: chat.Model, Stream: true, StreamOptions: &openai.StreamOptions{IncludeUsage: true},
			MaxTokens: &chat.MaxTokens, Seed: chat.Seed, User: chat.Caller},
		Messages: chat.Messages,
	})
	if err != nil {
		return Result{Err: err}
	}
	start := time.Now()
	response, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", chat.APIKey, body, chat.header())
	if err != nil {
		return Result{Err: err, Total: time.Since(start)}
	}
	defer response.Body.Close()
	result := Result{Responded: true}
	if response.StatusCode != http.StatusOK {
		result.readError(response.Body)
	} else {
		result.readStream(response.Body, start, chat.OnFirstChunk)
	}
	result.Total = time.Since(start)
	return result
}

func (c *Chat) header() http.Header {
	if c.Prompt == "" {
		return nil
	}
	return http.Header{"X-Prompt": {c.Prompt}}
}

func (c *Client) send(ctx context.Context, method, path, key string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	return c.HTTP.Do(request)
}

func (r *Result) readError(body io.Reader) {
	var document fault.Body
	if err := json.NewDecoder(body).Decode(&document); err != nil {
		r.Err = err
		return
	}
	r.Kind, r.Work = document.Error.Kind, document.Error.Work
}

// maxStreamLineBytes is the maximum length of a line of a stream.
const maxStreamLineBytes = 1 << 20

func (r *Result) readStream(body io.Reader, start time.Time, onFirstChunk func()) {
	var text strings.Builder
	finished := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxStreamLineBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = finished
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			r.Err = err
			break
		}
		if c.Error != nil {
			r.Kind, r.Work = c.Error.Kind, c.Error.Work
			break
		}
		if c.Usage != nil {
			r.CachedTokens, r.PromptTokens = c.Usage.PromptTokensDetails.CachedTokens, c.Usage.PromptTokens
		}
		for _, choice := range c.Choices {
			if r.TTFT == 0 {
				r.TTFT = time.Since(start)
				if onFirstChunk != nil {
					onFirstChunk()
				}
			}
			text.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != nil
		}
	}
	r.Text = text.String()
	if err := scanner.Err(); err != nil && r.Err == nil {
		r.Err = err
	}
}

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	APIKey         string
	Method         string
	Path           string
	IdempotencyKey string
	Body           []byte
}

// CallService sends a request to a plain service. Text is the body of a response with a status below
// 400; a response with another status sets Kind and Work.
func (c *Client) CallService(ctx context.Context, call *ServiceCall) Result {
	header := http.Header{}
	if call.IdempotencyKey != "" {
		header.Set(fault.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	start := time.Now()
	response, err := c.send(ctx, call.Method, call.Path, call.APIKey, call.Body, header)
	if err != nil {
		return Result{Err: err, Total: time.Since(start)}
	}
	defer response.Body.Close()
	result := Result{Responded: true}
	if response.StatusCode >= http.StatusBadRequest {
		result.readError(response.Body)
	} else {
		body, err := io.ReadAll(response.Body)
		result.Text, result.Err, result.Complete = string(body), err, err == nil
	}
	result.Total = time.Since(start)
	return result
}
