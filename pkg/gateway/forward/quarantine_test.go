package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/gateway/quarantine"
	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// Guards against requests with a prompt part that crashes engines reaching one engine after the other: at most
// three sends may follow the fifth crash, over all nodes, and requests that share the other parts are served.
func TestPromptPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	const engineCount, nodeCount, badRequests, crashes, allowed = 12, 3, 20, 5, 3
	var badSends, clockMS atomic.Int64
	now := func() time.Time { return time.UnixMilli(clockMS.Load()) }
	respond := func(req *http.Request) string {
		if strings.Contains(req.Header.Get("Prompt"), "bad") {
			badSends.Add(1)
			clockMS.Add(200)
			return ""
		}
		return okResponse(req)
	}
	var engines []*fakeBackend
	for range engineCount {
		engines = append(engines, startBackend(t, respond))
	}
	quarantines := make([]*Quarantine, nodeCount)
	for i := range quarantines {
		quarantines[i] = testQuarantine(fmt.Sprint("n", i), func() {
			data, _ := quarantines[i].Encode(quarantine.All, 0, 960)
			for _, other := range quarantines {
				other.Merge(data, false, 0)
			}
		}, now)
	}
	var nodes []*httptest.Server
	for i := range nodeCount {
		nodes = append(nodes, startGateway(t, routes.Safe, func(_ *routes.Config, opt *Options) { opt.Quarantine = quarantines[i] }, engines...))
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

// Guards against a success that waited in the socket of a paused node and voids the crashes after it.
func TestLateSuccessDoesNotVoidLaterCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	newNode := func(name string) *Quarantine { return testQuarantine(name, func() {}, func() time.Time { return now }) }
	other, paused := newNode("a"), newNode("b")
	parts := []quarantine.Part{1}
	other.recordCrash(parts, 1)
	now = now.Add(time.Second)
	other.recordSuccess(parts)
	late, _ := other.Encode(quarantine.All, 0, 1000)
	for engine := range uint32(6) {
		now = now.Add(time.Second)
		paused.recordCrash(parts, 10+engine)
	}
	require.True(t, paused.admit(parts).Refuse)
	paused.Merge(late, false, 6*time.Second)
	assert.True(t, paused.admit(parts).Refuse)
}
