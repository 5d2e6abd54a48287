package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const firstLog = `{"time":"2026-01-01T00:00:10Z","level":"INFO","msg":"configuration in force","event":501,"version":3,"revision":7}
{"time":"2026-01-01T00:00:11Z","level":"INFO","msg":"weights named","event":908,"model":"m","version":2,"revision":8}
{"time":"2026-01-01T00:00:12Z","level":"INFO","msg":"request admitted","event":920,"request":"r1","route":"x"}
not a log line
{"time":"2026-01-01T00:00:12.5Z","level":"INFO","msg":"request admitted","event":920,"request":"other"}
{"time":"2026-01-01T00:00:13Z","level":"INFO","msg":"request not served","event":926,"request":"r1","outcome":"refused"}
`

// secondLog is the log of a node whose clock is an hour ahead. Each line has the platform's prefix, a
// time and the name of the node.
const secondLog = `  -1.0 node-b {"time":"2026-01-01T01:00:10.01Z","level":"INFO","msg":"configuration in force","event":501,"version":3,"revision":7}
  -1.0 node-b {"time":"2026-01-01T01:00:11.01Z","level":"INFO","msg":"weights named","event":908,"model":"m","version":2,"revision":8}
  12.2 node-b {"time":"2026-01-01T01:00:12.21Z","level":"INFO","msg":"backend chosen","event":922,"request":"r1","backend":"e1"}
`

// Guards against a wrong order of lines when the clocks of nodes differ, and against a timeline without
// the recorded state of the nodes.
func TestTimelineCorrectsClockSkew(t *testing.T) {
	first, err := Read(strings.NewReader(firstLog), "node-a")
	require.NoError(t, err)
	second, err := Read(strings.NewReader(secondLog), "file")
	require.NoError(t, err)
	timeline := Timeline(append(second, first...), "r1")
	var order []string
	for line := range strings.Lines(timeline) {
		for _, name := range []string{"request admitted", "backend chosen", "request not served"} {
			if strings.Contains(line, name) {
				order = append(order, name)
			}
		}
	}
	assert.Equal(t, []string{"request admitted", "backend chosen", "request not served"}, order)
	assert.Contains(t, timeline, `believed since 2s: configuration in force revision=7 version=3`)
	assert.Contains(t, timeline, "node-b 922")
	assert.NotContains(t, timeline, "other")
	assert.Empty(t, Timeline(first, "unknown"))
	assert.Equal(t, time.Hour, clockOffsets(append(second, first...))["node-b"].Round(time.Minute))
}

// Guards against showing state that a node recorded before its last restart, which the new process does
// not have.
func TestTimelineDiscardsStateBeforeRestart(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:10Z","level":"INFO","msg":"configuration in force","event":501,"version":3,"revision":7}
{"time":"2026-01-01T00:00:11Z","level":"INFO","msg":"node started","event":101,"node":"a"}
{"time":"2026-01-01T00:00:12Z","level":"INFO","msg":"request admitted","event":920,"request":"r1"}
`), "node-a")
	require.NoError(t, err)
	timeline := Timeline(lines, "r1")
	assert.Contains(t, timeline, "node started")
	assert.NotContains(t, timeline, "configuration in force")
}
