package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against events that operators cannot look up and against numbers used twice.
func TestCatalogueMatchesDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	seen := map[int]bool{}
	for _, e := range Catalogue() {
		assert.False(t, seen[e.Number], "number %d is used twice", e.Number)
		seen[e.Number] = true
		row := fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.Action)
		assert.Contains(t, string(page), row)
	}
	assert.Equal(t, len(seen), strings.Count(string(page), "\n| ")-1, "docs/EVENTS.md lists an unknown event")
}
