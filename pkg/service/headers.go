package service

import (
	"encoding/json"
	"net/http"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Headers of plain services.
const (
	// HeaderWork is the header by which a backend server states in a 429 or 503 response that it has
	// not run the request: its value is then "not_run".
	HeaderWork = "X-Work"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// backendHeader returns the header for a backend server. It omits the caller's API key, which is in
// the Authorization header.
func backendHeader(r *http.Request, requestID string) http.Header {
	h := r.Header.Clone()
	removeHopHeaders(h)
	h.Del("Authorization")
	h.Del("Expect")
	h.Set(fault.HeaderRequestID, requestID)
	return h
}

// copyResponseHeader copies a backend server's header to the response to the caller.
func copyResponseHeader(to, from http.Header, requestID string) {
	from = from.Clone()
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	to.Set(fault.HeaderRequestID, requestID)
}

// isNotRunRefusal reports whether a response states that the backend server has not run the request:
// 429 or 503 with the header X-Work: not_run or with an error document whose work is not_run. Any
// other response may come from a request that ran in part. Retry-After alone is no proof, because
// a load balancer in front of the backend server can send it after the request ran.
func isNotRunRefusal(status int, h http.Header, body []byte) bool {
	if !isRefusalStatus(status) {
		return false
	}
	if h.Get(HeaderWork) != "" {
		return h.Get(HeaderWork) == string(fault.NotRun)
	}
	var document fault.Body
	if json.Unmarshal(body, &document) == nil && document.Error.Work != "" {
		return document.Error.Work == fault.NotRun
	}
	return false
}

// isRefusalStatus reports whether a response may say that the request was refused.
func isRefusalStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// isValidIdempotencyKey reports whether key has 1 to 255 visible ASCII characters and no others.
func isValidIdempotencyKey(key string) bool {
	if key == "" || len(key) > 255 {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
