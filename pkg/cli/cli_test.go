package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runnableCommands returns all commands without subcommands by their full names, such as
// "report burn".
func runnableCommands(parent []string, specs []commandSpec) map[string]commandSpec {
	found := map[string]commandSpec{}
	for _, spec := range specs {
		path := append(append([]string(nil), parent...), spec.name)
		if len(spec.subcommands) == 0 {
			found[strings.Join(path, " ")] = spec
		}
		for name, sub := range runnableCommands(path, spec.subcommands) {
			found[name] = sub
		}
	}
	return found
}

// Guards against a command without an example in its help, and against an example that the
// command does not accept.
func TestHelpHasWorkingExample(t *testing.T) {
	for name, spec := range runnableCommands(nil, commands(streams{out: &bytes.Buffer{}, err: &bytes.Buffer{}})) {
		t.Run(name, func(t *testing.T) {
			code, out, _ := runCommand(append(strings.Fields(name), "--help")...)
			assert.Equal(t, exitOK, code)
			assert.Contains(t, out, "Example: cassiawall")
			_, example, found := strings.Cut(spec.long, "Example: cassiawall ")
			require.True(t, found)
			assert.True(t, strings.HasPrefix(example, name), "the example must show this command")
			parser, err := newParser(commands(streams{out: &bytes.Buffer{}, err: &bytes.Buffer{}}))
			require.NoError(t, err)
			parser.CommandHandler = func(flags.Commander, []string) error { return nil }
			_, err = parser.ParseArgs(strings.Fields(example))
			assert.NoError(t, err)
		})
	}
}

// Guards against an unknown command that exits with code 0 or without a message.
func TestBadUsage(t *testing.T) {
	code, _, diagnostics := runCommand("no-such-command")
	assert.Equal(t, exitUsage, code)
	assert.NotEmpty(t, diagnostics)
}
