package cli

import (
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/report"
	"cassiawall.example/cassiawall/pkg/status"
)

// startOperatorsServer serves the status and the burn report of a node with one workspace and one
// recorded request, and returns its URL.
func startOperatorsServer(t *testing.T) string {
	c := &config.Config{Workspaces: []config.Workspace{{Name: "north", Objectives: config.Objectives{
		TTFT: config.Duration(time.Second), BetweenTokens: config.Duration(time.Second), Target: 0.95, CompleteTarget: 0.999, OutcomeTarget: 0.999,
	}}}}
	board := blackboard.New()
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 3, Config: c}, blackboard.Evidence{})
	recorder := burn.NewRecorder("a", time.Now())
	recorder.SetConfig(c)
	recorder.RequestDone(time.Now(), "north", burn.Outcome{TTFT: 2 * time.Second, Complete: true, Cause: "overloaded"})
	mux := http.NewServeMux()
	mux.Handle(status.Path, status.NewReporter(status.Options{Self: "a", Board: board, Now: time.Now}))
	mux.Handle(report.PathJSON, report.NewCollector(report.Options{Self: "a", Board: board, Recorder: recorder, Now: time.Now}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against status and report commands that cannot decode the documents of a node.
func TestStatusAndReport(t *testing.T) {
	node := startOperatorsServer(t)
	code, out, diagnostics := runCommand("status", "--node", node)
	assert.Equal(t, exitOK, code, diagnostics)
	assert.Contains(t, out, "configuration version 3")
	_, out, _ = runCommand("status", "--json", "--node", node)
	var d status.Document
	require.NoError(t, json.Unmarshal([]byte(out), &d))
	assert.Equal(t, "a", d.Node)

	code, out, diagnostics = runCommand("report", "burn", "--node", node)
	assert.Equal(t, exitOK, code, diagnostics)
	assert.Contains(t, out, "overloaded (1)")
	page := filepath.Join(t.TempDir(), "burn.html")
	code, out, _ = runCommand("report", "burn", "--json", "--html", page, "--node", node)
	assert.Equal(t, exitOK, code)
	var r burn.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Contains(t, string(text), "<svg")
}

// Guards against printing the error document of a node as raw JSON, without kind and remedy.
func TestNodeErrorIsTyped(t *testing.T) {
	server := httptest.NewServer(report.NewCollector(report.Options{Board: blackboard.New(), Now: time.Now}))
	t.Cleanup(server.Close)
	code, _, diagnostics := runCommand("report", "burn", "--node", server.URL)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, diagnostics, "platform_unavailable: the node answers: no configuration is in force yet; remedy")
}

// Guards against exit code 0 when the node does not answer or answers with an HTTP error.
func TestStatusWithoutNode(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	code, _, diagnostics := runCommand("status", "--node", server.URL)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, diagnostics, "404")
	server.Close()
	code, _, diagnostics = runCommand("status", "--node", server.URL)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, diagnostics, "does not answer")
}

// Guards against a client that skips certificate checks, and against one that ignores --ca.
func TestStatusOverTLS(t *testing.T) {
	page := status.NewReporter(status.Options{Self: "a", Board: blackboard.New(), Now: time.Now})
	server := httptest.NewUnstartedServer(page)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	code, _, diagnostics := runCommand("status", "--node", server.URL)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, diagnostics, "certificate")
	ca := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	code, out, diagnostics := runCommand("status", "--node", server.URL, "--ca", ca)
	assert.Equal(t, exitOK, code, diagnostics)
	assert.Contains(t, out, "node a")
}
