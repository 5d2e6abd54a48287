package reference

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/settings"
)

func readRepoFile(t *testing.T, path string) string {
	text, err := os.ReadFile("../../" + path)
	require.NoError(t, err)
	return string(text)
}

// Guards against a direct dependency without a row in DEPENDENCIES.md, and a row for a dependency that is
// no longer in go.mod.
func TestDependenciesAreDocumented(t *testing.T) {
	page := readRepoFile(t, "docs/DEPENDENCIES.md")
	direct := regexp.MustCompile(`(?m)^\t(\S+) v\S+$`).FindAllStringSubmatch(readRepoFile(t, "go.mod"), -1)
	require.NotEmpty(t, direct)
	for _, m := range direct {
		assert.Contains(t, page, "\n| `"+m[1]+"` |")
	}
	assert.Equal(t, len(direct), strings.Count(page, "\n| `"))
}

// Guards against an example settings file that the program refuses.
func TestExampleSettings(t *testing.T) {
	_, err := settings.Parse([]byte(readRepoFile(t, "examples/kilele/settings.yaml")))
	assert.NoError(t, err)
}

// Guards against a metric of cassiawall-node without a row in OPERATIONS.md, and a row for a metric that
// no longer exists.
func TestNodeMetricsAreDocumented(t *testing.T) {
	registered := map[string]bool{}
	registration := regexp.MustCompile(`(?:Counter|Histogram|Gauge|GaugeFunc|\.count|\.observe)\("([a-z_]+)"`)
	for _, root := range []string{"../gateway", "../clientconn", "../../cmd/cassiawall-node", "../../platform"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range registration.FindAllStringSubmatch(string(text), -1) {
				registered[m[1]] = true
			}
			return err
		}))
	}
	_, table, found := strings.Cut(readRepoFile(t, "docs/OPERATIONS.md"), "## Metrics\n")
	require.True(t, found)
	documented := map[string]bool{}
	for row := range strings.Lines(table) {
		if !strings.HasPrefix(row, "| `") {
			continue
		}
		names, _, _ := strings.Cut(row[2:], "|")
		for _, m := range regexp.MustCompile("`([a-z_]+)").FindAllStringSubmatch(names, -1) {
			documented[m[1]] = true
		}
	}
	assert.Equal(t, registered, documented)
}
