// Package forward is the reverse proxy of an entry node. It finds the route and the workspace of a
// client's request, sends the request to a backend server, retries where the kind of the route and
// the retry budget allow it, and relays the response.
package forward

import (
	"net/http"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// Protocol maps the headers of clients and backend servers to the types of this package.
type Protocol interface {
	// DecodeRequest parses the headers of a client's request. It returns an error if a header that the
	// node relies on is missing or malformed.
	DecodeRequest(h http.Header) (Request, error)
	// EncodeRequest returns the headers of the request to a backend server: the client's headers
	// without hop-by-hop headers and those that only the node may set, plus the headers for backendReq.
	EncodeRequest(client http.Header, backendReq BackendRequest) http.Header
	// DecodeResponse parses the headers of a backend server's response.
	DecodeResponse(h http.Header) ResponseInfo
	// DecodeNotice returns what the headers of a response with that status state about the backend server.
	DecodeNotice(status int, h http.Header) backends.Notice
	// CopyResponseHeader copies the headers of a backend server's response that are meant for the client.
	CopyResponseHeader(dst, src http.Header)
}

// PromptPart is a part of a prompt, identified by its content. Prompts that begin with the same parts
// share a prefix.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds the fields of a client's request that the node reads.
type Request struct {
	ID string
	// Timeout is the time for which the client waits for the response. 0 means unspecified.
	Timeout time.Duration
	// APIKey is empty if the client sent none.
	APIKey string
	Model  string
	// PromptTokens and MaxOutputTokens are the length of the prompt and the limit of the output in
	// tokens. 0 means unspecified.
	PromptTokens    int
	MaxOutputTokens int
	// StatesTokens is set if the client states both.
	StatesTokens bool
	// ExpectedOutputTokens is the client's estimate of the length of the output in tokens. 0 means
	// unspecified.
	ExpectedOutputTokens int
	// LastEventID is the ID of the last event that the client received before this request, which continues a
	// stream. "" means that the request starts one.
	LastEventID string
	// PromptParts lists the parts of the prompt in order. Other requests may share all but the last.
	PromptParts []PromptPart
}

// BackendRequest holds the fields that the node sets on a request to a backend server.
type BackendRequest struct {
	// Timeout is the time after which the backend server stops working on the request.
	Timeout time.Duration
	// BackendID identifies the backend server. A server with another ID must refuse the request.
	BackendID string
	// Workspace is the name of the workspace that the request belongs to, if HasWorkspace is set.
	Workspace    string
	HasWorkspace bool
	// StripAPIKey is set if the node checks API keys. The key is then not passed to the backend server.
	StripAPIKey bool
	// WeightsVersion and CacheSalt are set for requests to engines: the version of the model weights
	// to use and the salt of the KV cache entries that the request may share.
	WeightsVersion int
	CacheSalt      string
	// FetchFrom is the address of the engine or KV cache store to load shared parts of the prompt
	// from, and SaveTo that of the KV cache store to save them to. "" means none.
	FetchFrom, SaveTo string
	// Priority is the scheduling priority at an engine, if HasPriority is set. 0 is the most urgent.
	Priority    int
	HasPriority bool
	// LastEventID is the ID of the last event that the client has received in this request. "" leaves
	// the client's own header unchanged.
	LastEventID string
}

// ResponseInfo holds the fields of a backend server's response that the node reads.
type ResponseInfo struct {
	// RequestID identifies the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the backend server's signature.
	Signed bool
	// NotRun is set if the backend server reports that it has not run the request.
	NotRun bool
	// WeightsVersion is the version of the model weights that produced the response, or 0 if unknown.
	WeightsVersion int
}
