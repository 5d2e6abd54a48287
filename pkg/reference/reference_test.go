package reference

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the pages instead of comparing them")

// Guards against reference pages that differ from the fields that the program accepts, and against a
// field whose doc comment does not state its effect, default and unit.
func TestPagesAreCurrent(t *testing.T) {
	for file, page := range map[string]Page{
		"settings.md": {
			Title: "Settings of a process", Root: "Settings", Directory: "../settings",
			Intro: "The settings file is read once, when a process starts. Durations are written with a unit, as in `1.5s` or `20ms`. `cassiawall check FILE` checks a settings file.",
		},
		"configuration.md": {
			Title: "Configuration", Root: "Config", Directory: "../config",
			Intro: "The configuration is the same on all nodes and is changed with `cassiawall apply FILE`. Durations are written with a unit, as in `1.5s` or `20ms`. `cassiawall check FILE` checks a configuration file.",
		},
	} {
		want, err := Generate(page)
		require.NoError(t, err)
		path := "../../docs/reference/" + file
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(want), 0o600))
		}
		found, err := os.ReadFile(path)
		require.NoError(t, err)
		assert.Equal(t, want, string(found), "run 'go test ./pkg/reference -update'")
	}
}
