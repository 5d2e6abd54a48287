// Package forward answers clients' requests through backend servers: it finds the route and the
// workspace, sends the request to a backend server, sends it again where its kind and the budget
// allow, and relays the answer.
package forward

import (
	"net/http"
	"time"
)

// Protocol translates between the headers of clients and backend servers and the types of this
// package.
type Protocol interface {
	// DecodeRequest reads a client's request. It fails if a header that the node relies on is malformed.
	DecodeRequest(h http.Header) (Request, error)
	// EncodeRequest returns the headers of the request to a backend server: the client's, less those
	// that concern one connection or are the node's to set, with those of call.
	EncodeRequest(client http.Header, backendReq BackendRequest) http.Header
	// DecodeResponse reads the headers of a backend server's answer.
	DecodeResponse(h http.Header) ResponseInfo
	// CopyResponseHeader adds the headers of a backend server's answer that are meant for the client.
	CopyResponseHeader(dst, src http.Header)
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what the node reads from a client's request.
type Request struct {
	ID string
	// Timeout is the time for which the client waits. 0 means that it is not stated.
	Timeout time.Duration
	// APIKey is the API key, or "".
	APIKey string
	Model  string
	// PromptTokens and OutputTokens are the length of the prompt and the limit of the answer.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the client's estimate of the length of the answer, or 0.
	ExpectedOutputTokens int
	// PromptParts lists the parts of the prompt. The last one is the request's own.
	PromptParts []PromptPart
}

// BackendRequest is what the node tells a backend server about a request.
type BackendRequest struct {
	// Timeout is the time after which the backend server ends its work.
	Timeout time.Duration
	// BackendID is the only backend server that may run the request.
	BackendID string
	Workspace string
	// HasWorkspace is set if Tenant holds the workspace that the request belongs to.
	HasWorkspace bool
	// StripAPIKey is set where the API key is the node's to check.
	StripAPIKey bool
	// Model version and cache namespace are set for requests to engines.
	WeightsVersion int
	CacheSalt      string
	// FetchFrom is the address of the engine or store that holds shared parts of the prompt, and
	// SaveTo that of the store which is to keep them; "" for none.
	FetchFrom, SaveTo string
	// Priority is 0 for the most urgent requests.
	Priority    int
	HasPriority bool
	// LastEventID is the ID of the last event that was delivered, or "" for the client's own.
	LastEventID string
}

// ResponseInfo is what the node reads from the headers of an answer.
type ResponseInfo struct {
	// RequestID names the request that the answer belongs to.
	RequestID string
	// Signed is set if the backend server has signed the answer.
	Signed bool
	// NotRun is set if the backend server states that it has not run the request.
	NotRun bool
	// WeightsVersion is that of the weights which made the answer, or 0.
	WeightsVersion int
}
