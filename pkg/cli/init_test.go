package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against API keys written into the configuration, against overwriting an existing file,
// and against output that 'check' refuses.
func TestInitWritesNewFile(t *testing.T) {
	output := filepath.Join(t.TempDir(), "configuration.yaml")
	args := []string{"init", "--answers", "../../examples/kilele/answers.yaml", "--output", output}
	code, out, diagnostics := runCommand(args...)
	require.Equal(t, exitOK, code, diagnostics)
	assert.Equal(t, 8, strings.Count(out, "cw_example_"))
	document, err := os.ReadFile(output)
	require.NoError(t, err)
	assert.NotContains(t, string(document), "cw_example_")
	code, keys, _ := runCommand("init", "--json", "--answers", "../../examples/kilele/answers.yaml", "--output", output+".2")
	assert.Equal(t, exitOK, code)
	assert.Contains(t, keys, `"key": "cw_example_upanga"`)
	code, _, _ = runCommand("check", output)
	assert.Equal(t, exitOK, code)
	code, _, diagnostics = runCommand(args...)
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, diagnostics, "cannot create")
}

// Guards against writing a configuration although the answers are refused.
func TestInitRefusesAnswers(t *testing.T) {
	output := filepath.Join(t.TempDir(), "configuration.yaml")
	code, _, diagnostics := runCommand("init", "--answers", writeFile(t, "team: x\n"), "--output", output)
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, diagnostics, "how many requests arrive")
	assert.NoFileExists(t, output)
}
