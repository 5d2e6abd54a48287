package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against treating a call as not run because of a status that a backend server can also send
// after it ran a part of the call.
func TestNotRunRefusal(t *testing.T) {
	cases := map[string]struct {
		status int
		header map[string]string
		body   string
		want   bool
	}{
		"header not_run":          {503, map[string]string{"X-Work": "not_run"}, "", true},
		"header not_run with 429": {429, map[string]string{"X-Work": "not_run"}, "", true},
		"body not_run":            {503, nil, `{"error":{"work":"not_run"}}`, true},
		"header overrides body":   {503, map[string]string{"X-Work": "unknown"}, `{"error":{"work":"not_run"}}`, false},
		"body unknown":            {503, map[string]string{"Retry-After": "1"}, `{"error":{"work":"unknown"}}`, false},
		"Retry-After only":        {503, map[string]string{"Retry-After": "1"}, "", false},
		"no statement":            {429, nil, "busy", false},
		"another status":          {500, map[string]string{"X-Work": "not_run"}, "", false},
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
