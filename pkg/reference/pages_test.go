package reference

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/settings"
)

func read(t *testing.T, path string) string {
	text, err := os.ReadFile("../../" + path)
	require.NoError(t, err)
	return string(text)
}

// Guards against a dependency without a stated reason, and a reason for a dependency that is gone.
func TestDependenciesAreExplained(t *testing.T) {
	page := read(t, "docs/DEPENDENCIES.md")
	direct := regexp.MustCompile(`(?m)^\t(\S+) v\S+$`).FindAllStringSubmatch(read(t, "go.mod"), -1)
	require.NotEmpty(t, direct)
	for _, m := range direct {
		assert.Contains(t, page, "\n| `"+m[1]+"` |")
	}
	assert.Equal(t, len(direct), strings.Count(page, "\n| `"))
}

// Guards against an example that the program refuses.
func TestExampleSettings(t *testing.T) {
	_, err := settings.Parse([]byte(read(t, "examples/kilele/settings.yaml")))
	assert.NoError(t, err)
}
