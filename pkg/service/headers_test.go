package service

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a call that is taken as not run because of a status which a request that ran in
// part can get too.
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
