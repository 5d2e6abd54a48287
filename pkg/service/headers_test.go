package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a refusal taken for not_run that a request which ran in part can get too.
func TestNotRunRefusal(t *testing.T) {
	cases := map[string]struct {
		status int
		header map[string]string
		body   string
		want   bool
	}{
		"says so":            {503, map[string]string{"X-Work": "not_run"}, "", true},
		"says so with 429":   {429, map[string]string{"X-Work": "not_run"}, "", true},
		"says so in a body":  {503, nil, `{"error":{"work":"not_run"}}`, true},
		"says otherwise":     {503, map[string]string{"X-Work": "unknown"}, `{"error":{"work":"not_run"}}`, false},
		"body says unknown":  {503, map[string]string{"Retry-After": "1"}, `{"error":{"work":"unknown"}}`, false},
		"only asks to retry": {503, map[string]string{"Retry-After": "1"}, "", false},
		"says nothing":       {429, nil, "busy", false},
		"another status":     {500, map[string]string{"X-Work": "not_run"}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			for k, v := range c.header {
				h.Set(k, v)
			}
			assert.Equal(t, c.want, isNotRunRefusal(c.status, h, []byte(c.body)))
		})
	}
}
