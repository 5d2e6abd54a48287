package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against requests with a prompt part that crashes engines reaching one engine after the other: at most
// three sends may follow the fifth crash, over all nodes, and requests that share the other parts are served.
func TestPromptPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	const engineCount, nodeCount, badRequests, crashes, allowed = 12, 3, 20, 5, 3
	var badSends atomic.Int64
	respond := func(req *http.Request) string {
		if strings.Contains(req.Header.Get("Prompt"), "bad") {
			badSends.Add(1)
			return ""
		}
		return okResponse(req)
	}
	var engines []*fakeBackend
	for range engineCount {
		engines = append(engines, startBackend(t, respond))
	}
	var nodes []*httptest.Server
	for range nodeCount {
		nodes = append(nodes, startGateway(t, routes.Safe, nil, engines...))
	}
	for i := range badRequests {
		node := nodes[i%nodeCount]
		r := postRequest(t, node, "/p/x", http.Header{"Prompt": {fmt.Sprintf("shared,bad,own%d", i)}, "Wait": {"1500"}})
		assert.GreaterOrEqual(t, r.status, 500)
		r = postRequest(t, node, "/p/x", http.Header{"Prompt": {fmt.Sprintf("shared,sound,own%d", i)}, "Wait": {"1500"}})
		assert.Equal(t, http.StatusOK, r.status)
	}
	assert.LessOrEqual(t, badSends.Load(), int64(crashes+allowed))
}
