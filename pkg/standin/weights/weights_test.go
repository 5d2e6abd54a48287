package weights

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/weights"
)

// Guards against a client that confuses a missing version, an exceeded rate limit and an outage: only
// the first must not be retried.
func TestClientAgainstStandIn(t *testing.T) {
	store := New()
	server := httptest.NewServer(Handler(store))
	defer server.Close()
	client := weights.NewClient(server.URL, server.Client())
	cases := map[string]struct {
		faults     Faults
		kind       fault.Kind
		retryAfter time.Duration
	}{
		"missing":   {Faults{Missing: []string{"lugha/v 2"}}, fault.NotFound, 0},
		"over rate": {Faults{FetchesPerSecond: 0.5}, fault.RateLimited, 2 * time.Second},
		"outage":    {Faults{Outage: true}, fault.PlatformUnavailable, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store.SetFaults(Faults{})
			m, err := client.Fetch(t.Context(), "lugha", "v 2")
			require.NoError(t, err)
			assert.Equal(t, "v 2", m.Version)
			assert.NotEmpty(t, m.SHA256)
			store.SetFaults(c.faults)
			if name == "over rate" {
				_, err = client.Fetch(t.Context(), "lugha", "v 2")
				require.NoError(t, err, "the first fetch is within the rate")
			}
			_, err = client.Fetch(t.Context(), "lugha", "v 2")
			require.True(t, fault.Is(err, c.kind), err)
			assert.Equal(t, c.retryAfter, fault.As(err).RetryAfter)
		})
	}
}
