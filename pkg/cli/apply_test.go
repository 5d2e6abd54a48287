package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/configsync"
	objectstandin "cassiawall.example/cassiawall/pkg/standin/objects"
	"cassiawall.example/cassiawall/pkg/status"
)

// applyFixture starts a stand-in of the object API and a node whose status lists one live node for
// each given version in force. It returns the store and a function that runs apply.
func applyFixture(t *testing.T, versions ...uint64) (store *objectstandin.Store, run func(wait time.Duration, args ...string) (int, string, string)) {
	store = objectstandin.NewStore(1)
	api := httptest.NewServer(objectstandin.Handler(store))
	t.Cleanup(api.Close)
	d := status.Document{}
	for i, v := range versions {
		d.Nodes = append(d.Nodes, status.Node{Name: string(rune('a' + i)), State: "alive", ConfigVersion: v})
	}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(d) }))
	t.Cleanup(node.Close)
	return store, func(wait time.Duration, args ...string) (int, string, string) {
		var out, diagnostics bytes.Buffer
		s := streams{out: &out, err: &diagnostics}
		parser, err := newParser([]commandSpec{applySpec(s)})
		require.NoError(t, err)
		_, err = parser.ParseArgs(append([]string{"apply", "--objects", api.URL, "--node", node.URL, "--wait", wait.String()}, args...))
		return s.exitCode(err), out.String(), diagnostics.String()
	}
}

const exampleConfiguration = "../../examples/kilele/configuration.yaml"

// Guards against apply reporting success while a live node still enforces an older version.
func TestApplyListsLaggingNodes(t *testing.T) {
	_, apply := applyFixture(t, 1, 0)
	code, out, diagnostics := apply(time.Millisecond, "--json", exampleConfiguration)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, diagnostics, "b (version 0)")
	var r applyResult
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	assert.Equal(t, applyResult{Version: 1, Lagging: []string{"b (version 0)"}}, r)
	_, apply = applyFixture(t, 1, 1)
	code, out, diagnostics = apply(time.Minute, exampleConfiguration)
	assert.Equal(t, exitOK, code, diagnostics)
	assert.Contains(t, out, "in force on all live nodes")
}

// Guards against apply overwriting another operator's change, and against it storing a document
// that the nodes refuse.
func TestApplyChangesNothingWhenRefused(t *testing.T) {
	store, apply := applyFixture(t, 1)
	code, _, diagnostics := apply(time.Millisecond, writeFile(t, threeErrors))
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, diagnostics, "3 problems; nothing was applied")
	_, err := store.Put(t.Context(), configsync.CurrentObjectName, []byte("other"), 0)
	require.NoError(t, err)
	code, _, diagnostics = apply(time.Millisecond, "--if-version", "0", exampleConfiguration)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, diagnostics, "conflict: another configuration was applied")
	o, err := store.Get(t.Context(), configsync.CurrentObjectName)
	require.NoError(t, err)
	assert.Equal(t, "other", string(o.Value))
}
