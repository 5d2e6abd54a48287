package fault

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against error responses without kind, remedy, work or Retry-After, and against responses that
// reveal the cause.
func TestWriteHTTP(t *testing.T) {
	cases := map[string]struct {
		err        error
		status     int
		kind       Kind
		work       Work
		kindOfType string
		retryAfter string
	}{
		"rounds Retry-After up": {New(RateLimited, "too fast").WithRetryAfter(1200 * time.Millisecond), 429, RateLimited, NotRun, "rate_limit_error", "2"},
		"keeps unknown work":    {New(OutcomeUnknown, "lost").WithWork(Unknown), 409, OutcomeUnknown, Unknown, "invalid_request_error", ""},
		"untyped error":         {errors.New("boom"), 500, Internal, Unknown, "server_error", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			WriteHTTP(w, c.err, "req-1")
			var body Body
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, c.status, w.Code)
			assert.Equal(t, c.kind, body.Error.Kind)
			assert.Equal(t, c.work, body.Error.Work)
			assert.Equal(t, c.kindOfType, body.Error.Type)
			assert.Equal(t, string(c.kind), body.Error.Code)
			assert.Equal(t, "req-1", body.Error.RequestID)
			assert.NotEmpty(t, body.Error.Remedy)
			assert.NotContains(t, w.Body.String(), "boom", "the cause must not be in the response")
			assert.Equal(t, c.retryAfter, w.Header().Get(HeaderRetryAfter))
		})
	}
}
