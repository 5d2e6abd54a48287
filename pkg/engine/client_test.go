package engine

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/retry"
)

// Guards against missing precondition headers: without them an engine cannot refuse a request that
// is meant for another incarnation or other weights, and a resumed response starts from the beginning.
func TestGenerateSendsPreconditionHeaders(t *testing.T) {
	seen := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header }))
	defer server.Close()
	s, err := NewClient(server.URL, server.Client()).Generate(t.Context(),
		&Request{ID: "r1", Workspace: "shule", WeightsVersion: "v2", Incarnation: "e1-3", ResumeOffset: 4})
	require.NoError(t, err)
	require.NoError(t, s.Close())
	h := <-seen
	assert.Equal(t, "r1", h.Get(HeaderRequestID))
	assert.Equal(t, "v2", h.Get(HeaderWeightsVersion))
	assert.Equal(t, "e1-3", h.Get(HeaderIncarnation))
	assert.Equal(t, "4", h.Get(HeaderResumeOffset))
}

// Guards against reporting a request as not run although the engine may have run it. Each case is a
// way in which a request to an engine fails.
func TestGenerateFailures(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		kind    fault.Kind
		work    fault.Work
	}{
		"old incarnation":           {status(http.StatusConflict), fault.EngineRefused, fault.NotRun},
		"queue full":                {status(http.StatusTooManyRequests), fault.Overloaded, fault.NotRun},
		"busy":                      {status(http.StatusServiceUnavailable), fault.Overloaded, fault.NotRun},
		"invalid request":           {status(http.StatusBadRequest), fault.BadRequest, fault.NotRun},
		"failure while it ran":      {status(http.StatusInternalServerError), fault.EngineFailed, fault.Unknown},
		"bad gateway":               {status(http.StatusBadGateway), fault.EngineFailed, fault.Unknown},
		"crash before the headers":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fault.EngineFailed, fault.Unknown},
		"redirect to another place": {redirectToUnusedAddress, fault.EngineFailed, fault.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			_, err := NewClient(server.URL, server.Client()).Generate(t.Context(), &Request{ID: "r1"})
			assert.Equal(t, c.kind, fault.As(err).Kind, "%v", err)
			assert.Equal(t, c.work, fault.As(err).Work, "%v", err)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		_, err := NewClient(unusedURL(t), &http.Client{}).Generate(t.Context(), &Request{ID: "r1"})
		assert.Equal(t, fault.EngineFailed, fault.As(err).Kind)
		assert.Equal(t, fault.NotRun, fault.As(err).Work)
	})
}

// redirectToUnusedAddress redirects the client to an address without a listener.
func redirectToUnusedAddress(w http.ResponseWriter, r *http.Request) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		_ = l.Close()
		http.Redirect(w, r, "http://"+l.Addr().String(), http.StatusTemporaryRedirect)
	}
}

func unusedURL(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return "http://" + l.Addr().String()
}

// Guards against an engine that is lost for good by a wrong Retry-After, and against one whose pause in decimals is ignored.
func TestRetryAfterOfRefusals(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "Inf": 0, "1e300": retry.MaxPause,
	} {
		t.Run(text, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", text)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			_, err := NewClient(server.URL, server.Client()).Generate(t.Context(), &Request{ID: "r1"})
			assert.Equal(t, want, fault.As(err).RetryAfter)
			_, valid := retry.ParsePause(text)
			assert.Equal(t, valid, !strings.Contains(err.Error(), "invalid Retry-After"), "%v", err)
		})
	}
}
