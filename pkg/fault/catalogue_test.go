package fault

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against kinds that docs/ERRORS.md does not list, and against a status or remedy there that
// differs from the code.
func TestErrorsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	require.NoError(t, err)
	for _, k := range Kinds() {
		e := New(k, "")
		assert.Contains(t, string(page), fmt.Sprintf("\n| `%s` | %d | %s | ", k, e.Status(), e.Remedy()))
	}
	assert.Equal(t, len(Kinds()), strings.Count(string(page), "\n| `"), "docs/ERRORS.md lists an unknown kind")
}
