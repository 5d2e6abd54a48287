package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runCommand executes a command line and returns its exit code and output.
func runCommand(args ...string) (code int, out, diagnostics string) {
	var stdout, stderr bytes.Buffer
	code = Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const threeErrors = `models:
  - name: lugha
    weights_version: v1
    piece_tokens: 4k
workspaces:
  - name: north
    api_key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    models: [lugah]
    colour: red
`

// Guards against check listing only the first of several errors, listing them without line or
// remedy, or returning exit code 0 for a refused file.
func TestCheckNamesAllErrors(t *testing.T) {
	code, out, _ := runCommand("check", "--json", writeFile(t, threeErrors))
	assert.Equal(t, exitUsage, code)
	var r checkResult
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	assert.False(t, r.OK)
	assert.Equal(t, "configuration", r.Kind)
	require.Len(t, r.Problems, 3)
	for i, want := range []struct {
		line  int
		field string
	}{{4, "models[0].piece_tokens"}, {8, "workspaces[0].models[0]"}, {9, "workspaces[0].colour"}} {
		assert.Equal(t, want.line, r.Problems[i].Line)
		assert.Equal(t, want.field, r.Problems[i].Field)
		assert.NotEmpty(t, r.Problems[i].Remedy)
	}
	code, out, _ = runCommand("check", writeFile(t, threeErrors))
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, out, "file.yaml:8: workspaces[0].models[0]")
}

// Guards against settings being checked as configuration, and the reverse.
func TestCheckDetectsKind(t *testing.T) {
	_, out, _ := runCommand("check", "--json", writeFile(t, "name: a\ndata_centre: b\n"))
	assert.Contains(t, out, `"kind": "settings"`)
	_, out, _ = runCommand("check", "--json", writeFile(t, "models: []\n"))
	assert.Contains(t, out, `"kind": "configuration"`)
	code, _, diagnostics := runCommand("check", filepath.Join(t.TempDir(), "absent.yaml"))
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, diagnostics, "remedy")
}

// Guards against a missing warning about public example keys, which would let them reach a real
// deployment unnoticed.
func TestCheckWarnsOfExampleKeys(t *testing.T) {
	code, out, _ := runCommand("check", "../../examples/tuul/configuration.yaml")
	assert.Equal(t, exitOK, code)
	assert.Contains(t, out, "warning: anybody can use these workspaces, because they accept public example keys: bayanzurkh, ")
	_, out, _ = runCommand("check", "../../examples/kilele/settings.yaml")
	assert.NotContains(t, out, "warning")
}
