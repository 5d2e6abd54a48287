package hostile

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"cassiawall.example/cassiawall/pkg/config"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	objectstandin "cassiawall.example/cassiawall/pkg/standin/objects"
	"cassiawall.example/cassiawall/platform/standin"
)

const (
	productKey     = "hostile-key"
	productModel   = "lugha"
	productClients = 400
	// productMaxBodyBytes is the workspace's limit of a body.
	productMaxBodyBytes = 1 << 20
)

// productBounds hold with 64 MB for connections. There is no limit of the process's memory.
var productBounds = bounds{memoryMB: 200, descriptors: productClients + 100}

// startProduct starts the product's own node beside an object API and an engine.
func startProduct(t *testing.T, environment ...string) *target {
	t.Helper()
	objects := objectstandin.NewStore(1)
	objectServer := httptest.NewServer(objectstandin.Handler(objects))
	t.Cleanup(func() {
		objectServer.CloseClientConnections()
		objectServer.Close()
	})
	hash := sha256.Sum256([]byte(productKey))
	document, err := yaml.Marshal(&config.Config{
		Models: []config.Model{{Name: productModel, WeightsVersion: "v1", PieceTokens: 100, BytesPerToken: 4, MinServing: 1}},
		Workspaces: []config.Workspace{{
			Name: "shule", APIKeyHashes: []string{hex.EncodeToString(hash[:])}, Models: []string{productModel}, Weight: 1,
			Limits: config.Limits{BodyBytes: productMaxBodyBytes, Deadline: config.Duration(time.Minute)},
		}},
		Policy: config.Policy{LatencyWeight: 1, RecomputeWeight: 1},
	})
	require.NoError(t, err)
	_, err = objects.Put(t.Context(), "config/current", document, 0)
	require.NoError(t, err)
	engine := enginestandin.New(enginestandin.Config{ID: "engine-1", Model: productModel, WeightsVersion: "v1", StepTime: time.Millisecond})
	require.NoError(t, engine.Start())
	t.Cleanup(func() { _ = engine.Close() })
	callers, peers, gossip, operators := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `name: node-1
data_centre: dar-a
callers: {address: %q}
peers: {address: %q}
gossip: {address: %q}
operators: {address: %q}
platform: {objects: %q}
engines: {static: [{id: engine-1, address: %q}]}
peer_keys: [{env: CASSIAWALL_PEER_KEY}]
log_level: warn
client_memory_mb: 64
`, callers, peers, gossip, operators, objectServer.URL, strings.TrimPrefix(engine.URL(), "http://")), 0o600))
	s := &target{
		process: start(t, append(environment, "CASSIAWALL_PEER_KEY="+strings.Repeat("k", 32)), "cassiawall", "serve", "--settings", path),
		clients: callers, key: productKey, others: map[string]string{"peers": peers, "operators": operators},
	}
	s.head = func(method string, _ standin.Kind) string {
		return method + " /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + s.key + "\r\n"
	}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":10000,"stream":true,"messages":[{"role":"user","content":"slot"}]}`, productModel)
	s.stream = s.head("POST", standin.Stream) + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	s.request = func(ctx context.Context) error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if err := get(ctx, client, http.MethodGet, "http://"+operators+"/readyz", ""); err != nil {
			return err
		}
		return get(ctx, client, http.MethodPost, "http://"+callers+"/v1/chat/completions",
			fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"slot"}]}`, productModel))
	}
	require.Eventually(t, func() bool { return s.request(t.Context()) == nil }, startTimeout, 50*time.Millisecond)
	return s
}

// get sends a request and returns an error unless the response has status 200 and is complete.
func get(ctx context.Context, client *http.Client, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+productKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d, error %v: %s", url, resp.StatusCode, err, text)
	}
	return nil
}

// Guards against the product's own node holding what the node of the users' platform does not.
func TestProductWithstandsCrowds(t *testing.T) {
	for _, k := range []kind{unterminatedLongHeads, endlessFields, stalledBodies} {
		t.Run(k.name, func(t *testing.T) {
			s := startProduct(t)
			crowd(t, s, s.clients, productClients, k)
			time.Sleep(holdTime)
			s.withstands(t, productBounds)
		})
	}
}

// Guards against limits that hold at the callers' listener only.
func TestOtherListenersOfTheProduct(t *testing.T) {
	for _, name := range []string{"peers", "operators"} {
		t.Run(name, func(t *testing.T) {
			s := startProduct(t)
			crowd(t, s, s.others[name], productClients, endlessFields)
			time.Sleep(holdTime)
			s.withstands(t, productBounds)
		})
	}
}
