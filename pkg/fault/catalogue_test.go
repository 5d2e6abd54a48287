package fault

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against kinds that callers cannot look up, and against a page that states another status
// or remedy than the program.
func TestErrorsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	require.NoError(t, err)
	for _, k := range Kinds() {
		e := New(k, "")
		assert.Contains(t, string(page), fmt.Sprintf("\n| `%s` | %d | %s | ", k, e.Status(), e.Remedy()))
	}
	assert.Equal(t, len(Kinds()), strings.Count(string(page), "\n| `"), "docs/ERRORS.md lists an unknown kind")
}
