package reference

import (
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/settings"
)

func read(t *testing.T, path string) string {
	text, err := os.ReadFile("../../" + path)
	require.NoError(t, err)
	return string(text)
}

// Guards against an event that wakes an operator who then finds nothing about it, and against a
// section about an event that no longer exists.
func TestRunbookCoversEvents(t *testing.T) {
	page := read(t, "docs/operators/runbook.md")
	sections := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^### (\d+ .*)$`).FindAllStringSubmatch(page, -1) {
		sections[m[1]] = true
	}
	for _, e := range event.Catalogue() {
		title := fmt.Sprintf("%d %s", e.Number, e.Name)
		if e.Level >= slog.LevelWarn {
			assert.True(t, sections[title], "docs/operators/runbook.md needs a section '### %s'", title)
		}
		delete(sections, title)
	}
	assert.Empty(t, sections, "docs/operators/runbook.md describes events that do not exist")
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
