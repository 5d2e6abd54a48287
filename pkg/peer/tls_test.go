package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/peer/peerpb"
)

// Guards against unencrypted calls although the peers' listeners use TLS, and against calls to a
// server whose certificate is not signed by a trusted authority.
func TestCallsOverTLS(t *testing.T) {
	now := time.Unix(1000, 0)
	server := httptest.NewTLSServer(NewServer(&fakePeer{}, newAuth(newTestKeyring(t, keyA), "", &now)))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "https://")
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	for _, c := range []struct {
		roots    *x509.CertPool
		accepted bool
	}{{trusted, true}, {x509.NewCertPool(), false}} {
		pool := NewTLSPool(newAuth(newTestKeyring(t, keyA), "", &now), &tls.Config{RootCAs: c.roots})
		reply, err := pool.Client(address).FetchConfig(t.Context(), &peerpb.FetchConfigRequest{HaveVersion: 6})
		assert.Equal(t, c.accepted, err == nil, "error: %v", err)
		if c.accepted {
			require.NoError(t, err)
			assert.EqualValues(t, 7, reply.Version)
		}
		pool.Close()
	}
}
