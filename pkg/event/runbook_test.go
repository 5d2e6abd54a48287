package event

import (
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an event of level warning or above that has no section in the runbook, and against a section
// about an event that no longer exists.
func TestRunbookCoversEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/runbook.md")
	require.NoError(t, err)
	sections := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^### (\d+ .*)$`).FindAllStringSubmatch(string(page), -1) {
		sections[m[1]] = true
	}
	for _, e := range Catalogue() {
		title := fmt.Sprintf("%d %s", e.Number, e.Name)
		if e.Level >= slog.LevelWarn {
			assert.True(t, sections[title], "docs/operators/runbook.md needs a section '### %s'", title)
		}
		delete(sections, title)
	}
	assert.Empty(t, sections, "docs/operators/runbook.md describes events that do not exist")
}
